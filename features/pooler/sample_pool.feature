Feature: Position samples of primaries shared between proxies through their controller

  Background:
    Given a controller that shares samples between proxies "b1, b2", each machine with its own clock

  Scenario Outline: A sample of one proxy reaches another and never seems newer than it is
    Given a request takes <there> ms and its answer <back> ms
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has a sample of 3.7 that seems 0 to <older> ms older than it is

    Examples:
      | there | back | older |
      | 0     | 0    | 2     |
      | 1     | 1    | 4     |
      | 1     | 200  | 203   |
      | 200   | 1    | 203   |
      | 150   | 300  | 453   |

  Scenario: A sample requested before the last controller answer is converted by that answer's clock
    Given a request takes 5 ms and its answer 5 ms
    When "b1" pulls from the controller
    And "b1" requests a sample from the primary of term 3
    And "b1" pulls from the controller
    And "b1" receives the requested sample 3.7
    And "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has a sample of 3.7 that seems 0 to 13 ms older than it is

  Scenario: No sample seems newer than it is in seeded runs
    Then over 200 seeded runs with clock drift, slow networks, freezes and restarts no sample seems too recent

  Scenario Outline: The check of the seeded runs detects <fault>
    Then with <fault> some sample seems too recent

    Examples:
      | fault                        |
      | ages counted from the answer |
      | transit time estimated       |
      | times kept across a restart  |

  Scenario: A proxy that was frozen reports a sample with its original time
    Given a request takes 1 ms and its answer 1 ms
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And 3000 ms pass on all machines
    And "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has a sample of 3.7 that seems 0 to 10 ms older than it is

  Scenario: Times by a controller's clock are not reported to its next run
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And the controller restarts
    And "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has no sample
    When "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has a sample of 3.7 that seems 0 to 20 ms older than it is

  Scenario Outline: A proxy accepts a sample only in its own term and a settled assignment
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And "b1" pulls from the controller
    Given the assignment known to "b2" is <state> in term <term>
    When "b2" pulls from the controller
    Then "b2" has no sample

    Examples:
      | state   | term |
      | settled | 2    |
      | settled | 4    |
      | closing | 3    |
      | moving  | 3    |
      | moving  | 4    |

  Scenario Outline: A sample of a replaced or closing assignment is not reported
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    Given the assignment known to "b1" is <state> in term <term>
    When "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has no sample

    Examples:
      | state   | term |
      | settled | 4    |
      | moving  | 4    |
      | closing | 3    |

  Scenario: A sample of a later term replaces earlier ones and is not replaced by one of an earlier term
    When "b1" pulls from the controller
    And "b2" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    Given the assignment known to "b2" is settled in term 4
    When "b2" samples 4.1 from the primary of term 4 within 10 ms
    And "b2" pulls from the controller
    And "b1" samples 3.9 from the primary of term 3 within 10 ms
    And "b1" pulls from the controller
    Then the controller has sample 4.1 of term 4

  Scenario: A sample is sent once in each direction, and only to proxies that need it
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And "b1" pulls from the controller
    Then the last request reported 1 samples
    When "b2" pulls from the controller
    Then the last answer contained 1 samples
    When "b1" pulls from the controller
    Then the last request reported 0 samples
    When "b2" pulls from the controller
    Then the last answer contained 0 samples
    When "b2" needs no samples
    And "b1" samples 3.8 from the primary of term 3 within 40 ms
    And "b1" pulls from the controller
    And "b2" pulls from the controller
    Then the last answer contained 0 samples

  Scenario: After a lost answer the sample is reported again
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And "b1" pulls from the controller, and the answer is lost
    And "b1" pulls from the controller
    Then the last request reported 1 samples
    And the controller has sample 3.7 of term 3

  Scenario: The controller asks one proxy at a time to sample the primary
    When "b1" pulls from the controller
    Then the last answer requested a sample of the primary: yes
    When "b2" pulls from the controller
    Then the last answer requested a sample of the primary: no
    When 700 ms pass on all machines
    And "b2" pulls from the controller
    Then the last answer requested a sample of the primary: yes
    When "b2" samples 3.7 from the primary of term 3 within 40 ms
    And "b2" pulls from the controller
    And 450 ms pass on all machines
    And "b1" pulls from the controller
    Then the last answer requested a sample of the primary: no
    When 120 ms pass on all machines
    And "b1" pulls from the controller
    Then the last answer requested a sample of the primary: yes
