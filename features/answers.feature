Feature: Whole answers

  Scenario: silent connection
    Given a fleet with relays that streams slowly
    When the connection goes silent while an answer streams
    Then the answer is whole and the engines ran it once

  Scenario: cut connection
    Given a fleet with relays that streams slowly
    When the connection is cut while an answer streams
    Then the answer is whole and the engines ran it once

  Scenario: dead engine
    Given a fleet with relays that streams slowly
    When the engine dies while an answer streams
    Then the answer is whole and another engine went on with it

  Scenario: no engine left
    Given a fleet with relays that streams slowly
    When all engines die while an answer streams
    Then the answer ends with a typed error and without its end mark

  Scenario: caller gone
    Given a fleet with relays that streams slowly
    When the caller goes while an answer streams
    Then no engine runs anything soon after

  Scenario: late, doubled and crossed frames
    When 500 answers come with late, doubled and crossed frames
    Then each answer is whole and its own
    And an assembly that takes every frame is caught
