Feature: What endpoints say in their responses

  # Guards against requests to an endpoint that has said that it leaves, where the store says otherwise.
  Scenario Outline: leaving that the store does not tell
    Given an entry and 3 endpoints that make statements
    When the first says that it leaves, and <trouble>
    Then it gets no request that was sent later than half a second after that
    And all callers of the entry were served

    Examples:
      | trouble                                   |
      | the store says that it is ready           |
      | the store is silent                       |
      | the store is slow                         |
      | the list drops it and lists it again      |
      | the history of the store is lost as well  |
      | its later responses say that it stays     |

  # Guards against a record of the endpoint that ends with its registration.
  Scenario: leaving said in a response to a request before a new registration
    Given an entry and 3 endpoints that make statements
    When the first is registered anew while it has requests, and then responds that it leaves
    Then it gets no request that was sent later than half a second after that

  # Guards against an endpoint that is left alone for what another one has said.
  Scenario Outline: leaving and another endpoint
    Given an entry and 3 endpoints that make statements
    When the first says that it leaves, and then another one starts at its <place>
    Then the other one gets at least an eighth of the requests

    Examples:
      | place   |
      | address |
      | id      |

  Scenario: leaving said to one entry
    Given 2 entries and 3 endpoints that make statements
    When the first says to one entry that it leaves
    Then it gets no request that was sent later than half a second after that
    And it gets requests of the other entry

  # Guards against requests to an endpoint that has refused one and asked for a pause.
  Scenario Outline: pauses
    Given 3 entries and 6 endpoints that make statements
    When <count> endpoints ask for a pause of 2.5 seconds, <later>
    Then no entry sends any of them more than 2 requests within a pause
    And 2 seconds after the pause at least nine tenths of the requests are served

    Examples:
      | count | later                            |
      | 2     | and later for what is left of it |
      | 6     | and later for what is left of it |
      | 6     | and later for a shorter one      |
      | 6     | and later for a longer one       |

  # Guards against a limit that allows requests within a pause, or a pause that ends a limit.
  Scenario: pauses of endpoints that name limits
    Given 3 entries and 6 endpoints that make statements
    When all endpoints name a limit of 4 requests a second
    And 6 endpoints ask for a pause of 2.5 seconds, and later for what is left of it
    Then no entry sends any of them more than 2 requests within a pause
    And each gets at most 11 requests in any second after the pause

  Scenario: pause that ends with a restart
    Given an entry and 3 endpoints that make statements
    When the first asks for a pause of 6 seconds, and then another one starts at its id
    Then the other one gets at least an eighth of the requests

  # Guards against requests that wait for what can't come in time, or are told to come back too early.
  Scenario: requests that can't be served before the end of all pauses
    Given an entry and 3 endpoints that make statements
    When all ask for a pause of 600 milliseconds, and 24 more requests come
    Then all requests are refused within 150 milliseconds
    And their callers are asked to come back after the pause

  Scenario: requests that can be served after a pause
    Given an entry and 3 endpoints that make statements
    When all ask for a pause of 200 milliseconds, and 9 more requests come
    Then at least two thirds of them are served after it, and the others are refused within 150 milliseconds

  # Guards against all requests that wait for the end of a pause being sent in one moment.
  Scenario: first requests after a pause
    Given an entry and 3 endpoints that make statements
    When all ask for a pause of 200 milliseconds, and 24 more requests come
    Then each endpoint gets at most 3 requests in the first 40 milliseconds after the pause

  # Guards against values that were never defined: they must not end requests to an endpoint for good.
  Scenario Outline: values of statements
    Then the headers <headers> say leaving: <leaving>, pause: <pause>, unreadable: <unreadable>

    Examples:
      | headers                                          | leaving | pause     | unreadable |
      | {}                                               | false   | undefined |            |
      | {"server-leaving":"1"}                           | true    | undefined |            |
      | {"server-leaving":" 1 "}                         | true    | undefined |            |
      | {"server-leaving":"0"}                           | false   | undefined |            |
      | {"server-leaving":"yes"}                         | false   | undefined | leaving    |
      | {"server-leaving":["0","1"]}                     | true    | undefined |            |
      | {"retry-after":"3"}                              | false   | 3000      |            |
      | {"retry-after":"0.25"}                           | false   | 250       |            |
      | {"retry-after":"0"}                              | false   | 0         |            |
      | {"retry-after":"-1"}                             | false   | undefined | pause      |
      | {"retry-after":"1e9"}                            | false   | undefined | pause      |
      | {"retry-after":"NaN"}                            | false   | undefined | pause      |
      | {"retry-after":""}                               | false   | undefined | pause      |
      | {"retry-after":"99999999999"}                    | false   | 600000    | pause      |
      | {"retry-after":["1","2"]}                        | false   | 2000      |            |
      | {"retry-after":"1, 2"}                           | false   | 2000      |            |
      | {"retry-after":"Wed, 21 Oct 2026 07:28:00 GMT"}  | false   | undefined | pause      |

  Scenario: sum of all statements
    Then in 300 histories nothing is allowed that a statement forbids, and all else is

  Scenario: statements of many endpoints
    Then after 5000 endpoints that asked for a pause 1000 that leave are still known, of at most 1024

  Scenario: statement that can't be read
    Given an entry and 3 endpoints that make statements
    When the first refuses requests with the pause soon for 300 milliseconds
    Then it is logged once and counted
    And all endpoints can get requests

  Scenario Outline: explanation of a refusal for statements
    Given an entry on the platform with engines that <behaviour>
    When a caller sends a request to safe until it is refused for overloaded
    Then the explanation of its id names <cause>

    Examples:
      | behaviour      | cause                                                               |
      | defers, defers | Endpoint asked for a pause.*pauseMs=2000.*Request refused.*paused=2 |
      | leaves, leaves | Endpoint is leaving.*Request refused.*leaving=2                     |

  # Guards against a request that was placed before a statement and is written after it, on a new connection.
  Scenario: statement while a connection is opened
    Given an endpoint to which a request is about to be sent
    When the endpoint takes no requests any more before the connection is open
    Then the request fails as one that was not sent, and the endpoint has got none
