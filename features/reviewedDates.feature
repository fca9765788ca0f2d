Feature: Dates of retirements under review

  # Guards against requests that wait at an engine that stands still until its bound is over, as an entry counts the bound
  # from the moment at which it learns of the change, though it knows how old the change may be.
  Scenario Outline: endpoint that <event>, known late
    Given an endpoint that has shown no sign of life
    When an entry learns 100 ms before the bound that it <event>
    Then requests that wait there may not start after the bound

    Examples:
      | event                    |
      | is registered as drained |
      | is evacuated             |
      | is no longer registered  |

  # Guards against requests that start at a drained engine after its bound, as its data centre is evacuated meanwhile.
  Scenario Outline: endpoint that <event>, and is evacuated after
    Given an endpoint that has shown no sign of life
    When it <event>, and is evacuated 500 ms after
    Then requests that wait there may not start after the bound

    Examples:
      | event                    |
      | is registered as drained |
      | is no longer registered  |

  # Guards against withdrawals at an endpoint that is only evacuated, long before the bound.
  Scenario: endpoint that is evacuated
    Given an endpoint that has shown no sign of life
    When it is evacuated, and is evacuated 500 ms after
    Then requests that wait there may start until 1500 ms before the bound
