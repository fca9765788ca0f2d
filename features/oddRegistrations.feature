Feature: Odd registrations

  # Guards against: odd registrations of another writer cost callers their requests, or end the entry.
  Scenario: entries beside odd registrations
    Given two entry programs and four engines
    When callers send 28 requests a second and another writer leaves odd registrations after 3 seconds
    Then all of these requests are served
    And both programs run and name each odd registration in a bounded line and a counter
    And an engine that comes later is sent requests

  # Guards against: numbers of a registration that no datagram can carry end the entry.
  Scenario: entry beside odd registrations of model engines
    Given an entry program, an engine and the configuration of a model
    When another writer leaves a registration of a model engine with an odd version of its weights
    Then the program runs and serves
