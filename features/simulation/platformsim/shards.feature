Feature: The shard map changes under traffic
  Writes keep to their usual place until enough proxies have agreed, then all move together. No write lands twice or
  nowhere, reads stay as fresh as ever, and a proxy that has not heard or does not agree holds the old map.

  Scenario Outline: No rule is broken in <trial>
    When the platform trial <trial> is played with seeds <first> to <last>
    Then no rule of the platform was broken, and each had its chances
    And at least <share> in a hundred operations were served

    Examples: a match afternoon and a month-end rush
      | trial             | share | first | last |
      | shards_in_a_match | 98    | 1     | 1    |
      | shards_in_a_rush  | 96    | 1     | 2    |

    Examples: not all proxies hear, or agree
      | trial                  | share | first | last |
      | shards_proxy_deaf      | 85    | 1     | 2    |
      | shards_proxy_frozen    | 90    | 1     | 2    |
      | shards_proxy_disagrees | 90    | 1     | 2    |
      | shards_too_few         | 99    | 1     | 1    |

    Examples: something fails meanwhile
      | trial                | share | first | last |
      | shards_not_brought   | 90    | 1     | 1    |
      | shards_holder_killed | 93    | 1     | 2    |
      | shards_two_operators | 95    | 1     | 1    |
      | shards_with_a_crash  | 90    | 1     | 2    |
      | shards_slow_handover | 97    | 9     | 12   |

    Examples: what left in time must not arrive out of time
      | trial                        | share | first | last |
      | shards_commit_held_up        | 98    | 1     | 1    |
      | shards_commit_held_up_deaf   | 98    | 3     | 3    |
      | shards_commit_held_up_frozen | 98    | 1     | 1    |
      | shards_commit_held_up_killed | 98    | 1     | 1    |
      | shards_long_transaction      | 65    | 2     | 3    |

    Examples: a match afternoon and a month-end rush, and everything that can happen in the middle
      | trial                                    | share | first | last |
      | shards_proxy_killed_in_a_match           | 97    | 1     | 1    |
      | shards_proxy_killed_in_a_rush            | 97    | 2     | 2    |
      | shards_proxy_cut_one_way_in_a_match      | 92    | 1     | 1    |
      | shards_proxy_cut_one_way_in_a_rush       | 82    | 2     | 2    |
      | shards_proxy_late_in_a_match             | 97    | 1     | 1    |
      | shards_proxy_late_in_a_rush              | 95    | 2     | 2    |
      | shards_proxy_old_in_a_match              | 92    | 1     | 1    |
      | shards_proxy_old_in_a_rush               | 82    | 2     | 2    |
      | shards_register_replica_lost_in_a_match             | 97    | 1     | 1    |
      | shards_register_replica_lost_in_a_rush              | 95    | 2     | 2    |
      | shards_register_replica_restarted_in_a_match        | 97    | 1     | 1    |
      | shards_register_replica_restarted_in_a_rush         | 95    | 2     | 2    |
      | shards_holder_killed_proposed_in_a_match | 97    | 1     | 1    |
      | shards_holder_killed_proposed_in_a_rush  | 97    | 2     | 2    |
      | shards_holder_killed_closing_in_a_match  | 97    | 1     | 1    |
      | shards_holder_killed_closing_in_a_rush   | 95    | 2     | 2    |
      | shards_holder_killed_steady_in_a_match   | 97    | 1     | 1    |
      | shards_holder_killed_steady_in_a_rush    | 95    | 2     | 2    |
      | shards_second_begun_in_a_match           | 97    | 1     | 1    |
      | shards_second_begun_in_a_rush            | 97    | 2     | 2    |
      | shards_abandoned_proposed_in_a_match     | 97    | 1     | 1    |
      | shards_abandoned_proposed_in_a_rush      | 97    | 2     | 2    |
      | shards_abandoned_closing_in_a_match      | 97    | 1     | 1    |
      | shards_abandoned_closing_in_a_rush       | 97    | 2     | 2    |
      | shards_new_place_crash_in_a_match        | 96    | 1     | 1    |
      | shards_new_place_crash_in_a_rush         | 95    | 2     | 2    |

  Scenario Outline: <fault> is seen in <trial>
    When the platform trial <trial> is played with seed <seed> and the fault <fault>
    Then the rule <rule> was seen broken: "<words>"

    Examples:
      | fault               | trial             | seed | rule  | words           |
      | old_map_writes_on   | shards_in_a_rush  | 1    | SHARD | has left it     |
      | moves_unclosed      | shards_in_a_rush  | 1    | SHARD | has left it     |
      | unanswered_forgotten | shards_commit_held_up_deaf | 3 | SHARD | after it has left |
      | untold_ends         | shards_long_transaction | 2 | SHARD | has left it     |
      | samples_from_before | shards_in_a_rush  | 1    | SHARD | lacks           |
      | brought_twice       | shards_in_a_rush  | 1    | SHARD | stands 4 times  |

  Scenario: An operator plans a map, begins it, follows it, and may not lose a database by the next one
    When a simulated platform serves, and an operator plans the map of version 4
    Then what it would do is told, and how long writes would wait, and nothing has changed
    And a map that names an unknown place or database is refused with its line, planned and begun alike
    When the operator begins it and follows it to its end
    Then the proxies hold the map of version 4, and writes waited for no longer than was foretold
    And a map that is silent on a database that has moved is refused
    And nothing is there to give up any more

  Scenario: An operator sees what a controller knows
    When a simulated platform serves, and the map of version 4 is put to its proxies
    Then a controller tells of the register replicas, services, backends, proxies, duties and the map of version 4
