Feature: Loads of engines under review

  # Guards against engines that all entries fill as if each were alone once their agents have ended for good.
  Scenario Outline: agent that has ended, <local> entries of its region and <remote> of others
    Given an engine with 16 slots, <local> entries of its region and <remote> of others
    When its agent has ended 10 seconds ago
    Then all entries together have at most 24 requests there, and at least 16

    Examples:
      | local | remote |
      | 0     | 1      |
      | 0     | 2      |
      | 0     | 5      |

  # Guards against engines that entries of several regions overfill once their agents have ended for good.
  Scenario: agent that has ended beside entries of all regions
    Given an engine with 16 slots, 2 entries of its region and 5 of others
    When its agent has ended 10 seconds ago
    Then all entries together have at most 24 requests there, and at least 16

  # Guards against an engine that nobody uses any more because its agent has ended while it loaded a version.
  Scenario: agent that has ended during an order
    Given an engine with 16 slots, 0 entries of its region and 1 of others
    When its agent has ended 10 seconds ago during an order, and it is registered with the new version
    Then it may get requests
