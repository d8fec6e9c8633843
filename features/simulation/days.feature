Feature: Days at the size of today
  9 HTTP proxies, 5 register replicas, 3 sites, 3 databases of 3 backends, 150 sessions, and everything that the users say fails.

  Scenario Outline: A short day in <place>
    When a short day in <place> is run with seed <seed>
    Then the checkers find nothing
    And at least 12 failures fell, and at least <done> jobs were done

    Examples:
      | place    | seed | done  |
      | jamaica  | 1    | 9000  |
      | thailand | 2    | 9000  |

  Scenario: A failing day is shrunk to the failures that it takes
    Given a day of 40 failures that fails whenever the 7th, the 8th and the 31st fall
    When it is shrunk
    Then just these three are left, after fewer than 80 runs
