Feature: The search through all states
  A space of its own here: two counters, each of which may go up by one, up to three.

  Scenario: All states are seen, each once, and the bounds say what they cut off
    When the counters are searched to depth 9
    Then 16 states were seen with 24 transitions, and nothing was cut off
    When the counters are searched to depth 2
    Then 6 states were seen with 6 transitions, and 3 were cut off by the depth
    When the counters are searched to depth 9 with 0 turns
    Then 7 states were seen with 6 transitions, and 3 choices were held back

  Scenario: A wrong state is told with a shortest way to it, which can be replayed
    Given a counter that must not reach 2 while the other is at 1
    When the counters are searched to depth 9
    Then the wrong state was found after "second goes up, second goes up, first goes up"
    And the same choices lead to it again

  Scenario: Two searches of one model say the same
    When the model "register" is explored twice to depth 3
    Then both reports are the same

  Scenario: Merged histories lose no outcome
    When the model "register" is explored within 1 turns with and without merging
    Then what clients and disks were seen to know is the same, with fewer states

  Scenario Outline: Arguments that can't be read are named: <arguments>
    When the explorer is called with "<arguments>"
    Then it ends with 2 and names "<words>"

    Examples:
      | arguments                         | words                |
      | --depth 3                         | --model              |
      | --model nothing                   | invalid choice       |
      | --model lease --depth -1          | not a count          |
      | --model lease --losses x          | --losses             |
      | --model lease --breadth --turns 1 | knows no turns       |
      | --model lease --replay 0,99       | no such choice       |
