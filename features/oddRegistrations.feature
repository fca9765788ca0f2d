Feature: Odd registrations

  # Guards against: odd registrations of another writer cost callers their requests, or end the entry.
  Scenario: entries beside odd registrations
    Given two entry programs and four engines
    When callers send 28 requests a second and another writer leaves odd registrations after 3 seconds
    Then all of these requests are served
    And both programs run and name each odd registration in a bounded line and a counter
    And an engine that comes later is sent requests

  # Guards against: numbers of a registration that no datagram can carry end the entry.
  Scenario: entry beside odd registrations of model engines
    Given an entry program, an engine and the configuration of a model
    When another writer leaves a registration of a model engine with an odd version of its weights
    Then the program runs and serves

  # Guards against: one odd value in the store hides the others, or changes what they say.
  Scenario: entry beside odd values of all kinds in the store
    Given two entry programs and four engines
    When another writer leaves odd values under each prefix that entries read
    Then the programs run and serve with the sound configuration
    And both programs name each of these values in a bounded line

  # Guards against: a header of an engine ends the entry, as no datagram can carry its number.
  Scenario: entry with engines that send odd headers
    Given two entry programs and four engines that send odd headers
    When callers send 28 requests a second for 6 seconds
    Then all of these requests are served
    And both programs run

  # Guards against: odd datagrams or reports of the engine end the agent, or what they say is acted on.
  Scenario: agent beside odd datagrams and an engine with odd reports
    Given an agent program beside an engine whose reports turn odd one after the other
    When it gets odd datagrams meanwhile
    Then the agent runs and counts odd reports and odd datagrams
    And after a sound report it reports its engine again

  # Guards against: an engine whose registration has turned odd is used on by its old one.
  Scenario: registration that turns odd
    Given two entry programs and four engines
    When another writer replaces the registration of one engine by an odd one
    Then that engine is sent no requests and all of them are served
    And it is sent requests again after its own registration returns
