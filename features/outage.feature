Feature: Outages and cuts

  Scenario: store down
    Given a fleet for outages
    When the store goes down
    Then requests are answered whole and a change is refused as not accepted

  Scenario: entry started while the store is down
    Given a fleet for outages
    When the store goes down
    And an entry starts anew
    Then it becomes ready with the configuration of its peers

  Scenario: one-way cut
    Given an agent that beats to an entry but cannot be reached from it
    Then it stays left out while it beats, and returns when a probe reaches it

  Scenario: cut off data centre
    Given an entry whose news of another data centre stop
    Then its own endpoints stay and the other's are left out until the cut heals
