Feature: Logs and explanations

  Scenario: flood
    When 2000 requests a second are logged for 3 seconds
    Then at most 100 lines of each kind are written in a second and the others are counted
    And each line on a request that may not be repeated is written

  Scenario: reader that stops
    When the reader of the log stops
    Then 20000 lines are taken without waiting and those that were lost are counted

  Scenario Outline: way from an id to its cause
    Given an entry on the platform with engines that <engines>
    When a caller sends a request to <route>
    Then the explanation of its id names <cause>

    Examples:
      | engines | route  | cause                                        |
      | refuses | unsafe | Attempt failed. .*not run.*Request failed.   |
      | breaks  | unsafe | Attempt failed. .*unknown.*Request failed.   |

  Scenario: way from an id to an old proof of keys
    Given an entry on the platform with engines that answers
    When the store falls silent for 3 seconds
    And a caller sends a request to safe
    Then the explanation of its id names Store not reachable.*Request failed. .*proof of keys is \d+ ms old

  Scenario: process that was started anew
    Given the log of an entry that lost the store, was started anew and then failed a request
    Then its explanation has the start and nothing that was believed before
