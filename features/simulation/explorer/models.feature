Feature: Small cases of the register, the lease and the roster's change, explored exhaustively
  Every way that a few real register replicas and clients can go, within bounds; wider ones by hand.

  Scenario Outline: <model> within <turns> turns
    When the model "<model>" is explored within <turns> turns
    Then no state is wrong, and all of at least <states> within the bounds were seen

    Examples:
      | model                | turns | states |
      | register             | 1     | 2000   |
      | after_ack_wipe       | 1     | 5000   |
      | after_ack_wipe_moved | 1     | 5000   |
      | lease                | 1     | 2000   |
      | lease_roster         | 1     | 4000   |
      | roster_change        | 1     | 10000  |
      | roster_leaving       | 2     | 30000  |
      | returning            | 2     | 150000 |

  Scenario: All short ways of the register, without turns
    When the model "register" is explored to depth 4
    Then no state is wrong, and all of at least 2000 within the bounds were seen

  Scenario Outline: <fault> is seen in <model>
    When the model "<model>" is explored within <turns> turns with the fault <fault> and <budget>
    Then a state is wrong: "<words>"

    Examples:
      | fault                 | model          | turns | budget             | words                            |
      | answers_before_sync   | register       | 1     | its own budget     | a majority of epoch 1 lacks it   |
      | accepts_any_ballot    | register       | 2     | its own budget     | version 2 is                     |
      | blank_replica_votes           | after_ack_wipe | 1     | its own budget     | a majority of epoch 1 lacks it   |
      | no_lease_margin             | lease          | 2     | 3 passes           | hold the duty at once            |
      | grants_after_restart        | lease          | 1     | its own budget     | hold the duty at once            |
      | reuses_lease_number           | lease          | 2     | nothing            | hold the duty at once            |
      | skips_lease_wait | lease_roster   | 2     | nothing            | hold the duty at once            |
      | ignores_concurrent_change     | roster_leaving | 2     | its own budget     | a majority of epoch 3 lacks it   |
      | replaces_two_voters           | roster_change  | 1     | its own budget     | a majority of epoch 2 lacks it   |
      | keeps_removed_voter_cells        | returning      | 1     | its own budget     | version 2 is                     |
      | readds_voter_with_stale_roster         | returning      | 1     | its own budget     | version 2 is                     |
