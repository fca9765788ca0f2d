Feature: Growth

  Scenario: a choice among endpoints with more entries
    When 40 endpoints are asked for room with 10, 100 and 700 entries
    Then the regions looked up are as many with 700 entries as with 10

  Scenario: a choice among endpoints with more entries that tell their loads
    When an endpoint with 10, 100 and 700 entries that told their loads is asked for room
    Then the loads read are as many with 700 entries as with 10

  Scenario: loads told are summed
    Then sums of loads told equal those of the loads that are fresh, for any history

  Scenario: a request is refused
    When a request is refused by a line with 700 endpoints
    Then each endpoint was asked for room once

  Scenario: room at one of many endpoints
    When 20 requests wait for 700 endpoints and one of them gets room
    Then each request was compared with that endpoint only, and one was placed

  # A slot that is freed at an endpoint after it has left the fleet must not receive a queued request.
  Scenario: room at an endpoint that is gone
    When one of 40 endpoints leaves while it runs a request, and the request ends
    Then no waiting request is placed there

  Scenario: a list with many endpoints
    When an entry reads a list with 700 endpoints
    Then its routing tables are built once

  Scenario: agents hear of weights from a few entries
    Then each of 5 agents hears each second from 4 of 10, 100 and 700 entries
    And an entry that leaves changes nothing for agents that it did not tell

  Scenario: reports to more entries
    Then an agent reports at most 600 times a second to 370 entries in two regions
    And as often as before to 34 entries in three

  Scenario: the same datagram to more receivers
    When the same is sent to 1 and to 11 other processes
    Then each receives it and it was encoded once for all

  Scenario: a store that always has changes
    When 7 and 38 entries follow a store with a change each 20 ms for 10 seconds
    Then each of the 7 calls it at most 45 times and each of the 38 at most 25 times

  # Senders that left must not be remembered for the life of the process, and forgetting them must not
  # let a late datagram or a duplicate through.
  Scenario: datagrams of senders that left
    When each of 2000 senders sends one datagram, one each 20 ms
    Then at most 400 of them are remembered
    And datagrams are accepted as if none were forgotten, for any history

  Scenario Outline: time in which changes of the store are batched
    Then <entries> entries batch changes for <window> ms where one must take effect within <deadline> ms

    Examples:
      | entries | deadline | window |
      | 7       | 1000     | 250    |
      | 7       | 2000     | 333    |
      | 38      | 2000     | 500    |
      | 38      | 3000     | 667    |
      | 15      | 4000     | 1000   |
      | 700     | 4000     | 1000   |

  # Guards against calls whose number grows with each change of an engine: the deadlines of the users' largest
  # fleet leave time for a longer batch.
  Scenario: a store that always has changes, and late deadlines
    When an entry among 99 with deadlines of 4 seconds follows a store with a change each 20 ms for 10 seconds
    Then it calls it at most 11 times
