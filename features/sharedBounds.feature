Feature: Bounds that all entries share

  Scenario: repeats of entries that die and are cut off
    Then in 200 histories all entries together repeat within the bound in any window

  Scenario: cold engine and entries that die and are cut off
    Then in 200 histories all entries together send a cold engine what it bears in any second

  Scenario: removed keys and calls that are slow, lost or late
    Then in 200 histories no entry honours a key later than the bound after its removal

  # A reload from a replica, events that repeat what a list already held and events that arrive one by
  # one hand an entry an older configuration after a newer one: it must not come into force.
  Scenario: configuration and lists that are no snapshot
    Then in 200 histories no entry's configuration goes back
    And in 200 histories with old responses no entry's configuration goes back
