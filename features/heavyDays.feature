Feature: Heavy days

  Scenario: more is asked than the engines can do
    When 6 engines are asked for a third more than they can do
    Then the product's way has more in time than first-come and than a bare cap with each seed

  Scenario: engines have just enough room
    When 9 engines are asked for nearly all that they can do
    Then the product's way has more in time than first-come and than a bare cap with each seed

  Scenario: short goals beside long ones
    Then requests whose like are served less often than all get the lead back

  Scenario: targets under overload
    When 6 engines are asked for a third more than they can do
    Then 0.9 of the best that knows all sizes is in time
    And workspaces, kinds and the largest tenth are served at least 0.95 times as often as all
