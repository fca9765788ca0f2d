Feature: Repeated requests that crash endpoints

  # Guards against a request that crashes all endpoints of a small service again each time that they are
  # back: it was quarantined only after more crashes than the rule for whole requests allows.
  Scenario Outline: endpoints that are back late
    Given 4 entry programs and 3 endpoints that crash on content
    And endpoints that end are back after 3300 ms under new ids
    And a request that is repeated was served <times> times
    When it crashes endpoints, <copies> sent each <interval> ms for 12 seconds, and <trouble>
    Then at most 3 of its copies reach endpoints later than 3 seconds after the third crash

    Examples:
      | times | copies | interval | trouble                                                     |
      | 0     | 1      | 400      | nothing else happens                                        |
      | 0     | 3      | 700      | nothing else happens                                        |
      | 0     | 1      | 400      | the store is away                                           |
      | 12    | 1      | 400      | nothing else happens                                        |
      | 60    | 1      | 400      | all entries are killed at once                              |

  # Guards against a number of crashes that grows with the requests that were completed before.
  Scenario Outline: request that was served before
    Given 4 entry programs and 3 endpoints that crash on content
    And endpoints that end are back after 1300 ms <ids>
    And a request that is repeated was served <times> times
    When it crashes endpoints, <copies> sent each <interval> ms for 10 seconds, and <trouble>
    Then at most 3 of its copies reach endpoints later than 3 seconds after the third crash

    Examples:
      | times | copies | interval | trouble                        | ids                         |
      | 0     | 1      | 200      | nothing else happens           | under the ids that they had |
      | 12    | 1      | 700      | nothing else happens           | under new ids               |
      | 60    | 1      | 200      | nothing else happens           | under new ids               |
      | 60    | 1      | 2600     | the store is away              | under new ids               |
      | 60    | 3      | 700      | an entry is replaced           | under the ids that they had |

  # Guards against the quarantine of a sound request that is under way whenever endpoints end.
  Scenario Outline: sound request that is repeated
    Given 4 entry programs and 3 endpoints that crash on content
    And a request that is repeated was served <times> times
    When it is sent each 30 ms for 9 seconds while endpoints end <how>
    Then it is served again, 0.9 of its copies

    Examples:
      | times | how               |
      | 0     | all at once       |
      | 12    | all within 250 ms |
      | 0     | in turn           |
