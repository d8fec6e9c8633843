Feature: Negotiation of the protocol version between peers
  Each process supports its own version and the one before; it rejects others and states what it supports.

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

  Scenario Outline: Processes that support <one> and <other> have no version in common
    When a process that supports versions <one> sends three requests to a process that supports versions <other>
    Then the request is rejected; the error gives both ranges, and is logged once and counted

    Examples:
      | one    | other  |
      | 1 to 2 | 3 to 4 |
      | 3 to 4 | 1 to 2 |

  Scenario: A peer that is downgraded by one version is understood again
    When a process that supports versions 1 to 2 sends three requests to a process that supports versions 1 to 2
    And the other is replaced by one that supports versions 1 to 1, and is sent six requests
    Then the response has version 1

  Scenario: Requests that are truncated, repeated, too long or of no version do no harm
    When a dispatcher that supports versions 1 to 2 gets 2000 requests generated from seed 4
    Then each is dropped as malformed, rejected for its version, or gets the response to what it asked
