Feature: The register
  A majority of disks, a ballot a key, highest version wins.

  Scenario Outline: Changes by many at once, among <trouble>, are neither lost nor doubled
    Given 5 register replicas and 4 proposers, with seed <seed>
    When each proposer adds to a counter 25 times among <trouble>
    Then the counter holds every acknowledged addition, and no denied one
    And no proposer ever read a lower value than one it had read or written before

    Examples:
      | trouble        | seed |
      | nothing        | 1    |
      | lost answers   | 2    |
      | register replicas killed  | 3    |
      | register replicas frozen  | 4    |
      | register replicas cut off | 5    |
      | register replicas killed  | 6    |
      | register replicas cut off | 7    |

  Scenario: A value that only a minority accepted is completed by the next read
    Given 5 register replicas and 1 proposers, with seed 9
    When a value is accepted by vault-0 alone and then read through it
    Then every later read gives that value, with vault-0 gone

  Scenario: No two hold one lease, whatever their clocks and the register replicas' restarts
    Given 5 register replicas and 4 proposers, with seed 11
    When all seek one lease for 60 seconds, while register replicas restart and holders freeze
    Then at no moment did two hold it, and it was held at least half of the time

  Scenario: A seed that returns blank does not found a second roster
    Given 5 register replicas and 1 proposers, with seed 12
    When vault-0 comes back with a blank disk while vault-1 is frozen
    Then vault-0 learns the roster of the others and founds none

  Scenario: A change of the roster that another one overtakes is not made
    Given 5 register replicas and 2 proposers, with seed 13
    When vault-0 is removed while the change that removes vault-1 writes the keys again
    Then the second change is refused as overtaken, and the roster lacks vault-0 alone

  Scenario: The return of a lease that arrives late frees nothing that was granted since
    Given 5 register replicas and 2 proposers, with seed 14
    When a lease is given back and granted again, and its return arrives late
    Then one holds it, and not both, when the other has sought it too

  Scenario: A lease that is given back while it is still being sought is not held
    Given 5 register replicas and 2 proposers, with seed 15
    When a lease is given back while the answers to its request are on their way
    Then it is not held

  Scenario: Grants count against the majority of the roster under which they were given
    Given 5 register replicas and 2 proposers, with seed 16
    When two of five register replicas grant a lease, and a roster of three is learnt meanwhile
    Then it is not held

  Scenario: A second voter leaves only when no lease rests on the first any more
    Given 5 register replicas and 3 proposers, with seed 17
    When a lease is granted by register replicas 0 to 2, register replicas 0 and 1 die, and a replacement of each begins
    Then one holds it, and not both, when the other has sought it too
