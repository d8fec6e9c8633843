Feature: Forecast of scenarios
  The simulate command computes the effects of a scenario with the functions that the daemons use.

  Scenario: The example's window drains one database and is held back at the other
    When the example is simulated
    Then the league's window finishes and the ledger's is held back because "ledger-b stays in sync"
    And no backend's cap is exceeded, before or after
    And a second run prints the same output

  Scenario: The channels of a lost backend are not replaced when its database has no spare backend
    When the example is simulated with {"stalls": ["stall-1", "stall-2", "stall-3"], "lost": ["league-c"]}
    Then 64 channels are closed and 0 opened

  Scenario: An added HTTP proxy receives its share of every backend's cap from the other proxies
    When the example is simulated with {"stalls": ["stall-1", "stall-2"], "joins": ["stall-3"]}
    Then as many channels are opened as closed
    And no backend's cap is exceeded, before or after

  Scenario: A rehearsal with real daemons agrees with the forecast and is deterministic
    When the example is rehearsed twice
    Then both runs report that ledger-a or ledger-b stays in sync, no lost session, and equal figures

  Scenario Outline: An invalid scenario is rejected with the location of the error: <scenario>
    When the example is simulated with <scenario>
    Then it exits with status 2 and prints the error "<words>"

    Examples:
      | scenario                                                        | words                                      |
      | {"stalls": []                                                   | line 1, column                             |
      | {"stalls": []}                                                  | /stalls: 1 to 500 HTTP proxies             |
      | {"stalls": ["s"], "lost": ["nobody"]}                           | /lost/0: 'nobody' is not known             |
      | {"stalls": ["s"], "windows": ["monday"]}                        | /windows/0: 'monday' is not known          |
      | {"stalls": ["s"], "colour": 1}                                  | /colour: Unknown field                     |
      | {"stalls": ["s", "s"]}                                          | /stalls: duplicate name                    |
      | {"stalls": ["s"], "leads": {"league": {"primary": "ledger-a"}}} | /leads/league: 'ledger-a' is not a backend |
