Feature: Answers and connections under review

  # A connection is reused after a refusal. A duplicate of that refusal without a request id that
  # arrives late must not be matched to the next request: its retry would then run twice.
  Scenario: second refusal that comes late without an id
    When an endpoint refuses a request twice without an id, the second time late
    Then the next request is not taken for refused

  # A call aborted while its connection is being opened must free its place in the pool; leaked
  # places would make the endpoint look full forever.
  Scenario: call that is given up while it connects
    When calls are given up while their connections are opened
    Then the endpoint has room again

  # An interim (1xx) response before the final response on a reused connection must not cause the
  # final response to be matched to another request.
  Scenario: interim answer on a used connection
    When an endpoint sends an interim answer to the second request on a connection
    Then that request has its own answer

  # An endpoint that half-closes within a response and stops reading must not leave the call waiting
  # for its request body to be written.
  Scenario: endpoint that ends its side and reads no more
    When an endpoint ends its side within an answer and leaves a long request unread
    Then the call ends as a fault in a second

  # If the engine closes the connection after the head and before the first event, the caller must
  # not receive an empty stream that looks complete.
  Scenario: stream that ends before its first event
    Given an engine that heads a stream without a length and closes its connection
    When its caller asks for a stream
    Then the caller gets no stream that looks whole

  # A shutdown must not truncate a response that a slow caller is still reading.
  Scenario: stop while a caller reads slowly
    Given an engine that answers with more than a connection holds
    When the entry stops while its caller has not read the answer
    Then it waits for that caller
