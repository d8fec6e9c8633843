Feature: Validation of configuration documents
  A document is validated and compiled as a whole; each error names its path or its line and column.

  Scenario: A valid document is accepted
    When the valid document is checked
    Then it is accepted with 2 databases, 6 backends and 1 window

  Scenario Outline: A document with <change> is rejected
    When the valid document is checked with <change>
    Then it is rejected with "<message>"

    Examples: schema and language
      | change                                               | message                                                                   |
      | version=0                                            | /version: Must be greater                                                 |
      | version="2"                                          | /version: Not a valid integer                                             |
      | version=true                                         | /version: Not a valid integer                                             |
      | databases={}                                         | /databases: no databases                                                  |
      | colour="red"                                         | /colour: Unknown field                                                    |
      | databases/league/backends/0/cap=0                    | /databases/league/backends/0/cap: Must be                                 |
      | databases/league/backends/0/address="db.example:1"   | /databases/league/backends/0/address: 'db.example                         |
      | databases/league/backends/0/address="10.0.0.1:99999" | has no port between 1 and 65535                                           |
      | databases/league/backends/0/address="10.0.0.300:99"  | is not an address                                                         |
      | databases/league/backends/1/name="league-a"          | /databases/league/backends/1/name: 'league-a' is used more than once      |
      | databases/league/backends/1/address="10.0.0.1:1"     | /databases/league/backends/1/address: '10.0.0.1:1' is used more than once |
      | databases/league/backends/0/labels={"a b":"c"}       | not a label's name                                                        |
      | language="route live on nowhere to replica"          | /language: line 1: no database 'nowhere'                                  |
      | language="route live on * to"                        | /language: line 1, column 19: found the line's end                        |
      | language=["policy liveAge on * is 1s","polcy"]       | /language: line 2, column 1                                               |

    Examples: windows
      | change                                                                                                         | message                                            |
      | windows/0/ends="2026-12-04T20:00:00+07:00"                                                                     | /windows/0/ends: must be later than the start      |
      | windows/0/starts="2026-12-04T22:00:00"                                                                         | /windows/0/starts: the time has no offset from UTC |
      | windows/0/starts="soon"                                                                                        | /windows/0/starts: not an ISO 8601 time            |
      | windows/0/empties="hall = "                                                                                    | /windows/0/empties: line 1, column                 |
      | windows/1={"name":"friday","starts":"2026-12-05T00:00:00Z","ends":"2026-12-06T00:00:00Z","empties":"has hall"} | /windows/1/name: 'friday' is used more than once   |

  Scenario Outline: The malformed document <bytes> is rejected
    When the bytes <bytes> are checked
    Then it is rejected with "<message>"

    Examples:
      | bytes                         | message                        |
      | {"version": 1, "databases"    | line 1, column 27              |
      | {"version": 1, "version": 2}  | duplicate key 'version'        |
      | [1, 2]                        | /: must be an object           |
      | \xff\xfe                      | not UTF-8 at byte 0            |

  Scenario: An unknown label and a selector without a match cause warnings
    When the valid document is checked with windows/0/empties="hal = old"
    Then it is accepted with the warnings "no backend or HTTP proxy has the label 'hal'" and "the selector matches no backend or HTTP proxy"
