Feature: Stages of maintenance windows
  The scheduler advances the stages of windows by its wall clock; stages never go back, even with another scheduler.

  Scenario Outline: A window from 10 to 20 at the times <times> has the stages <stages>
    Given a window from 10 to 20
    When it is advanced at the times <times>
    Then its stages are <stages>

    Examples: in the third row the clock of the next scheduler is behind
      | times         | stages                     |
      | 9 10 19 20    | booked open open ended     |
      | 5 25 26       | booked ended ended         |
      | 10 8 15 20 18 | open open open ended ended |

  Scenario: A window with changed times starts as booked, and the state of the earlier one is removed
    Given a window from 10 to 20
    When it is advanced at the times 12
    And its times are changed to 30 to 40
    And it is advanced at the times 13
    Then its stages are booked

  Scenario Outline: <case>
    Given a configuration with overlapping windows
    When the windows <names> are open
    Then the backends <backends> and the HTTP proxies <HTTP proxies> must be drained

    Examples:
      | case                             | names   | backends | HTTP proxies |
      | no window is open                | none    | none     | none         |
      | one window is open               | one     | a b      | s1           |
      | two overlapping windows are open | one two | a b c    | s1 s2        |
