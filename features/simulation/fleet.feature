@serial
Feature: A fleet of real processes on loopback
  Steps wait for events with generous limits, since the speed of the machine is not under test.

  Scenario: A fleet survives a kill, a freeze, a configuration change, a settings change and a planned stop
    Given a fleet of 3 HTTP proxies, 5 register replicas and 1 database, under load from 12 clients
    When the primary's process is killed
    Then another backend becomes the primary, and commits are acknowledged again
    When an HTTP proxy's process is frozen until the others consider it dead, and is resumed
    Then all HTTP proxies serve again
    When a register replica's process is killed and started again
    And an operator submits version 2 with the command line
    Then version 2 is in force at every HTTP proxy and is read back byte for byte
    And the status command shows the members, the primaries and the proxy ids
    When a settings file is changed to valid and to invalid values, with and without SIGHUP
    Then the valid values are applied, and the invalid ones are logged and have no effect
    When an HTTP proxy receives SIGTERM
    Then it exits with code 0, and its clients continue at other HTTP proxies
    And the checkers find no violation in the whole history

  Scenario: A window drains a data centre, which is used again after the window
    Given a fleet of 3 HTTP proxies, 5 register replicas and 1 database, under load from 12 clients
    When an operator submits a window over the primary and stall-2
    Then the primary has moved, stall-2 has no sessions, and the status command reports the open window
    When the window has ended
    Then stall-2 is ready, the drained backend is used again, and no session was lost
    And the checkers find no violation in the whole history

  Scenario Outline: A program with an invalid command line exits with code 2 and one line with the reason
    When the program is run with <arguments>
    Then it exits with code <code> and one line that contains "<line>"

    Examples:
      | arguments                                                                                                                | code | line                                   |
      | http-proxy                                                                                                               | 2    | flags: name: Missing data              |
      | register-replica --name v --site k --records 127.0.0.1:1 --seeds 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3                     | 2    | flags: folder: a data folder is needed |
      | register-replica --name v --site k --records 127.0.0.1:1 --seeds 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3 --folder /proc/none | 2    | can't be written                       |
      | http-proxy --name s --site k --records 127.0.0.1:1 --seeds 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3                           | 2    | flags: http: an address is needed      |
      | http-proxy --settings /nowhere.toml                                                                                      | 2    | /nowhere.toml: can't be read           |
      | submit /nowhere.json                                                                                                     | 2    | /nowhere.json: No such file            |
