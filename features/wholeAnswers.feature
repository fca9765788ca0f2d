Feature: Whole answers

  Scenario Outline: ends of all kinds
    When <reader> reads answers that end as they say
    Then it takes all of them for whole

    Examples:
      | reader                        |
      | an entry                      |
      | the client of plain services  |
      | a stream of the HTTP client   |
      | the client of weights         |
      | the client of the store       |
      | the client of the origin      |
      | the client of an engine       |
      | the client of other agents    |

  # Guards against a request that an endpoint gets with a part of its body.
  Scenario Outline: request that its caller cuts
    Given an entry on the platform with engines that answers
    When a caller sends half of a body <framing> and <ends>
    Then no engine gets a request

    Examples:
      | framing       | ends                |
      | with a length | closes              |
      | with a length | resets              |
      | in chunks     | closes              |
      | in chunks     | resets              |

  Scenario: explanation of a cut answer
    Given an entry on the platform with engines that resetsAnswer
    When a caller sends a request to unsafe
    Then it gets 502 and 1 runs of it were begun
    And the explanation of its id names fault="truncated".*framing="connection"
    And the metrics count attempts_truncated 1
