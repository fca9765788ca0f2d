Feature: Roll-out safety

  Scenario: corrupt chunks from the origin
    Given a roll-out fleet
    When the origin corrupts 3 chunks of version v2
    Then all engines of the roll-out serve v2 and refused chunks are counted

  Scenario: frozen agent
    Given a roll-out fleet
    When an agent is frozen while version v2 spreads
    Then the other engines serve v2
    And the frozen one serves v2 after it wakes up

  Scenario: store outage
    Given a roll-out fleet
    When the store is down while version v2 spreads
    Then the agents hold v2 but no engine switches
    And all engines serve v2 once the store is back

  Scenario: version that does not load
    Given a roll-out fleet
    When version v2 is rolled out that an engine cannot load
    Then the roll-out stops with a reason and all engines serve v1

  Scenario: engine that lost its weights
    Given a roll-out fleet
    When an engine crashes and the store is down
    Then it serves v1 again

  Scenario: engine that lost its weights three times
    Given a roll-out fleet
    When an engine crashes three times
    Then it serves v1 again

  Scenario: origin out of reach
    Given a roll-out fleet
    When an engine's agent is replaced while the origin is down
    Then the new agent fetches v1 from its peers
