Feature: Room for other regions

  # Guards against room that is reserved for a region that needs less of it than the others.
  Scenario Outline: division with <case>
    Given regions a, b and c with 12 entries each, demands <demands> and places <places>
    Then of the room in b, a gets <a>, b <b> and c <c>

    Examples:
      | case                                 | demands      | places      | a    | b    | c    |
      | equal demand                         | 90, 90, 90   | 90, 90, 90  | 0.05 | 0.9  | 0.05 |
      | a evacuated                          | 90, 90, 90   | 0, 90, 90   | 0.33 | 0.67 | 0    |
      | a evacuated and its demand unknown   | ?, 90, 90    | 0, 90, 90   | 0.33 | 0.67 | 0    |
      | only its own demand known            | ?, 90, ?     | 90, 90, 90  | 0.05 | 0.9  | 0.05 |
      | a and c crowded                      | 120, 60, 120 | 90, 90, 90  | 0.2  | 0.6  | 0.2  |
      | b crowded                            | 60, 150, 60  | 90, 90, 90  | 0.05 | 0.9  | 0.05 |
      | demand in a only                     | 90, 0, 0     | 90, 90, 90  | 0.9  | 0.1  | 0    |
      | no demand                            | 0, 0, 0      | 90, 90, 90  | none | none | none |
      | a and b evacuated                    | 90, 90, 90   | 0, 0, 90    | none | none | none |

  # Guards against a region without entries whose engines nobody fills, and against entries that ignore their part.
  Scenario Outline: part of one entry, <case>
    Then an entry with a part of <part> and <excess> requests too many may send <requests> to an engine with <free> free places

    Examples:
      | case             | part | excess | free | requests |
      | free places      | 0.5  | 0      | 6    | 3        |
      | nothing free     | 0.5  | 0      | 0    | 0        |
      | more than it may | 0.5  | 2      | 0    | -2       |
      | free and more    | 0.5  | 2      | 6    | 3        |

  # Guards against callers of an evacuated or crowded region that are served far less often than others (0.65 to 0.90).
  Scenario Outline: callers of 3 regions, <case>
    Given 37 entries of 3 regions, 28 engines and requests of one priority, <case>
    When they are simulated with each of 2 seeds
    Then from second 6 on the callers of each region are served at least 0.85 times as often as all

    Examples:
      | case                                   |
      | region 0 evacuated                     |
      | region 0 evacuated in silence          |
      | demand of 100, 160 and 140 per second  |

  # Guards against a division that goes on after its cause, or that swings while the load is constant.
  Scenario: end of an evacuation
    Given 37 entries of 3 regions, 28 engines and requests of one priority, region 0 evacuated until second 8
    When they are simulated with each of 2 seeds
    Then region 0 may use at least 0.2 of the room of region 1 from second 6 to 8
    And region 0 may use at most 0.15 of the room of region 1 from second 10 to 12

  # Guards against requests that stay in a crowded region although the path to another one is short.
  Scenario Outline: path of <delay> ms
    Given an engine of this region with <local> requests, and an idle one of another region at <delay> ms
    Then a request is placed in <region>

    Examples:
      | delay   | local | region         |
      | 1       | 2     | this region    |
      | 1       | 14    | another region |
      | 200     | 14    | this region    |
      | unknown | 2     | this region    |

  # Guards against peers that do not hear what one entry has found out about an engine.
  Scenario: load of an engine with its window
    Given an entry with 2 requests at an engine, a window of 9 and 1200 held tokens
    Then the other entries of its region hear of 2 requests, a window of 9 and 1200 held tokens

  # Guards against requests to an engine that has answered another entry that it holds no weights.
  Scenario Outline: engine without weights, <case>
    Given an entry that hears from another one that an engine holds no weights
    When <case>
    Then the engine holds version <version> for it

    Examples:
      | case                                       | version |
      | nothing else happens                         | 0       |
      | the agent reports what it knew before        | 0       |
      | the agent reports and the other repeats it   | 2       |
      | the agent reports and the other sees it anew | 0     |
