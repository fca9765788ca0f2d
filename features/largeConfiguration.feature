Feature: Large configurations over a narrow link

  # Guards against entries that give up each transfer of a large configuration before its end and begin it
  # anew, so that a whole region stays on the configuration before it.
  Scenario: time until in force
    Given 6 entries behind a link that is narrow for them
    When 3 configurations with 1680 more routes are written 1.6 seconds apart
    Then each is in force at all entries within 3 seconds

  # Guards against requests that are served outside their home regions by a configuration that is out of date.
  Scenario: homes that come with it
    Given 6 entries behind a link that is narrow for them
    When 3 configurations with 1680 more routes are written 1.6 seconds apart
    And 3 seconds have passed
    Then no request of a route with a home runs outside it

  # Guards against proofs of keys that grow old because a large configuration is under way.
  Scenario: keys meanwhile
    Given 6 entries behind a link that is narrow for them
    When 3 configurations with 1680 more routes are written 1.6 seconds apart
    Then requests with a key are answered for 5 seconds

  # Guards against a link that carries a copy of each configuration for each entry behind it.
  Scenario: copies over the link
    Given 6 entries behind a link that is narrow for them
    When 3 configurations with 1680 more routes are written 1.6 seconds apart
    And 3 seconds have passed
    Then the link has carried at most 2 copies of each

  # Guards against a call to the store that is given up by its duration while its response is arriving.
  Scenario: transfer that takes longer than a call
    Given 1 entries behind a link that is narrow for them
    When 1 configurations with 1680 more routes are written 0 seconds apart
    Then each is in force at all entries within 3 seconds
