Feature: Settings
  A checked file, overridden by flags; one line that names file, line, key and reason.

  Scenario Outline: <change> is refused
    Given a good settings file
    When it is read with <change>
    Then it is refused with "<words>"

    Examples:
      | change                                                     | words                                           |
      | colour = "red"                                             | :8: colour: Unknown field                       |
      | site = 3                                                   | :2: site: Not a valid string                    |
      | records = "here"                                           | :3: records: 'here' is not an address           |
      | records = "127.0.0.1:0"                                    | :3: records: '127.0.0.1:0' has no port          |
      | seeds = ["127.0.0.1:1"]                                    | :5: seeds: three seed addresses are needed      |
      | seeds = ["127.0.0.1:1", "127.0.0.1:2", "x"]                | :5: seeds: 'x' is not an address                |
      | foundingVaults = 0                                         | :6: foundingVaults: Must be                     |
      | logLevel = "loud"                                          | :7: logLevel: Must be one of                    |
      | site =                                                     | not TOML: Invalid value (at line 2              |

  Scenario: Flags override the file, and are checked as it is
    Given a good settings file
    Then the flag site as "montego" gives the site "montego"
    And the flag records as "x" is refused with "records: 'x' is not an address"

  Scenario: A file that is not there
    Then reading "/nowhere/at/all.toml" is refused with "can't be read: No such file or directory"
