Feature: Days of overlapping failures at production size
  9 HTTP proxies, 5 register replicas, 3 sites, 3 databases of 3 backends and 150 sessions, with every kind of fault.

  Scenario Outline: A short day with the workload <workload> violates no guarantee
    When a short day with the workload <workload> is run with seed <seed>
    Then the checkers find no violation
    And at least 12 faults were injected, and at least <done> operations were completed

    Examples:
      | workload | seed | done |
      | jamaica  | 1    | 9000 |
      | thailand | 2    | 9000 |

  Scenario: A failing day is shrunk to a minimal list of faults
    Given a day of 40 faults that fails whenever the faults 7, 8 and 31 are injected
    When the day is shrunk
    Then exactly these three faults are left, after fewer than 80 runs
