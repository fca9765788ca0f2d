Feature: Ports of programs under test

  # Failure: two test processes with ids equal modulo the number of blocks got the same ports, so that
  # an entry of one fleet found its port taken and ended.
  Scenario: processes that prefer the same block
    Then a block of ports that is claimed is not claimed again
