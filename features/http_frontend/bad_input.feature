Feature: Bad input at an HTTP proxy's edges
  Malformed, oversized, cut, repeated and reordered input is denied by the table, and changes nothing.

  Scenario Outline: <count> bad jobs of seed <seed> at all edges change nothing
    Given a system at work with an open session
    When <count> bad jobs made by seed <seed> are sent to clients', platform's, backends' and operators' edges
    Then each was answered by the table of kinds, at once, and none with an error of ours
    And the configuration, the leads, the session and what it keeps are as before, and the HTTP proxy serves

    Examples:
      | count | seed |
      | 400   | 1    |
      | 400   | 2    |

  Scenario: Beats that come again, late, out of order or from the past don't bring an older state back
    Given a system at work with an open session
    When a backend's 30 heartbeats that end with emptying come twice each, in an order drawn by seed 3
    Then the HTTP proxy holds it to be emptying, and goes on with the others
