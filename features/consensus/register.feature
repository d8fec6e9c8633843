Feature: The register
  Each key is changed by ballots that a majority of the voters accepts; the highest ballot is the current version.

  Scenario Outline: Concurrent changes with <fault> are neither lost nor applied twice
    Given 5 register replicas and 4 proposers, with seed <seed>
    When each proposer increments a counter 25 times with <fault>
    Then the counter includes every acknowledged increment and no refused one
    And no proposer reads a lower value than one it has read or written before

    Examples:
      | fault                         | seed |
      | no faults                     | 1    |
      | lost answers                  | 2    |
      | register replicas killed      | 3    |
      | register replicas frozen      | 4    |
      | register replicas partitioned | 5    |
      | register replicas killed      | 6    |
      | register replicas partitioned | 7    |

  Scenario: A read completes a value that only a minority has accepted
    Given 5 register replicas and 1 proposers, with seed 9
    When a value is accepted only by vault-0 and read by a majority that includes it
    Then every later read returns that value after vault-0 was killed

  Scenario: A lease has at most one holder while register replicas restart and holders freeze
    Given 5 register replicas and 4 proposers, with seed 11
    When all proposers request one lease for 60 seconds, while register replicas restart and holders freeze
    Then the lease never has two holders, and is held at least half of the time

  Scenario: A seed that restarts with a blank disk does not found a second roster
    Given 5 register replicas and 1 proposers, with seed 12
    When vault-0 restarts with a blank disk while vault-1 is frozen
    Then vault-0 adopts the roster of the others and founds none

  Scenario: A roster change is refused if another one is made during it
    Given 5 register replicas and 2 proposers, with seed 13
    When vault-0 is removed while the roster change that removes vault-1 rewrites the keys
    Then the second change is refused with versionTaken, and only vault-0 is missing from the roster

  Scenario: A delayed release of a lease does not end a later grant
    Given 5 register replicas and 2 proposers, with seed 14
    When a lease is released and granted again, and the release arrives after that
    Then exactly one of the two holds the lease after the other has requested it too

  Scenario: A lease that is released during its own request is not held
    Given 5 register replicas and 2 proposers, with seed 15
    When a lease is released while the answers to its request are in flight
    Then it is not held

  Scenario: Grants are counted against the majority of the roster under which they were requested
    Given 5 register replicas and 2 proposers, with seed 16
    When two of five register replicas grant a lease, and a roster of three is learned meanwhile
    Then it is not held

  Scenario: A second voter is removed only after leases granted by the first have expired
    Given 5 register replicas and 3 proposers, with seed 17
    When a lease is granted by register replicas 0 to 2, replicas 0 and 1 are killed, and their replacement begins
    Then exactly one of the two holds the lease after the other has requested it too
