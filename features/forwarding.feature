Feature: Forwarding

  Scenario Outline: end of an answer
    When an endpoint answers with <framing> and <ends>
    Then the call ends as <outcome>

    Examples:
      | framing              | ends                   | outcome   |
      | a length             | all bytes              | whole     |
      | a length             | a close before the end | truncated |
      | chunks               | all bytes              | whole     |
      | chunks               | a close before the end | truncated |
      | chunks before close  | all bytes              | whole     |
      | chunks before close  | a close before the end | truncated |
      | chunks before close  | a reset before the end | truncated |
      | neither              | a close                | whole     |
      | neither              | a reset before the end | truncated |
      | neither              | a reset at once        | truncated |

  Scenario: versions in quick succession
    When version 2 is named at 1000 and version 3 at 3000
    Then an engine with version 1 is outdated since 1000
    And an engine with version 2 is outdated since 3000

  Scenario: failing endpoint
    Then over seeded answers an endpoint that fails four in ten costs more than a sound one
    And an endpoint that fails twice in a row is left alone and then tried by one request

  Scenario: registrations lapse while the store is away
    When the store was away for 5000 ms and returns at 20000
    Then an endpoint that is missing then stays until 22000
    And one that registers again stays
    And after an outage of 300 ms a missing endpoint is gone at once

  Scenario: entries that see the same report
    When three entries of a region hear that an engine has 6 of 16 slots free
    Then they send 7 requests together when each hears of the others
    And at most 9 together when they do not

  Scenario: many entries race for the same room
    When eight entries of a region that heard of each other see 6 of 16 slots free at once
    Then they send at most 12 requests together before they hear again

  Scenario: old version on an instance that stands still
    Then an engine with the newest version is used whatever its reports
    And one with an older version only while its reports are fresh and its time is not over

  # Guards against a request that waits in an engine's queue and starts on a version whose time is over.
  Scenario: old version on a busy engine
    Then a busy one with an older version only until 1.8 seconds before its time is over

  Scenario Outline: cold engine among many entries
    Then <entries> entries send a cold engine that bears 17 a second at most 30 in any second

    Examples:
      | entries |
      | 1       |
      | 7       |
      | 46      |
      | 100     |

  Scenario: shared budget of repeats
    Then over seeded histories all entries together repeat within the bound in any window

  Scenario: events in pieces
    Then a stream that arrives in pieces of any sizes gives the same events
