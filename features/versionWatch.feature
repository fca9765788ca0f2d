Feature: Watch of named versions

  # Guards against a new version that waits for the pause in which a reader of the store batches changes.
  Scenario Outline: version named within a pause
    Given a watcher that pauses after a change
    When a version is named 100 ms later at an entry that <role>
    Then the watcher has called the store again <when>

    Examples:
      | role               | when            |
      | reads the store    | at once         |
      | reads from another | after the pause |

  # Guards against a storm of calls to a store that is away.
  Scenario: store that is away
    When the store refuses the watch of named versions for 20 s
    Then it has been called 4 times
