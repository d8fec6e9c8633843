Feature: Samples of primaries' positions that proxies share by way of their controller

  Background:
    Given a controller's board of samples, and proxies "b1, b2" that ask it, all with clocks of their own

  Scenario Outline: What one proxy was shown reaches another, no younger than it is
    Given a question takes <there> ms and an answer <back> ms
    When "b1" asks the controller
    And "b1" is shown 3.7 by the primary of term 3, after 40 ms
    And "b1" asks the controller
    And "b2" asks the controller
    Then "b2" has a sample of 3.7, between 0 and <older> ms older than it is

    Examples:
      | there | back | older |
      | 0     | 0    | 2     |
      | 1     | 1    | 4     |
      | 1     | 200  | 203   |
      | 200   | 1    | 203   |
      | 150   | 300  | 453   |

  Scenario: A sample that was asked for before the last answer came is reckoned from that answer too
    Given a question takes 5 ms and an answer 5 ms
    When "b1" asks the controller
    And "b1" begins to ask the primary of term 3
    And "b1" asks the controller
    And "b1" is shown 3.7 by the primary that it asked
    And "b1" asks the controller
    And "b2" asks the controller
    Then "b2" has a sample of 3.7, between 0 and 13 ms older than it is

  Scenario: No sample is ever taken for younger than it is
    Then over 200 seeded runs with clocks that drift, slow nets, freezes and restarts none is too young

  Scenario Outline: With <fault> that would be seen
    Then with <fault> it is seen that a sample is too young

    Examples:
      | fault                           |
      | ages taken from the answer      |
      | moments taken from the question |
      | moments kept over a restart     |

  Scenario: A proxy that was frozen tells what it had at its own moment
    Given a question takes 1 ms and an answer 1 ms
    When "b1" asks the controller
    And "b1" is shown 3.7 by the primary of term 3, after 40 ms
    And 3000 ms pass for all
    And "b1" asks the controller
    And "b2" asks the controller
    Then "b2" has a sample of 3.7, between 0 and 10 ms older than it is

  Scenario: Moments that an earlier life of the controller gave out are told to no later one
    When "b1" asks the controller
    And "b1" is shown 3.7 by the primary of term 3, after 40 ms
    And the controller begins another life
    And "b1" asks the controller
    And "b2" asks the controller
    Then "b2" has no sample
    When "b1" asks the controller
    And "b2" asks the controller
    Then "b2" has a sample of 3.7, between 0 and 20 ms older than it is

  Scenario Outline: A sample counts under the term alone under which it was asked for
    When "b1" asks the controller
    And "b1" is shown 3.7 by the primary of term 3, after 40 ms
    And "b1" asks the controller
    Given "b2" says that the lead is <state> under term <term>
    When "b2" asks the controller
    Then "b2" has no sample

    Examples:
      | state   | term |
      | settled | 2    |
      | settled | 4    |
      | closing | 3    |
      | moving  | 3    |
      | moving  | 4    |

  Scenario Outline: A sample whose lead is not there any more is not told
    When "b1" asks the controller
    And "b1" is shown 3.7 by the primary of term 3, after 40 ms
    Given "b1" says that the lead is <state> under term <term>
    When "b1" asks the controller
    And "b2" asks the controller
    Then "b2" has no sample

    Examples:
      | state   | term |
      | settled | 4    |
      | moving  | 4    |
      | closing | 3    |

  Scenario: One of a later term takes the place of all earlier ones, and none of an earlier term its
    When "b1" asks the controller
    And "b2" asks the controller
    And "b1" is shown 3.7 by the primary of term 3, after 40 ms
    Given "b2" says that the lead is settled under term 4
    When "b2" is shown 4.1 by the primary of term 4, after 10 ms
    And "b2" asks the controller
    And "b1" is shown 3.9 by the primary of term 3, after 10 ms
    And "b1" asks the controller
    Then the board holds 4.1 under term 4

  Scenario: What was told or given once travels no more, and nothing that nobody wants
    When "b1" asks the controller
    And "b1" is shown 3.7 by the primary of term 3, after 40 ms
    And "b1" asks the controller
    Then the last question told 1 samples
    When "b2" asks the controller
    Then the last answer gave 1 samples
    When "b1" asks the controller
    Then the last question told 0 samples
    When "b2" asks the controller
    Then the last answer gave 0 samples
    When "b2" wants nothing
    And "b1" is shown 3.8 by the primary of term 3, after 40 ms
    And "b1" asks the controller
    And "b2" asks the controller
    Then the last answer gave 0 samples

  Scenario: An answer that is lost costs a question more
    When "b1" asks the controller
    And "b1" is shown 3.7 by the primary of term 3, after 40 ms
    And "b1" asks the controller, whose answer is lost
    And "b1" asks the controller
    Then the last question told 1 samples
    And the board holds 3.7 under term 3

  Scenario: One proxy is sent to the primary for all
    When "b1" asks the controller
    Then the last answer sent the proxy to the primary: yes
    When "b2" asks the controller
    Then the last answer sent the proxy to the primary: no
    When 700 ms pass for all
    And "b2" asks the controller
    Then the last answer sent the proxy to the primary: yes
    When "b2" is shown 3.7 by the primary of term 3, after 40 ms
    And "b2" asks the controller
    And 450 ms pass for all
    And "b1" asks the controller
    Then the last answer sent the proxy to the primary: no
    When 120 ms pass for all
    And "b1" asks the controller
    Then the last answer sent the proxy to the primary: yes
