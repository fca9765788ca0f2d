Feature: Begun streams

  # Guards against streams that are cut with seconds left, because a retry is admitted, or refused, like a
  # new request: what its caller has begun to receive is owed until its deadline.
  Scenario Outline: begun stream, and <trouble>
    When a stream has begun, and <trouble>
    Then its caller gets all events once each
    And the repeats keep the retry budget

    Examples:
      | trouble                                       |
      | the pause that the route allows passes        |
      | all endpoints have been tried                 |
      | six endpoints turn it away in turn            |
      | the other endpoint has failed and rests       |
      | others wait before it                         |
      | new requests are more than fit                |
      | the retry budget is used up for a moment      |
      | each endpoint that it reaches ends            |
      | it is moved to an endpoint that turns it away |
      | its endpoint is silent for a while            |
      | the entry stops                               |
      | the timeout of its route changes              |
      | its route is taken away                       |
      | the configuration gets another version        |

  # Guards against begun streams that wait until their deadline beside endpoints that would take them.
  Scenario Outline: streams that are broken off while endpoints are full in turn
    When one stream in 6 is broken off while <state>
    Then 0.97 of them are whole
    And no event is missing or comes twice
    And the repeats keep the retry budget

    Examples:
      | state                                          |
      | each of 6 endpoints is full for 700 ms of 1050 |
      | all of 6 endpoints are full for 450 ms of 2500 |

  # Guards against begun streams that wait until their deadline for a retry budget that nobody uses: an entry
  # takes a sixteenth of it until it has seen the number of entries for a whole window.
  Scenario Outline: streams that are broken off while entries are new
    When one stream in 6 is broken off, with entries that have just started, while <state>
    Then 0.97 of them are whole

    Examples:
      | state                                          |
      | each of 6 endpoints is full for 700 ms of 1050 |
      | all of 6 endpoints are full for 450 ms of 2500 |

  # Guards against retries that many begun streams spend on an address that has another endpoint.
  Scenario: begun streams beside an endpoint that says that they are meant for another one
    Given an entry and 2 endpoints
    When 8 streams are broken off, and then one endpoint is full and the other responds 421 for 1500 ms
    Then the other one turns away at most 6 of them
    And its caller gets all events once each

  # Guards against a begun stream that is given up although its caller still waits.
  Scenario: begun stream that waits as long as its caller
    Given an entry and 3 endpoints
    When a stream is broken off and all endpoints are full until its deadline
    Then it waits for an endpoint until then

  # Guards against waits that have no end, once begun streams may wait.
  Scenario: deadline of a begun stream
    Given an entry and 3 endpoints
    When a stream is broken off and all endpoints are full until its deadline
    Then its caller has the end by half a second after its deadline
    And no event is missing or comes twice
    And the repeats keep the retry budget

  # Guards against work for a caller that has left while its stream waited.
  Scenario: caller of a begun stream that leaves
    Given an entry and 2 endpoints, one connection each
    When a stream is broken off and all endpoints are full until its caller has left
    Then no endpoint gets it half a second later or after

  # Guards against new requests that wait as long as begun streams may.
  Scenario: new requests beside a begun stream
    Given an entry and 2 endpoints, one connection each
    When a stream waits for an endpoint and new requests come
    Then the new ones that are refused know it within 500 ms

  # Guards against a begun stream that runs on more endpoints than its route allows, and a cut without a cause.
  Scenario: begun stream that each endpoint breaks off
    Given an entry and 4 endpoints
    When a stream is broken off by each endpoint that it reaches
    Then it has run on 2 endpoints at most
    And no event is missing or comes twice
    And the metrics count 1 cut for attempts_used
