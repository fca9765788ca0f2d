Feature: Answers to other requests

  # A copy of an earlier answer, or refusal, before the answer to the waiting request must not cost that
  # request its own answer, nor be taken for it.
  Scenario Outline: earlier responses written again
    Given an entry with an engine that writes earlier <responses>, framed by <framing>, again
    When 60 requests are sent to <route> one after the other
    Then at least 0.97 of those that the engine ran have their own answers
    And no caller has an answer that is not its own
    And no request ran twice, and none whose caller was told that it was not run

    Examples:
      | responses | framing  | route  |
      | answers   | a length | unsafe |
      | answers   | chunks   | unsafe |
      | answers   | a length | safe   |
      | refusals  | a length | unsafe |
      | refusals  | chunks   | unsafe |
      | refusals  | a length | single |

  # A connection on which a response to another request was dropped may bring more of them.
  Scenario Outline: connection after a dropped response
    When an endpoint writes a response to another request, framed by <framing>, before each second answer
    Then each request has its own answer and none is sent on a connection with such a response

    Examples:
      | framing      |
      | a length     |
      | chunks       |
      | no content   |
      | refusal      |
      | a large body |

  # Bytes of which nothing proves where they end must not be read over: what follows may be a part of them.
  Scenario Outline: responses whose ends are not proven
    When an endpoint writes <response> before the answer to the second request on a connection
    Then that request fails as <fault> and its connection is closed

    Examples:
      | response                                   | fault   |
      | a response without a frame                 | crossed |
      | a response without an id                   | crossed |
      | a response with two ids                    | crossed |
      | a response with the own id and another     | crossed |
      | a response with two lengths                | broken  |
      | a response with a length and chunks        | broken  |
      | a response whose length is too small       | crossed |
      | a response whose length is a little long   | crossed |
      | a response whose length spans the answer   | crossed |
      | a response without the body that it states | crossed |
      | a response with invalid chunks             | crossed |
      | a response with an extension of a chunk    | crossed |
      | a response with trailers                   | crossed |
      | a response without content by its status   | crossed |
      | a response of an older version             | crossed |
      | a response that is too large               | crossed |
      | chunks that are too large                  | crossed |
      | two responses                              | crossed |
      | a response and one without an id           | crossed |
      | a response and a refusal without an id     | crossed |
      | a refusal that runs into the answer's head | crossed |

  Scenario: copies split at each byte
    When copies before an answer are split at each byte
    Then each request has its own answer

  # No stream of bytes may give a caller a byte of another response, or a refusal that is not its own.
  Scenario: generated streams of responses
    When 1500 generated streams of responses are read by the second request on a connection
    Then no caller has a byte that is not its own, nor a refusal
    And each caller whose answer follows one response with a proven end has it
