Feature: The command line stays as it was recorded
  Names, arguments, options, exit codes and settings were recorded once; the prose of the help is free to change.

  Scenario: The same commands are listed
    Then the frozen commands are listed

  Scenario: Commands keep their arguments and options
    Then each frozen command takes the recorded arguments and options

  Scenario: Commands that need no running system end and print as before
    Then the frozen command lines end and print as recorded

  Scenario: Commands to a front daemon ask and end as before
    Then the frozen commands ask a front daemon and end as recorded

  Scenario: Commands to a control daemon ask and end as before
    Then the frozen commands ask a control daemon and end as recorded

  Scenario: A shard map's change is described in the same words
    Then the frozen words on a shard map's change are printed

  Scenario: Settings keep their spelling, defaults and bounds
    Then the frozen settings files of the program are read alike

  Scenario: The same settings can be changed without a restart
    Then the frozen changes of settings need a restart or none, as recorded
