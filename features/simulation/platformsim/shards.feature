Feature: The shard map changes under traffic
  Writes go to the old service until enough proxies have agreed, then all switch together. No write is lost or doubled,
  reads stay as fresh as routed, and a proxy that is partitioned or does not agree keeps the old map.

  Scenario Outline: All rules hold in <trial>
    When platform trial <trial> runs with seeds <first> to <last>
    Then no rule reports a breach, and each was checked
    And at least <share> percent of the operations are served

    Examples: short operations, or mostly transactions
      | trial                   | share | first | last |
      | shards_short_operations | 98    | 1     | 1    |
      | shards_transactions     | 96    | 1     | 2    |

    Examples: some proxies are partitioned, frozen, or do not agree
      | trial                    | share | first | last |
      | shards_proxy_partitioned | 85    | 1     | 2    |
      | shards_proxy_frozen      | 90    | 1     | 2    |
      | shards_proxy_disagrees   | 90    | 1     | 2    |
      | shards_too_few_agree     | 99    | 1     | 1    |

    Examples: a fault during the change
      | trial                      | share | first | last |
      | shards_handover_stuck      | 90    | 1     | 1    |
      | shards_lease_holder_killed | 93    | 1     | 2    |
      | shards_two_operators       | 95    | 1     | 1    |
      | shards_primary_crash       | 90    | 1     | 2    |
      | shards_slow_handover       | 97    | 9     | 12   |

    Examples: writes sent before the closing phase must not be committed after it
      | trial                             | share | first | last |
      | shards_commit_delayed             | 98    | 1     | 1    |
      | shards_commit_delayed_partitioned | 98    | 3     | 3    |
      | shards_commit_delayed_frozen      | 98    | 1     | 1    |
      | shards_commit_delayed_killed      | 98    | 1     | 1    |
      | shards_long_transaction           | 65    | 2     | 3    |

    Examples: a fault during the change, with short operations or mostly transactions
      | trial                                                | share | first | last |
      | shards_proxy_killed_short_operations                 | 97    | 1     | 1    |
      | shards_proxy_killed_transactions                     | 97    | 2     | 2    |
      | shards_proxy_partitioned_one_way_short_operations    | 92    | 1     | 1    |
      | shards_proxy_partitioned_one_way_transactions        | 82    | 2     | 2    |
      | shards_proxy_slow_network_short_operations           | 97    | 1     | 1    |
      | shards_proxy_slow_network_transactions               | 95    | 2     | 2    |
      | shards_proxy_incompatible_short_operations           | 92    | 1     | 1    |
      | shards_proxy_incompatible_transactions               | 82    | 2     | 2    |
      | shards_register_replica_lost_short_operations        | 97    | 1     | 1    |
      | shards_register_replica_lost_transactions            | 95    | 2     | 2    |
      | shards_register_replica_restarted_short_operations   | 97    | 1     | 1    |
      | shards_register_replica_restarted_transactions       | 95    | 2     | 2    |
      | shards_lease_holder_killed_proposed_short_operations | 97    | 1     | 1    |
      | shards_lease_holder_killed_proposed_transactions     | 97    | 2     | 2    |
      | shards_lease_holder_killed_closing_short_operations  | 97    | 1     | 1    |
      | shards_lease_holder_killed_closing_transactions      | 95    | 2     | 2    |
      | shards_lease_holder_killed_steady_short_operations   | 97    | 1     | 1    |
      | shards_lease_holder_killed_steady_transactions       | 95    | 2     | 2    |
      | shards_second_proposal_short_operations              | 97    | 1     | 1    |
      | shards_second_proposal_transactions                  | 97    | 2     | 2    |
      | shards_abandoned_proposed_short_operations           | 97    | 1     | 1    |
      | shards_abandoned_proposed_transactions               | 97    | 2     | 2    |
      | shards_abandoned_closing_short_operations            | 97    | 1     | 1    |
      | shards_abandoned_closing_transactions                | 97    | 2     | 2    |
      | shards_target_crash_short_operations                 | 96    | 1     | 1    |
      | shards_target_crash_transactions                     | 95    | 2     | 2    |

  Scenario Outline: Rule <rule> detects <fault> in <trial>
    When platform trial <trial> runs with seed <seed> and the seeded bug <fault>
    Then rule <rule> reports a breach with "<words>"

    Examples:
      | fault                          | trial                             | seed | rule  | words                |
      | old_map_writes_continue        | shards_transactions               | 1    | SHARD | was handed over      |
      | map_switched_without_closing   | shards_transactions               | 1    | SHARD | was handed over      |
      | in_flight_writes_ignored       | shards_commit_delayed_partitioned | 3    | SHARD | after its handover   |
      | lapsed_proxy_ends_transactions | shards_long_transaction           | 2    | SHARD | was handed over      |
      | samples_from_before_handover   | shards_transactions               | 1    | SHARD | lacks                |
      | handover_copied_twice          | shards_transactions               | 1    | SHARD | is committed 4 times |

  Scenario: An operator dry-runs, proposes and follows a map, and a map that omits a moved database is refused
    When an operator of a serving simulated platform makes a dry run of map version 4
    Then the dry run lists the moves and the expected write pause, and changes nothing
    And a map with an unknown service or database is refused with its line, by dry run and proposal alike
    When the operator proposes the map and polls its progress until it is complete
    Then the proxies apply map version 4, and writes waited no longer than the dry run expected
    And a map that omits a moved database is refused
    And abandoning the completed change is refused

  Scenario: A controller's status lists the whole platform
    When map version 4 is applied on a serving simulated platform
    Then a controller's status lists register replicas, services, backends, proxies, leases and map version 4
