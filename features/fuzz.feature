Feature: Fuzzing

  Scenario: manifests
    When 2000 fuzzed manifests are checked
    Then each is accepted whole or refused as invalid input

  Scenario: stored configurations
    When 2000 fuzzed stored configurations are parsed
    Then each is parsed or refused as invalid input

  Scenario: caller requests
    Given a fleet to fuzz
    When an entry gets 400 fuzzed caller requests
    Then each is refused with a typed error body and the entry still serves

  Scenario: operator requests
    Given a fleet to fuzz
    When an entry gets 300 fuzzed operator requests
    Then each is refused with a typed error body and the entry still serves

  Scenario: internal bytes
    Given a fleet to fuzz
    When entry and agent get 200 connections of random bytes
    Then both processes live and the entry still serves
