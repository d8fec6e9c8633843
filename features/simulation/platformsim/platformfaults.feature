Feature: Checkers of the simulated platform detect seeded bugs
  A bug is patched into the code under test; the checker of the rule that it breaks must report a breach.

  Scenario Outline: Rule <rule> detects <fault> in <trial>
    When platform trial <trial> runs with seed <seed> and the seeded bug <fault>
    Then rule <rule> reports a breach with "<words>"

    Examples:
      | fault                            | trial                                 | seed | rule    | words                                     |
      | unsolicited_answer               | calm_day                              | 1    | WIRE    | received b'READY I -'                     |
      | altered_text                     | calm_day                              | 1    | UNASKED | but a backend got                         |
      | rollback_commits                 | calm_day                              | 1    | UNASKED | without a client's id                     |
      | wrong_service                    | calm_day                              | 1    | ROUTE   | was executed by                           |
      | rows_duplicated                  | calm_day                              | 1    | MIXED   | received stamp                            |
      | session_values_not_replayed      | calm_day                              | 1    | PINNED  | values                                    |
      | links_shared                     | calm_day                              | 1    | PINNED  | transaction                               |
      | unknown_write_retried            | answers_lost                          | 4    | TWICE   | is committed in entries                   |
      | unknown_outcome_reported_aborted | answers_lost                          | 1    | REFUSED | but is committed                          |
      | view_never_expires               | proxy_partitioned_unconfirmed_commits | 1    | ONE     | by replaced primary                       |
      | reads_unguarded                  | replicas_lag                          | 2    | STALE   | recent_enough read                        |
      | own_commits_ignored              | replicas_lag                          | 1    | STALE   | self_hosted read                          |
      | old_samples_taken_as_new         | replicas_lag                          | 2    | STALE   | recent_enough read                        |
      | least_current_replica_promoted   | primary_crash_replication_interrupted | 1    | LOST    | was promoted without acknowledged commit  |
      | successor_unchecked              | paused_replica_restarts               | 4    | LOST    | was promoted without acknowledged commit  |
      | late_commits_acknowledged        | replica_joins_before_failover         | 4    | LOST    | was promoted without acknowledged commit  |
      | drain_drops_connections          | proxies_stopped                       | 2    | LOST    | closed the connection during              |
      | drain_ignored                    | release_replicas                      | 1    | DRAIN   | after its draining was acknowledged       |
      | plan_never_updated               | configurations                        | 1    | CONFIG  | was acknowledged                          |
      | plan_alternates                  | configurations                        | 1    | CONFIG  | was observed there                        |
      | invalid_plan_acknowledged        | configurations                        | 1    | CONFIG  | an invalid configuration got status 200   |
      | older_plan_accepted              | configurations                        | 1    | CONFIG  | is read back,                             |
      | altered_read_back                | calm_day                              | 1    | CONFIG  | is read back with other content than sent |
      | disk_reads_empty                 | all_killed                            | 1    | RECOVER | operations served after the final restart |

    Examples: answers of controllers
      | fault                      | trial                      | seed | rule   | words                                                      |
      | conflicting_plan_confirmed | configurations_conflicting | 1    | CONFIG | two contents are confirmed                                 |
      | repeated_plan_refused      | configurations_conflicting | 1    | CONFIG | was confirmed earlier, but is refused                      |
      | read_without_majority      | controller_partitioned     | 1    | CONFIG | is partitioned from the majority, but answers GET with 200 |
      | confirmed_without_majority | controller_partitioned     | 4    | DRAIN  | after its draining was acknowledged                        |

    Examples: the record of a service's backends
      | fault                       | trial                                                 | seed | rule  | words                                    |
      | unheard_replicas_uncounted  | controllers_killed_replica_silent                     | 1    | LOST  | was promoted without acknowledged commit |
      | departures_unrecorded       | controllers_killed_primary_leaves                     | 1    | DRAIN | after its draining was acknowledged      |
      | departed_replicas_forgotten | controllers_killed_replica_leaves_primary_partitioned | 5    | LOST  | was promoted without acknowledged commit |

    Examples: acknowledged commits that no known replica has
      | fault                        | trial                            | seed | rule | words                                    |
      | commits_before_pause_ignored | unheard_replica_at_primary_crash | 1    | LOST | was promoted without acknowledged commit |

    Examples: the backends with the log up to a promotion's fence are lost
      | fault                 | trial                     | seed | rule    | words                    |
      | fence_never_withdrawn | stepped_down_primary_lost | 3    | PRIMARY | no commit of ledger0 was |

    Examples: a primary is back under another name
      | fault                       | trial                                      | seed | rule    | words                              |
      | returned_primary_waited_for | primary_returns_renamed                    | 5    | PRIMARY | no commit of ledger0 was           |
      | returned_primary_waited_for | primary_returns_renamed_replica_down       | 1    | PRIMARY | no commit of ledger0 was           |
      | returned_primary_waited_for | primary_returns_renamed_controllers_killed | 5    | PRIMARY | no commit of ledger0 was           |

    Examples: statements forwarded between proxies
      | fault                         | trial                  | seed | rule   | words                     |
      | forwards_unchecked            | few_links_frozen       | 7    | LATE   | after its client's answer |
      | lost_forwards_reported_unsent | few_links_answers_lost | 2    | TWICE  | is committed in entries   |
      | forward_values_not_replayed   | few_links_calm         | 1    | PINNED | values                    |
      | link_limits_raised_at_once    | few_links_ids_change   | 2    | CAP    | proxies hold 4 of 9       |

  Scenario: A run in which a rule was never checked fails
    When platform trial calm_day runs with seed 1 and no clients
    Then the run fails because rule STALE was never checked
