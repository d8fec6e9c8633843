Feature: Membership
  Probes in random order, indirect probes through others, suspicion before removal.

  Scenario: A lost machine is known everywhere, and nobody else is removed
    Given a system of 9 HTTP proxies and 5 register replicas, with seed 1
    When machine stall-4 is killed
    Then within 8 seconds every other machine knows that stall-4 is gone
    And at no moment was anyone else removed by anyone

  Scenario: A partitioned machine removes nobody when it returns
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 2
    When stall-0 is partitioned for 10 seconds and returns
    Then for 10 seconds no member but stall-0 is taken for dead by any other
    And within 10 seconds every other machine finds stall-0 alive again

  Scenario: Two members that can't reach each other stay members through indirect probes
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 3
    When stall-1 and stall-2 can't reach each other for 20 seconds
    Then at no moment was anyone else removed by anyone

  Scenario: Records that can't be read are counted and dropped
    Given a system of 3 HTTP proxies and 5 register replicas, with seed 4
    When 200 records of random bytes are sent to stall-0 and vault-0
    Then they are answered by nobody, and both go on

  Scenario: A frozen machine that goes on is alive again under a new incarnation
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 5
    When stall-3 is frozen for 10 seconds and goes on
    Then within 10 seconds every other machine finds stall-3 alive again
