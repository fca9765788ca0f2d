Feature: Calls between own processes

  Scenario: wrong secret
    Given a fleet for secrets
    When a process with another secret calls an agent
    Then the call is refused as not run and counted

  Scenario: key change without a stop
    Given a fleet for secrets
    When all processes take a new secret beside the old and then the new one alone
    Then requests were answered whole all the time and the old secret is refused
