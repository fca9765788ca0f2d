@alone
Feature: Streams in small pieces

  # Guards against an entry that runs out of memory because each event, or each chunk, of a stream costs objects and a write
  # of its own however small it is. The engine sends as fast as it is read.
  Scenario Outline: <callers>
    Given an entry program with 200 MB of memory and 600 descriptors
    When <connections> connections are held by <callers>
    Then the program runs within its memory and descriptors
    And an ordinary request is answered

    Examples:
      | connections | callers                                       |
      | 9           | streams of empty lines that are read          |
      | 9           | streams of empty lines read byte by byte      |
      | 9           | streams of empty lines left unread            |
      | 9           | streams of comments that are read             |
      | 9           | streams of small events that are read         |
      | 9           | streams of small events left unread           |
      | 9           | streams of small events in chunks of one byte |
      | 9           | streams of one event in chunks of one byte    |
      | 9           | streams of refusals in chunks of one byte     |
      | 9           | answers in chunks of one byte                 |

  # Guards against an agent that runs out of memory because it keeps each chunk of a body as a buffer of its own.
  Scenario Outline: body in chunks of one byte
    When a process with 100 MB of heap reads a body in chunks of one byte without end as <reader>
    Then the process has given up

    Examples:
      | reader                       |
      | the client of plain services |
      | the client of weights        |
      | the client of an engine      |
      | the client of the origin     |
      | the client of other agents   |

  # Guards against an agent that runs out of memory, and of connections, because it does not read what follows a refusal of
  # its engine: what waits in the client costs some hundred bytes for each chunk.
  Scenario: refusals in chunks of one byte
    When a process with 60 MB of heap reads a refusal in chunks of one byte without end as 30 calls of an engine
    Then the process goes on, and 0 connections are open

  # Guards against a reader that runs out of memory because it is slower than its peer.
  Scenario: streams that are read slowly
    When a process with 60 MB of heap reads tokens in chunks of one byte without end as 16 slow callers of an engine
    Then the process goes on, and 0 connections are open

  # Guards against a server that keeps each part of a request's body as a buffer of its own.
  Scenario: request that arrives byte by byte
    When a process with 60 MB of heap reads a request of 1000000 bytes that arrive one by one
    Then the process has all 1000000 bytes

  # Guards against an agent that keeps all tokens of an engine that does not stop at the number it was asked for.
  Scenario: more tokens than were asked for
    When a process with 60 MB of heap reads tokens without end as a run of an agent
    Then the process has given up

  # Guards against a heap that grows with the number of events which wait for a caller, whatever their bytes.
  Scenario: small events for a caller that reads slowly
    When a stream brings 1000 small events in one turn, and 1000 more in turns of their own, to a caller that takes nothing
    Then there is one write to the caller, and 2 when it has taken all
