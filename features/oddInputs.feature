Feature: Odd inputs of decoders

  # Guards against: a decoder that throws something else than a typed error, or lets through what can't be used.
  Scenario Outline: odd values
    When 1500 odd <values> are decoded with seed <seed>
    Then each is refused with a typed error or can be used

    Examples:
      | values            | seed |
      | registrations     | 1    |
      | registrations     | 47   |
      | configurations    | 1    |
      | configurations    | 47   |
      | named versions    | 1    |
      | places of entries | 1    |
      | crash news        | 1    |
      | convictions       | 1    |
      | request headers   | 1    |
      | response headers  | 1    |

  Scenario Outline: odd responses
    When 300 odd <responses> are read with seed <seed>
    Then each is refused with a typed error or can be used

    Examples:
      | responses              | seed |
      | reports of engines     | 1    |
      | reports of engines     | 47   |
      | lists of staged pieces | 1    |
      | manifests of origins   | 1    |
      | manifests of agents    | 1    |
      | snapshots of the store | 1    |
      | changes of the store   | 1    |
      | leases of the store    | 1    |
      | feeds of entries       | 1    |

  # Guards against: one item of a response that can't be read hides those beside it.
  Scenario: odd item beside sound ones in a response of the store
    When the store lists odd items beside two sound ones
    Then both sound ones are read from its list and its changes

  Scenario: odd datagrams
    When 1500 damaged datagrams are sent to a process with seed 1
    Then it handles a sound one after them

  # Guards against: an odd status of a refusal that no response can have.
  Scenario: odd refusals
    When 1500 odd refusals are decoded with seed 1
    Then each has a status of a failure
