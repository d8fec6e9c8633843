Feature: Detours through other proxies to a primary that can't be reached directly

  Background:
    Given a primary "a" and other proxies "near" and "far" that may have links to it

  Scenario: No detour is searched for while the primary is reachable
    When detours are maintained every 100 ms for 2000 ms
    Then no probe was sent and there is no detour

  Scenario: A detour is used once the primary's position was read through it, and as long as it can be read again
    When "a" is silent
    And detours are maintained every 100 ms for 300 ms
    Then there is a detour to "a" through "near"
    And for 5000 ms there is a detour to "a" through "near"

  Scenario: A detour whose proxy loses the primary is replaced by another
    When "a" is silent
    And detours are maintained every 100 ms for 300 ms
    And "near" can't reach "a" either
    And detours are maintained every 100 ms for 1500 ms
    Then there is a detour to "a" through "far"

  Scenario: Without a proxy that reaches the primary there is no detour, until one reaches it again
    When "near" can't reach "a" either
    And "far" can't reach "a" either
    And "a" is silent
    And detours are maintained every 100 ms for 4000 ms
    Then there is no detour, and at most 13 probes were sent
    When "far" can reach "a" again
    And detours are maintained every 100 ms for 2500 ms
    Then there is a detour to "a" through "far"

  Scenario: A late reply confirms a detour from the time of the request, not of the reply
    When "near" answers after 400 ms
    And "far" can't reach "a" either
    And "a" is silent
    And detours are maintained every 100 ms for 900 ms
    Then there is a detour to "a" through "near"
    When "near" can't reach "a" either
    And detours are maintained every 100 ms for 1000 ms
    Then there is no detour, and at most 8 probes were sent

  Scenario: A primary that can't be dialled counts as unreachable
    When "a" can't be dialled
    And detours are maintained every 100 ms for 300 ms
    Then there is a detour to "a" through "near"

  Scenario: A detour is dropped once the primary is reachable again
    When "a" is silent
    And detours are maintained every 100 ms for 300 ms
    And "a" answers again
    And detours are maintained every 100 ms for 300 ms
    Then there is no detour, and at most 2 probes were sent
