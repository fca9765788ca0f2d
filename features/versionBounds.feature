Feature: Use of outdated versions

  # Guards against a request that waits in an engine's queue and begins there after its version's time is over.
  Scenario Outline: <kind> request that waits in the queue of an outdated engine
    Given an entry and an engine on version 1
    And requests wait 2500 ms in the queue of the engine
    When version 2 is named and a <kind> request is sent 1000 ms after
    Then the engine begins nothing after the time of version 1

    Examples:
      | kind   |
      | safe   |
      | unsafe |
      | stream |
      | single |

  # Guards against a request that reaches an engine as its instance wakes, after its version's time is over.
  Scenario Outline: <kind> request to an outdated engine whose instance stands still
    Given an entry and an engine on version 1
    When version 2 is named, the engine stands still from 1000 to 3500 ms after and a <kind> request is sent
    Then the engine begins nothing after the time of version 1

    Examples:
      | kind   |
      | safe   |
      | unsafe |
      | stream |
      | single |

  # Guards against an entry whose monotonic clock has stopped in a suspension and that uses an outdated version longer.
  Scenario Outline: entry that is suspended <moment> a version is named
    Given an entry and an engine on version 1
    When version 2 is named and the entry is suspended for 3000 ms <ms> ms after
    And a stream request is sent each 100 ms for 2500 ms
    Then the engine begins nothing after the time of version 1

    Examples:
      | moment | ms  |
      | after  | 300 |
      | while  | 0   |

  # Guards against an entry that alone is turned away by the store and dates a version by its own return.
  Scenario: version that is named while the store turns one entry away
    Given an entry and an engine on version 1
    And an agent that gets the updates of the entry
    And another entry
    And reports of what the agent knows
    When the store turns the entry away for 2500 ms, and version 2 is named 100 ms after it began to
    And a stream request is sent each 100 ms for 2500 ms
    Then the engine begins nothing after the time of version 1

  # Guards against a late date of a version that others know, and against an early one of theirs where the own is proven.
  Scenario Outline: outdated since <own> for an entry, since <reports> in reports
    Given an entry that takes version 1 for outdated since <own>
    When reports on the engine tell that it is since <reports>
    Then version 1 is outdated for the entry since <at>

    Examples:
      | own             | reports    | at    |
      | 2000 as a guess | 500        | 500   |
      | 2000 as a guess | 500, 900   | 500   |
      | 2000 as a guess | 2500       | 2000  |
      | 2000 as a guess | 500, never | 2000  |
      | 2000            | 500        | 2000  |
      | never           | 500        | 500   |
      | never           | never      | never |

  # Guards against a request that is sent late because its entry stood still after its placement.
  Scenario: entry that stands still before its connection is there
    Given an entry and an engine on version 1
    When version 2 is named, a stream request is placed 1900 ms after and the entry stands still for 1300 ms
    Then the engine begins nothing after the time of version 1

  # Guards against a version that counts as named later than it was, so that the one before it is used longer.
  Scenario Outline: version that is named <when>
    Given an entry's watcher of a store
    When version 2 is named <when>
    Then version 1 counts as outdated no later than it was

    Examples:
      | when                                        |
      | in a wait whose response is slow            |
      | in a wait whose response is lost            |
      | in a pause before a response that is lost   |
      | in a wait that ends without its history     |
      | and then version 3, in history that is lost |

  # Guards against a follower that dates a version by the next one, as its source keeps the last value of a key only.
  Scenario: versions that a follower reads as one
    Given an entry's watcher of another entry, from which it has read nothing for 3500 ms
    When version 2 is named at 1000 ms and version 3 at 3000 ms
    Then version 1 counts as outdated no later than it was
    And version 2 counts as outdated after 2500 ms

  # Guards against a date that is late by the time in which an entry finds out that its source stands still.
  Scenario: version that is named while the source of an entry stands still
    Given an entry among 3 whose source stands still
    When version 2 is named right after its call to the source
    Then version 1 counts as outdated no later than it was
