@alone
Feature: Callers outside the limits

  # Guards against an entry that grows beyond its instance, hangs or ends because of what callers send, keep open or
  # leave unread. Each example has one entry program, whose instance has 200 MB and 600 descriptors.
  Scenario Outline: <callers>
    Given an entry program with 200 MB of memory and 600 descriptors
    When <connections> connections are held by <callers>
    Then the program runs within its memory and descriptors
    And an ordinary request is answered

    Examples:
      | connections | callers                                  |
      | 150         | unfinished bodies in large chunks        |
      | 60          | unfinished bodies in chunks of one byte  |
      | 60          | whole bodies in chunks of one byte       |
      | 100         | pipelined requests that are not read     |
      | 30          | pipelined large responses left unread    |
      | 60          | large responses read byte by byte        |
      | 60          | large streams read byte by byte          |
      | 300         | heads that never end                     |
      | 100         | heads with many headers                  |
      | 100         | trailers that never end                  |
      | 100         | chunk extensions that never end          |
      | 800         | connections that send nothing            |
      | 150         | bodies reset midway                      |
      | 100         | clients that keep coming back            |
      | 800         | silent connections to the feed           |
      | 60          | pipelined requests to the feed           |
      | 60          | endless bodies to the feed               |
      | 800         | silent connections to the metrics        |
      | 60          | pipelined requests to the metrics        |
      | 60          | endless bodies to the metrics            |
      | 800         | silent connections to the readiness port |
      | 60          | pipelined requests to the readiness port |
