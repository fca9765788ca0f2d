Feature: Recovery of engines and waits for it

  # Guards against a 421 that costs its caller the request, or retries that others need.
  Scenario Outline: all engines are empty after a loss of power, and callers have 6 seconds
    When 9 engines that are registered with weights hold them after 1.2 to 2.1 seconds, as <news> tell
    Then each request that an engine without weights refused is served
    And at most 9 are refused so
    And at most 1 in 20 is refused after it waited for half a second

    Examples:
      | news          |
      | reports       |
      | registrations |

  # Guards against an engine that is left alone for good after it has misled.
  Scenario: all engines are empty after a loss of power, and nothing tells of their weights
    When 9 engines that are registered with weights hold them after 1.2 to 2.1 seconds, as none tell
    Then at least 7 in 10 requests of the last 2 seconds are served

  # Guards against waits without end, and against callers who are told to come back to nothing.
  Scenario: engines that do not come back
    When 9 engines that are registered with weights hold them after 99 to 99 seconds, as reports tell
    Then the requests of the last 2 seconds are refused at once, with a time that their callers do not have

  # Guards against late requests that crowd out those that can be in time.
  Scenario: burst of twice the capacity for 6 seconds, with and without adaptive admission
    When 9 engines get twice the load that they can bear, from callers that return
    Then with adaptive admission as many are in time, and callers come back to no place less often

  # Guards against work per event that grows with the number of requests that wait.
  Scenario: 2,000 requests wait while requests end
    When one place becomes free 100 times while 200 and 2000 requests wait
    Then endpoints are asked for room equally often, and each place is taken in the order of the queue

  # Guards against an order that is kept and no longer true.
  Scenario: order of the queue
    Then in 200 histories the queue has the order of its four criteria after each refresh

  # Guards against a refusal of a request whose only endpoint was misdirected for a moment.
  Scenario: only endpoint that responds 421 for 300 ms
    Given an entry and an endpoint that responds 421 for 300 ms
    When a caller sends it a request
    Then it is answered, and the endpoint has got it at most 3 times
