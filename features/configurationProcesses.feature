Feature: Configuration over processes

  Scenario: frozen and killed watchers
    Given four entries without agents
    When one watcher freezes, the other is killed and a change is made
    Then the running entries take it, the frozen one after it wakes, and none goes back

  Scenario: entry started while the store is down
    Given four entries without agents
    When the store goes down and an entry is replaced
    Then the new entry has the configuration and a change is refused as not accepted
    And a change is accepted once the store is back

  Scenario: commands
    Given four entries without agents
    When an operator uses the commands
    Then dry run, conflicts, exceptions and the audit trail are shown readably and in JSON

  Scenario: roles and tokens
    Given four entries without agents
    When the configuration names operators and viewers
    Then each role may do only its part and a replaced token ends

  Scenario: rate of administration calls
    Given four entries without agents
    When an operator sends 150 changes at once
    Then some are refused as overloaded with the time to wait and reading still works
