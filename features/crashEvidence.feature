Feature: Evidence of content that crashes endpoints

  Background:
    Given 20 requests with part calm were completed

  # Guards against the quarantine of a part that all requests share, as it is under way at each crash.
  Scenario: part that sound requests share
    Given 100 requests with part first were completed
    When endpoints crash 4 times 200 ms apart under first, bad and a part of their own
    Then requests with first and bad are refused
    And requests with first are not refused

  Scenario: parts that were never under way apart
    When endpoints crash 4 times 200 ms apart under first, bad and a part of their own
    Then requests with first and bad are refused
    And requests with first are not refused
    When endpoints crash 1 times 200 ms apart under other, bad and a part of their own
    Then requests with bad are refused

  # Guards against a quarantine after the loss of power of several instances.
  Scenario: endpoints that end at the same time
    When endpoints crash 6 times 5 ms apart under first, shared and a part of their own
    Then requests with first and shared are not refused

  Scenario: connections that are lost
    When endpoints crash 6 times 200 ms apart under bad and respond again
    Then requests with bad are not refused

  Scenario: part that was served before
    Given 10 requests with part session were completed
    When endpoints crash 5 times 200 ms apart under session, and a part of their own
    Then requests with session are not refused
    When endpoints crash 1 times 200 ms apart under session, and a part of their own
    Then requests with session are refused

  # Guards against the quarantine of a part of all requests while no endpoint completes any.
  Scenario: outage of all endpoints from the start
    Given nothing was completed
    When endpoints crash 4 times 3000 ms apart under first, and a part of their own
    Then requests with first are not refused
    When 8 requests with part other are completed
    Then requests with first are refused

  # Guards against a part that was under way by chance at crashes that another part has caused.
  Scenario: cause that a later cause explains
    When endpoints crash 1 times 200 ms apart under chance, and a part of their own
    And endpoints crash 3 times 200 ms apart under chance, bad and a part of their own
    Then requests with chance are refused
    When endpoints crash 3 times 200 ms apart under bad, and a part of their own
    Then requests with bad are refused
    And requests with chance are not refused

  Scenario: quarantine that is contradicted
    Given 100 requests with part first were completed
    When another entry quarantines first after 4 crashes
    Then requests with first are not refused

  Scenario: quarantine that is released
    When endpoints crash 4 times 200 ms apart under session, and a part of their own
    And the quarantine of session after 4 crashes is released
    And another entry quarantines session after 4 crashes
    Then requests with session are not refused
    When another entry quarantines session after 5 crashes
    Then requests with session are refused

  # Guards against growth with the number of different parts, completed or under way at crashes.
  Scenario: parts that are all new
    When 60000 requests with new parts are completed and 2000 endpoints crash under 200 new parts each
    Then at most 256 crashes and 256 quarantines are remembered, in at most 8 MB of their own
    And a part that crashes endpoints is still found

  Scenario: random histories
    Then in 150 histories at most 3 bad requests are sent late and at most 0.05 of the sound ones are refused

  Scenario: random histories with outages of all endpoints
    Then in 150 histories with outages at most 3 bad requests are sent late and at most 0.05 of the sound ones are refused

  # Guards against more arrivals of one request that crashes a small service than are allowed after its third crash.
  Scenario: random histories of one request
    Then in 300 histories of one request that crashes endpoints at most 3 copies are sent late

  # Guards against the quarantine of a sound request that is under way when endpoints end for other reasons.
  Scenario: random histories of one sound request
    Then in 300 histories of one sound request it is not refused
