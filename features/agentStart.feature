Feature: Agents that start beside their engines

  # Guards against pieces that are staged and read back once more before the order, though the engine has them.
  Scenario: engine that has all pieces
    Given an agent beside an empty engine and an origin with version 1
    And the engine has staged all pieces of version 1, all of them right
    When an entry tells it that version 1 is wanted
    Then the order came after each piece was read once and none was staged

  # Guards against pieces of another version that replace those that were read, and are loaded as the wanted one.
  Scenario: pieces that are replaced after they were read
    Given the pieces of version 1 at an engine, read back and then replaced by one of version 2
    When version 1 is staged
    Then each staged piece is of version 1

  # Guards against an entry that places no request until the next regular report.
  Scenario: first report to an entry
    Given an agent beside an empty engine and an origin with version 1
    When 5 entries address it one after the other
    Then each gets its first report within 100 ms
