Feature: Fault soak

  Scenario: all kinds of faults
    When the fault soak runs for 0.4 minutes with seed 7 and 5 processes
    Then it has served requests on every route and kept all promises
    And it has left no process behind

  Scenario Outline: wrong use
    When the fault soak is started with <arguments>
    Then the soak ends with exit code 2 and one line that names <name>
    And it has left no process behind

    Examples:
      | arguments           | name                |
      | --seed many         | --seed              |
      | --minutes 0         | --minutes           |
      | --processes 1000    | --processes         |
      | --faults flood      | flood               |
      | --length 3          | --length            |
      | --programs /nowhere | entry-1             |
