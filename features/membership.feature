Feature: Membership

  Scenario: late heartbeat
    Given a membership view of data centre north-a
    When member agent-1 sends heartbeat 5 as leaving
    And member agent-1 sends heartbeat 4 as alive
    Then member agent-1 is leaving

  Scenario: old incarnation
    Given a membership view of data centre north-a
    When member agent-1 sends heartbeat 1 of incarnation 7
    And member agent-1 sends heartbeat 9 of incarnation 6
    Then the answer names incarnation 7 and the record rests on heartbeat 1

  Scenario: silent member
    Given a membership view of data centre north-a
    When member agent-1 sends heartbeat 1 as alive
    Then member agent-1 is alive after 2000 ms, suspect after 2500 ms and gone after 3100 ms

  Scenario: news of a gone member return late
    Given a membership view of data centre north-a
    When member agent-1 sends heartbeat 3 as alive
    And member agent-1 is silent for 4000 ms
    And another entry tells of heartbeat 2 of member agent-1
    Then member agent-1 is gone

  Scenario: one observer is cut off
    Given two membership views that hear the same member
    When the first one no longer hears it
    Then the member is alive for both after they have compared

  Scenario: own pause
    Given a membership view of data centre north-a
    When member agent-1 sends heartbeat 1 as alive
    And the process of the view stands still for 60000 ms
    Then member agent-1 is alive

  Scenario: data centre cut off
    Given a membership view of data centre north-a
    When a member of south-a is known and south-a is silent for 11000 ms
    Then that member is left out until news of south-a come

  Scenario: random histories of records
    Then views agree after comparing, whatever was lost, repeated or late
    And no view takes a leaving member for alive again

  Scenario: observers of agents
    Then 760 agents spread evenly over the entries of their data centres
    And every entry is some other's partner and news reach all within 6 rounds

  Scenario: wall clock goes back over a restart
    Then a restarted member raises its incarnation and a replaced one takes no work

  Scenario: pause of a process
    Then a pause shows on either clock and a busy moment does not

  Scenario: return of a data centre
    Then its share of work grows from nothing to all within the ramp
