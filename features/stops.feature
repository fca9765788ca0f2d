Feature: Stop of an entry

  Scenario: stream that ends after the entry has closed idle connections
    Given an entry on the platform with engines that pauses
    When the entry stops and closes idle connections before a stream has ended
    Then the stream is whole
    And its connection takes no further request

  # A connection whose answer has been handed over and not yet sent must not be closed as idle.
  Scenario: answer that is read on after the entry has closed idle connections
    Given an engine that answers with more than a connection holds
    When the entry stops and its caller reads on after idle connections are closed
    Then the caller has 1 whole answer
    And the stop has waited for it

  # A request that arrives before its connection is closed must be answered once it has been run.
  Scenario: request behind an answer that is read slowly
    Given an engine that answers with more than a connection holds
    When the entry stops and its caller reads on and has sent a further request
    Then the caller has 2 whole answers
    And the stop has waited for it

  # Callers that never read must not hold up the stop beyond the shutdown time.
  Scenario: answer that is never read
    Given an engine that answers with more than a connection holds
    When the entry stops and its caller never reads
    Then the stop ends within the shutdown time

  Scenario: idle connections
    Given an entry on the platform with engines that pauses
    When the entry stops with an idle connection and one with half a request
    Then the idle connection is closed without an error
    And the half request is served when its rest arrives
