Feature: Reviewed streams

  # Guards against runs that the entry ends itself although it may not send the stream again, and against
  # limits that hold for one attempt and are forgotten by the next.
  Scenario Outline: begun stream, <trouble>
    When a begun stream is left: <trouble>
    Then its callers get all events once each

    Examples:
      | trouble                                           |
      | its last endpoint is silent for a while           |
      | more endpoints are silent than the budget allows  |
      | the endpoint that it was moved from is free again |
      | the loss of its endpoints is known after 2 s      |
      | one endpoint breaks it off twice                  |

  # Guards against a begun stream that runs on more endpoints than its route allows.
  Scenario: begun stream whose endpoints lose their registration
    When a begun stream is left: its endpoints lose their registration only
    Then it has run on 2 running endpoints at most

  # Guards against new requests that are refused for begun ones although an endpoint is free.
  Scenario: new requests beside begun streams that wait for the budget
    When begun streams wait for the retry budget and new requests come
    Then the new requests are answered
