Feature: Planned stops of an agent

  # Agents that fetched from it got a part of a piece and had to fetch it again.
  Scenario: pieces that are being sent
    Given an agent program that holds pieces
    When it is stopped while it sends pieces, and is asked for one more
    Then the pieces arrive whole
    And the further one is refused
    And it ends within 2 seconds with exit code 0

  Scenario: piece that is never read
    Given an agent program that holds pieces
    When it is stopped while a piece is not read
    Then it ends within 3 seconds with exit code 0
