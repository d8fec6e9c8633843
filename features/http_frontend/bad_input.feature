Feature: Malformed input at the interfaces of an HTTP proxy
  Malformed, oversized, truncated, repeated and reordered input is rejected with the documented error kind, and
  changes no state.

  Scenario Outline: <count> malformed requests of seed <seed> at all interfaces change no state
    Given a system at work with an open session
    When <count> malformed requests generated from seed <seed> go to the client, backend and operator interfaces
    Then each is answered within a second with the status of its error kind, and none with an internal error
    And the configuration, the primary assignments, the session and its state are unchanged, and reads succeed

    Examples:
      | count | seed |
      | 400   | 1    |
      | 400   | 2    |

  Scenario: Repeated, late, reordered and outdated heartbeats don't restore an older backend state
    Given a system at work with an open session
    When 30 heartbeats of a backend, the last one emptying, arrive twice each in an order drawn from seed 3
    Then the HTTP proxy regards the backend as emptying, and reads succeed on the others
