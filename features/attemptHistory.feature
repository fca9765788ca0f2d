Feature: Attempts of one request

  # Guards against a begun request that runs out of endpoints, and against one that runs at more than allowed.
  Scenario: random histories of attempts
    Then in 300 histories no request has been executed by more running endpoints than allowed
    And in 300 histories a begun request may be sent again after 1600 milliseconds

  # Guards against retries of a request that can still be refused at endpoints that have failed it.
  Scenario: request that has not begun
    Then in 300 histories a request that has not begun gets no endpoint twice

  # Guards against retries that many begun streams spend on one endpoint that refuses them, and against waits
  # beside an endpoint that has room.
  Scenario: endpoint that refuses begun requests
    Then in 300 histories an endpoint that may refuse gets one begun request in 250 milliseconds
    And in 300 histories an endpoint gets a begun request at once after it has taken one or another has left

  # Guards against a begun request that waits although an endpoint has just taken another one.
  Scenario: begun request that was refused three times
    Then it may be sent after 400 milliseconds, and after 100 to an endpoint that has a place

  # Guards against a begun request that never gets an endpoint again which refused it while it was to move elsewhere.
  Scenario: begun request that was to leave an endpoint
    Then it may be sent there again 400 milliseconds after the endpoint has refused it

  # Guards against begun streams that are cut because requests wait, or because the goal of a new one has passed.
  Scenario Outline: stages in the queue
    Given a full endpoint and 3 requests that wait for it
    When a request that is <stage> comes and a slot is free after <ms> ms
    Then it is <result>

    Examples:
      | stage       | ms    | result       |
      | fresh       | 50    | refused      |
      | callerRetry | 400   | refused      |
      | begun       | 50    | placed first |
      | begun       | 3000  | placed first |
      | moving      | 50    | refused      |

  # Guards against moves of a running stream into the queue of another endpoint.
  Scenario: stream that moves
    Given an endpoint whose slots are taken and whose queue has room
    Then a request that is moving is not placed and one that is begun is

  # Guards against a begun stream that is cut while its service has no retry left.
  Scenario: retry budget that is used up
    Given an endpoint with free slots and a retry budget that allows a retry after 500 ms
    When a request that is begun comes
    Then it is placed after 500 ms
