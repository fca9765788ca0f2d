Feature: Settings

  Scenario Outline: a fault names file, line, key and what was expected
    When the settings line <line> is <text>
    Then the fault is at line <at> and names <key> and <expected>

    Examples:
      | line | text                            | at | key             | expected            |
      | 4    | "instance": "Entry 1",          | 4  | instance        | expected a name     |
      | 9    | "keyValue": "localhost:1",      | 9  | platform.keyValue | expected http://IP:PORT |
      | 14   | "secrets": ["short"],           | 14 | secrets.0       | >=16                |
      | 15   | "options": {"watchMs": 0},      | 15 | options.watchMs | >0                  |
      | 15   | "options": {"watchMss": 1},     | 15 | options         | watchMss            |
      | 16   | "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2"}, | 16 | listen.internal | string |
      | 5    | "region" "north",               | 5  | not valid JSON  | ColonExpected       |

  Scenario: fuzzed settings
    When 3000 fuzzed settings files are checked
    Then each is valid or refused with file and line
