Feature: Misleading endpoints

  Scenario: endpoint that says it is well and errs on every request
    When an endpoint that reports that it answers errs on 5 requests in a row
    Then it is left alone and then tried by one request
    And one answer brings it back

  Scenario: endpoint that errs now and then
    Then over 2000 seeded requests of which 14 in 100 err an endpoint is never left alone

  Scenario: endpoint that goes down and up by turns
    When an endpoint fails three times in a row and then answers, three times
    Then it is left alone for 500, 2000 and 4000 ms
    And after 11 calm seconds for 500 ms again

  Scenario: endpoint that fails now and then
    When an endpoint fails twice in a row and then answers, three times
    Then it is left alone for 250, 250 and 250 ms

  Scenario: endpoint that starts anew by turns
    When an endpoint registers with a new start three times within 4 seconds
    Then it may be used at once after the first, and not for 2 seconds after the third
    And at once after a start that follows 11 calm seconds

  Scenario: endpoints that are started anew once
    When all of 40 endpoints register with a new start
    Then all of them may be used at once
