Feature: Planned stops of an entry

  # Requests that were taken late in the grace were cut when the process ended.
  Scenario: answers that take most of the grace
    Given an entry program with 8 seconds of grace
    When it is stopped while requests of 5 seconds with deadlines of 6 seconds come on all connections
    Then each request that was passed on has its whole answer
    And each refused request did not run, may come back and finds its connection closed
    And all requests of the first second after the signal are answered

  Scenario: requests with short deadlines
    Given an entry program with 8 seconds of grace
    When it is stopped while requests of 0.1 seconds with deadlines of 1 second come on all connections
    Then each request that was passed on has its whole answer
    And all requests of the first 2 seconds after the signal are answered

  Scenario: requests in the queue
    Given an entry program with 4 seconds of grace and an engine for one request
    When it is stopped while requests with deadlines beyond the grace wait
    Then the waiting requests are refused within 0.5 seconds after the signal
    And each request that was passed on has its whole answer

  Scenario: body that is never sent in full
    Given an entry program with 4 seconds of grace
    When it is stopped while bodies are half sent, before and after the signal
    Then each of them is refused before the process ends

  Scenario: answers that do not come within the grace
    Given an entry program with 4 seconds of grace, deadlines beyond it and engines that are silent
    When it is stopped while requests run
    Then each of them ends with a final answer that does not say that it has not run

  Scenario: streams that lose their connection in a stop
    Given an entry program with 4 seconds of grace, deadlines beyond it and streams of 2 seconds
    When it is stopped and one of its engines closes its connections
    Then all streams are whole, at the other engine

  Scenario: streams that last beyond the grace
    Given an entry program with 4 seconds of grace, deadlines beyond it and streams of 5 seconds
    When it is stopped while such streams run
    Then they go on for at least 3.4 seconds after the signal

  Scenario: connections of answers that are given after the signal
    Given an entry program with 4 seconds of grace
    When it is stopped while requests of 0.5 seconds run on kept connections
    Then each answer says that its connection closes

  Scenario: request behind one that was taken after the signal
    Given an entry program with 4 seconds of grace
    When it is stopped and a caller sends two requests at once on a kept connection
    Then no request has run without an answer

  Scenario: stops at seeded moments under mixed traffic
    When 12 entry programs with 4 seconds of grace are stopped at seeded moments of mixed traffic
    Then no request that ran is without an answer, and no refused one ran
    And no request is without an answer but those that crossed the close of their connection

  # Requests that arrived while a stopping entry got no processor time were reset unread when it closed its listener.
  Scenario Outline: requests that arrive while the entry gets no processor time
    Given an entry program with 4 seconds of grace
    When it is stopped and stands still from 1 to <end> seconds after the signal while requests arrive
    Then each of them has an answer

    Examples:
      | end |
      | 1.8 |
      | 2.5 |
      | 3.2 |

  Scenario: rolling restart of all entries
    Given 3 entry programs behind a load balancer
    When they are restarted one after the other under 30 callers
    Then each of them has ended with exit code 0
    And each request of the callers is served, at another entry where it was refused

  Scenario: refusal of a body that is being sent
    Given an entry program with 4 seconds of grace
    When it is stopped and 10 callers send long bodies and read nothing meanwhile
    Then each of them has received the refusal

  Scenario: registration of an entry that stops
    Given an entry on the platform with engines that answers
    When the entry is stopped with 8 seconds of grace
    Then it has not registered again

  Scenario: times of any planned stop
    Then the times of any planned stop are in order, and no request outlasts them
