Feature: Membership
  SWIM: probes in random order, indirect probes through other members, suspicion before removal.

  Scenario: Every daemon removes a killed daemon, and no other one
    Given a system of 9 HTTP proxies and 5 register replicas, with seed 1
    When daemon stall-4 is killed
    Then within 8 seconds every other daemon has removed stall-4
    And no live member was declared dead

  Scenario: A daemon that returns from a partition removes no other member
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 2
    When stall-0 is partitioned for 10 seconds and reconnected
    Then for 10 seconds no daemon declares a member other than stall-0 dead
    And within 10 seconds every other daemon lists stall-0 as alive

  Scenario: Two daemons that can't reach each other stay members through indirect probes
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 3
    When stall-1 and stall-2 can't reach each other for 20 seconds
    Then no live member was declared dead

  Scenario: Malformed records are dropped
    Given a system of 3 HTTP proxies and 5 register replicas, with seed 4
    When 200 records of random bytes are sent to stall-0 and vault-0
    Then no record is answered with more than a status byte, and both keep running

  Scenario: A frozen daemon that resumes refutes its removal with a new incarnation
    Given a system of 6 HTTP proxies and 5 register replicas, with seed 5
    When stall-3 is frozen for 10 seconds and resumed
    Then within 10 seconds every other daemon lists stall-3 as alive
