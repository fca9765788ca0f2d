Feature: At most once

  Scenario: resent order
    Given a fleet with order desks
    When an order is sent again with its key through each entry
    Then the order ran once and each answer is the same

  Scenario: key with another body
    Given a fleet with order desks
    When the key of an order comes with another body
    Then the second order is refused with 422 as "key_reused" and "not run"

  Scenario: lost answer of an order
    Given a fleet with order desks
    When the answer of an order is lost and the order is sent again through each entry
    Then the order ran once and each answer says that it may have run

  Scenario: agent killed during an order
    Given a fleet with order desks
    When the agent is killed during an order and the order is sent again through each entry
    Then the order ran once and each answer says that it may have run

  Scenario: completion that may run once
    Given a fleet with order desks
    When a non-idempotent completion is sent again with its key through each entry
    Then the engines ran it once and each answer is the same

  Scenario: store outage
    Given a fleet with order desks
    When requests of each kind come while the store is down
    Then all but the order with a key are served and that did not run

  Scenario: lost store answers
    Given a fleet with order desks
    When 20 orders come twice while the store loses half of its answers
    Then no order ran twice and none that was called not run ran
