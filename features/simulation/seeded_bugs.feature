Feature: The checkers detect seeded bugs
  Each seeded bug breaks one guarantee of the code under test; the checker of that guarantee must report it.

  Scenario Outline: <bug> is detected in <trial>
    When the trial <trial> is run with seeds <seed> to <seed> and the seeded bug <bug>
    Then the checkers report "<text>"

    Examples:
      | bug                             | trial                       | seed | text                                   |
      | ack_before_replication          | primary_cut                 | 2    | acknowledged and lost                  |
      | view_never_expires              | primary_cut                 | 1    | primary read                           |
      | promote_without_waiting         | override_under_cut          | 8    | primary read                           |
      | resend_unknown_write            | answers_lost                | 1    | applied twice                          |
      | unknown_reported_as_lost        | answers_lost                | 1    | but applied                            |
      | unbounded_staleness             | lagging_replica             | 1    | live read                              |
      | ignore_draining_backend         | backend_drains              | 1    | requested after draining               |
      | no_version_check                | configurations              | 1    | an older version was accepted          |
      | register_replica_not_persistent | register_replicas_restarted | 1    | read back after                        |
      | pool_open_transaction           | clients_vanish              | 1    | another client's transaction           |
      | alter_statement_text            | http_proxy_killed           | 1    | not sent by any client                 |
      | shared_session_values           | http_proxy_killed           | 1    | read session value                     |
      | ignore_windows                  | data_centre_moved           | 1    | still in the old data centre           |
      | drop_sessions_on_drain          | data_centre_moved           | 1    | sessions were lost                     |
      | ignore_peer_version             | rolling_upgrade             | 1    | is ready                               |
      | never_fail_over                 | primary_killed              | 1    | service not restored                   |
      | no_read_your_writes             | lagging_replica             | 1    | its own session's commit               |
      | no_configuration_check          | configurations              | 1    | a malformed configuration was accepted |
      | configuration_rollback          | configurations              | 1    | went back from                         |
      | reformat_configuration          | register_replicas_restarted | 1    | read back after                        |
      | ignore_silent_backend           | primary_frozen              | 1    | requested after falling silent         |
      | delayed_rejections              | primary_killed              | 1    | came only after                        |
      | no_retry_after                  | primary_killed              | 1    | without a valid retry time             |
      | stop_without_drain              | http_proxies_stopped        | 2    | was dropped by                         |
      | alter_params                    | http_proxy_killed           | 1    | not sent by any client                 |
      | drop_prepared_on_handover       | http_proxies_stopped        | 1    | lost its prepared statement            |
      | wait_for_dead_backend           | primary_outbound_cut        | 6    | came only after                        |
      | ignore_connection_share         | connection_limit            | 1    | connections at once, limit             |
      | no_session_replicas             | http_proxy_killed           | 1    | sessions were lost                     |
      | ignore_session_token_tag        | owners_frozen               | 1    | read session value                     |
      | keep_stale_replicas             | replicas_forgotten          | 1    | still holds                            |
      | open_all_connections            | data_centre_moved           | 1    | connection storm after                 |
