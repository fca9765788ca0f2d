Feature: Whole answers

  # A connection reset within a response must surface as an error; no client may return the partial
  # body as complete.
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

  # A response that ends while its reader has paused the connection must not crash the process.
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

  # A response that has no body by definition must not be treated as truncated for lack of a length.
  Scenario Outline: answers without a body
    When an entry asks by <method> and gets <status> without a length
    Then it has a whole answer with status <status>

    Examples:
      | method | status |
      | GET    | 204    |
      | GET    | 304    |
      | HEAD   | 200    |

  # A late second response to a request must not be matched to the next request on the connection.
  Scenario Outline: second answer that comes late
    When an endpoint answers twice, <how>, and the second time late
    Then the next request on the connection gets <outcome>

    Examples:
      | how               | outcome       |
      | with its id       | its own answer |
      | twice with its id | crossed       |
      | without its id    | crossed       |

  Scenario: refusal without an id
    When an endpoint refuses the second request on a connection without an id
    Then that request has a refusal

  # A stream whose engine fails within an event must not end towards the caller as if complete, whatever its framing.
  Scenario Outline: stream that is cut
    Given an entry on the platform with engines that <engines>
    When a caller sends a request to <route>
    Then its stream is <outcome>

    Examples:
      | engines                         | route  | outcome |
      | resetsStream                    | single | cut     |
      | resetsStream, streams           | stream | whole   |
      | endsWithinEvent                 | single | cut     |
      | endsWithinEvent, streams        | stream | whole   |
      | endsChunksWithinEvent           | single | cut     |
      | endsChunksWithinEvent, streams  | stream | whole   |
      | endsLengthWithinEvent           | single | cut     |
      | endsLengthWithinEvent, streams  | stream | whole   |
      | endsUnframed                    | single | whole   |

  # An answer with neither a length nor chunks ends with its connection, also with one that was kept.
  Scenario Outline: answer without a length on a kept connection
    Given an entry on the platform with an engine that keeps a connection and then <ending>
    When a caller sends two requests to <route>
    Then the second has <status>, <outcome>, on the connection of the first

    Examples:
      | ending          | route  | status | outcome |
      | closesAnswer    | safe   | 200    | whole   |
      | closesAnswer    | unsafe | 200    | whole   |
      | resetsAnswer    | unsafe | 502    | whole   |
      | endsUnframed    | single | 200    | whole   |
      | resetsStream    | single | 200    | cut     |
      | endsWithinEvent | single | 200    | cut     |

  # A caller without chunked encoding (HTTP/1.0) couldn't tell a truncated stream from a complete one.
  Scenario: caller that knows no chunks
    Given an entry on the platform with engines that streams
    Then a caller with HTTP/1.0 gets 505 for a stream and a whole answer otherwise

  # When a caller disconnects within its request body, no endpoint may receive the partial request.
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
