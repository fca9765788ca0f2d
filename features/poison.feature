Feature: Requests that crash endpoints

  Scenario: crashing request among others
    Given a fleet with four engines
    When a request that crashes engines comes among others
    Then it is refused with 422 after at most 2 lost engines and the others are whole

  Scenario: resent crashing request
    Given a fleet with four engines
    When a request that crashes engines is sent again through each entry
    Then the copies are refused with 422 and no more engines are lost

  Scenario: lifted conviction
    Given a fleet with four engines
    When an operator lifts the conviction of a request that crashes engines
    Then no entry lists the conviction soon after

  Scenario: verdicts of two entries
    When 300 seeded orders of deaths and messages reach two verdict books
    Then both books agree and no request that only ran beside others is convicted
    And a book that convicts on deaths beside others is caught
