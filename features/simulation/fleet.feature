@serial
Feature: Real processes on loopback
  A small fleet of separate processes; what is awaited is an event, and the limits are generous.

  Scenario: From nothing to service, through a kill and a freeze, to an orderly stop
    Given a fleet of 3 HTTP proxies, 5 register replicas and 1 database, at work with 12 clients
    When the primary's process is killed
    Then another leads, and commits are acknowledged again
    When an HTTP proxy's process is frozen until the others hold it to be gone, and goes on
    Then it serves again
    When a register replica's process is killed and started again
    And an operator submits version 2 with the command line
    Then version 2 is in force at every HTTP proxy, and is read back to the byte
    And the status verb shows the members, the leads and the slots
    When a settings file changes, with a signal and without one, to good values and to bad ones
    Then the good ones are taken, and the bad ones are named in the log and change nothing
    When an HTTP proxy is told to stop
    Then it ends with exit code 0, and its clients go elsewhere
    And every checker finds nothing in the whole history

  Scenario: A hall is emptied by a booked window, and filled again after
    Given a fleet of 3 HTTP proxies, 5 register replicas and 1 database, at work with 12 clients
    When an operator books a window over the primary and stall-2
    Then the primary has moved, stall-2 stands empty, and the status verb says so
    When the window has ended
    Then stall-2 is ready, the old hall's backend is used again, and no session was lost
    And every checker finds nothing in the whole history

  Scenario Outline: Started wrongly, a process says why in one line and exits with 2
    When the program is run with <words>
    Then it exits with <code> and one line that holds "<line>"

    Examples:
      | words                                                          | code | line                                   |
      | http-proxy                                                          | 2    | flags: name: Missing data              |
      | register-replica --name v --site k --records 127.0.0.1:1 --seeds 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3 | 2 | flags: folder: a data folder is needed |
      | register-replica --name v --site k --records 127.0.0.1:1 --seeds 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3 --folder /proc/none | 2 | can't be written |
      | http-proxy --name s --site k --records 127.0.0.1:1 --seeds 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3 | 2 | flags: http: an address is needed |
      | http-proxy --settings /nowhere.toml                                 | 2    | /nowhere.toml: can't be read           |
      | submit /nowhere.json                                           | 2    | /nowhere.json: No such file            |
