Feature: Settings files and flags
  Flags override the file. An error is one line with the file, line, key and reason.

  Scenario Outline: A settings file with <change> is rejected
    Given a valid settings file
    When it is read with <change>
    Then the settings are rejected with "<words>"

    Examples:
      | change                                                     | words                                           |
      | colour = "red"                                             | :8: colour: Unknown field                       |
      | site = 3                                                   | :2: site: Not a valid string                    |
      | records = "here"                                           | :3: records: 'here' is not an address           |
      | records = "127.0.0.1:0"                                    | :3: records: '127.0.0.1:0' has no port          |
      | seeds = ["127.0.0.1:1"]                                    | :5: seeds: three seed addresses are needed      |
      | seeds = ["127.0.0.1:1", "127.0.0.1:2", "x"]                | :5: seeds: 'x' is not an address                |
      | founding_replicas = 0                                      | :6: founding_replicas: Must be                  |
      | log_level = "loud"                                         | :7: log_level: Must be one of                   |
      | queue_limit = 0                                            | :8: queue_limit: Must be                        |
      | queueMost = 0                                              | :8: queueMost: Must be                          |
      | logLevel = "debug"                                         | :8: logLevel: is the old name of log_level      |
      | site =                                                     | not TOML: Invalid value (at line 2              |

  Scenario: Flags override the file, and are validated like it
    Given a valid settings file
    Then the flag site as "montego" gives the site "montego"
    And the flag records as "x" is rejected with "records: 'x' is not an address"

  Scenario: A missing settings file is rejected with the reason
    Then reading "/nowhere/at/all.toml" is rejected with "can't be read: No such file or directory"

  Scenario Outline: The old name <old> sets <new>, with one warning that states the new name
    Given a valid settings file without <new>
    When it is read with <old> = <value>
    Then the setting <new> is <value>
    And a single warning contains "<old> (now <new>)"

    Examples:
      | old               | new                 | value   |
      | foundingVaults    | founding_replicas   | 3       |
      | logLevel          | log_level           | "debug" |
      | drainWaitUs       | drain_wait_us       | 1       |
      | queueMost         | queue_limit         | 2       |
      | idleTransactionUs | idle_transaction_us | 3       |
      | idleSessionUs     | idle_session_us     | 4000000 |
      | mostVaults        | max_voters          | 5       |
      | mayFound          | may_found           | false   |
      | catchUpUs         | catch_up_us         | 6       |
      | leaveWithinUs     | leave_within_us     | 7       |
      | probeEveryUs      | probe_every_us      | 60000   |
      | underWayUs        | in_flight_us        | 2600000 |

  Scenario: Several old names give a single warning
    Given a valid settings file with queueMost = 2 and mayFound = false
    When it is read with idleSessionUs = 4000000
    Then a single warning contains "queueMost (now queue_limit), idleSessionUs (now idle_session_us), mayFound (now may_found)"

  Scenario: New names give no warning
    Given a valid settings file
    When it is read with queue_limit = 2
    Then the setting queue_limit is 2
    And no warning is logged

  Scenario: A flag overrides the file if one uses the old name and the other the new one
    Given a valid settings file with queue_limit = 2 and drainWaitUs = 1
    Then the flag queueMost as 3 gives queue_limit 3
    And the flag drain_wait_us as 4 gives drain_wait_us 4

  Scenario: A rejected file gives its error and no warning
    Given a valid settings file with queueMost = 2 and mayFound = false
    When it is read with probe_every_us = 1
    Then the settings are rejected with "probe_every_us: Must be"
    And no warning is logged
