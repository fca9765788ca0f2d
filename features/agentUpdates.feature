Feature: Updates to agents

  # Guards against updates whose cost grows with entries times agents: each change of the fleet was sent
  # by every entry to every agent of its region, encoded anew for each.
  Scenario: regular update
    Given an entry among 99 with 150 engines
    When it sends its regular update
    Then each agent gets one update
    And 4 entries send the weights to each agent of their region
    And at most 4 datagrams were encoded

  Scenario: regular updates are spread over rounds
    Given an entry among 99 with 150 engines
    When it sends its regular update
    And 6 rounds have passed
    Then each agent got 2 updates
    And at most 75 agents got one in a round

  # Guards against agents that miss the only datagram with a new version.
  Scenario: version that was named lately
    Given an entry among 99 with 150 engines
    When a version is named
    And 6 rounds have passed
    Then each agent that gets the weights from this entry got them 6 times

  Scenario: change that agents do not act on
    Given an entry among 99 with 150 engines
    When it sends its regular update
    And an engine is cold for longer
    Then no agent gets an update

  Scenario: engine that leaves
    Given an entry among 99 with 150 engines
    When it sends its regular update
    And an engine leaves
    Then only agents that get the weights from this entry get an update
    And at most 2 datagrams were encoded

  Scenario: engine that starts
    Given an entry among 99 with 150 engines
    When it sends its regular update
    And an engine starts
    Then its agent gets an update at once

  Scenario: version that is named
    Given an entry among 99 with 150 engines
    When it sends its regular update
    And a version is named
    Then agents of its own and of other regions get the version

  # Guards against broadcasts to all entries of the region that tell nothing new.
  Scenario Outline: load at <endpoint>
    Given an entry among 99 with 10 engines
    When its load at <endpoint> changes
    Then <broadcasts> broadcasts of its load are sent

    Examples:
      | endpoint                    | broadcasts |
      | an engine of its region     | 1          |
      | an engine of another region | 0          |
      | a plain endpoint            | 0          |

  # Guards against agents that restart and report to no entry before its next regular update, up to 3 s later.
  Scenario: agent that has stopped reporting
    Given an entry among 99 with 150 engines
    When it sends its regular update
    And all agents report, and 2 seconds later all but that of one engine
    And 2 rounds have passed
    Then the agent of that engine got 2 updates, and each other at most one
