Feature: Routing

  Scenario: nearest first
    Then an entry uses its data centre, then its region, then others, as they fill up

  Scenario: all full
    Then an entry with full endpoints everywhere asks one of its own data centre

  Scenario: two choices
    Then 100 entries with late reports spread work within 1.18 of the mean

  Scenario: prefix affinity
    Then requests with one prefix meet at one endpoint from all entries

  Scenario: load bound of affinity
    Then a hot prefix leaves its home before the home is full

  Scenario: subset
    Then an entry keeps 32 of 127 endpoints and a lost endpoint changes at most one of them

  Scenario: tried endpoints
    Then a retry never chooses an endpoint that was tried

  Scenario: own accounting between reports
    Then work that an entry started since a report counts on top of it
