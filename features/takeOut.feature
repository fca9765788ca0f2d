Feature: Take-out of a data centre

  Scenario: no new work
    Given a fleet for take-out with a running answer in south-a
    When operators take out south-a
    Then the running answer ends whole
    And its entry is not ready but serves what still comes from north-a
    And its endpoints refuse an entry that does not know of it

  Scenario: return
    Given a fleet for take-out with a running answer in south-a
    When operators take out south-a
    And operators return south-a
    Then its entry is ready and its endpoints start with the cold limit
