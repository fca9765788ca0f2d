Feature: Instances that stand still

  # A request that was given up must not reach its engine later. Without the reset, what of it is held up
  # on the way is delivered still (GONE, day versions-without-origin).
  Scenario Outline: requests that are given up
    Given an entry on the platform with engines that <engines>
    When a caller of <route> <gives up>
    Then an engine sees its connection reset

    Examples:
      | engines        | route  | gives up            |
      | hangs          | safe   | leaves after 200 ms |
      | hangs          | stream | leaves after 200 ms |
      | hangs          | unsafe | waits in vain       |
      | hangs, streams | stream | is served elsewhere |

  # Requests that lie at a stopped process can't be taken back; few may be sent there.
  Scenario: requests at a stopped engine
    Given an entry on the platform with a stopped engine and one that streams
    When callers send 25 requests a second for 3 seconds and leave after 600 ms
    And the stopped engine is woken
    Then at most 4 requests have reached it whose callers had left for half a second
