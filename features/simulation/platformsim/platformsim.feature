Feature: Proxies and controllers on a simulated platform
  Clients, backends, operators and the platform are stand-ins on virtual time; proxies and controllers are the real ones.
  Every rule has its checker, and a trial in which a required rule was never checked fails.

  Scenario Outline: All rules hold in <trial>
    When platform trial <trial> runs with seeds 1 to <last>
    Then no rule reports a breach, and each was checked
    And at least <share> percent of the operations are served

    Examples: no faults
      | trial    | share | last |
      | calm_day | 100   | 1    |

    Examples: a primary fails or is drained
      | trial                                   | share | last |
      | primary_crash                           | 93    | 2    |
      | primary_unreachable                     | 93    | 2    |
      | primary_crash_replication_interrupted   | 93    | 2    |
      | replicas_lag                            | 95    | 1    |
      | replica_crash                           | 98    | 1    |
      | release_primary                         | 97    | 2    |
      | release_replicas                        | 99    | 1    |
      | release_primary_short_drain             | 90    | 3    |
      | release_primary_without_replicas        | 90    | 3    |
      | release_primary_and_replica             | 97    | 1    |
      | release_primary_and_replica_far_regions | 95    | 2    |
      | release_primary_replication_interrupted | 93    | 1    |
      | draining_primary_crash                  | 93    | 2    |
      | candidate_crash                         | 85    | 1    |
      | far_regions                             | 85    | 3    |
      | primary_partitioned                     | 90    | 1    |
      | primary_partitioned_from_proxies        | 93    | 3    |
      | silent_primary_other_links_probed       | 80    | 2    |
      | primary_crash_behind_detours            | 85    | 3    |
      | platform_unavailable                    | 90    | 1    |

    Examples: a replica begins to confirm commits of a primary that the controllers can't reach
      | trial                            | share | last |
      | replica_joins_during_failover    | 93    | 3    |
      | replica_joins_before_failover    | 93    | 4    |
      | unheard_replica_at_primary_crash | 90    | 5    |
      | paused_replica_restarts          | 93    | 6    |

    Examples: all controllers restart, and have not heard of the replica with the newest commits when the primary crashes
      | trial                             | share | last |
      | controllers_killed_replica_silent | 90    | 3    |
      | controllers_killed_replica_down   | 90    | 3    |
      | controllers_killed_replica_leaves | 90    | 3    |
      | controllers_killed_primary_leaves | 95    | 3    |

    Examples: controllers or proxies fail during a failover
      | trial                                 | share | last |
      | lease_holder_killed                   | 90    | 2    |
      | two_lease_holders                     | 93    | 2    |
      | proxy_partitioned                     | 93    | 2    |
      | proxy_partitioned_unconfirmed_commits | 93    | 1    |
      | proxy_frozen_during_failover          | 93    | 1    |

    Examples: machines are killed, frozen, stopped, partitioned, or lose power
      | trial                          | share | last |
      | controller_killed              | 99    | 1    |
      | heartbeats_lost                | 90    | 1    |
      | controller_wiped               | 99    | 1    |
      | controllers_stopped            | 99    | 1    |
      | newest_configuration_disk_lost | 96    | 2    |
      | proxies_killed                 | 93    | 1    |
      | proxies_frozen                 | 93    | 1    |
      | proxies_stopped                | 99    | 1    |
      | proxy_partitioned_beyond_lease | 98    | 2    |
      | all_killed                     | 90    | 2    |
      | all_powered_off                | 90    | 1    |

    Examples: controllers are lost in succession, each as soon as the rules of operation allow it
      | trial                 | share | last |
      | replaced_then_wiped   | 99    | 2    |
      | replaced_three_times  | 99    | 2    |
      | wiped_three_times     | 99    | 2    |
      | partitioned_then_lost | 99    | 2    |
      | random_losses         | 98    | 3    |

    Examples: answers of controllers that are partitioned, to concurrent operators, to repeated configurations
      | trial                      | share | last |
      | controller_partitioned     | 97    | 4    |
      | configurations_conflicting | 99    | 2    |
      | configurations_concurrent  | 99    | 2    |

    Examples: lost answers, failing connections and configurations
      | trial                      | share | last |
      | answers_lost               | 95    | 2    |
      | backends_slow              | 95    | 1    |
      | connections_reset          | 95    | 1    |
      | connections_refused        | 93    | 1    |
      | configurations             | 99    | 2    |
      | configurations_under_kills | 99    | 1    |

    Examples: 3 links to a backend for 6 proxies
      | trial                            | share | last |
      | few_links_calm                   | 99    | 1    |
      | few_links_killed                 | 93    | 1    |
      | few_links_frozen                 | 93    | 2    |
      | few_links_frozen_during_failover | 93    | 1    |
      | few_links_stopped                | 98    | 1    |
      | few_links_promoted               | 93    | 1    |
      | few_links_released               | 97    | 1    |
      | few_links_all_killed             | 85    | 1    |
      | few_links_old_primary            | 93    | 2    |
      | few_links_ids_change             | 98    | 1    |
      | few_links_answers_lost           | 93    | 1    |
      | few_links_shards                 | 95    | 1    |
      | few_links_mixed                  | 85    | 1    |

    Examples: several faults at once
      | trial        | share | last |
      | mixed_faults | 88    | 2    |

    # guards against the loss of commits that a leaving replica confirms, which no controller remembers
    Examples: all controllers restart after a replica has left, and the primary is cut off from them alone
      | trial                                                 | share | last |
      | controllers_killed_replica_leaves_primary_partitioned | 90    | 5    |

    # guards against a service that waits for ever for a log that is lost
    Examples: the backends with the log up to a promotion's fence are lost
      | trial                        | share | last |
      | stepped_down_primary_lost    | 85    | 6    |
      | stepped_down_primary_returns | 85    | 3    |

    # guards against a service without a primary for good: the returned one can't be paused, and nothing replaces it
    Examples: a primary is back under another name
      | trial                                      | share | last |
      | primary_returns_renamed                    | 90    | 5    |
      | primary_returns_renamed_replica_down       | 90    | 3    |
      | primary_returns_renamed_repeatedly         | 90    | 5    |
      | primary_returns_renamed_controllers_killed | 90    | 5    |

  Scenario: Two runs with the same seed have the same result
    When platform trial primary_crash runs with seeds 3 to 3
    Then another run with the same seed has the same result

  Scenario: Controllers report missing votes and the tolerated losses after a controller is lost and replaced
    When a controller of a serving simulated platform is lost for good
    Then each controller reports its votes as "2 of 3, epoch 1, tolerates the loss of 0 more, VOTES MISSING for \d+ s"
    And each controller has counted samples with missing votes
    When an empty controller replaces it
    Then each controller reports its votes as "3 of 3, epoch 3, tolerates the loss of 1 more; standbys: nobody"

  Scenario: A platform starts with two of three seeds, and the third joins later
    When a simulated platform starts while one of its three seeds is unreachable
    Then each controller reports its votes as "2 of 3, epoch 1, tolerates the loss of 0 more"
    When the missing seed starts
    Then each controller reports its votes as "3 of 3, epoch 2, tolerates the loss of 1 more; standbys: nobody"

  Scenario: A controller that missed 600 configurations catches up in time, and disks stay bounded
    When a controller of a serving simulated platform has no power while 600 configurations are confirmed
    Then from the 200th configuration on no disk has grown by more than a log's length
    When the controller's power returns
    Then within 4000 ms it votes, knows the newest configuration, and holds it on its disk

  Scenario: Two of five standbys watch for a vacancy, and others replace them when they are lost
    When 5 empty controllers join a serving simulated platform as standbys
    Then 2 standbys watch for a vacancy
    And a join request is answered with the roster alone
    When the standbys that watch are lost for good
    Then 2 standbys watch for a vacancy
