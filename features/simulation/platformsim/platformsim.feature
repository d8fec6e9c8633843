Feature: The roles on a simulated platform
  Clients, backends, operators and the platform are stand-ins on virtual time; proxies and controllers are the real ones.
  Every rule has its checker, and a trial in which a checker had no chance has failed.

  Scenario Outline: No rule is broken in <trial>
    When the platform trial <trial> is played with seeds 1 to <last>
    Then no rule of the platform was broken, and each had its chances
    And at least <share> in a hundred operations were served

    Examples: nothing happens
      | trial    | share | last |
      | calm_day | 100   | 1    |

    Examples: a lead moves
      | trial                       | share | last |
      | primary_crash               | 93    | 2    |
      | dark_primary                | 93    | 2    |
      | primary_crash_replica_deaf     | 93    | 2    |
      | replicas_lag                  | 95    | 1    |
      | replica_crash                  | 98    | 1    |
      | release_primary             | 97    | 2    |
      | release_replicas              | 99    | 1    |
      | release_primary_soon        | 90    | 3    |
      | release_primary_alone       | 90    | 3    |
      | release_both                | 97    | 1    |
      | release_both_far            | 95    | 2    |
      | release_primary_replicas_deaf | 93    | 1    |
      | leaving_primary_crash       | 93    | 2    |
      | candidate_crash             | 85    | 1    |
      | far_regions                 | 85    | 3    |
      | primary_cut                 | 90    | 1    |
      | primary_cut_from_proxies     | 93    | 3    |
      | silence_looked_at           | 80    | 2    |
      | primary_dies_behind_detours | 85    | 3    |
      | platform_troubled           | 90    | 1    |

    Examples: whoever moves it is troubled
      | trial                     | share | last |
      | holder_killed             | 90    | 2    |
      | two_holders               | 93    | 2    |
      | proxy_cut_off             | 93    | 2    |
      | proxy_cut_off_unconfirmed | 93    | 1    |
      | proxy_frozen_in_move      | 93    | 1    |

    Examples: machines are killed, frozen, stopped, or left without power
      | trial              | share | last |
      | controller_killed   | 99    | 1    |
      | backends_unheard   | 90    | 1    |
      | controller_wiped    | 99    | 1    |
      | controllers_stopped | 99    | 1    |
      | newest_on_one      | 96    | 2    |
      | proxies_killed      | 93    | 1    |
      | proxies_frozen      | 93    | 1    |
      | proxies_stopped     | 99    | 1    |
      | proxy_alone        | 98    | 2    |
      | all_killed         | 90    | 2    |
      | all_powered_off    | 90    | 1    |

    Examples: machines of control are lost one after the other, as soon as each loss may come
      | trial               | share | last |
      | replaced_then_wiped | 99    | 2    |
      | replaced_thrice     | 99    | 2    |
      | wiped_thrice        | 99    | 2    |
      | returned_then_lost  | 99    | 2    |
      | drawn_at_random     | 98    | 3    |

    Examples: what daemons of control answer, cut off, to two operators, to orders sent again
      | trial            | share | last |
      | cut_off_for_long | 97    | 4    |
      | orders_race      | 99    | 2    |
      | orders_at_once   | 99    | 2    |

    Examples: answers, links and configurations
      | trial                      | share | last |
      | answers_lost               | 95    | 2    |
      | backends_slow              | 95    | 1    |
      | connections_reset          | 95    | 1    |
      | connections_refused        | 93    | 1    |
      | configurations             | 99    | 2    |
      | configurations_under_kills | 99    | 1    |

    Examples: 3 links to a backend for 6 proxies
      | trial                    | share | last |
      | few_links_calm           | 99    | 1    |
      | few_links_killed         | 93    | 1    |
      | few_links_frozen         | 93    | 2    |
      | few_links_frozen_in_move | 93    | 1    |
      | few_links_stopped        | 98    | 1    |
      | few_links_promoted       | 93    | 1    |
      | few_links_released       | 97    | 1    |
      | few_links_all_killed     | 85    | 1    |
      | few_links_old_primary    | 93    | 2    |
      | few_links_ids_change     | 98    | 1    |
      | few_links_answers_lost   | 93    | 1    |
      | few_links_shards         | 95    | 1    |
      | few_links_mixed          | 85    | 1    |

    Examples: several at once
      | trial | share | last |
      | mixed | 88    | 2    |

  Scenario: The same seed is the same run
    When the platform trial primary_crash is played with seeds 3 to 3
    Then the same seed once more is the same run

  Scenario: A controller tells how many more losses are borne, and since when votes are missing
    When a simulated platform serves, and a controller is lost for good
    Then each controller tells of its votes "2 of 3, epoch 1, bears the loss of 0 more, VOTES MISSING for \d+ s"
    And each controller has counted looks at which votes were missing
    When an empty one takes its place
    Then each controller tells of its votes "3 of 3, epoch 3, bears the loss of 1 more; standing by: nobody"

  Scenario: One seed is gone from the first moment on
    When a simulated platform begins while one of its three seeds is dark
    Then each controller tells of its votes "2 of 3, epoch 1, bears the loss of 0 more"
    When the seed that was dark starts at last
    Then each controller tells of its votes "3 of 3, epoch 2, bears the loss of 1 more; standing by: nobody"

  Scenario: A machine that missed hundreds of changes has them all within its time, and disks stay bounded
    When a simulated platform serves, and a controller is without power while 600 orders are confirmed
    Then from the 200th order on no disk has grown by more than a log's length
    When the controller has power again
    Then within 4000 ms it votes, knows the newest order, and holds it on its disk

  Scenario: Of many standbys two watch the voters closely, and others take over from them
    When a simulated platform serves, and 5 empty controllers stand by
    Then 2 of those that stand by are in line for a place
    And a greeting is answered with the roster alone
    When those that are in line are lost for good
    Then 2 of those that stand by are in line for a place
