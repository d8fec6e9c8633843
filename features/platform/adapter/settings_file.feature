Feature: Reading the platform's settings file

  Background:
    Given a valid platform settings file

  Scenario Outline: A valid file yields the settings of the process
    Then the machine has <field> "<value>"

    Examples:
      | field                 | value                              |
      | name                  | edge-1                             |
      | site                  | yard-a                             |
      | records               | 10.1.0.7:6100                      |
      | seeds                 | ('10.1.0.2:5001', '10.2.0.2:5001') |
      | record_seeds          | ('10.1.0.2:6100', '10.2.0.2:6100') |
      | folder                | /data                              |
      | front                 | 10.1.0.7:5002                      |
      | ready                 | 10.1.0.7:5003                      |
      | control               | (empty)                            |
      | provider              | 10.9.0.5:5009                      |
      | first_run             | True                               |
      | losses                | 2                                  |
      | heartbeat_interval_us | 900000                             |
      | grace_us              | 4500000                            |
      | drain_us              | 3500000                            |
      | catch_up_us           | 2500000                            |

  Scenario Outline: The voter failures to tolerate are the largest of machines, zones and regions
    When line 17 of the file is `<line>`
    Then the machine has losses "<losses>"

    Examples:
      | line                                 | losses |
      | machines = 1                         | 1      |
      | machines = 0\nzones = 1              | 1      |
      | machines = 1\nzones = 0\nregions = 1 | 1      |
      | machines = 1\nzones = 2              | 2      |
      | machines = 0\nzones = 0\nregions = 0 | 0      |

  Scenario: Unknown fields are ignored
    When unknown fields are added to every table and to the top level
    Then the machine has name "edge-1"
    And the machine has grace_us "4500000"

  Scenario: Distances are by zone, then by region
    Then the distances of the machine are 0 1 3 3 to yard-a, yard-b, yard-c and yard-z

  Scenario Outline: A wrong value is refused with its key and line
    When line <number> of the file is `<line>`
    Then the file is refused with an error at <key> on line <number>

    Examples:
      | number | line                           | key           |
      | 1      | node = 7                       | node          |
      | 2      | zone = ["yard-a"]              | zone          |
      | 3      | ip = true                      | ip            |
      | 4      | spare_ports = 6100             | spare_ports   |
      | 4      | spare_ports = [6100]           | spare_ports   |
      | 4      | spare_ports = ["6100", "6110"] | spare_ports   |
      | 5      | seeds = []                     | seeds         |
      | 5      | seeds = "10.1.0.2:5001"        | seeds         |
      | 5      | seeds = ["core-1:5001"]        | seeds         |
      | 5      | seeds = ["10.1.0.2"]           | seeds         |
      | 5      | seeds = ["10.1.0.2:0"]         | seeds         |
      | 6      | first_run = 1                  | first_run     |
      | 7      | beat_every_ms = "900"          | beat_every_ms |
      | 7      | beat_every_ms = true           | beat_every_ms |
      | 8      | data_folder = 7                | data_folder   |
      | 14     | front = 5002                   | front         |
      | 17     | machines = 1.5                 | machines      |
      | 19     | grace_s = "4"                  | grace_s       |
      | 20     | drain_ms = "3500"              | drain_ms      |
      | 21     | catch_up_s = "2"               | catch_up_s    |
      | 23     | address = 5009                 | address       |

    Examples: TOML numbers that are not finite
      | number | line                | key           |
      | 7      | beat_every_ms = nan | beat_every_ms |
      | 19     | grace_s = inf       | grace_s       |

  Scenario Outline: A missing required field is refused with its key
    When line <number> of the file is `-`
    Then the file is refused with an error at <key> on line 1

    Examples:
      | number | key         |
      | 1      | node        |
      | 2      | zone        |
      | 3      | ip          |
      | 4      | spare_ports |
      | 5      | seeds       |

  Scenario Outline: Invalid TOML is refused
    When line <number> of the file is `<line>`
    Then the file is refused as invalid TOML

    Examples:
      | number | line            |
      | 1      | node =          |
      | 2      | node = "edge-2" |
      | 9      | [zones          |

  Scenario: A truncated file is refused or has the values of the whole file
    Then every prefix of the file is refused, or has the required fields of the whole file

  Scenario: A file that can't be read is refused
    Then a missing file and a file of random bytes are refused
