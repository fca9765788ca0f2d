Feature: Logs of a process

  Scenario Outline: way from an id to its cause by the command alone
    Given the entry program with its log in a file and an engine that <engine>
    When <event>
    And a caller's request to unsafe gets <status>
    Then the command explains its id with <cause>

    Examples:
      | engine  | event                                      | status | cause                                                                                                                      |
      | hangs   | more requests run than the engine may have | 503    | line: Request refused\. .*usable=\d+ .*callers: Request failed\. .*execution="not run".*No endpoint can answer in time\.   |
      | breaks  | nothing happens before                     | 502    | line: Request placed\. .*requests: Attempt failed\. .*execution="unknown" .*callers: Request failed\. .*status=502         |
      | answers | the store is silent until proofs are old   | 503    | \(state\) store: Store not reachable\. .*callers: Request failed\. .*proofAgeMs=\d{4,} .*The proof of keys is \d+ ms old\. |

  Scenario: flood of 2000 requests a second
    Given the entry program with its log in a file and an engine that delays
    When callers send 6000 requests at 2000 a second to unsafe
    Then its log has at most 100 lines of each kind a second, but for refusals
    And lines and those that its metrics count as left out make up all requests
    And each failed request has all of its lines

  Scenario: reader of standard output that stops
    Given two entry programs, one of them with a standard output that nobody reads
    When both have had so many requests that lines of the one are lost
    Then 300 requests to each are served, and the one takes no longer than the other
