Feature: Stages of windows
  One scheduler advances the stages of windows by its calendar; no stage goes back, whoever schedules next.

  Scenario Outline: A window from 10 to 20, at <times>, is <stages>
    Given a window from 10 to 20
    When it is advanced at the times <times>
    Then its stages are <stages>

    Examples: in the third row the next scheduler's clock is behind
      | times          | stages                        |
      | 9 10 19 20     | booked open open ended        |
      | 5 25 26        | booked ended ended            |
      | 10 8 15 20 18  | open open open ended ended    |

  Scenario: A window whose times are changed is another window, and one that is gone is forgotten
    Given a window from 10 to 20
    When it is advanced at the times 12
    And its times become 30 to 40
    And it is advanced at the times 13
    Then its stages are booked

  Scenario Outline: <case>
    Given a configuration with overlapping windows
    When the windows <names> are open
    Then the backends <backends> and the HTTP proxies <HTTP proxies> must be drained

    Examples:
      | case                             | names     | backends      | HTTP proxies |
      | without open windows none is    | none      | none          | none   |
      | one window                       | one       | a b           | s1     |
      | overlapping windows count together | one two | a b c         | s1 s2  |
