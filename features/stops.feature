Feature: Stop of an entry

  Scenario: stream that ends after the entry has closed idle connections
    Given an entry on the platform with engines that pauses
    When the entry stops and closes idle connections before a stream has ended
    Then the stream is whole
    And its connection takes no further request
