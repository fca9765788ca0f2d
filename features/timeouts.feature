Feature: Timeouts

  Scenario: timeout beside an owner's signal
    Then 50 signals with a timeout of 200 ms and an owner fire although memory is collected

  Scenario: call to an engine that is silent
    Given a server that takes connections and never answers
    Then a call to it as an engine fails within 4 seconds although memory is collected

  Scenario: watch of an engine that is silent
    Given a server that takes connections and never answers
    Then the watch of it as an engine ends a question within 2 seconds although memory is collected

  Scenario: call to a store that is silent
    Given a server that takes connections and never answers
    Then a call to it as the store fails within 3 seconds although memory is collected

  # Guards against a refusal, which says that a request has not run, after an earlier attempt was sent.
  Scenario Outline: deadline while the second attempt of a <kind> request connects
    Given an entry with an engine that gives no answer and one that accepts no connections
    When 8 <kind> requests with a deadline of <ms> ms are sent
    Then some of them have run, and none of these is refused

    Examples:
      | kind   | ms    |
      | safe   | 500   |
      | stream | 1100 |

  # Guards against requests that an entry without processor time sends on although their callers have left: it reads
  # a request before the end of its connection, which has arrived too.
  Scenario Outline: <kind> request that arrives together with the end of its connection
    Given an entry with an engine that answers at once
    When 8 <kind> requests arrive together with the ends of their connections
    Then none of them reaches the engine

    Examples:
      | kind   |
      | safe   |
      | unsafe |
      | stream |
