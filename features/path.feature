Feature: Whole path

  Scenario: streamed answer
    Given a small fleet
    When a caller streams a completion of 8 tokens
    Then the whole answer comes from the loaded weights

  Scenario: order placement
    Given a small fleet
    When a caller places an order
    Then the order ran once

  Scenario: roll-out
    Given a small fleet
    When version v2 is rolled out
    Then every engine serves v2 and the origin sent about one copy

  Scenario: graceful shutdown
    Given a small fleet
    When an agent gets SIGTERM while it streams
    Then the answer is whole and the agent exits with 0
