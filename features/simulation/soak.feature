@serial
Feature: Proxies and controllers as real processes under random faults
  The programs are started by the deploy file's commands, with settings files and signals, on loopback. Everything else
  is the simulator's: clients, backends, operators, the platform, and the checkers.

  Scenario: No rule is broken in a short soak with a fixed seed
    When a soak runs with seed 1 for 30 seconds
    Then it injects faults, checks LOST, STALE, TWICE, REFUSED, MIXED, UNASKED and RECOVER, and reports no broken rule

  Scenario: Real processes lose no commit when all controllers restart and the only complete replica is down
    # guards against a fence that counts only the replicas heard since the controllers' restart
    When trial controllers_killed_replica_down runs with real processes and seed 1
    Then it reports no broken rule

  Scenario: Runs at the same time have different addresses
    # guards against clients of one run that reach the processes of another
    When runs hold a loopback network each until there is none left
    Then all have different addresses, and a further run fails with "all loopback networks of the soak are in use"
