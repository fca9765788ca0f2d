Feature: Proof

  Scenario: rows name what exists
    When docs/PROOF.md is read
    Then each row names existing files, tests and benches and a known state

  Scenario: proved rows have a test that failed first
    When docs/PROOF.md is read
    Then each proved row has a test and says on what it failed first

  Scenario: all points are there
    When docs/PROOF.md is read
    Then all nine points of the users' brief have a row

  Scenario: mutations fit
    When the mutations are read
    Then each fits the built code and names an existing test
