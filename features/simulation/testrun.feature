Feature: Parallel test runner
  .ci/tests.py splits the features into units, runs each unit in a worker process and merges the results.

  Scenario: A feature with a weight is one unit, any other is split by scenario, and the longest units come first
    Given a test run of these scenarios
      | path      | line | name          |
      | a.feature | 2    | one           |
      | a.feature | 5    | two           |
      | b.feature | 4    | three -- @1.1 |
      | b.feature | 5    | three -- @1.2 |
      | c.feature | 2    | four          |
    And the weights {"a.feature": 3, "b.feature:three -- @1.2": 20, "b.feature:three -- @1.1": 4, "gone.feature": 9}
    Then the units are b.feature:5, c.feature:2, b.feature:4, a.feature
    And every scenario is in exactly one unit

  Scenario: Without weights every feature is split, and units are ordered by location
    Given a test run of these scenarios
      | path      | line | name |
      | b.feature | 2    | one  |
      | a.feature | 2    | one  |
      | a.feature | 5    | two  |
    And the weights {}
    Then the units are a.feature:2, a.feature:5, b.feature:2
    And every scenario is in exactly one unit

  Scenario: A unit with a scenario tagged serial is serial
    Given a test run of these scenarios
      | path      | line | name  | tags   |
      | a.feature | 2    | one   |        |
      | a.feature | 5    | two   | serial |
      | b.feature | 2    | three |        |
      | b.feature | 5    | four  | serial |
    And the weights {"b.feature": 3}
    Then the serial units are a.feature:5, b.feature

  Scenario: The weight of a short feature is recorded as a whole, that of a long one by scenario
    Given a test run of these scenarios
      | path      | line | name          |
      | a.feature | 2    | one           |
      | a.feature | 5    | two           |
      | b.feature | 4    | three -- @1.1 |
      | b.feature | 5    | three -- @1.2 |
    When the worker of a.feature exits with code 0 and results passed 7.04, passed 7.9
    And the worker of b.feature exits with code 0 and results passed 6, passed 14.26
    Then the recorded weights are {"a.feature": 14.9, "b.feature:three -- @1.1": 6, "b.feature:three -- @1.2": 14.3}

  Scenario Outline: A worker's results are counted: <results>, exit code <code>
    Given a test run of these scenarios
      | path      | line | name |
      | a.feature | 2    | one  |
      | a.feature | 5    | two  |
      | b.feature | 2    | one  |
    When the worker of a.feature exits with code <code> and results <results>
    And the worker of b.feature exits with code 0 and results passed 1
    Then the test run ends with "<closing>" and exit code <exit>
    And the test run reports <lines>

    Examples:
      | results                | code | closing            | exit | lines                                                                                                                                         |
      | passed 1, passed 1     | 0    | 3 passed, 0 failed | 0    | nothing                                                                                                                                       |
      | passed 1, failed 1     | 1    | 2 passed, 1 failed | 1    | failed: a.feature:5 two                                                                                                                       |
      | error 1, passed 1      | 1    | 2 passed, 1 failed | 1    | error: a.feature:2 one                                                                                                                        |
      | hook_error 1, passed 1 | 1    | 2 passed, 1 failed | 1    | hook_error: a.feature:2 one                                                                                                                   |
      | passed 1, undefined 1  | 1    | 2 passed, 1 failed | 1    | undefined: a.feature:5 two                                                                                                                    |
      | passed 1, failed 1     | 0    | 2 passed, 1 failed | 1    | failed: a.feature:5 two                                                                                                                       |
      | passed 1, skipped 1    | 0    | 2 passed, 1 failed | 1    | skipped: a.feature:5 two                                                                                                                      |
      | passed 1, untested 1   | 0    | 2 passed, 1 failed | 1    | untested: a.feature:5 two                                                                                                                     |
      | passed 1, absent 1     | 0    | 2 passed, 1 failed | 1    | no result: a.feature:5 two (its worker ended with 0)                                                                                          |
      | passed 1, passed 1     | 1    | 3 passed, 1 failed | 1    | worker ended with 1: a.feature                                                                                                                |
      | passed 1, passed 1     | -11  | 3 passed, 1 failed | 1    | worker ended with -11: a.feature                                                                                                              |
      | unreadable             | 0    | 1 passed, 2 failed | 1    | no result: a.feature:2 one (its worker ended with 0); no result: a.feature:5 two (its worker ended with 0)                                    |
      | unreadable             | -9   | 1 passed, 3 failed | 1    | no result: a.feature:2 one (its worker ended with -9); no result: a.feature:5 two (its worker ended with -9); worker ended with -9: a.feature |

  Scenario: A scenario that ran outside its unit counts as failed
    Given a test run of these scenarios
      | path      | line | name |
      | a.feature | 2    | one  |
      | a.feature | 5    | two  |
    When the worker of a.feature:2 exits with code 0 and results passed 1
    And the worker of a.feature:5 exits with code 0 and results passed 1
    And it also ran a.feature:2 with status passed
    Then the test run ends with "2 passed, 1 failed" and exit code 1
    And the test run reports ran outside its unit: a.feature:2 in a.feature:5

  Scenario: A run without scenarios fails
    Given a test run of these scenarios
      | path | line | name |
    Then the test run ends with "0 passed, 0 failed" and exit code 1

  Scenario Outline: A scenario with status <status> and the known-red entry: <line>
    Given a test run of these scenarios
      | path      | line | name             |
      | a.feature | 2    | one: first       |
      | a.feature | 5    | two, x -- @1.1   |
      | a.feature | 6    | two, y -- @1.2 z |
      | a.feature | 9    | same -- @2.1     |
      | a.feature | 10   | same -- @2.2     |
    And KNOWN-RED.txt has the entry "<line>"
    When the worker of a.feature exits with code <code> and results passed 1, passed 1, <status>, passed 1, passed 1
    Then the test run ends with "<closing>" and exit code <exit>
    And the test run reports <lines>

    Examples: the listed scenario fails, or passes again
      | line                                                                 | status   | code | closing            | exit | lines                                                                           |
      | a.feature:two, y \| behave a.feature, seed 3 \| slow \| #7           | failed 1 | 1    | 4 passed, 0 failed | 0    | known red: a.feature:two, y \| behave a.feature, seed 3 \| slow \| #7           |
      | a.feature:two, y -- @1.2 z \| behave a.feature, seed 3 \| slow \| #7 | error 1  | 1    | 4 passed, 0 failed | 0    | known red: a.feature:two, y -- @1.2 z \| behave a.feature, seed 3 \| slow \| #7 |
      | a.feature:two, y \| behave a.feature, seed 3 \| slow \| #7           | passed 1 | 0    | 5 passed, 0 failed | 0    | no longer red: a.feature:two, y \| behave a.feature, seed 3 \| slow \| #7       |
      | a.feature:one: first \| behave a.feature, seed 3 \| slow \| #7       | passed 1 | 0    | 5 passed, 0 failed | 0    | no longer red: a.feature:one: first \| behave a.feature, seed 3 \| slow \| #7   |

    Examples: any other failure still counts
      | line                                                       | status    | code | closing            | exit | lines                                                                                                           |
      | a.feature:two, x \| behave a.feature, seed 3 \| slow \| #7 | failed 1  | 1    | 4 passed, 1 failed | 1    | no longer red: a.feature:two, x \| behave a.feature, seed 3 \| slow \| #7; failed: a.feature:6 two, y -- @1.2 z |
      | a.feature:two, y \| behave a.feature, seed 3 \| slow \| #7 | absent 1  | 1    | 4 passed, 1 failed | 1    | no result: a.feature:6 two, y -- @1.2 z (its worker ended with 1)                                               |
      | a.feature:two, y \| behave a.feature, seed 3 \| slow \| #7 | skipped 1 | 0    | 4 passed, 1 failed | 1    | skipped: a.feature:6 two, y -- @1.2 z                                                                           |
      | a.feature:two, y \| behave a.feature, seed 3 \| slow \| #7 | failed 1  | -9   | 4 passed, 1 failed | 1    | known red: a.feature:two, y \| behave a.feature, seed 3 \| slow \| #7; worker ended with -9: a.feature          |

    Examples: invalid entries
      | line                                                                | status   | code | closing            | exit | lines                                                                                                                                                                      |
      | a.feature:three \| behave a.feature, seed 3 \| slow \| #7           | passed 1 | 0    | 5 passed, 1 failed | 1    | KNOWN-RED.txt: matches no scenario: a.feature:three                                                                                                                        |
      | b.feature:two, y \| behave a.feature, seed 3 \| slow \| #7          | passed 1 | 0    | 5 passed, 1 failed | 1    | KNOWN-RED.txt: matches no scenario: b.feature:two, y                                                                                                                       |
      | a.feature:two \| behave a.feature, seed 3 \| slow \| #7             | passed 1 | 0    | 5 passed, 1 failed | 1    | KNOWN-RED.txt: matches no scenario: a.feature:two                                                                                                                          |
      | a.feature:same \| behave a.feature, seed 3 \| slow \| #7            | passed 1 | 0    | 5 passed, 1 failed | 1    | KNOWN-RED.txt: matches 2 scenarios: a.feature:same                                                                                                                         |
      | a.feature:two, y \| slow                                            | passed 1 | 0    | 5 passed, 1 failed | 1    | KNOWN-RED.txt: not 'path/to/file.feature:Scenario name \| command and seed \| what was seen \| issue': a.feature:two, y \| slow                                            |
      | a.feature:two, y \| slow \| #7                                      | passed 1 | 0    | 5 passed, 1 failed | 1    | KNOWN-RED.txt: not 'path/to/file.feature:Scenario name \| command and seed \| what was seen \| issue': a.feature:two, y \| slow \| #7                                      |
      | a.feature:two, y \| behave a.feature, seed 3 \| slow \| often \| #7 | passed 1 | 0    | 5 passed, 1 failed | 1    | KNOWN-RED.txt: not 'path/to/file.feature:Scenario name \| command and seed \| what was seen \| issue': a.feature:two, y \| behave a.feature, seed 3 \| slow \| often \| #7 |
      | a.feature:two, y \| behave a.feature, seed 3 \|  \| #7              | passed 1 | 0    | 5 passed, 1 failed | 1    | KNOWN-RED.txt: not 'path/to/file.feature:Scenario name \| command and seed \| what was seen \| issue': a.feature:two, y \| behave a.feature, seed 3 \|  \| #7              |

  Scenario: A second known-red entry for the same scenario is an error
    Given a test run of these scenarios
      | path      | line | name          |
      | a.feature | 2    | one           |
      | a.feature | 5    | two -- @1.1 x |
    And KNOWN-RED.txt has the entries "a.feature:two | behave a.feature, seed 3 | slow | #7" and "a.feature:two -- @1.1 x | behave a.feature, seed 3 | slow | #8"
    When the worker of a.feature exits with code 1 and results passed 1, failed 1
    Then the test run ends with "1 passed, 1 failed" and exit code 1
    And the test run reports known red: a.feature:two | behave a.feature, seed 3 | slow | #7; KNOWN-RED.txt: named twice: a.feature:two -- @1.1 x

  Scenario Outline: Feature paths are read from behave.ini: <text>
    Then the paths of behave.ini with "<text>" are <paths>

    Examples:
      | text                     | paths           |
      | paths = src/cinderstair  | src/cinderstair |
      | paths = one\n  two/three | one two/three   |

  Scenario Outline: A test run of a small project in which a scenario <what>
    Given a project of two features, where a scenario <what>
    When its tests run in 2 processes
    Then the run prints "<line>", ends with the line "<closing>" and exits with <exit>

    Examples:
      | what                         | line                                                                                                 | closing            | exit |
      | passes                       | 5 scenarios in 5 units, 2 at a time                                                                  | 5 passed, 0 failed | 0    |
      | fails                        | failed: features/one.feature:6 row x -- @1.1                                                         | 4 passed, 1 failed | 1    |
      | raises                       | error: features/one.feature:6 row x -- @1.1                                                          | 4 passed, 1 failed | 1    |
      | ends the process             | no result: features/one.feature:6 row x -- @1.1                                                      | 4 passed, 1 failed | 1    |
      | kills the process            | no result: features/one.feature:6 row x -- @1.1                                                      | 4 passed, 2 failed | 1    |
      | has an undefined step        | error: features/one.feature:6 row x -- @1.1                                                          | 4 passed, 1 failed | 1    |
      | skips itself                 | skipped: features/one.feature:6 row x -- @1.1                                                        | 4 passed, 1 failed | 1    |
      | fails and is known red       | known red: features/one.feature:row x \| behave features/one.feature:6, no seed \| made up \| #1     | 4 passed, 0 failed | 0    |
      | passes and is known red      | no longer red: features/one.feature:row x \| behave features/one.feature:6, no seed \| made up \| #1 | 5 passed, 0 failed | 0    |
      | passes before a failing hook | worker ended with 1: features/one.feature:6                                                          | 5 passed, 1 failed | 1    |
      | cannot be parsed             | not listed:                                                                                          | 0 passed, 1 failed | 1    |
