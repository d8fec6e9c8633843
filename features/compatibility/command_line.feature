Feature: Compatibility of the command line
  Names, arguments, options, exit codes and settings equal the recorded ones; descriptions in the help may change.

  Scenario: The same commands are listed
    Then the program lists the recorded commands

  Scenario: Commands keep their arguments and options
    Then each recorded command takes the recorded arguments and options

  Scenario: Commands that need no running system keep their output and exit codes
    Then the recorded command lines have the recorded exit codes and output

  Scenario: Commands to an HTTP proxy keep their requests, output and exit codes
    Then the recorded commands to a proxy send the recorded requests and have the recorded results

  Scenario: Commands to a controller keep their records, output and exit codes
    Then the recorded commands to a controller send the recorded records and have the recorded results

  Scenario: The progress of a shard map keeps its form
    Then the progress of a shard map is printed as recorded

  Scenario: Settings keep their keys, defaults and bounds
    Then the recorded settings files of the program are read as recorded

  Scenario: The same settings can be changed without a restart
    Then the recorded changes of settings need a restart as recorded
