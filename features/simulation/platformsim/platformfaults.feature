Feature: The checkers of the simulated platform can fail
  A fault is switched into the code under test; the checker of the rule that it breaks must see it.

  Scenario Outline: <fault> is seen in <trial>
    When the platform trial <trial> is played with seed <seed> and the fault <fault>
    Then the rule <rule> was seen broken: "<words>"

    Examples:
      | fault              | trial                     | seed | rule    | words                             |
      | answer_to_nothing  | calm_day                  | 1    | WIRE    | is told b'READY I -'              |
      | other_text         | calm_day                  | 1    | UNASKED | and ran                           |
      | commit_for_leavers | calm_day                  | 1    | UNASKED | of nobody's                       |
      | other_service      | calm_day                  | 1    | ROUTE   | ran on                            |
      | rows_kept          | calm_day                  | 1    | MIXED   | was told                          |
      | any_values         | calm_day                  | 1    | PINNED  | values                            |
      | shared_links       | calm_day                  | 1    | PINNED  | transaction                       |
      | write_again        | answers_lost              | 1    | TWICE   | stands in                         |
      | promise_unknown    | answers_lost              | 1    | REFUSED | and is kept                       |
      | view_forever       | proxy_cut_off_unconfirmed | 1    | ONE     | by old primary                    |
      | no_guard           | replicas_lag                | 2    | STALE   | recent_enough read                |
      | own_forgotten      | replicas_lag                | 1    | STALE   | self_hosted read                  |
      | pooled_for_new     | replicas_lag                | 2    | STALE   | recent_enough read                |
      | worst_replica         | primary_crash_replica_deaf   | 1    | LOST    | leads without                     |
      | drop_at_stop       | proxies_stopped            | 1    | LOST    | closed on                         |
      | deaf_to_emptying   | release_replicas            | 1    | DRAIN   | after it said it leaves           |
      | first_plan_forever | configurations            | 1    | CONFIG  | was acknowledged                  |
      | plan_back_and_forth | configurations           | 1    | CONFIG  | was seen there                    |
      | take_anything      | configurations            | 1    | CONFIG  | something invalid got 200         |
      | older_again        | configurations            | 1    | CONFIG  | is read back,                     |
      | altered_read_back  | calm_day                  | 1    | CONFIG  | read back otherwise than sent     |
      | disks_forget       | all_killed                | 1    | RECOVER | served after the closing fault    |

    Examples: what daemons of control answer
      | fault                 | trial            | seed | rule   | words                              |
      | any_content_confirmed | orders_race      | 1    | CONFIG | two contents are confirmed         |
      | same_order_refused    | orders_race      | 1    | CONFIG | was confirmed, and is refused      |
      | serves_alone          | cut_off_for_long | 1    | CONFIG | is cut off, and answers 200        |
      | confirms_alone        | cut_off_for_long | 4    | DRAIN  | after it said it leaves            |

    Examples: statements passed on between proxies
      | fault               | trial                  | seed | rule    | words                      |
      | forwards_unchecked  | few_links_frozen       | 7    | LATE    | after its client's answer  |
      | forwards_promised   | few_links_answers_lost | 2    | TWICE   | stands in                  |
      | forwards_any_values | few_links_calm         | 1    | PINNED  | values                     |
      | links_at_once       | few_links_ids_change   | 2    | CAP     | proxies hold 4 of 9         |

  Scenario: A run in which a checker had no chance has failed
    When the platform trial calm_day is played with seed 1 and no clients
    Then the rule STALE had no chance, and the run has failed
