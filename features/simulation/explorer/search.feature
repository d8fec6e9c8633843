Feature: The search explores all states within its bounds
  The state space here: two counters, each of which can be incremented up to 3.

  Scenario: Every state is explored once, and the report counts what the bounds cut off
    When the counters are searched to depth 9
    Then 16 states and 24 transitions were explored, and nothing was cut off
    When the counters are searched to depth 2
    Then 6 states and 6 transitions were explored, and the depth bound cut off 3 states
    When the counters are searched to depth 9 with 0 turns
    Then 7 states and 6 transitions were explored, and 3 actions exceeded the turns

  Scenario: A violation is reported with a shortest counterexample, which can be replayed
    Given an invariant that forbids the first counter at 1 with the second at 2
    When the counters are searched to depth 9
    Then the counterexample consists of "increment second, increment second, increment first"
    And replaying its schedule leads to the same violation

  Scenario: Two searches of one model return equal reports
    When the model "register" is explored twice to depth 3
    Then both search reports are equal

  Scenario: Merging equivalent histories loses no outcome
    When the model "register" is explored within 1 turns with and without merging
    Then both explorations reach the same observations, and merging needs fewer states

  Scenario Outline: Invalid arguments are rejected: <arguments>
    When the explorer command line runs with "<arguments>"
    Then the explorer exits with 2 and reports "<words>"

    Examples:
      | arguments                         | words                          |
      | --depth 3                         | --model                        |
      | --model nothing                   | invalid choice                 |
      | --model lease --depth -1          | not a non-negative integer     |
      | --model lease --losses x          | --losses                       |
      | --model lease --breadth --turns 1 | can't be combined with --turns |
      | --model lease --replay 0,99       | beyond the enabled actions     |
