Feature: Incremental vectors
  A register replica sends a client the ballots that it has accepted since the revision in the client's request.

  Scenario: Answers hold no keys without changes, only changed keys after a write, and all keys after a restart
    Given 5 register replicas and 2 proposers, with seed 31
    And proposer 1 has written 40 keys
    When proposer 0 requests the vector 20 times
    Then the last answers together contain 0 keys
    When proposer 1 rewrites one of the keys, and proposer 0 requests the vector
    Then the last answers together contain at most 3 keys
    When the register replicas are restarted one by one, and proposer 0 requests the vector
    Then the last answers together contain at least 40 keys

  Scenario Outline: The next vector includes every acknowledged write while register replicas are killed and restarted
    Given 5 register replicas and 2 proposers, with seed <seed>
    When keys are written and the vector is requested 60 times, while register replicas are killed and restarted
    Then every vector has at least the ballots acknowledged before its request
    And no vector has a lower acknowledged ballot than the one before

    Examples:
      | seed |
      | 32   |
      | 33   |
      | 34   |

  Scenario: A client of protocol version 1 gets the full vector
    Given 5 register replicas and 2 proposers, with seed 35
    And proposer 1 has written 40 keys
    When proposer 0 supports only protocol version 1, and requests the vector 2 times
    Then the last answers together contain at least 120 keys

  Scenario: An answer that arrives out of order does not undo a later one
    When the answer with revision 7 of a source is applied before the one with revision 5
    Then the ballots of revision 7 are kept
