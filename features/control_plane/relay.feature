Feature: A controller relays the register and the backends to proxies

  Background:
    Given a relay

  Scenario: The first answer is the full state, later ones contain only changes
    Given the register holds "plan" as "p1 with a document"
    And the register holds "slots" as "s1"
    And the backends "a, b" send heartbeats
    Then a proxy that asks gets the full state: the values "plan=p1 slots=s1", the backends "a b", the controllers "10.0.0.1:1"
    And a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"
    When the register holds "slots" as "s2"
    And the backends "b" send heartbeats as primary
    Then a proxy that asks gets changes: the values "slots=s2", the backends "b!", the controllers "none"
    And a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"

  Scenario: The records of replicas, which only controllers use, are not relayed
    Given the register holds "slots" as "s1"
    And the register holds "replicas/s" as "r1"
    Then a proxy that asks gets the full state: the values "slots=s1", the backends "none", the controllers "10.0.0.1:1"
    When the register holds "replicas/s" as "r2"
    Then a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"

  Scenario: A heartbeat with an unchanged state is not relayed
    Given the backends "a, b" send heartbeats
    Then a proxy that asks gets the full state: the values "none", the backends "a b", the controllers "10.0.0.1:1"
    When the backends "a, b" send heartbeats again
    Then a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"

  Scenario: A backend's silence, return, emptying and deregistration are relayed
    Given the backends "a, b" send heartbeats
    Then a proxy that asks gets the full state: the values "none", the backends "a b", the controllers "10.0.0.1:1"
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

  Scenario: A deregistered backend is relayed for 30 s
    Given the backends "a, b" send heartbeats
    When the backends "a" send heartbeats as gone
    And the proxy asks with the revision of another relay
    Then a proxy that asks gets the full state: the values "none", the backends "a-gone b", the controllers "10.0.0.1:1"
    When 31000 ms pass at the relay
    And the proxy asks with the revision of another relay
    Then a proxy that asks gets the full state: the values "none", the backends "b?", the controllers "10.0.0.1:1"

  Scenario Outline: A proxy that asks with <revision> gets the full state
    Given the backends "a" send heartbeats
    Then a proxy that asks gets the full state: the values "none", the backends "a", the controllers "10.0.0.1:1"
    When the proxy asks with <revision>
    Then a proxy that asks gets the full state: the values "none", the backends "a", the controllers "10.0.0.1:1"

    Examples:
      | revision                         |
      | the revision of another relay    |
      | a revision later than the newest |

  Scenario: The list of controllers is relayed when it changes
    Then a proxy that asks gets the full state: the values "none", the backends "none", the controllers "10.0.0.1:1"
    When the controllers are "10.0.0.1:1, 10.0.0.2:1"
    Then a proxy that asks gets changes: the values "none", the backends "none", the controllers "10.0.0.1:1 10.0.0.2:1"
    And a proxy that asks gets changes: the values "none", the backends "none", the controllers "none"

  Scenario: An answer contains the age of the controller's register view
    Given the register holds "slots" as "s1"
    Then the answer is between 0 and 250 ms old
    When the relay's controller loses the register
    And 3000 ms pass at the relay
    Then the answer is between 2900 and 3250 ms old

  Scenario: A brief question gets only site and age, and does not count as contact
    Given the register holds "slots" as "s1"
    And the backends "a, b" send heartbeats
    Then a brief question gets the site "kingston", an age below 250 ms, and nothing else
    And within 1000 ms the proxies that asked were "none"

  Scenario: Samples are accepted only with times of this controller process
    When a proxy reports a sample timed by another process
    Then the relay holds 0 samples
    When a proxy reports a sample timed by this process
    Then the relay holds 1 samples

  Scenario: Suspected backends are reported, and recent proxies are listed
    When "proxy-1" asks and suspects "a, b"
    And 5000 ms pass at the relay
    And "proxy-2" asks and suspects "b"
    Then the reported suspicions are "a by proxy-1, b by proxy-1, b by proxy-2"
    And within 1000 ms the proxies that asked were "proxy-2"
    And within 6000 ms the proxies that asked were "proxy-1 proxy-2"
