Feature: Weights from known holders

  Scenario Outline: the origin may go away
    When 19 empty members fetch a version and the origin is <origin>
    Then all pieces have left the origin within <bound> times their time on its link
    And at most <copies> copies left it and everyone is complete within <seconds> s

    Examples:
      | origin               | bound | copies | seconds |
      | up                   | 1.25  | 1.05   | 5       |
      | away after 1600 ms   | 1.25  | 1.05   | 5       |
      | away for 400 to 3000 | 3.6   | 1.4    | 7.5     |

  Scenario: a newer version is named
    Then a version that lacks little is finished and one that would hardly serve is given up
