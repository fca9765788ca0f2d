Feature: Configuration changes

  Scenario: changes of different items are merged
    Given two configuration editors
    When both change different services at the same time
    Then both changes are in the document

  Scenario: changes of the same item are refused with both authors
    Given two configuration editors
    When both change the same service at the same time
    Then one change is refused as "conflict" naming "ann" and "ben"

  Scenario: a lost answer is resolved
    Given two configuration editors
    When the answer to a change's write is lost
    Then the change is accepted once

  Scenario: a write that lands late is resolved
    Given two configuration editors
    When a change's write lands after its caller gave up
    Then the change is accepted once

  Scenario: a record moved away still resolves a lost answer
    Given two configuration editors
    When the answer is lost and 80 other changes follow before it is resolved
    Then the change is accepted once

  Scenario: store down
    Given two configuration editors
    When the store is down during a change
    Then the change is refused as "not_accepted" within 6 seconds

  Scenario: store down just after a write
    Given two configuration editors
    When the store goes down after a change's write
    Then the change is refused as "acceptance_unknown" within 6 seconds
    And sending it again gives its one revision

  Scenario: later changes of the same item are conflicts of an older revision
    Given two configuration editors
    When a change is made for an older revision
    Then it is merged when other items changed and refused when the same did

  Scenario Outline: a bad change is refused
    Given two configuration editors
    When the patch <patch> is applied
    Then it is refused as "<type>" naming "<path>"

    Examples:
      | patch                                       | type          | path              |
      | {"defaults":{"maxQueu":3}}                  | invalid_input | maxQueu           |
      | {"defaults":{"maxQueue":"3"}}               | invalid_input | defaults.maxQueue |
      | {"defaults":{"coldLimit":100}}              | invalid_input | defaults.coldLimit |
      | {"services":{"desk":{"kind":"odd"}}}        | invalid_input | services.desk.kind |
      | {"releases":{}}                             | invalid_input | releases          |
      | {"workspaces":{"w":{"tokenHashes":["x"]}}}  | invalid_input | workspaces.w.tokenHashes.0 |
      | {"operators":{"ann":null}}                  | invalid_input | operators         |
      | {"services":[]}                             | invalid_input | services          |
      | {"dataCentres":{"a b":{"state":"in"}}}      | invalid_input | dataCentres.a b   |

  Scenario: a document that grows too large is refused before the store sees it
    Given two configuration editors
    When services are added until the document is too large
    Then the last is refused as "too_large" and the store holds less than a megabyte

  Scenario: operators with limits
    Given two configuration editors
    When an operator limited to one service changes two
    Then only the change of the own service is accepted

  Scenario: a store restored to an older state
    Given two configuration editors
    When the store loses its last changes and another change is made
    Then no accepted change is lost

  Scenario: dry run
    Given two configuration editors
    When an exception is tried without being applied
    Then it tells what changes for whom and writes nothing

  Scenario: accepted changes last over races, outages and lost answers
    When 60 seeded histories of concurrent changes run
    Then the change histories show no fault and contain accepted, refused and unknown changes

  Scenario: the history check finds a planted fault
    When 20 seeded histories run on a store without compare-and-swap
    Then the change histories show lost changes
