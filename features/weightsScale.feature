Feature: Weight transfer logic

  Scenario Outline: dying members and corrupt chunks
    Given a weight transfer to <instances> instances in virtual time with seed <seed>
    When it runs by the scheme trees
    Then every surviving instance is whole
    And the origin sent at most 1.15 copies and each remote region took at most 1.15
    And its time is at most 1.35 of the lower bound

    Examples:
      | instances | seed |
      | 48        | 1    |
      | 120       | 2    |
      | 120       | 3    |

  Scenario: schemes on the same work
    Given a weight transfer to 48 instances in virtual time with seed 1
    Then trees take less time than each other scheme

  Scenario: same seed, same outcome
    Given a weight transfer to 48 instances in virtual time with seed 7
    Then two runs have the same outcome
