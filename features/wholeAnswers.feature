Feature: Whole answers

  # Guards against an answer that is cut by a reset and reaches its reader as whole.
  Scenario Outline: reset is no end
    When <reader> reads answers that are cut
    Then it takes none of them for whole

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

  # Guards against a process that ends because an answer ends while its reader has paused.
  Scenario Outline: end while the reader has paused
    When an endpoint ends an answer with <framing> by <ending> while its reader has paused
    Then the paused call ends as <outcome>

    Examples:
      | framing             | ending                   | outcome   |
      | a length            | all bytes                | whole     |
      | chunks              | all bytes                | whole     |
      | a length            | a close                  | whole     |
      | chunks before close | a close                  | whole     |
      | neither             | a close                  | whole     |
      | chunks before close | a close before the end   | truncated |
      | chunks before close | a reset before the end   | truncated |
      | neither             | a reset before the end   | truncated |

  # Guards against a whole answer without a body that is taken for a cut one.
  Scenario Outline: answers without a body
    When an entry asks by <method> and gets <status> without a length
    Then it has a whole answer with status <status>

    Examples:
      | method | status |
      | GET    | 204    |
      | GET    | 304    |
      | HEAD   | 200    |

  # Guards against an answer that goes to another request than its own.
  Scenario Outline: second answer that comes late
    When an endpoint answers twice, <how>, and the second time late
    Then the next request on the connection gets <outcome>

    Examples:
      | how             | outcome |
      | with its id     | crossed |
      | without its id  | crossed |

  Scenario: refusal without an id
    When an endpoint refuses the second request on a connection without an id
    Then that request has a refusal

  # Guards against a stream that is cut within an event and ends as whole.
  Scenario Outline: stream that is cut
    Given an entry on the platform with engines that <engines>
    When a caller sends a request to <route>
    Then its stream is <outcome>

    Examples:
      | engines                   | route  | outcome |
      | resetsStream              | single | cut     |
      | resetsStream, streams     | stream | whole   |
      | endsWithinEvent           | single | cut     |
      | endsWithinEvent, streams  | stream | whole   |
      | endsUnframed              | single | whole   |

  # Guards against a caller that can't tell a cut stream from a whole one.
  Scenario: caller that knows no chunks
    Given an entry on the platform with engines that streams
    Then a caller with HTTP/1.0 gets 505 for a stream and a whole answer otherwise

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

  Scenario: operator whose answer is cut
    When the answer to an operator's change is cut
    Then the operator is told that the change may have been accepted

  Scenario: explanation of a cut answer
    Given an entry on the platform with engines that resetsAnswer
    When a caller sends a request to unsafe
    Then it gets 502 and 1 runs of it were begun
    And the explanation of its id names fault="truncated".*framing="connection"
    And the metrics count attempts_truncated 1
