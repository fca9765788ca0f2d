Feature: Entries after a partition of their region

  # Guards against entries that wait for calls of before the end, or for a source that was cut off too.
  Scenario: short partition
    Given 6 entries behind a link that is narrow for them
    When the way to the store is silent for 2.4 seconds for all entries
    Then each entry accepts keys within 0.3 seconds of the end

  # Guards against proofs that are renewed late, and against a storm of calls to a store that is away.
  Scenario Outline: region whose way to the store <fault>
    Given 6 entries behind a link that is narrow for them
    When the way to the store <fault> for 7 seconds for all entries
    Then each entry accepts keys within 0.3 seconds of the end
    And readers have called the store at most 60 times, and others at most 5 times

    Examples:
      | fault               |
      | is silent           |
      | closes connections  |
      | refuses connections |

  # Guards against a reader that refuses keys although other entries of its region have a proof.
  Scenario: reader whose own way to the store is cut
    Given 6 entries behind a link that is narrow for them
    When the way to the store is silent for 7 seconds for one reader
    Then the reader had a proof of at most 2.5 seconds all the time

  # Guards against a registration that is renewed only with the next regular call after the store is back.
  Scenario: registration after an outage
    Given an entry that renews its registration at a store that is silent from 10 to 20.1 seconds
    When the entry learns at 20.2 seconds and each 0.6 seconds after that the store responds
    Then its registration is renewed by 21 seconds

  # Guards against a renewal that is ended by each response of the store to others, and never succeeds.
  Scenario: registration at a slow store
    Given an entry that renews its registration at a store that takes 0.8 seconds
    When the entry learns at 20.2 seconds and each 0.1 seconds after that the store responds
    Then its registration is renewed by 25 seconds
