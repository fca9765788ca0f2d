Feature: Servers of small requests

  # Guards against a process that runs out of memory because the HTTP server parses all that a read has brought, although
  # the connection is closed at the first requests that are too many: each costs objects until the connection has ended.
  Scenario: requests sent ahead on connections that are closed
    When 2000 requests arrive at once on each of 20 connections to a server that allows 4 unanswered ones
    Then all connections are closed, and at most 64 requests have been parsed for each

  # Guards against requests that are lost, or answered out of turn, where the server gives its parser a read piece by piece.
  Scenario Outline: requests within the bounds, heads of <head bytes> bytes, responses of <response bytes>
    When <requests> requests with heads of <head bytes> bytes arrive at once, and responses of <response bytes> bytes are read later
    Then there are <requests> whole responses, each to its request

    Examples:
      | requests | head bytes | response bytes |
      | 1        | 60         | 10             |
      | 1        | 12000      | 10             |
      | 4        | 60         | 10             |
      | 4        | 3000       | 10             |
      | 4        | 3000       | 3000000        |
