Feature: Pace of endpoints

  # Shares that follow the entries of one region must hold when others restart, leave or hear nothing.
  Scenario: cold engine while entries restart, stop and are cut off
    Then in 200 histories all entries together keep the bounds of engines that bear 26 and 17 while cold

  # Each entry took a share of all entries, so that those of the engine's region used a third of its rate.
  Scenario: cold engine with waiting requests in its region
    Then 37 entries of 3 regions send an engine that bears 26 while cold at least 28 in a second
    And 37 entries of 3 regions send an engine that bears 17 while cold at least 19 in a second

  # Fixed limits fill an endpoint at once when it has just started, and leave one idle that is slow.
  Scenario Outline: window of <case>
    When 12 entries flood an endpoint that <case>
    Then it runs at most <most> requests at once on average from <from> to <to> ms
    And it answers at least <least> requests a second from <from> to <to> ms and is idle for at most a tenth of it

    # At least half of what the endpoint can do, and no more at once than keeps answers within twice their time.
    Examples:
      | case                                 | from | to    | most | least |
      | has just started and bears 2         | 0    | 300   | 5    | 10    |
      | has just started and bears all       | 2000 | 6000  | 13   | 60    |
      | recovers slowly                      | 0    | 1000  | 5    | 10    |
      | recovers slowly                      | 6000 | 10000 | 13   | 60    |
      | flaps each second                    | 1000 | 10000 | 13   | 32    |
      | is permanently slow                  | 2000 | 10000 | 7    | 15    |
      | bears 3 behind peers that are silent | 2000 | 10000 | 12   | 15    |

  # A window that is cut too often or grows too slowly wastes an endpoint that could do more.
  Scenario: endpoint that changes at random
    Then in 60 histories of random endpoints none that is healthy answers less than half for 2 seconds

  Scenario Outline: expected time at a plain endpoint that <case>
    Then 200 ms after the last answer of a plain endpoint that <case> from <least> to <most> ms are expected

    Examples:
      | case                                  | least | most |
      | has not answered yet                  | 20    | 20   |
      | needs 60 ms                           | 59    | 62   |
      | needs 60 ms and states a pace of 400  | 150   | 250  |
      | needs 60 ms and states a pace of 1    | 29    | 61   |
      | needs 60 ms and belongs to no adaptive service | 20 | 20 |

  # A pace changes within a second, so that an old statement tells nothing.
  Scenario: old statement of a pace
    Then a pace of 800 that was stated 3 seconds ago counts less than 200

  Scenario Outline: engine memory with <held> tokens held
    Then a request of <tokens> tokens <fits> an engine of 1640000 tokens of which an entry holds <held>, as a peer does

    Examples:
      | held   | tokens  | fits           |
      | 0      | 1640000 | fits           |
      | 0      | 1640001 | does not fit   |
      | 500000 | 200000  | fits           |
      | 500000 | 300000  | does not fit   |

  Scenario Outline: load header <header>
    Then a response with the load <header> states <pace>

    Examples:
      | header          | pace            |
      | 3,1,12,250      | a pace of 2.5   |
      | 3,1,12          | no pace         |
      | 3,1,12,         | an unreadable pace |
      | 3,1,12,-50      | an unreadable pace |
      | 3,1,12,0        | an unreadable pace |
      | 3,1,12,99999999 | an unreadable pace |
      | 3,1,12,x        | an unreadable pace |

  # The entry program must use what it decodes: the figure was dropped, and a slow endpoint chosen like the others.
  Scenario: endpoint that states that it is slow
    Given an entry and 3 endpoints that make statements
    When the first states a pace of 800 percent for 3 seconds, and the others of 100
    Then it gets less than half as many requests as each of the others
    And the entry shows a higher pace of it than of the others in its metrics
