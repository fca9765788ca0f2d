Feature: Entries that read the store's content from each other

  Scenario Outline: number of readers
    Then of <entries> entries of one of <regions> regions <readers> read the store themselves

    Examples:
      | entries | regions | readers |
      | 1       | 3       | 1       |
      | 2       | 3       | 2       |
      | 3       | 3       | 2       |
      | 12      | 3       | 2       |
      | 150     | 2       | 2       |
      | 20      | 4       | 1       |
      | 20      | 5       | 1       |
      | 20      | 12      | 1       |

  Scenario: reader that failed
    Then the next entry takes the place of a reader that failed, for 5 seconds

  # Guards against entries that wait for a change at a reader that is gone, silent or cut off from the store.
  Scenario Outline: readers of a region
    Given 6 entries behind a link that is narrow for them
    When the readers <fault>
    And 1 configurations with 1680 more routes are written 0 seconds apart
    Then each is in force at the other entries within 3 seconds
    And the other entries answer requests with a key for 6 seconds

    Examples:
      | fault                   |
      | are killed              |
      | fall silent             |
      | are cut from the store  |

  # With many regions one entry of each reads the store, so no other reader is ready when it fails.
  Scenario Outline: only reader of a region
    Given 6 entries behind a link that is narrow for them, in a fleet of 5 regions
    When the readers <fault>
    And 1 configurations with 1680 more routes are written 0 seconds apart
    Then each is in force at the other entries within 3 seconds
    And the other entries answer requests with a key for 6 seconds

    Examples:
      | fault                        |
      | are killed                   |
      | fall silent                  |
      | are cut from the store       |
      | are turned away by the store |

  # Guards against entries that follow a reader whose calls the store refuses: a refusal counted as progress.
  Scenario Outline: readers that the store turns away
    Given 6 entries behind a link that is narrow for them
    When the readers <fault>
    And 1 configurations with 1680 more routes are written 0 seconds apart
    Then each is in force at the other entries within 3 seconds
    And the other entries answer requests with a key for 6 seconds

    Examples:
      | fault                         |
      | are turned away by the store  |
      | are turned away, one of them  |

  # Guards against a proof that is passed on as newer than the call to the store that gave it.
  Scenario: key that was taken away while readers are cut from the store
    Given 6 entries behind a link that is narrow for them
    When all entries are cut from the store
    And operators take the key of the region away
    And 5 seconds have passed
    Then no request with that key is run

  Scenario: proof of a mirror
    Given a mirror that the store confirmed in a call at 1000 ms
    Then a follower that calls at 900 ms learns a proof of 0 ms before its call
    And a follower that calls at 3000 ms learns a proof of 2000 ms before its call

  Scenario: removals that a mirror can not know
    Given a mirror that took a snapshot at revision 50
    When a key is removed at revision 60
    Then a follower of revision 55 learns of the removal
    And a follower of revision 40 has to take a snapshot, without the key
