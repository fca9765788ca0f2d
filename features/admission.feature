Feature: Admission

  Scenario: cold limit over restarts
    Then over seeded histories of restarts with broken connections no cold endpoint gets too much

  Scenario: silent replacement
    Then over seeded histories of silent replacements the work under way stays within the limit

  Scenario: limit grows with success
    When 2000 units succeed at an endpoint that bears 64 and 2 while cold
    Then its admission limit is 64

  Scenario: idle endpoint
    When 2000 units succeed at an endpoint that bears 64 and 2 while cold
    And the endpoint is idle for 10 seconds
    Then its admission limit is 2

  Scenario: latency jump
    Then a lasting jump of first-token latency is a cold sign and a short one is not

  Scenario: late reports after a restart
    Then a report of the time before a restart does not raise the limit

  Scenario: burst after an unnoticed restart
    Then a burst after an unnoticed restart brings no more than the cold limit

  Scenario: lost idle connection
    Then a connection that an idle engine closes is noticed

  Scenario: cold endpoint behind two entries
    Given a busy fleet whose engine bears 4 units while cold and restarts
    Then the engine never got more than it bears while cold and no answer was cut silently
