Feature: Competing classes

  # Guards against a queue in which requests that are held back delay or crowd out more urgent ones.
  Scenario Outline: callers of three priorities at 12 entries with their queues, <load>
    Given 12 entries, 9 engines and <rate> requests per second of the three classes of deployment A
    When they are simulated with and without adaptive admission, with each of 2 seeds
    Then no class is served less often than a less urgent one by more than 5 in 100
    And no class is on time less often than a less urgent one by more than 15 in 100
    And each class is served at least a quarter as often as all
    And the responses are worth at least as much as without it

    Examples:
      | load                                | rate |
      | a third more than there is room for | 121  |
      | twice as much                       | 200  |
      | less than there is room for         | 70   |
