Feature: Answers without end

  # Bytes that arrived without end were buffered, or parsed, until the deadline of the request.
  Scenario Outline: bytes without end
    When <reader> reads <bytes> without end
    Then it gives up for their size, after at most <megabytes> MB were sent

    Examples:
      | reader                       | bytes                   | megabytes |
      | an entry                     | a status line           | 16        |
      | an entry                     | empty lines             | 16        |
      | an entry                     | interim answers         | 16        |
      | an entry                     | a header                | 16        |
      | an entry                     | spaces of a header      | 16        |
      | an entry                     | many headers            | 16        |
      | an entry                     | the size of a chunk     | 16        |
      | an entry                     | an extension of a chunk | 16        |
      | an entry                     | trailers of chunks      | 16        |
      | an entry                     | a body with a length    | 48        |
      | an entry                     | a body in chunks        | 48        |
      | an entry                     | a body until close      | 48        |
      | an entry                     | a refusal               | 48        |
      | the client of plain services | a body with a length    | 48        |
      | the client of plain services | a body in chunks        | 48        |
      | the client of plain services | a body until close      | 48        |
      | the client of weights        | a body with a length    | 48        |
      | the client of a model engine | one line                | 24        |
      | the client of an engine      | a body with a length    | 24        |
      | the client of an engine      | a body in chunks        | 24        |
      | the client of the origin     | a body with a length    | 24        |
      | the client of the origin     | a body in chunks        | 24        |
      | the client of other agents   | a body with a length    | 24        |
      | the client of other agents   | a body in chunks        | 24        |

  # Interim answers put off the timeout for the head again and again.
  Scenario: interim answers of a model engine
    When the client of a model engine reads interim answers without end
    Then it gives up

  Scenario Outline: what is no answer, or more than one
    When <reader> reads <bytes> without end
    Then it has <outcome>, after at most 16 MB were sent

    Examples:
      | reader   | bytes                        | outcome      |
      | an entry | garbage                      | broken       |
      | an entry | more after the answer        | whole answer |
      | an entry | empty lines after the answer | whole answer |

  Scenario: large proper answers
    Then an entry reads an answer of 30 MB whole, in one piece and in pieces of 7 bytes
    And an entry reads answers of 8191, 8192, 8193, 16384, 50000 chunks of one byte whole
    And a stream with an event of 4 MB, in pieces of any size, gives this event

  Scenario: memory for answers
    Then it is never exceeded by 1, 3 or 30 answers without end, and small answers find room beside them

  # A caller got 504 only at its deadline, and the entry held all that had come until then.
  Scenario Outline: request that may have run
    Given an entry on the platform with an engine that sends <bytes> without end
    When one caller sends a request to unsafe
    Then the caller gets 502
    And the engine got 1 request, which the entry gave up for its size

    Examples:
      | bytes                   |
      | a status line           |
      | interim answers         |
      | a header                |
      | an extension of a chunk |
      | a body with a length    |
      | a body in chunks        |
      | a body until close      |

  Scenario Outline: request that may be repeated
    Given an entry on the platform with an engine that sends <bytes> without end
    And another engine that answers
    When callers send requests to safe until the first engine got one
    Then all of them get a whole answer
    And the engine got 1 request, which the entry gave up for <bound>

    Examples:
      | bytes                | bound                |
      | a status line        | its size             |
      | a body with a length | its size or its time |
      | a body in chunks     | its size or its time |

  Scenario: stream with an event without end
    Given an entry on the platform with an engine that sends one event without end
    When one caller sends a request to single
    Then the stream is cut after event 2
    And the engine got 1 request, which the entry gave up for its size

  Scenario Outline: stream that can go on elsewhere
    Given an entry on the platform with an engine that sends <bytes> without end
    And another engine that streams
    When callers send requests to stream until the first engine got one
    Then all of them get events 1 to 12 once each
    And the engine got 1 request, which the entry gave up for <bound>

    Examples:
      | bytes               | bound                |
      | one event           | its size             |
      | one event in chunks | its size             |
      | a refusal           | its size or its time |

  Scenario: engine that sends without end again and again
    Given an entry on the platform with an engine that sends a body with a length without end
    And another engine that answers
    When callers send 40 requests to unsafe, 4 at a time
    Then each gets a whole answer or 502, and the first engine got at most 12 of them

  Scenario: memory of answers that were given up
    Given an entry on the platform with an engine that sends a body with a length without end
    When a caller leaves within such an answer, and two get 502
    And an engine with an answer of 30 MB takes its place
    Then a caller of unsafe gets this answer whole

  # Guards against an instance that runs out of memory, as each kind of route had a memory of its own for such answers.
  Scenario: memory of answers without end on routes of all kinds
    Given an entry on the platform with an engine that sends a body with a length without end
    And 5 more engines that send a body with a length without end
    When 8 callers of each kind of route send a request at the same moment
    Then the entry has held at least 32 MB of answers and at most 67
