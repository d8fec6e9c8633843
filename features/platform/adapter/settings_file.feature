Feature: The platform's settings file

  Background:
    Given a good platform settings file

  Scenario Outline: The settings of a process
    Then the machine has <field> "<value>"

    Examples:
      | field         | value                                  |
      | name          | edge-1                                 |
      | site          | yard-a                                 |
      | records       | 10.1.0.7:6100                          |
      | seeds         | ('10.1.0.2:5001', '10.2.0.2:5001')    |
      | record_seeds  | ('10.1.0.2:6100', '10.2.0.2:6100')    |
      | folder        | /data                                  |
      | front         | 10.1.0.7:5002                          |
      | ready         | 10.1.0.7:5003                          |
      | control       | (empty)                                |
      | provider      | 10.9.0.5:5009                      |
      | first_run     | True                                   |
      | losses        | 2                                      |
      | heartbeat_interval_us | 900000                        |
      | grace_us      | 4500000                                |
      | drain_us      | 3500000                                |
      | catch_up_us   | 2500000                                |

  Scenario Outline: What may be lost at once
    When line 17 of it is `<line>`
    Then the machine has losses "<losses>"

    Examples:
      | line                                   | losses |
      | machines = 1                           | 1      |
      | machines = 0\nzones = 1                | 1      |
      | machines = 1\nzones = 0\nregions = 1   | 1      |
      | machines = 1\nzones = 2                | 2      |
      | machines = 0\nzones = 0\nregions = 0   | 0      |

  Scenario: Fields that nobody knows change nothing
    When every table and its top gain a field that nobody knows
    Then the machine has name "edge-1"
    And the machine has grace_us "4500000"

  Scenario: Distances are by hall, then by region
    Then the machine stands 0 1 3 3 from yard-a, yard-b, yard-c and yard-z

  Scenario Outline: A field that is wrong is named with its line
    When line <number> of it is `<line>`
    Then the file is refused, and <key> on line <number> is named

    Examples:
      | number | line                                | key           |
      | 1      | node = 7                            | node          |
      | 2      | zone = ["yard-a"]                   | zone          |
      | 3      | ip = true                           | ip            |
      | 4      | spare_ports = 6100                  | spare_ports   |
      | 4      | spare_ports = [6100]                | spare_ports   |
      | 4      | spare_ports = ["6100", "6110"]      | spare_ports   |
      | 5      | seeds = []                          | seeds         |
      | 5      | seeds = "10.1.0.2:5001"            | seeds         |
      | 5      | seeds = ["core-1:5001"]             | seeds         |
      | 5      | seeds = ["10.1.0.2"]               | seeds         |
      | 5      | seeds = ["10.1.0.2:0"]             | seeds         |
      | 6      | first_run = 1                       | first_run     |
      | 7      | beat_every_ms = "900"               | beat_every_ms |
      | 7      | beat_every_ms = true                | beat_every_ms |
      | 8      | data_folder = 7                     | data_folder   |
      | 14     | front = 5002                        | front         |
      | 17     | machines = 1.5                      | machines      |
      | 19     | grace_s = "4"                       | grace_s       |
      | 20     | drain_ms = "3500"                   | drain_ms      |
      | 21     | catch_up_s = "2"                    | catch_up_s    |
      | 23     | address = 5009                      | address       |

    Examples: numbers of TOML that are none
      | number | line                                | key           |
      | 7      | beat_every_ms = nan                 | beat_every_ms |
      | 19     | grace_s = inf                       | grace_s       |

  Scenario Outline: A field that is missing is named
    When line <number> of it is `-`
    Then the file is refused, and <key> on line 1 is named

    Examples:
      | number | key         |
      | 1      | node        |
      | 2      | zone        |
      | 3      | ip          |
      | 4      | spare_ports |
      | 5      | seeds       |

  Scenario Outline: What is no TOML
    When line <number> of it is `<line>`
    Then the file is refused as no TOML

    Examples:
      | number | line            |
      | 1      | node =          |
      | 2      | node = "edge-2" |
      | 9      | [zones          |

  Scenario: A file that is only half written never tells half a field
    Then every beginning of it is refused, or says nothing of the machine that the whole does not

  Scenario: What can't be read
    Then a file that is not there, and one of noise, are refused
