Feature: Samples of primaries' positions that proxies share by way of their controller

  Background:
    Given a controller that shares samples between proxies "b1, b2", each machine with its own clock

  Scenario Outline: What one proxy was shown reaches another, no younger than it is
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

  Scenario: A sample that was asked for before the last answer came is reckoned from that answer too
    Given a request takes 5 ms and its answer 5 ms
    When "b1" pulls from the controller
    And "b1" requests a sample from the primary of term 3
    And "b1" pulls from the controller
    And "b1" receives the requested sample 3.7
    And "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has a sample of 3.7 that seems 0 to 13 ms older than it is

  Scenario: No sample is ever taken for younger than it is
    Then over 200 seeded runs with clock drift, slow networks, freezes and restarts no sample seems too recent

  Scenario Outline: The check of the seeded runs detects <fault>
    Then with <fault> some sample seems too recent

    Examples:
      | fault                           |
      | ages counted from the answer    |
      | transit time estimated          |
      | times kept across a restart     |

  Scenario: A proxy that was frozen tells what it had at its own moment
    Given a request takes 1 ms and its answer 1 ms
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And 3000 ms pass on all machines
    And "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has a sample of 3.7 that seems 0 to 10 ms older than it is

  Scenario: Moments that an earlier life of the controller gave out are told to no later one
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And the controller restarts
    And "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has no sample
    When "b1" pulls from the controller
    And "b2" pulls from the controller
    Then "b2" has a sample of 3.7 that seems 0 to 20 ms older than it is

  Scenario Outline: A sample counts under the term alone under which it was asked for
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

  Scenario Outline: A sample whose lead is not there any more is not told
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

  Scenario: One of a later term takes the place of all earlier ones, and none of an earlier term its
    When "b1" pulls from the controller
    And "b2" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    Given the assignment known to "b2" is settled in term 4
    When "b2" samples 4.1 from the primary of term 4 within 10 ms
    And "b2" pulls from the controller
    And "b1" samples 3.9 from the primary of term 3 within 10 ms
    And "b1" pulls from the controller
    Then the controller has sample 4.1 of term 4

  Scenario: What was told or given once travels no more, and nothing that nobody wants
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

  Scenario: An answer that is lost costs a question more
    When "b1" pulls from the controller
    And "b1" samples 3.7 from the primary of term 3 within 40 ms
    And "b1" pulls from the controller, and the answer is lost
    And "b1" pulls from the controller
    Then the last request reported 1 samples
    And the controller has sample 3.7 of term 3

  Scenario: One proxy is sent to the primary for all
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
