Feature: What-if questions
  The simulate command answers from a configuration and a scenario, by the functions that the daemons run.

  Scenario: The example's window moves one database whole and is held back at the other
    When the example is simulated
    Then the league's window finishes and the ledger's is held back because "ledger-b stays in sync"
    And no backend's cap is exceeded, before or after
    And simulating it again prints the same

  Scenario: A lost backend's channels are opened nowhere else when the list is short
    When the example is simulated with {"stalls": ["stall-1", "stall-2", "stall-3"], "lost": ["league-c"]}
    Then 64 channels are closed and 0 opened

  Scenario: An HTTP proxy that joins takes its part of every cap from the others
    When the example is simulated with {"stalls": ["stall-1", "stall-2"], "joins": ["stall-3"]}
    Then as many channels are opened as closed
    And no backend's cap is exceeded, before or after

  Scenario: A rehearsal by the real daemons agrees, and is the same each time
    When the example is rehearsed twice
    Then both say that ledger-a or ledger-b stays in sync, that no session was lost, and the same figures

  Scenario Outline: An unreadable scenario names its place: <scenario>
    When the example is simulated with <scenario>
    Then it exits with 2 and says "<words>"

    Examples:
      | scenario                                         | words                               |
      | {"stalls": []                                    | line 1, column                      |
      | {"stalls": []}                                   | /stalls: 1 to 500 HTTP proxies            |
      | {"stalls": ["s"], "lost": ["nobody"]}            | /lost/0: 'nobody' is not known      |
      | {"stalls": ["s"], "windows": ["monday"]}         | /windows/0: 'monday' is not known   |
      | {"stalls": ["s"], "colour": 1}                   | /colour: Unknown field              |
      | {"stalls": ["s", "s"]}                           | /stalls: a name stands twice        |
      | {"stalls": ["s"], "leads": {"league": {"primary": "ledger-a"}}} | /leads/league: 'ledger-a' is no backend |
