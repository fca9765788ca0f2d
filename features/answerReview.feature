Feature: Answers and connections under review

  # Guards against a late second refusal that a request takes for its own, so that it runs twice.
  Scenario: second refusal that comes late without an id
    When an endpoint refuses a request twice without an id, the second time late
    Then the next request is not taken for refused

  # Guards against places of an endpoint that are never free again.
  Scenario: call that is given up while it connects
    When calls are given up while their connections are opened
    Then the endpoint has room again

  # Guards against an answer that is taken for another request's because of its interim answer.
  Scenario: interim answer on a used connection
    When an endpoint sends an interim answer to the second request on a connection
    Then that request has its own answer

  # Guards against a call that waits for an endpoint that has ended its side and reads no more.
  Scenario: endpoint that ends its side and reads no more
    When an endpoint ends its side within an answer and leaves a long request unread
    Then the call ends as a fault in a second

  # Guards against a stream whose engine ends before its first event and that ends as whole.
  Scenario: stream that ends before its first event
    Given an engine that heads a stream without a length and closes its connection
    When its caller asks for a stream
    Then the caller gets no stream that looks whole

  # Guards against an answer that a stop cuts while its caller still reads it.
  Scenario: stop while a caller reads slowly
    Given an engine that answers with more than a connection holds
    When the entry stops while its caller has not read the answer
    Then it waits for that caller
