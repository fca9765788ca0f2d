Feature: Responses with statuses that HTTP does not define

  # Guards against callers that get an answer of an engine in trouble whose status is no final one of HTTP, such as 000 or
  # 700: they can't tell what it means, and another engine might have answered.
  Scenario Outline: engine that answers <status> to <route>
    Given an entry on the platform with an engine that answers with status <status>
    When a caller sends a request to <route>
    Then it gets 502 without the engine's signature

    Examples:
      | status | route  |
      | 000    | safe   |
      | 000    | unsafe |
      | 000    | stream |
      | 000    | single |
      | 099    | unsafe |
      | 101    | unsafe |
      | 600    | safe   |
      | 600    | unsafe |
      | 600    | stream |
      | 600    | single |
      | 700    | unsafe |
      | 999    | unsafe |
      | 999    | single |

  Scenario Outline: another engine that answers <route>
    Given an entry on the platform with an engine that answers with status <status>, and a sound one
    When 8 callers send requests to <route>
    Then each gets the whole answer of the sound engine

    Examples:
      | status | route  |
      | 000    | safe   |
      | 000    | stream |
      | 700    | safe   |
      | 700    | stream |

  # Guards against an error of the next engine within a stream that another has begun.
  Scenario Outline: begun stream whose next engine answers <status>
    Given an entry on the platform with an engine that breaks streams off and then answers with status <status>
    When a caller sends a request to stream
    Then its stream is cut, and has nothing but events

    Examples:
      | status |
      | 000    |
      | 700    |

  # Interim responses put off the end of a request as long as they come.
  Scenario Outline: interim responses without end to <route>
    Given an entry on the platform with an engine that sends interim responses, one in 5 ms
    When a caller sends a request to <route>
    Then it gets a failure

    Examples:
      | route  |
      | safe   |
      | unsafe |
      | single |

  Scenario Outline: <reader>
    When <reader> reads responses with statuses that are no final ones
    Then it has none of them for an answer

    Examples:
      | reader                          |
      | an entry                        |
      | the client of plain services    |
      | a stream of the HTTP client     |
      | the client of weights           |
      | the client of the store         |
      | the client of the origin        |
      | the client of an engine         |
      | the client of other agents      |
      | the client of other entries     |

  # Guards against an agent that stages other weights although the engine may still accept its order.
  Scenario: order of an agent
    When an engine answers an order with each of these statuses
    Then none of them counts as a refusal of the order

  # Guards against an entry that sends a caller a status which an agent, or a stored answer, states.
  Scenario: answers that agents pass on
    When agents pass on answers of plain services with odd statuses
    Then an entry takes only those with a final status
