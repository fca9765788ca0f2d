Feature: Metrics

  Scenario Outline: requests by route, outcome and reason
    Given an entry on the platform with engines that <engines>
    When a caller sends a request to <route>
    Then the metrics count 1 request of route <route> as <outcome> for <reason>

    Examples:
      | engines | route  | outcome  | reason            |
      | answers | unsafe | answered | 200               |
      | streams | stream | answered | 200               |
      | refuses | unsafe | refused  | overloaded        |
      | breaks  | unsafe | failed   | outcome_unknown   |
      | hangs   | unsafe | failed   | timeout           |
      | stops   | single | cut      | none              |

  Scenario: requests that end before they are forwarded
    Given an entry on the platform with engines that answers
    When the store falls silent for 3 seconds
    And a caller sends a request to safe
    And a caller sends a request to nowhere
    Then the metrics count 1 request of route safe as refused for old_proof
    And the metrics count 1 request of route none as refused for old_configuration

  Scenario Outline: callers that leave
    Given an entry on the platform with engines that <engines>
    When a caller sends a request to <route> and leaves early
    Then the metrics count 1 request of route <route> as left for none
    And no stream counts as cut

    Examples:
      | engines | route  |
      | hangs   | unsafe |
      | pauses  | single |

  Scenario: waiting requests
    Given an entry on the platform with engines that hangs
    When callers send more requests than its engine may get at once
    Then the metrics showed some that wait, and all others are sent or refused

  Scenario: state of the fleet
    Given an entry on the platform with engines that answers, answers, answers
    When the first engine says that it is draining
    And engines of a model with versions 1, 1 and 2 register and version 2 is named
    Then the metrics show for desk 1 draining and 2 free endpoints
    And the metrics show 2 endpoints with version 1 and 1 with version 2

  Scenario: proof of the configuration and calls to the store
    Given an entry on the platform with engines that answers
    Then the metrics show a proof younger than 1500 ms and answered calls only
    When the store falls silent for 3 seconds
    Then the metrics show a proof older than 2000 ms and failed calls

  Scenario: budget of repeats
    Given an entry on the platform with engines that breaks, breaks
    When a caller sends a request to safe
    Then the metrics show 1 repeat of an allowance that is larger

  Scenario: agent and its engine
    Given an agent beside an empty engine and an origin with version 1
    Then its metrics show version 0 as served, 0 as complete and 0 as named
    When an entry tells it that version 1 is wanted
    Then its metrics show version 1 as served, 1 as complete and 1 as named

  Scenario: lines left out
    When 250 lines of one kind and 50 of another are logged within a second
    Then the metrics count 150 lines of the first kind left out and 150 written

  Scenario: bounded memory
    When requests of 100000 routes are counted
    Then at most 65 routes are told apart and no request is lost

  Scenario: text format
    When counters, gauges and durations with odd labels are rendered
    Then each value stands below the type of its metric and can be read back
