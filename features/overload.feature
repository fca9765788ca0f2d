Feature: Overload

  Scenario: retries while everything is refused
    Then the retries of 5000 refused requests stay within a tenth and the savings

  Scenario: retries of a small workspace
    Then a small workspace can retry while large ones have used up the overall budget

  Scenario: flood
    Given a fleet of two engines that bear 8 units each under a flood of two workspaces
    Then refusals are typed and true, small requests are answered and no engine got too much
