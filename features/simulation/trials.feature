Feature: Guarantees hold under failures
  Each trial injects a failure into a simulated system under load, and all checkers are applied.

  Scenario Outline: No guarantee is violated in <trial>
    When the trial <trial> is run with seeds 1 to 1
    Then the checkers find no violation
    And at least <done> operations were completed

    Examples:
      | trial                          | done |
      | primary_killed                 | 500  |
      | primary_frozen                 | 350  |
      | primary_cut                    | 250  |
      | override_under_cut             | 350  |
      | primary_outbound_cut           | 350  |
      | holder_killed_in_failover      | 500  |
      | holder_cut_from_backends       | 500  |
      | promoted_replica_killed        | 500  |
      | replica_not_replicating        | 500  |
      | lagging_replica                | 500  |
      | slow_backend                   | 500  |
      | primary_and_replica_lost       | 500  |
      | http_proxy_killed              | 500  |
      | http_proxy_frozen              | 350  |
      | http_proxy_cut_from_backends   | 350  |
      | clients_vanish                 | 350  |
      | http_proxies_stopped           | 500  |
      | http_proxies_drained           | 400  |
      | connection_limit               | 4000 |
      | overload                       | 4000 |
      | clients_change_site            | 350  |
      | data_centre_moved              | 750  |
      | data_centre_moved_amid_crashes | 750  |
      | window_over_everything         | 500  |
      | move_cancelled                 | 400  |
      | backends_replaced              | 200  |
      | everything_killed              | 200  |
      | intermittent_freezes           | 400  |
      | late_heartbeats                | 300  |
      | register_replicas_restarted    | 500  |
      | register_majority_lost         | 500  |
      | register_disk_faults           | 350  |
      | register_replica_disk_lost     | 500  |
      | answers_lost                   | 350  |
      | answers_corrupted              | 500  |
      | promotion_lost                 | 500  |
      | backend_drains                 | 750  |
      | heartbeats_lost                | 500  |
      | rolling_restart                | 1000 |
      | configurations                 | 500  |
      | owners_killed                  | 1000 |
      | owners_frozen                  | 1000 |
      | owners_cut                     | 1000 |
      | owner_and_replica_holder       | 700  |
      | owners_stopped_and_killed      | 700  |
      | replicas_forgotten             | 500  |
      | rolling_upgrade                | 1200 |
      | unknown_version                | 400  |
      | chaos                          | 1000 |

  Scenario Outline: A fixed bug that sweeps found does not recur: <found>
    When the trial <trial> is run with seeds <seed> to <seed>
    Then the checkers find no violation

    Examples:
      | found                                                                    | trial                   | seed |
      | a primary settled without in-sync replicas lost its promotion candidates | promoted_replica_killed | 6    |
      | an HTTP proxy ended while it received a request                          | http_proxies_stopped    | 7    |
      | heartbeats queued in a frozen HTTP proxy counted as new                  | late_heartbeats         | 2    |
      | candidates that retried in lockstep split the votes for a lease          | everything_killed       | 3    |
