Feature: Store that comes back from an older copy

  # Guards against entries that read from others and never learn what has a revision that was given out before.
  Scenario: key taken away after the store lost three configurations
    Given 5 entries behind a link that is narrow for them
    And 3 configurations are in force that a copy of the store does not have
    When the store comes back from the copy and gets the last configuration again
    And 2 seconds have passed
    And operators take the key of the region away
    Then 2 seconds later no entry runs a request with that key

  # Guards against a watch that goes on in a restored store, which gives its revision out again: it misses what came before.
  Scenario: configuration at a revision that is given out again
    Given 5 entries behind a link that is narrow for them
    And 2 configurations are in force that a copy of the store does not have
    When the store comes back from the copy and gets 2 newer configurations at once
    Then all entries have the newest one within 2 seconds

  # Guards against an entry that goes on to renew a lease whose number a restored store has given to another entry.
  Scenario: registrations that the store has lost
    Given 3 entries behind a link that is narrow for them
    When the store comes back from a copy without the registrations of entries, and knows each lease
    Then all 3 entries are registered again within 5 seconds

  # Guards against what an older copy of the store takes back for a moment: drains, evacuations and registrations.
  Scenario Outline: <what> that the store has lost
    Given an entry's watcher of a store with <what>
    When the store comes back from a copy without it at 5000 ms and gets it again at 6500 ms
    Then it was in force until 10000 ms

    Examples:
      | what                   |
      | an endpoint            |
      | a draining endpoint    |
      | an evacuation          |

  # Guards against keeping what an older copy of the store does not have, and does not get again.
  Scenario Outline: <what> that the store has lost for good
    Given an entry's watcher of a store with <what>
    When the store comes back from a copy without it at 5000 ms
    Then it was in force until 6900 ms
    And it is no longer in force at 8500 ms

    Examples:
      | what                   |
      | an endpoint            |
      | a draining endpoint    |
      | an evacuation          |
