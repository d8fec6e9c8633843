Feature: What proxies are told

  Background:
    Given a relay

  Scenario: All at first, then only what has changed
    Given the register holds "plan" as "p1 with a document"
    And the register holds "slots" as "s1"
    And the backends "a, b" beat
    Then a proxy that asks is told all: the values "plan=p1 slots=s1", the backends "a b", the controllers "10.0.0.1:1"
    And a proxy that asks is told changes: the values "none", the backends "none", the controllers "none"
    When the register holds "slots" as "s2"
    And the backends "b" beat as primary
    Then a proxy that asks is told changes: the values "slots=s2", the backends "b!", the controllers "none"
    And a proxy that asks is told changes: the values "none", the backends "none", the controllers "none"

  Scenario: A heartbeat that says nothing new is no change
    Given the backends "a, b" beat
    Then a proxy that asks is told all: the values "none", the backends "a b", the controllers "10.0.0.1:1"
    When the backends "a, b" beat again
    Then a proxy that asks is told changes: the values "none", the backends "none", the controllers "none"

  Scenario: A backend's silence, its return and its end are changes
    Given the backends "a, b" beat
    Then a proxy that asks is told all: the values "none", the backends "a b", the controllers "10.0.0.1:1"
    When 2000 ms pass at the relay
    And the backends "a" beat again
    And 1500 ms pass at the relay
    Then a proxy that asks is told changes: the values "none", the backends "b?", the controllers "none"
    When the backends "b" beat again
    Then a proxy that asks is told changes: the values "none", the backends "b", the controllers "none"
    When the backends "a" beat as emptying
    Then a proxy that asks is told changes: the values "none", the backends "a-emptying", the controllers "none"
    When the backends "a" beat as gone
    Then a proxy that asks is told changes: the values "none", the backends "a-gone", the controllers "none"

  Scenario: One that is gone is told of for half a minute
    Given the backends "a, b" beat
    When the backends "a" beat as gone
    And the proxy asks with the edition of another relay
    Then a proxy that asks is told all: the values "none", the backends "a-gone b", the controllers "10.0.0.1:1"
    When 31000 ms pass at the relay
    And the proxy asks with the edition of another relay
    Then a proxy that asks is told all: the values "none", the backends "b?", the controllers "10.0.0.1:1"

  Scenario Outline: A proxy that knows another relay, or another life of this one, is told all
    Given the backends "a" beat
    Then a proxy that asks is told all: the values "none", the backends "a", the controllers "10.0.0.1:1"
    When the proxy asks with <what> of another relay
    Then a proxy that asks is told all: the values "none", the backends "a", the controllers "10.0.0.1:1"

    Examples:
      | what            |
      | the edition     |
      | a later edition |

  Scenario: The list of controllers is told when it changes
    Then a proxy that asks is told all: the values "none", the backends "none", the controllers "10.0.0.1:1"
    When the controllers are "10.0.0.1:1, 10.0.0.2:1"
    Then a proxy that asks is told changes: the values "none", the backends "none", the controllers "10.0.0.1:1 10.0.0.2:1"
    And a proxy that asks is told changes: the values "none", the backends "none", the controllers "none"

  Scenario: An answer says how old the controller's own knowledge is
    Given the register holds "slots" as "s1"
    Then the answer is between 0 and 250 ms old
    When the relay's controller is cut off from the register
    And 3000 ms pass at the relay
    Then the answer is between 2900 and 3250 ms old

  Scenario: Who looks for the nearest controller is told of its place and age alone, and is none of its proxies
    Given the register holds "slots" as "s1"
    And the backends "a, b" beat
    Then a proxy that looks for the nearest is told the site "kingston", an age below 250 ms, and nothing else
    And within 1000 ms it saw the proxies "none"

  Scenario: Samples are taken only from who knows this life of the controller
    When a proxy tells of a sample as from another life
    Then the relay has been told of 0 samples
    When a proxy tells of a sample as from this life
    Then the relay has been told of 1 samples

  Scenario: What proxies find silent is passed on, and who asked lately is known
    When "booth-1" asks and finds "a, b" silent
    And 5000 ms pass at the relay
    And "booth-2" asks and finds "b" silent
    Then it was told of trouble with "a by booth-1, b by booth-1, b by booth-2"
    And within 1000 ms it saw the proxies "booth-2"
    And within 6000 ms it saw the proxies "booth-1 booth-2"
