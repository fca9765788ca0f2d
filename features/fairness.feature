Feature: Fairness

  Scenario: small workspace beside two floods
    Then a small workspace waits at most 5 ms while two large ones flood with long requests

  Scenario: weights
    Then two flooding workspaces of weights 3 and 1 are served 3 to 1

  Scenario: large request
    Then a request above the limit runs although small ones keep coming

  Scenario: shedding
    Then a full queue sheds the newest request of the heaviest workspace

  Scenario: settled with real work
    Then a workspace that asks for more than it takes is not served less

  Scenario: refusal without a wait
    Then an agent's gate refuses a hopeless wait at once with a retry-after

  # Failure: a request that would start next was refused, as its own work counted as its wait.
  Scenario: next to start at a slow endpoint
    Then a workspace's only request waits at a slow endpoint and one behind others is refused

  Scenario: full queue at the gate
    Then a lighter workspace takes the place of a heavier one's newest waiter
