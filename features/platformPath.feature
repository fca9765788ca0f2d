Feature: Path on the platform

  Scenario Outline: outcomes
    Given an entry on the platform with engines that <engines>
    When a caller sends a request to <route>
    Then it gets <status> and <runs> runs of it were begun

    Examples:
      | engines          | route  | status | runs |
      | answers          | unsafe | 200    | 1    |
      | answers          | safe   | 200    | 1    |
      | breaks           | unsafe | 502    | 1    |
      | refuses          | unsafe | 503    | 0    |
      | breaks, answers  | safe   | 200    | any  |
      | answers, breaks  | safe   | 200    | any  |
      | hangs            | unsafe | 504    | 1    |
      | hangs, answers   | safe   | 200    | any  |
      | answers, hangs   | safe   | 200    | any  |

  Scenario: what an engine is told
    Given an entry on the platform with engines that answers
    When a caller sends a request to unsafe
    Then the engine learned the workspace and the time left and not the key

  # Guards against keys that reach an engine, as only a request with a workspace was rid of its key.
  Scenario Outline: key on a route
    Given an entry on the platform with engines that <engines>
    When a caller sends a request to <route> with its key in 3 ways of writing
    Then no engine has seen the key

    Examples:
      | engines       | route      |
      | answers       | safe       |
      | answers       | unsafe     |
      | answers       | open       |
      | breaks        | open       |
      | stops, stops  | openStream |
      | stops, stops  | stream     |

  Scenario: unknown keys and routes
    Given an entry on the platform with engines that answers
    Then a request with another key gets 401 and one to another path gets 404

  Scenario: keys while the store is away
    Given an entry on the platform with engines that answers
    When the store falls silent for 3 seconds
    Then a request with a key gets 503 and none was begun

  Scenario: key that was taken away
    Given an entry on the platform with engines that answers
    When operators take the key away
    Then a request with a key gets 401 within 1 second

  # The stream must take no longer than 2 s; on a busy machine, stalls of the test's process, which runs the
  # engines too, do not count.
  Scenario Outline: streams over faults
    Given an entry on the platform with engines that <engines>
    When a caller waits for a stream of <route>
    Then it gets events 1 to 12 once each

    Examples:
      | engines        | route         |
      | streams        | lasting       |
      | stops, streams | lasting       |
      | streams, stops | lasting       |
      | pauses         | lastingSingle |
      | pauses         | lasting       |

  Scenario: caller that leaves
    Given an entry on the platform with engines that hangs
    When a caller sends a request to safe and leaves after 200 ms
    Then the engine is rid of it within 500 ms

  Scenario: engine that leaves
    Given an entry on the platform with engines that answers, answers
    When the first engine says that it is draining
    Then only the second engine gets the next 20 requests

  Scenario: stop
    Given an entry on the platform with engines that pauses
    When the entry is stopped while a stream runs
    Then it gets events 1 to 12 once each
    And the entry said that it is not ready
