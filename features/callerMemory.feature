Feature: Memory of callers

  # Guards against a stream that its engine cuts off because the entry stops reading for a slow caller.
  Scenario: stream whose caller reads slowly
    When a stream brings 900 KB, and 3000 KB in all, to a caller that takes nothing
    Then its engine is read after 900 KB, waits after 3000 KB, and is read when the caller has taken them

  # Guards against ordinary callers that are shed in place of those that hold much and make no progress.
  Scenario Outline: what is shed first
    Then of <holders> is shed <first>

    Examples: bytes/time without progress/workspace
      | holders                | first  |
      | 9/1/a 5/1/b            | 9/1/a  |
      | 5/1/a 5/9/b            | 5/9/b  |
      | 4/1/a 4/1/a 5/1/b      | 4/1/a  |
      | 0/99/a 1/0/b           | 1/0/b  |

  # Guards against small chunks, each of which is kept with some hundred bytes of its own.
  Scenario: body in small chunks
    Then a body of 100000 bytes in chunks of 1 to 70000 bytes is kept in at most 266000 bytes

  # Guards against responses and bodies that together hold more than the process may.
  Scenario: responses beside bodies
    Then responses find no more room than bodies of callers leave, and bodies are shed for them

  # Guards against ordinary callers that are shed because responses of endpoints take the budget.
  Scenario: callers beside responses
    Then of 100 callers with 100 bytes each as many keep a budget of 20000 bytes as responses leave them:
      | responses | callers |
      | 0         | 100     |
      | 9000      | 100     |
      | 13000     | 60      |
      | 20000     | 60      |
