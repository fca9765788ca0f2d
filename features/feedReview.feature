Feature: Feeds between entries under review

  # Guards against entries that all read the store because their sources are still receiving a configuration.
  Scenario: transfer that takes longer than a proof may be old
    Given 6 entries behind a link that is narrow for them
    When 3 configurations with 4000 more routes are written 1.6 seconds apart
    And 12 seconds have passed
    Then the link has carried at most 2 copies of each

  # Guards against a read of the store by each entry of a region whose sources have stopped.
  Scenario: sources that stop
    Given 8 entries behind a link that is narrow for them
    When the entries that read the store stop and a configuration with 1680 more routes is written
    And 4 seconds have passed
    Then the link has carried at most 2 copies of each

  # Guards against a copy of the whole content for each entry of a region whose entries start together.
  Scenario: entries that start together
    Given 6 entries behind a link that is narrow for them
    When a configuration with 1680 more routes is in force and all entries start anew
    And 8 seconds have passed
    Then the link has carried at most 2 copies of each

  # Guards against a mirror that passes on an older snapshot under a newer revision: its followers miss changes.
  Scenario: snapshot that is older than the mirror
    Given a mirror with the configuration of revision 20
    When it gets a snapshot of revision 10
    Then a follower with the snapshot gets the change of revision 20 when the mirror does

  # Guards against versions that count as named when a slow response ended, not when it may have begun.
  Scenario: version in a response that arrives slowly
    Given a store whose watch takes 6 seconds to send a named version
    When an entry watches it
    Then the version counts as named no later than 1 second after the call began

  # Guards against a version that is named within a pause between two calls and counts as named after it.
  Scenario Outline: version that is named within a pause
    Given a store that responds within <ms> ms and gets a version right after its first change
    When an entry watches it
    Then the version counts as named no later than it was

    Examples:
      | ms  |
      | 5   |
      | 40  |
      | 200 |

