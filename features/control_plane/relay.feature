Feature: Proxies get all changes from a controller's relay

  Background:
    Given a relay

  Scenario: All at first, then only what has changed
    Given the register holds "plan" as "p1 with a document"
    And the register holds "slots" as "s1"
    And the backends "a, b" send heartbeats
    Then a proxy that asks gets all: the values "plan=p1 slots=s1", the backends "a b", the controllers "10.0.0.1:1"
    And a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"
    When the register holds "slots" as "s2"
    And the backends "b" send heartbeats as primary
    Then a proxy that asks gets changes: the values "slots=s2", the backends "b!", the controllers "none"
    And a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"

  Scenario: A heartbeat without a new state is no change
    Given the backends "a, b" send heartbeats
    Then a proxy that asks gets all: the values "none", the backends "a b", the controllers "10.0.0.1:1"
    When the backends "a, b" send heartbeats again
    Then a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"

  Scenario: A backend's silence, its return and its end are changes
    Given the backends "a, b" send heartbeats
    Then a proxy that asks gets all: the values "none", the backends "a b", the controllers "10.0.0.1:1"
    When 2000 ms pass at the relay
    And the backends "a" send heartbeats again
    And 1500 ms pass at the relay
    Then a proxy that asks gets changes: the values "none", the backends "b?", the controllers "none"
    When the backends "b" send heartbeats again
    Then a proxy that asks gets changes: the values "none", the backends "b", the controllers "none"
    When the backends "a" send heartbeats as emptying
    Then a proxy that asks gets changes: the values "none", the backends "a-emptying", the controllers "none"
    When the backends "a" send heartbeats as gone
    Then a proxy that asks gets changes: the values "none", the backends "a-gone", the controllers "none"

  Scenario: A deregistered backend is relayed for half a minute
    Given the backends "a, b" send heartbeats
    When the backends "a" send heartbeats as gone
    And the proxy asks with the revision of another relay
    Then a proxy that asks gets all: the values "none", the backends "a-gone b", the controllers "10.0.0.1:1"
    When 31000 ms pass at the relay
    And the proxy asks with the revision of another relay
    Then a proxy that asks gets all: the values "none", the backends "b?", the controllers "10.0.0.1:1"

  Scenario Outline: A proxy that knows another relay, or an earlier process of this one, gets all
    Given the backends "a" send heartbeats
    Then a proxy that asks gets all: the values "none", the backends "a", the controllers "10.0.0.1:1"
    When the proxy asks with <what> of another relay
    Then a proxy that asks gets all: the values "none", the backends "a", the controllers "10.0.0.1:1"

    Examples:
      | what            |
      | the revision     |
      | a later revision |

  Scenario: The list of controllers is relayed when it changes
    Then a proxy that asks gets all: the values "none", the backends "none", the controllers "10.0.0.1:1"
    When the controllers are "10.0.0.1:1, 10.0.0.2:1"
    Then a proxy that asks gets changes: the values "none", the backends "none", the controllers "10.0.0.1:1 10.0.0.2:1"
    And a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"

  Scenario: An answer says how old the controller's own knowledge is
    Given the register holds "slots" as "s1"
    Then the answer is between 0 and 250 ms old
    When the relay's controller is cut off from the register
    And 3000 ms pass at the relay
    Then the answer is between 2900 and 3250 ms old

  Scenario: A proxy that looks for the nearest controller gets its site and age alone, and is not counted as asking
    Given the register holds "slots" as "s1"
    And the backends "a, b" send heartbeats
    Then a proxy that looks for the nearest gets the site "kingston", an age below 250 ms, and nothing else
    And within 1000 ms it was asked by "none"

  Scenario: Samples are taken only from proxies that know this process of the controller
    When a proxy reports a sample with the clock of another process
    Then the relay holds 0 samples
    When a proxy reports a sample with the clock of this process
    Then the relay holds 1 samples

  Scenario: Suspected backends are passed on, and the proxies that asked lately are known
    When "booth-1" asks and suspects "a, b"
    And 5000 ms pass at the relay
    And "booth-2" asks and suspects "b"
    Then the suspicions passed on are "a by booth-1, b by booth-1, b by booth-2"
    And within 1000 ms it was asked by "booth-2"
    And within 6000 ms it was asked by "booth-1 booth-2"
