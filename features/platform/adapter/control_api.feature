Feature: Control API for heartbeats and configurations

  Background:
    Given a control API

  Scenario: A heartbeat is received and acknowledged
    When a backend sends a heartbeat
    Then the response is 200 with `{}`
    And 1 heartbeats were received
    And the last heartbeat has name srv-1
    And the last heartbeat has service s1
    And the last heartbeat has number 6
    And the last heartbeat has state ready
    And the last heartbeat has is_primary False
    And the last heartbeat has capacity 3

  Scenario Outline: A heartbeat with other valid values or without optional fields is received
    When a backend sends a heartbeat with <field> as <value>
    Then the response is 200
    And the last heartbeat has <attribute> <expected>
    And every heartbeat received can be written as a record

    Examples:
      | field     | value      | attribute  | expected |
      | standing  | "emptying" | state      | emptying |
      | db_role   | "primary"  | is_primary | True     |
      | call_room | missing    | capacity   | 0        |
      | revision  | missing    | name       | srv-1    |
      | new       | {"a": 1}   | name       | srv-1    |

  Scenario: A heartbeat from another zone is redirected to a closer address
    When a backend sends a heartbeat with zone as "yard-b"
    Then the response is 200 with `{"beat_to": "10.2.0.2:5001"}`

  Scenario Outline: A malformed heartbeat is refused and not received
    When a backend sends a heartbeat with <field> as <value>
    Then the response is 400
    And 0 heartbeats were received

    Examples:
      | field      | value     |
      | target     | missing   |
      | address    | missing   |
      | zone       | missing   |
      | standing   | missing   |
      | standing   | "asleep"  |
      | standing   | ["ready"] |
      | db_role    | missing   |
      | db_role    | "king"    |
      | call_count | missing   |
      | call_count | "four"    |
      | call_count | null      |
      | call_count | [4]       |
      | call_room  | {}        |

    Examples: numbers that don't fit a record's field; each would make the exchange of all heartbeats fail
      | field      | value      |
      | call_count | -1         |
      | call_count | 1e30       |
      | call_count | 1e999      |
      | call_room  | -1         |
      | call_room  | 4294967296 |

    Examples: texts that can't be encoded in a record
      | field   | value    |
      | zone    | "\ud800" |
      | address | "\ud800" |

  Scenario Outline: Malformed bodies, unknown paths and unsupported methods are refused
    When <method> <target> is called with `<body>`
    Then the response is <status>
    And 0 heartbeats were received

    Examples:
      | method | target                     | body    | status |
      | PUT    | /cinderstair/servers/srv-1 | (empty) | 400    |
      | PUT    | /cinderstair/servers/srv-1 | []      | 400    |
      | PUT    | /cinderstair/servers/srv-1 | "text"  | 400    |
      | PUT    | /cinderstair/servers/srv-1 | \xff    | 400    |
      | PUT    | /cinderstair/servers/      | {}      | 404    |
      | GET    | /cinderstair/servers/srv-1 | (empty) | 404    |
      | POST   | /cinderstair/servers/srv-1 | {}      | 404    |
      | DELETE | /cinderstair/servers/      | (empty) | 404    |
      | GET    | /                          | (empty) | 404    |
      | PUT    | /cinderstair/settingsx     | {}      | 404    |
      | DELETE | /cinderstair/settings      | (empty) | 405    |
      | POST   | /cinderstair/settings      | {}      | 405    |

  Scenario: The deregistration of a backend is accepted, also of a primary
    When a backend sends a heartbeat with db_role as "primary"
    And DELETE /cinderstair/servers/srv-1 is called
    Then the response is 200 with `{}`
    And the deregistration of srv-1 was received

  Scenario Outline: Without a majority requests of backends get 503, so that they try another controller
    Given a controller that can't reach a majority
    When a backend sends a heartbeat with standing as <standing>
    Then the response is 503
    And 1 heartbeats were received
    When DELETE /cinderstair/servers/srv-1 is called
    Then the response is 503

    Examples:
      | standing   |
      | "ready"    |
      | "emptying" |

  Scenario: A valid configuration is submitted with the operator's original bytes
    When the operator puts a document that is valid
    Then the response is 200 with `{}`
    And 1 plans with the operator's original bytes were submitted

  Scenario: An invalid configuration is refused and not submitted
    When the operator puts a document that is invalid
    Then the response is 400
    And 0 plans with the operator's original bytes were submitted

  Scenario Outline: Without a majority a configuration gets 503, neither acknowledged nor refused for good
    Given a controller that returns the error <code>
    When the operator puts a document that is valid
    Then the response is 503
    When GET /cinderstair/settings is called
    Then the response is <get>

    Examples:
      | code                | get |
      | registerUnreachable | 503 |
      | registerUnsure      | 503 |

  Scenario: Another document with a version that is taken is refused with 409
    Given a controller that returns the error versionTaken
    When the operator puts a document that is valid
    Then the response is 409

  Scenario: A query before the first configuration gets 404
    When GET /cinderstair/settings is called
    Then the response is 404

  Scenario: A query returns the stored configuration byte for byte
    Given a controller that stores `{"revision": 7,\r\n "x": "\xc3\xa9"}`
    When GET /cinderstair/settings?fresh=1 is called
    Then the response is 200 with `{"revision": 7,\r\n "x": "\xc3\xa9"}`
