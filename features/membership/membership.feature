Feature: Membership
  Probes to a few in turn, second opinions through third parties, suspicion before removal.

  Scenario: A lost machine is known everywhere, and nobody else is removed
    Given a system of 9 HTTP proxies and 5 register replicas, with seed 1
    When machine stall-4 is killed
    Then within 8 seconds every other machine knows that stall-4 is gone
    And at no moment was anyone else removed by anyone

  Scenario: A machine that was cut off removes nobody when it is back
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 2
    When stall-0 is cut off for 10 seconds and heard again
    Then for 10 seconds nobody but stall-0 is held to be gone by anyone
    And within 10 seconds everyone counts stall-0 in again

  Scenario: Two that can't reach each other keep each other through third parties
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 3
    When stall-1 and stall-2 can't reach each other for 20 seconds
    Then at no moment was anyone else removed by anyone

  Scenario: Records that can't be read are counted and dropped
    Given a system of 3 HTTP proxies and 5 register replicas, with seed 4
    When 200 records of random bytes are sent to stall-0 and vault-0
    Then they are answered by nobody, and both go on

  Scenario: A frozen machine that goes on is counted in again under a new incarnation
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 5
    When stall-3 is frozen for 10 seconds and goes on
    Then within 10 seconds everyone counts stall-3 in again
