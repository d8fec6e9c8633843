Feature: Small models of the register, the lease and the roster change are explored exhaustively
  All schedules of a few real register replicas and clients within bounds. The command line explores with wider bounds.

  Scenario Outline: No invariant is violated in <model> within <turns> turns
    When the model "<model>" is explored within <turns> turns
    Then no state violates an invariant, and all states within the bounds, at least <states>, were explored

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

  Scenario: No invariant is violated on short paths of the register without a bound on turns
    When the model "register" is explored to depth 4
    Then no state violates an invariant, and all states within the bounds, at least 2000, were explored

  Scenario Outline: The seeded bug <fault> violates an invariant in <model>
    When the model "<model>" is explored within <turns> turns with the seeded bug <fault> and the budget "<budget>"
    Then a violation with "<words>" is reported with its counterexample

    Examples:
      | fault                             | model          | turns | budget   | words                          |
      | answers_before_sync               | register       | 1     | default  | a majority of epoch 1 lacks it |
      | accepts_any_ballot                | register       | 2     | default  | version 2 is                   |
      | blank_replica_votes               | after_ack_wipe | 1     | default  | a majority of epoch 1 lacks it |
      | no_lease_margin                   | lease          | 2     | 3 passes | hold the lease at once         |
      | grants_after_restart              | lease          | 1     | default  | hold the lease at once         |
      | reuses_lease_number               | lease          | 2     | empty    | hold the lease at once         |
      | skips_lease_wait                  | lease_roster   | 2     | empty    | hold the lease at once         |
      | continues_after_concurrent_change | roster_leaving | 2     | default  | a majority of epoch 3 lacks it |
      | replaces_two_voters               | roster_change  | 1     | default  | a majority of epoch 2 lacks it |
      | keeps_removed_voter_cells         | returning      | 1     | default  | version 2 is                   |
      | readds_voter_with_stale_roster    | returning      | 1     | default  | version 2 is                   |
