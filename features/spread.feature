Feature: Spread of configurations

  Scenario: few watchers
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    Then 6 entries watch the store
    And a change is in force everywhere within 2 seconds

  Scenario: killed watchers
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When the watchers of a data centre are killed
    Then a change is in force everywhere within 3 seconds
    And 6 entries watch the store after 5 seconds

  Scenario: frozen watchers
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When the watchers of a data centre freeze
    Then a change is in force everywhere within 3 seconds
    And the frozen entries take it within 2 seconds after they wake

  Scenario: watchers that cannot reach the store
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When the watchers of a data centre lose the store
    Then a change is in force everywhere within 3 seconds
    And 8 entries watch the store after 15 seconds

  Scenario: data centre cut off from the store
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When all entries of a data centre lose the store
    Then a change is in force everywhere within 3 seconds

  Scenario: the whole line of watchers dies
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When the first 6 entries of a data centre's order are killed
    Then 6 entries watch the store after 40 seconds

  Scenario: data centres cut off from each other
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When all data centres are cut off from each other
    Then a change is in force everywhere within 2 seconds

  Scenario: newcomer while the store is down
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When the store is down and an entry restarts
    Then it has the newest revision within 1 second

  Scenario: store restored to an older state
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When the store goes back by 2 revisions
    Then no process goes back and the store has the newest revision within 10 seconds

  Scenario: restart of the whole fleet
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When all entries restart at once
    Then the store gets at most 60 calls in 10 seconds and all entries have the newest revision

  Scenario: silent store
    Given a virtual fleet of 60 entries and 30 agents in 3 data centres
    When the store is down for 60 seconds
    Then at most 12 entries watch it and all have the newest revision 10 seconds after it is back

  Scenario: accepted changes last over faults of processes, store and network
    When 12 seeded spread histories run
    Then the spread histories show no fault and contain accepted changes

  Scenario: the spread check finds a planted fault
    When 4 seeded spread histories run on a store without compare-and-swap
    Then the spread histories show lost changes

  Scenario: the spread check finds a process that goes back
    When a history has revisions 1 3 2
    Then the spread check tells of 1 revert
