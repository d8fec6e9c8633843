Feature: The control API: heartbeats and configurations

  Background:
    Given a control API

  Scenario: A heartbeat is received and acknowledged
    When a backend sends a heartbeat
    Then the answer is 200 with `{}`
    And 1 heartbeats were received
    And the last heartbeat has name srv-1
    And the last heartbeat has service s1
    And the last heartbeat has number 6
    And the last heartbeat has state ready
    And the last heartbeat has is_primary False
    And the last heartbeat has capacity 3

  Scenario Outline: What a heartbeat may say
    When a backend sends a heartbeat with <field> as <value>
    Then the answer is 200
    And the last heartbeat has <kept> <as>
    And every heartbeat received can be written as a record

    Examples:
      | field     | value      | kept       | as       |
      | standing  | "emptying" | state      | emptying |
      | db_role   | "primary"  | is_primary | True     |
      | call_room | missing    | capacity   | 0        |
      | revision  | missing    | name       | srv-1    |
      | new       | {"a": 1}   | name       | srv-1    |

  Scenario: A heartbeat from another zone is redirected to a closer address
    When a backend sends a heartbeat with zone as "yard-b"
    Then the answer is 200 with `{"beat_to": "10.2.0.2:5001"}`

  Scenario Outline: A malformed heartbeat is refused and not received
    When a backend sends a heartbeat with <field> as <value>
    Then the answer is 400
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

    Examples: numbers that no record can carry, and that every answer to the others would break on
      | field      | value      |
      | call_count | -1         |
      | call_count | 1e30       |
      | call_count | 1e999      |
      | call_room  | -1         |
      | call_room  | 4294967296 |

    Examples: texts that no record can carry
      | field      | value       |
      | zone       | "\ud800"    |
      | address    | "\ud800"    |

  Scenario Outline: Bodies and calls that are not known
    When <method> <target> is called with `<body>`
    Then the answer is <status>
    And 0 heartbeats were received

    Examples:
      | method | target                    | body    | status |
      | PUT    | /cinderstair/servers/srv-1  | (empty) | 400    |
      | PUT    | /cinderstair/servers/srv-1  | []      | 400    |
      | PUT    | /cinderstair/servers/srv-1  | "text"  | 400    |
      | PUT    | /cinderstair/servers/srv-1  | \xff    | 400    |
      | PUT    | /cinderstair/servers/     | {}      | 404    |
      | GET    | /cinderstair/servers/srv-1  | (empty) | 404    |
      | POST   | /cinderstair/servers/srv-1  | {}      | 404    |
      | DELETE | /cinderstair/servers/     | (empty) | 404    |
      | GET    | /                         | (empty) | 404    |
      | PUT    | /cinderstair/settingsx    | {}      | 404    |
      | DELETE | /cinderstair/settings     | (empty) | 405    |
      | POST   | /cinderstair/settings     | {}      | 405    |

  Scenario: A backend's deregistration is accepted, whatever it has sent before
    When a backend sends a heartbeat with db_role as "primary"
    And DELETE /cinderstair/servers/srv-1 is called
    Then the answer is 200 with `{}`
    And the deregistration of srv-1 was received

  Scenario Outline: What reaches no majority is not acknowledged, so that the backend goes on to another daemon
    Given a controller out of touch with a majority
    When a backend sends a heartbeat with standing as <standing>
    Then the answer is 503
    And 1 heartbeats were received
    When DELETE /cinderstair/servers/srv-1 is called
    Then the answer is 503

    Examples:
      | standing   |
      | "ready"    |
      | "emptying" |

  Scenario: A configuration is submitted in the operator's own bytes
    When the operator puts a valid document
    Then the answer is 200 with `{}`
    And the plan that was submitted keeps the operator's bytes, or there is none: keeps

  Scenario: An invalid configuration is refused and not submitted
    When the operator puts a broken document
    Then the answer is 400
    And the plan that was submitted keeps the operator's bytes, or there is none: none

  Scenario Outline: A configuration that got no majority is never acknowledged, nor refused for good
    Given a controller that answers <kind>
    When the operator puts a valid document
    Then the answer is 503
    When GET /cinderstair/settings is called
    Then the answer is <get>

    Examples:
      | kind                | get |
      | registerUnreachable | 503 |
      | registerUnsure      | 503 |

  Scenario: Another content under a number that is in use is refused at once
    Given a controller that answers versionTaken
    When the operator puts a valid document
    Then the answer is 409

  Scenario: Before there is any configuration
    When GET /cinderstair/settings is called
    Then the answer is 404

  Scenario: The newest configuration comes back whole
    Given a controller that keeps `{"revision": 7,\r\n "x": "\xc3\xa9"}`
    When GET /cinderstair/settings?fresh=1 is called
    Then the answer is 200 with `{"revision": 7,\r\n "x": "\xc3\xa9"}`
