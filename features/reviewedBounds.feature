Feature: Bounds of time in review

  # Guards against a request that waits at an instance that stands still and reaches the engine after its time is over.
  Scenario Outline: request at an engine that stands still
    Given an entry and an engine on version 1
    When a <kind> request is sent to the engine, which stands still until its time is over, and <event>
    Then the engine begins nothing as it wakes

    Examples:
      | kind   | event                        |
      | unsafe | its data centre is evacuated |
      | stream | its data centre is evacuated |
      | unsafe | it is registered as draining |
      | stream | it is registered as draining |
      | unsafe | its registration ends        |
      | stream | its registration ends        |

  # Guards against a load of a staged piece that has turned bad since it was checked, long before the order.
  Scenario Outline: piece that turns bad before the order to load it
    Given an agent beside an engine that <cause>, and whose first piece turns bad once it was read
    When the agent is told that version 1 is wanted
    Then no piece had been bad for more than 3 s when the load was ordered

    Examples:
      | cause                         |
      | stages pieces slowly          |
      | stands still before the order |

  # Guards against agents that all load a version early, as one entry's time of day was set ahead.
  Scenario: time of day of one entry that is set ahead
    Given an entry and an engine on version 1
    And an agent that gets the updates of the entry
    When version 2 is named and the time of day of the entry is set 3000 ms ahead 1000 ms after
    Then the agent is told that version 2 was named at most 1700 ms before it was

  # Guards against agents that all load a version early, as an entry that has just started takes it for an older one.
  Scenario: version that is named before another entry starts
    Given an entry and an engine on version 1
    And an agent that gets the updates of the entry
    When version 2 is named and another entry starts 200 ms after
    Then the agent is told that version 2 was named at most 1700 ms before it was
    And the agent takes version 1 for outdated from at most 1700 ms before it was, and not later

  # Guards against agents that act on what an entry guesses though others know it, or on no date at all.
  Scenario Outline: date of a version from entries that <know>
    Given an agent beside an engine on version 1
    When entries tell it that version 2 was named <dates> ms ago, the guessed part after a plus
    Then the agent takes version 1 for outdated since <ms> ms

    Examples:
      | know             | dates               | ms   |
      | all know it      | 1200, 1000          | 1200 |
      | guess or know it | 1000+5500, 1200     | 1200 |
      | know or guess it | 1200, 1000+5500     | 1200 |
      | all guess it     | 100+5500, 1000+5500 | 6500 |

  # Guards against an endpoint that rests although it is sound, as this entry itself has held requests back.
  Scenario: requests that are not sent as the version of their engine is over
    Given an entry and an engine on version 1
    When version 2 is named, 4 requests are placed 500 ms after and the entry stands still for 2300 ms
    And the engine has loaded version 2
    Then the engine is not at rest

  # Guards against a request that is sent to an endpoint whose registration ended after the placement.
  Scenario Outline: placed request whose endpoint <event>
    Given a request that was placed on an endpoint
    When the endpoint <event>
    Then the request may not be sent to it

    Examples:
      | event                    |
      | is no longer registered  |
      | has started again        |
      | is registered as drained |
      | is evacuated             |

  # Guards against an endpoint that is used after its registration has ended, as another entry was cut off from the store.
  Scenario Outline: registration that ends after its source was <contact> the store
    Given an entry's watcher of a source that has always had recent content
    When a registration ends after the source was <contact> the store
    Then the registration has ended for the entry within 1000 ms

    Examples:
      | contact       |
      | cut off from  |
      | in touch with |
