Feature: Programs on the platform

  Scenario: settings that cannot be read
    Given a settings file of an entry without the line Platform.Address
    When the entry program is started
    Then it ends with exit code 2 and one line that names Platform.Address

  Scenario: reload and stop
    Given a settings file of an entry
    When the entry program is started
    And it gets SIGHUP with a settings file that is broken
    Then it still says that it is ready
    And its metrics are served
    And after SIGTERM it ends with exit code 0 within 8 seconds

  Scenario: datagrams after the end
    Then a datagram that is sent after its socket has closed is dropped

  Scenario: version that was named while the store was away
    Given a feed of a store that refuses calls for 2 seconds, in which version 2 is named
    Then the version counts as named not more than 1 second before the store's return

  Scenario: entry that starts while the store is away
    Given a feed that starts while its store refuses calls and version 2 is named already
    Then the version counts as named at least 5.5 seconds before the store's return

  Scenario: agents of a region whose entries are cut off
    Given an entry in one region and an agent in another
    When version 2 is named
    Then the agent hears of it within 2 seconds
