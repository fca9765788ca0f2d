Feature: Restart and loss of processes

  Scenario: withdrawal
    Given a fleet for restarts
    When an agent gets SIGTERM
    Then every entry knows that it leaves before it exits with 0

  Scenario: lost notice
    Given a fleet for restarts
    When an agent is killed
    Then it gets no new work within the timeout and every request is answered whole

  Scenario: leaving entry
    Given a fleet for restarts
    When an entry gets SIGTERM while it streams
    Then it is not ready, serves on, closes kept connections and exits with 0

  Scenario: frozen agent
    Given a fleet for restarts
    When an agent is stopped, its data centre is taken out and it goes on
    Then it refuses what waited for it as not run
