Feature: Audit trail

  Scenario: who, when, why, from, to and outcome
    Given two configuration editors
    When ann changes the defaults and ben a token
    Then the audit trail tells both changes without hashes

  Scenario: older records stand under keys of their own
    Given two configuration editors
    When 200 changes are made
    Then the audit trail has all 200 in order and the document holds fewer than 40

  Scenario: an older page that is out of reach
    Given two configuration editors
    When 100 changes are made and an older page is lost
    Then the audit trail says that it is not complete
