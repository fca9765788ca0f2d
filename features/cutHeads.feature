Feature: Heads of answers that are cut

  # Guards against: an answer cut within its head that is taken for a whole one with an empty body.
  Scenario Outline: call whose answer is cut at each byte of its head
    When an endpoint cuts the head of an answer <framed> at each byte by <ending> on <connections>
    Then none of these calls has a response

    Examples:
      | framed           | ending  | connections       |
      | with a length    | a close | fresh connections |
      | with a length    | a reset | fresh connections |
      | with a length    | a close | kept connections  |
      | with a length    | a reset | kept connections  |
      | without a length | a close | fresh connections |
      | without a length | a reset | fresh connections |
      | without a length | a close | kept connections  |
      | without a length | a reset | kept connections  |
      | in chunks        | a close | fresh connections |
      | in chunks        | a reset | fresh connections |
      | in chunks        | a close | kept connections  |
      | in chunks        | a reset | kept connections  |

  # Guards against: the same on the way through an entry, where other engines could have served the caller.
  Scenario Outline: caller of an answer that is cut at each byte of its head
    Given an entry and three engines with answers <framed> on <connections>
    When the first engine of each request to <route> cuts its head, at each byte once
    Then each caller has <outcome>

    Examples:
      | framed           | connections       | route  | outcome                     |
      | with a length    | fresh connections | safe   | the answer of another engine |
      | with a length    | kept connections  | safe   | the answer of another engine |
      | without a length | fresh connections | safe   | the answer of another engine |
      | without a length | kept connections  | safe   | the answer of another engine |
      | with a length    | kept connections  | unsafe | a failure after one run     |
      | without a length | kept connections  | unsafe | a failure after one run     |
      | without a length | fresh connections | stream | each event once             |
      | in chunks        | kept connections  | stream | each event once             |

  Scenario Outline: resumed stream that is cut at each byte of its head
    Given an entry and three engines with answers <framed> on <connections>
    When the first engine of each request to stream breaks within its events, and the next cuts its head, at each byte once
    Then each caller has each event once

    Examples:
      | framed           | connections       |
      | without a length | fresh connections |
      | in chunks        | kept connections  |
