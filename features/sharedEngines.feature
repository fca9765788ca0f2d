Feature: Engines that several entries fill

  # Guards against all waiting requests being sent to the endpoint that reports free slots first: each was placed before
  # the one before it was counted.
  Scenario Outline: requests that wait for the same endpoint
    Given 20 requests wait at an entry <where>
    When an engine with 16 slots reports that 10 are taken
    Then at most <most> of them are sent to it, and at least 1

    Examples:
      | where               | most |
      | of its region       | 7    |
      | of another region   | 2    |

  # Guards against requests that count at an endpoint though they were never sent.
  Scenario: placement that is not used
    Given 20 requests wait at an entry of its region
    When an engine with 16 slots reports that 10 are taken
    Then no request counts at the engine when none was sent

  # Guards against a whole queue being sent to an endpoint that one request should probe, and beyond its connections.
  Scenario Outline: endpoint that <event>
    Given 20 requests wait for an endpoint that was ejected and may have one connection
    When it <event>
    Then at most 1 of them are sent to it, and at least 1

    Examples:
      | event         |
      | may be probed |
      | has responded |

  # Guards against engines that nobody uses while all entries of their region stop.
  Scenario Outline: region without entries
    Then <entries> entries of other regions send an engine with 7 free places 4 to 10 requests, on average 7

    Examples:
      | entries |
      | 1       |
      | 2       |
      | 5       |

  # Guards against engines that count as empty while their agents restart: all entries of other regions filled them again.
  Scenario: agent that restarts
    Given an agent has reported that all slots of its engine are taken, to 5 entries of other regions
    Then they send the engine at most 2 requests in the next 3.5 seconds
    And each sends it one request for each of its requests that end meanwhile
    And they use it without a report after 5 seconds
