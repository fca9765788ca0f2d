Feature: Limits that endpoints name

  # Guards against endpoints that get more than they say they can take: each entry kept to nothing, or to
  # the limit by itself.
  Scenario Outline: rate of endpoints that name a limit
    Given <entries> entry programs and 6 endpoints that crash on content
    When 2 endpoints name a limit of <limit> requests a second for <seconds> seconds, and <trouble>
    Then in any 4 seconds from the third on they get at most one and a half times that and 5 requests each
    And they get at least a quarter of what they named

    Examples:
      | entries | limit | seconds | trouble                     |
      | 1       | 1.4   | 12      | nothing else happens        |
      | 7       | 1.4   | 14      | nothing else happens        |
      | 7       | 0.3   | 20      | nothing else happens        |
      | 7       | 6     | 12      | nothing else happens        |
      | 20      | 2.5   | 16      | nothing else happens        |
      | 7       | 1.4   | 14      | the entries restart in turn |
      | 7       | 1.4   | 14      | an entry is replaced        |
      | 7       | 1.4   | 14      | the store is away           |
      | 7       | 1.4   | 14      | all entries are killed at once |
      | 7       | 1.4   | 14      | an entry is cut from the store |
      | 7       | 1.4   | 16      | the store is away, and then all entries are killed at once |
      | 12      | 2.5   | 18      | the entries restart in turn |

  Scenario: rate of endpoints that name a limit to entries that do not hear each other
    Given 7 entry programs that are cut from each other and 6 endpoints that crash on content
    When 2 endpoints name a limit of 1.4 requests a second for 14 seconds, and nothing else happens
    Then in any 4 seconds from the third on they get at most one and a half times that and 5 requests each
    And they get at least a quarter of what they named

  # Guards against requests that wait and are all sent to an endpoint once it has room for one of them.
  Scenario: requests that wait for endpoints that name a limit
    Given 3 entry programs and 2 endpoints that crash on content
    When 2 endpoints name a limit of 2 requests a second for 12 seconds, and nothing else happens
    Then in any 4 seconds from the third on they get at most one and a half times that and 5 requests each
    And they get at most what they named and 5 requests in all
    And they get at least a quarter of what they named

  # Guards against shares that are too many at once: each entry may send one request in any short time.
  Scenario: sum over all entries
    Then in 300 histories entries that are always pressed send at most what an endpoint named

  # Guards against an endpoint that is left alone once it no longer names a limit.
  Scenario: limit that ends
    Given 7 entry programs and 6 endpoints that crash on content
    When 2 endpoints name a limit of 1.4 requests a second for 8 seconds, and nothing else happens
    And they no longer name it
    Then they get at least half of what the others get, 6 seconds later

  Scenario: all requests are served
    Given 7 entry programs and 6 endpoints that crash on content
    When 2 endpoints name a limit of 1.4 requests a second for 8 seconds, and nothing else happens
    Then all callers were served

  Scenario: explanation of a refusal for limits
    Given an entry on the platform with engines that names, names
    When a caller sends a request to safe until it is refused for overloaded
    Then the explanation of its id names Endpoint named another limit.*perSecond=0.1.*Request refused.*limited=2
