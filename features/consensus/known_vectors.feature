Feature: Vectors sent as the changes since a revision
  A register replica sends a client the ballots that it has accepted since the revision that the client names.

  Scenario: An idle register sends no keys, a change sends one, a restarted register replica its whole vector
    Given 5 register replicas and 2 proposers, with seed 31
    And proposer 1 has written 40 keys
    When proposer 0 requests the vector 20 times
    Then the last answers together bring 0 keys
    When proposer 1 writes one of the keys again, and proposer 0 requests the vector until it shows
    Then the last answers together bring at most 3 keys
    When the register replicas are restarted one by one, and proposer 0 requests the vector
    Then the last answers together bring at least 40 keys

  Scenario Outline: Whatever is acknowledged shows in the next vector, among kills and restarts
    Given 5 register replicas and 2 proposers, with seed <seed>
    When keys are written and the vector is requested 60 times, while register replicas are killed and come back
    Then every vector had at least the ballots acknowledged before it was asked for
    And no vector went back behind the one before

    Examples:
      | seed |
      | 32   |
      | 33   |
      | 34   |

  Scenario: A client of the protocol's first version is sent the whole vector
    Given 5 register replicas and 2 proposers, with seed 35
    And proposer 1 has written 40 keys
    When proposer 0 speaks the first version alone, and requests the vector 2 times
    Then the last answers together bring at least 120 keys

  Scenario: An answer that was overtaken takes nothing back
    When a source's revision 7 is read before its revision 5
    Then what revision 7 brought stands
