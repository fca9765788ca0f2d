Feature: Time of day that is set

  # Guards against entries that refuse keys until the end of a wait for changes, although the store answers.
  Scenario Outline: proof of keys after the time of day was set <direction> <time>
    Given an entry that follows a store and has waited for a change for 500 ms
    When its time of day is set <direction> by <seconds> seconds
    Then it accepts keys within <ms> ms, with a request each 20 ms

    Examples:
      | direction | time      | seconds | ms |
      | ahead     | 2 seconds | 2       | 0  |
      | ahead     | an hour   | 3600    | 60 |
      | back      | 2 seconds | 2       | 0  |
      | back      | an hour   | 3600    | 0  |

  Scenario: proof of keys after a change and a step
    Given an entry that follows a store and has just got a change
    When its time of day is set ahead by 3600 seconds
    Then it accepts keys within 60 ms, with a request each 20 ms

  # Guards against interruptions that end each call to a silent store before its timeout.
  Scenario: time of day that is set while the store is silent
    Given an entry that follows a store and has waited for a change for 500 ms
    When the store falls silent
    And its time of day is set ahead by 3600 seconds
    Then it accepts no keys for 3000 ms, with a request each 20 ms
    And it has noticed that the store is away
    And at most 10 calls were begun since

  Scenario: store that keeps no proof
    Given an entry that follows a store and has waited for a change for 500 ms
    When the store falls silent
    And 6000 ms have passed
    And the store answers again
    Then it accepts keys within 1100 ms, with a request each 20 ms
