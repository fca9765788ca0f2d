Feature: Content that crashes endpoints

  # Guards against endpoints that are lost one after the other to requests that share a part of their
  # prompts: nothing remembered which content had been under way when endpoints ended.
  Scenario Outline: one part of prompts
    Given 4 entry programs and 8 endpoints that crash on content
    When requests with a part that crashes endpoints come for 10 seconds, and <trouble>
    Then at most 3 of them reach endpoints later than 3 seconds after the fifth crash
    And sound requests are served at least half as often as before

    Examples:
      | trouble                                                          |
      | nothing else happens                                             |
      | the entries restart in turn                                      |
      | an entry is replaced                                             |
      | all entries are killed at once                                   |
      | an entry is cut from the store                                   |
      | the store is away                                                |
      | the store is away, and then all entries are killed at once       |
      | the store loses answers, and all entries are killed at once      |

  # Guards against a verdict that only those entries have that saw the crashes.
  Scenario Outline: one part of prompts, and entries that do not hear each other
    Given 4 entry programs that are cut from each other and 8 endpoints that crash on content
    When requests with a part that crashes endpoints come for 10 seconds, and <trouble>
    Then at most 3 of them reach endpoints later than 3 seconds after the fifth crash
    And sound requests are served at least half as often as before

    Examples:
      | trouble                          |
      | nothing else happens             |
      | an entry is replaced             |
      | all entries are killed at once   |

  Scenario: two parts of prompts
    Given 4 entry programs and 8 endpoints that crash on content
    When requests with one and then another part that crashes endpoints come for 7 seconds each
    Then at most 3 of them reach endpoints later than 3 seconds after the fifth crash
    And sound requests are served at least half as often as before

  # Guards against requests without parts that crash endpoints each time they are sent.
  Scenario: one request that comes again and again
    Given 4 entry programs and 8 endpoints that crash on content
    When one request that crashes endpoints comes again for 8 seconds
    Then at most 3 of them reach endpoints later than 3 seconds after the fifth crash
    And sound requests are served at least half as often as before

  # Guards against a part that is quarantined because all requests share it.
  Scenario Outline: endpoints that end for other reasons
    Given 4 entry programs and 8 endpoints that crash on content
    When endpoints end <how> for 6 seconds
    Then sound requests are served again, 0.9 of them

    Examples:
      | how                    |
      | all at once            |
      | one after the other    |
      | several every second   |

  Scenario: explanation of a refusal for content
    Given an entry on the platform with engines that breaks, breaks, breaks, breaks, breaks
    When a caller sends a request to safe until it is refused for crashing_content
    Then the explanation of its id names Content quarantined.*Request refused for its content.*request:
    And the metrics count content_convicted 1

  Scenario: quarantine that operators lift
    Given an entry on the platform with engines that breaks, breaks, breaks, breaks, breaks
    When a caller sends a request to safe until it is refused for crashing_content
    And operators release all quarantines
    Then a request to safe is sent to an engine again
