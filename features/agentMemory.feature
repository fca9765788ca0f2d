Feature: Memory of an agent

  # Guards against agents that end by themselves, out of memory, again and again, as an answer of their engine comes in
  # chunks of one byte without end (review, case 8): each chunk was kept as a buffer of its own.
  Scenario Outline: <answer> without end
    Given an agent program with 40 MB of heap, whose engine sends its <answer> without end
    When the engine has been asked for it <times> times
    Then the agent program has not ended
    And it orders the version once the engine answers properly

    Examples:
      | answer                | times |
      | report                | 3     |
      | list of staged pieces | 1     |
      | staged piece          | 3     |
      | answer to a piece     | 3     |
      | answer to an order    | 3     |
