Feature: The checkers can fail
  A fault is switched into the code under test; the checker for the promise that it breaks must see it.

  Scenario Outline: <fault> is seen in <trial>
    When the trial <trial> is run with seeds <seed> to <seed> and the fault <fault>
    Then the checkers find "<words>"

    Examples:
      | fault             | trial            | seed | words                   |
      | ack_at_once         | primary_cut       | 2    | acknowledged and lost   |
      | view_forever       | primary_cut       | 1    | primary read            |
      | promote_at_once     | override_under_cut | 8    | primary read            |
      | send_again         | answers_lost      | 1    | twice from one try      |
      | say_nothing_kept    | answers_lost      | 1    | and kept                |
      | any_age            | lagging_replica   | 1    | live read               |
      | deaf_to_emptying    | backend_empties   | 1    | asked after emptying    |
      | no_versions        | configurations   | 1    | an old version          |
      | forgetful_register_replica    | register_replicas_turned     | 1    | read back               |
      | leave_transactions | clients_vanish    | 1    | another's transaction   |
      | other_text         | http_proxy_killed      | 1    | nobody sent             |
      | mixed_values       | http_proxy_killed      | 1    | was shown               |
      | deaf_to_windows     | data_centre_moved        | 1    | still in the old hall   |
      | lose_sessions      | data_centre_moved        | 1    | sessions were lost      |
      | newest_always      | upgraded_in_turn   | 1    | is ready                |
      | never_move         | primary_killed    | 1    | service not back        |
      | forget_floor       | lagging_replica   | 1    | its own session's       |
      | take_anything      | configurations   | 1    | a broken configuration  |
      | older_again        | configurations   | 1    | fell back from          |
      | altered_read_back   | register_replicas_turned     | 1    | read back               |
      | deaf_to_quiet       | primary_frozen    | 1    | asked after going quiet |
      | held_denials       | primary_killed    | 1    | came only after         |
      | no_retry_after      | primary_killed    | 1    | without when to come    |
      | drop_at_stop        | http_proxies_stopped    | 2    | was dropped by          |
      | other_params       | http_proxy_killed      | 1    | nobody sent             |
      | lose_prepared      | http_proxies_stopped    | 1    | lost what it had        |
      | never_give_up       | primary_muted     | 6    | came only after         |
      | whole_cap          | cap_held          | 1    | was given               |
      | no_replicas          | http_proxy_killed      | 1    | sessions were lost      |
      | any_handle         | owners_frozen     | 1    | was shown               |
      | keep_replicas        | replicas_forgotten  | 1    | still holds             |
      | open_all           | data_centre_moved        | 1    | a storm after           |
