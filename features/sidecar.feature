Feature: Weights beside an engine

  Scenario: empty engine
    Given an agent beside an empty engine and an origin with version 1
    When an entry tells it that version 1 is wanted
    Then the engine is ordered to load version 1 with every piece right

  Scenario: wrong bytes on the way
    Given an agent beside an empty engine and an origin with version 1
    And each fifth piece from the origin is wrong and each seventh is spoilt at the engine
    When an entry tells it that version 1 is wanted
    Then the engine is ordered to load version 1 with every piece right

  Scenario: pieces that rot after they were staged
    Given an agent beside an empty engine and an origin with version 1
    When an entry tells it that version 1 is wanted
    And the engine restarts and two staged pieces have rotted
    Then the engine is ordered to load version 1 again with every piece right

  # Agents beyond the first 24 of a region must get regular messages too: otherwise the others learn
  # only from those 24 what they hold, and fetch all pieces from them.
  Scenario: news of pieces in a large region
    Given 60 agents of a region, each with one piece of a version
    When they exchange news for 500 ms
    Then each of them knows the holder of each piece
    And none of them receives over 1.5 times as many messages as the average

  # Guards against a transfer whose messages cost more than its pieces: all told all, and each was answered.
  Scenario: number of messages in a transfer
    Given 20 agents of a region, each with one piece of a version
    When they exchange news for 1000 ms
    Then each of them knows the holder of each piece
    And each of them receives at most 160 messages

  # Connections and pools of members that left must not stay for the life of the process.
  Scenario: member that leaves
    Given an agent beside an empty engine and an origin with version 1
    And another member that serves version 1 and sends no pieces
    When the agent has asked that member
    And the member leaves the fleet
    Then the agent closes its connections to it
    And the engine is ordered to load version 1 with every piece right

  # A frozen member accepts connections and never responds: the request for the manifest had no timeout
  # but that of the HTTP client, 300 seconds.
  Scenario: frozen member that serves the version
    Given an agent beside an empty engine and an origin with version 1
    And another member that serves version 1 and never responds
    When the agent has asked that member
    Then the agent asks the origin within 3 seconds
    And the engine is ordered to load version 1 with every piece right

  # Single spoilt pieces do not mean that the engine has staged another version: the others must be
  # reused, not fetched again.
  Scenario: some staged pieces are spoilt
    Given an agent beside an empty engine and an origin with version 1
    And the engine has staged all pieces of version 1, of which 2, 5 and 8 are spoilt
    When an entry tells it that version 1 is wanted
    Then the engine is ordered to load version 1 with every piece right
    And the origin is asked for 3 pieces

  # Guards against reports that leave out since when the engine's version is outdated, or pass on what an entry guesses.
  Scenario Outline: report of an engine whose version is outdated, as an entry <knows>
    Given an agent beside an empty engine and an origin with version 1
    When an entry tells it that version 1 is wanted
    And an entry tells it that version 2 was named 1000 ms ago, <unseen> ms of it unseen
    Then its reports on version 1 tell that it is outdated for <ms>

    Examples:
      | knows   | unseen | ms                |
      | knows   | 0      | 1000 ms or longer |
      | guesses | 5500   | no time           |

  # Guards against mixed weights: an order without a response was accepted after pieces of the next version had been staged.
  Scenario Outline: order that is accepted <ms> ms late
    Given an agent beside an empty engine and an origin with version 1
    And the engine accepts orders <ms> ms after their senders have given them up
    When an entry tells it that version 1 is wanted, and version 2 as soon as it has ordered version 1
    Then the engine comes to hold version 2, and took each version with every piece right

    Examples:
      | ms   |
      | 400  |
      | 900  |
      | 2500 |
