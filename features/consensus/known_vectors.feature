Feature: Vectors told by what came since
  A register replica tells an asker which ballots it has accepted since the edition that the asker names.

  Scenario: A calm register costs a few bytes, a change one key, a restarted register replica its whole vector
    Given 5 register replicas and 2 proposers, with seed 31
    And proposer 1 has written 40 keys
    When proposer 0 asks for the vector 20 times
    Then the last answers together bring 0 keys
    When proposer 1 writes one of the keys again, and proposer 0 asks for the vector until it shows
    Then the last answers together bring at most 3 keys
    When the register replicas are restarted one by one, and proposer 0 asks for the vector
    Then the last answers together bring at least 40 keys

  Scenario Outline: Whatever is acknowledged shows in the next vector, among kills and restarts
    Given 5 register replicas and 2 proposers, with seed <seed>
    When keys are written and the vector is asked for 60 times, while register replicas are killed and come back
    Then every vector had at least the ballots acknowledged before it was asked for
    And no vector went back behind the one before

    Examples:
      | seed |
      | 32   |
      | 33   |
      | 34   |

  Scenario: An asker of the first version is told everything, as ever
    Given 5 register replicas and 2 proposers, with seed 35
    And proposer 1 has written 40 keys
    When proposer 0 speaks the first version alone, and asks for the vector 2 times
    Then the last answers together bring at least 120 keys

  Scenario: An answer that was overtaken takes nothing back
    When a source's edition 7 is read before its edition 5
    Then what edition 7 brought stands
