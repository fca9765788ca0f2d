Feature: Histories of concurrent requests

  Scenario: histories with faults
    When 60 random histories run with kills, freezes, cuts and lost answers
    Then none runs a request twice, calls one that ran not run, or loses or crosses an answer

  Scenario Outline: planted faults
    When histories run with the planted fault <fault>
    Then the checker finds <finding>

    Examples:
      | fault           | finding       |
      | storeOverwrites | mostRuns      |
      | endpointLies    | falseNotRun   |
      | answersCross    | lostOrCrossed |
