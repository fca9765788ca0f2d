Feature: Competing demand

  # Guards against urgent requests that are refused at one entry while less urgent ones are placed at another.
  Scenario Outline: three priorities at 12 entries, <load>
    Given 12 entries share 9 engines, and <rates> requests of priorities 0, 1 and 2 arrive per second
    When they are served for 20 seconds with each of 3 seeds
    Then no priority is served less often than a less urgent one by more than 5 in 100
    And each is served at least a quarter as often as all
    And priority 0 is served at least <served> of the time

    Examples:
      | load                                   | rates           | served |
      | a third more than there is room for    | 56, 67 and 48   | 0.95   |
      | nearly twice as much                   | 80, 96 and 68   | 0.9    |
      | the most urgent alone more than enough | 150, 20 and 20  | 0.6    |
      | most of it of the least urgent         | 20, 24 and 170  | 0.95   |
      | as much as there is room for           | 40, 48 and 30   | 0.98   |

  # Guards against a reserve that comes too late for a jump, or that stays after it.
  Scenario: jump of the least urgent priority
    Given 12 entries share 9 engines, and 25, 30 and 20 requests of priorities 0, 1 and 2 arrive per second
    And priority 2 sends 12 times as many from second 6 to 12
    When they are served for 20 seconds with each of 3 seeds
    Then priorities 0 and 1 are served at least 0.9 of the time from second 7 to 12
    And priority 2 is served at least 0.95 of the time from second 14 to 20

  # Guards against a reserve that fails with the exchange: entries that hear nothing, and some that freeze and resume.
  Scenario Outline: three priorities while <entries>
    Given 12 entries share 9 engines, and 56, 67 and 48 requests of priorities 0, 1 and 2 arrive per second
    And <entries> from second 5 to 9
    When they are served for 20 seconds with each of 3 seeds
    Then no priority is served less often than a less urgent one by more than 5 in 100
    And each is served at least a quarter as often as all
    And priority 0 is served at least 0.95 of the time

    Examples:
      | entries                     |
      | every entry hears nothing   |
      | every 4th entry is frozen   |
      | every 2nd entry is cut off  |

  # Guards against an entry that takes its own requests, or old reports, for the demand of its region.
  Scenario: demand of a region
    Given an entry of a region of 12 with 3 refused requests of priority 0
    Then it assumes 36 refused requests while it hears nothing
    And 8 after another entry has reported 5
    And 36 again 1 second later

  # Guards against demand that does not reach all entries, and against too many bytes between regions.
  Scenario: demand of 3 regions
    Given 3 regions of 12 entries, and requests of an adaptive service at one entry of each
    When the entries exchange their demand for 2 seconds
    Then each entry knows the demand of all regions
    And between two regions they took at most 0.1 percent of 21 Mbit/s each way

  # Guards against a change for services that do not call for it.
  Scenario: service without competing requests
    Given 3 regions of 12 entries, and requests of another service at one entry of each
    When the entries exchange their demand for 2 seconds
    Then no datagram was sent
    And each request of it may take any place

  # Guards against reports that would fill the memory or concern no service.
  Scenario Outline: report with <fault>
    Given 3 regions of 12 entries, and requests of an adaptive service at one entry of each
    When an entry hears a report with <fault>
    Then it knows no other demand than before

    Examples:
      | fault               |
      | 1000 priorities     |
      | an unknown service  |
      | an unknown region   |
      | its own region      |
