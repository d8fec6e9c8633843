Feature: Negotiation of the protocol version between peers
  Each process supports its own version and the previous one; it rejects others and states which it supports.

  Scenario Outline: Processes that support <one> and <other> use version <version>
    When a process that supports versions <one> sends three requests to a process that supports versions <other>
    Then the response has version <version>

    Examples:
      | one    | other  | version |
      | 1 to 1 | 1 to 1 | 1       |
      | 1 to 2 | 1 to 1 | 1       |
      | 1 to 1 | 1 to 2 | 1       |
      | 1 to 2 | 1 to 2 | 2       |
      | 2 to 3 | 1 to 2 | 2       |
      | 1 to 2 | 2 to 3 | 2       |
      | 2 to 3 | 2 to 3 | 3       |

  Scenario Outline: Requests between processes that support <one> and <other> are rejected
    When a process that supports versions <one> sends three requests to a process that supports versions <other>
    Then the request is rejected with an error that states both ranges, is logged once and is counted

    Examples:
      | one    | other  |
      | 1 to 2 | 3 to 4 |
      | 3 to 4 | 1 to 2 |

  Scenario: Requests succeed again after a peer is replaced by one of the previous version
    When a process that supports versions 1 to 2 sends three requests to a process that supports versions 1 to 2
    And the receiver is replaced by one that supports versions 1 to 1, and six more requests are sent
    Then the response has version 1

  Scenario: Malformed requests and unsupported versions get no response of a handler
    When a dispatcher that supports versions 1 to 2 gets 2000 requests generated from seed 4
    Then each is dropped as malformed, rejected for its version, or gets its own response
