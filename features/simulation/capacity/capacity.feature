Feature: Resource costs at sizes that can't be run are extrapolated from fitted slopes

  Scenario: A fit to exact values returns their coefficients
    Given steps of 10, 30, 100 and 300 proxies with 3, 10 and 30 databases each
    And a cost of 500 and 2 more per database
    When the significant terms of 1, N, D are fitted
    Then the only coefficients are 1 = 500 and D = 2
    And every standard error is below 0.001

  Scenario Outline: With noisy values, errors cover the noise and insignificant terms are dropped
    Given steps of 10, 30, 100 and 300 proxies with 3, 10 and 30 databases each
    And a cost of 500 and 2 more per database
    And noise of 3 percent from seed <seed>
    When the significant terms of 1, D, ND are fitted
    Then the only coefficients are 1 and D, within 4 standard errors of 500 and 2
    And the prediction for 2000 proxies and 3500 databases is within 4 standard errors of 7500

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Growth with proxies times databases is not attributed to either of them
    Given steps of 10, 30, 100 and 300 proxies with 3, 10 and 30 databases each
    And a cost of 40 and 0.5 more per proxy and database
    When the significant terms of 1, N, D, ND are fitted
    Then the only coefficients are 1 = 40 and ND = 0.5

  Scenario: A fit of terms that are collinear at the steps is refused
    Given steps of 10, 30 and 100 proxies with 3 databases each
    And a cost of 500 and 2 more per database
    Then a fit of 1, D is refused

  Scenario: A fit with as many steps as terms has no standard errors
    Given steps of 10 and 30 proxies with 3 databases each
    And a cost of 7 and 3 more per proxy
    When all terms of 1, N are fitted
    Then the only coefficients are 1 = 7 and N = 3
    And the standard errors are unknown

  Scenario: An outlier gets no more weight for being the largest step
    Given steps of 10 proxies with 3, 10, 30, 100 and 1000 databases each
    And a cost of 0 and 2 more per database
    And the cost at the largest step is 50 percent higher
    When all terms of D are fitted
    Then the coefficient of D is between 2.1 and 2.4

  Scenario: A term with a negative coefficient is dropped
    Given steps of 10, 30, 100 and 300 proxies with 3, 10 and 30 databases each
    And a cost of 500 and -0.1 more per proxy
    When the significant terms of 1, N are fitted
    Then the only term left is 1

  Scenario: A sample sums up readings, and the cost of an event excludes the idle cost
    Given two processes of 5 proxies, each with 2000 bytes and 40 ms of CPU time in 10 s of idling
    And a phase of 4 s with 2 events, in which each uses 4800 bytes and 36 ms of CPU time
    Then an idle proxy uses 40 bytes and 800 microseconds per second
    And an event costs each proxy 400 bytes and 2000 microseconds
    And the sample written as JSON is read back unchanged

  Scenario: Readings that are out of order, incomplete or missing are refused
    Then subtracting a later reading from an earlier one is refused
    And a reading without a byte counter is refused
    And a phase without a second reading of each process is refused

  Scenario: Idle samples of saturated processes are left out of a fit
    Given a run of synthetic samples in which an idle proxy uses 400 bytes per second
    And another step whose idle proxies use 95 percent of a core and 10 bytes per second
    Then the idle bytes of a proxy are fitted as a constant 400 from 4 points

  Scenario: Event samples of processes that were saturated when idle are left out of a fit
    Given a run of synthetic samples in which an idle proxy uses 400 bytes per second
    And a configuration costs each proxy 100 bytes per database
    And another step whose idle proxies use 95 percent of a core and 10 bytes per second
    And a configuration costs each proxy of that step 9 bytes
    Then the bytes per configuration are fitted as 100 per database from 4 points

  Scenario Outline: Steps with silent backends or late heartbeats are left out of a fit
    Given a run of synthetic samples in which an idle proxy uses 400 bytes per second
    And another step whose idle proxies use 90 bytes per second, with <quiet> silent backends and <late> of 100 heartbeats late
    Then the idle bytes of a proxy are fitted as a constant 400 from 4 points

    Examples:
      | quiet | late |
      | 1     | 0    |
      | 0     | 2    |

  Scenario: Percentiles are measured times, and observers without a time are counted separately
    Then the times 1 to 100 have a median of 50, a p99 of 99 and a maximum of 100
    And 3 observers without a time are counted as missing
    And without any times the percentiles are undefined

  Scenario: The projection compares fitted slopes with the limits at the target size
    Given a run of synthetic samples in which an idle proxy uses 400 bytes per second
    And a configuration costs each proxy 100 bytes per database
    When the costs at the target size are projected
    Then an idle proxy uses 400 bytes per second, within the limit
    And configurations cost a proxy 44560 bytes per second, 2.6 times the limit
    And there are no rows for slopes that the run lacks

  Scenario Outline: A load step is parsed from text, or refused
    Then the step text <text> gives <result>

    Examples:
      | text      | result                       |
      | 5:10:30   | G=5 voters=5 N=10 D=30       |
      | 7:0:300:5 | G=7 voters=5 N=0 D=300       |
      | 4:10:30   | refused                      |
      | 5:10      | refused                      |
      | 5:10:0    | refused                      |
      | 3:10:10:5 | refused                      |

  Scenario: Steps that would exceed the CPU budget or the time limit are skipped
    Given a run with a budget of 3 cores and 100 s left
    When an idle proxy used 0.01 cores in a step of 10 proxies and 10 databases
    Then a step of 200 proxies and 10 databases is allowed
    And a step of 400 proxies and 10 databases is skipped: "its idle proxies would use 4.0 cores"
    And with 20 s left a step of 10 proxies and 3 databases is skipped: "only 20 s are left"

  Scenario: Stub links answer every statement of a session
    Given a proxy with stub links to 3 databases
    When a session reads, writes and runs a transaction
    Then no reply has a fault and all links are stubs
