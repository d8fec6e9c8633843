Feature: What booths are told

  Background:
    Given a relay

  Scenario: All at first, then only what has changed
    Given the register holds "plan" as "p1 with a document"
    And the register holds "slots" as "s1"
    And the backends "a, b" beat
    Then a booth that asks is told all: the values "plan=p1 slots=s1", the backends "a b", the guildhalls "10.0.0.1:1"
    And a booth that asks is told changes: the values "none", the backends "none", the guildhalls "none"
    When the register holds "slots" as "s2"
    And the backends "b" beat as primary
    Then a booth that asks is told changes: the values "slots=s2", the backends "b!", the guildhalls "none"
    And a booth that asks is told changes: the values "none", the backends "none", the guildhalls "none"

  Scenario: A beat that says nothing new is no change
    Given the backends "a, b" beat
    Then a booth that asks is told all: the values "none", the backends "a b", the guildhalls "10.0.0.1:1"
    When the backends "a, b" beat again
    Then a booth that asks is told changes: the values "none", the backends "none", the guildhalls "none"

  Scenario: A backend's silence, its return and its end are changes
    Given the backends "a, b" beat
    Then a booth that asks is told all: the values "none", the backends "a b", the guildhalls "10.0.0.1:1"
    When 2000 ms pass at the relay
    And the backends "a" beat again
    And 1500 ms pass at the relay
    Then a booth that asks is told changes: the values "none", the backends "b?", the guildhalls "none"
    When the backends "b" beat again
    Then a booth that asks is told changes: the values "none", the backends "b", the guildhalls "none"
    When the backends "a" beat as emptying
    Then a booth that asks is told changes: the values "none", the backends "a-emptying", the guildhalls "none"
    When the backends "a" beat as gone
    Then a booth that asks is told changes: the values "none", the backends "a-gone", the guildhalls "none"

  Scenario: One that is gone is told of for half a minute
    Given the backends "a, b" beat
    When the backends "a" beat as gone
    And the booth asks with the edition of another relay
    Then a booth that asks is told all: the values "none", the backends "a-gone b", the guildhalls "10.0.0.1:1"
    When 31000 ms pass at the relay
    And the booth asks with the edition of another relay
    Then a booth that asks is told all: the values "none", the backends "b?", the guildhalls "10.0.0.1:1"

  Scenario Outline: A booth that knows another relay, or another life of this one, is told all
    Given the backends "a" beat
    Then a booth that asks is told all: the values "none", the backends "a", the guildhalls "10.0.0.1:1"
    When the booth asks with <what> of another relay
    Then a booth that asks is told all: the values "none", the backends "a", the guildhalls "10.0.0.1:1"

    Examples:
      | what            |
      | the edition     |
      | a later edition |

  Scenario: The list of guildhalls is told when it changes
    Then a booth that asks is told all: the values "none", the backends "none", the guildhalls "10.0.0.1:1"
    When the guildhalls are "10.0.0.1:1, 10.0.0.2:1"
    Then a booth that asks is told changes: the values "none", the backends "none", the guildhalls "10.0.0.1:1 10.0.0.2:1"
    And a booth that asks is told changes: the values "none", the backends "none", the guildhalls "none"

  Scenario: An answer says how old the guildhall's own knowledge is
    Given the register holds "slots" as "s1"
    Then the answer is between 0 and 250 ms old
    When the relay's guildhall is cut off from the register
    And 3000 ms pass at the relay
    Then the answer is between 2900 and 3250 ms old

  Scenario: Who looks for the nearest guildhall is told of its place and age alone, and is none of its booths
    Given the register holds "slots" as "s1"
    And the backends "a, b" beat
    Then a booth that looks for the nearest is told the site "kingston", an age below 250 ms, and nothing else
    And within 1000 ms it saw the booths "none"

  Scenario: Samples are taken only from who knows this life of the guildhall
    When a booth tells of a sample as from another life
    Then the relay has been told of 0 samples
    When a booth tells of a sample as from this life
    Then the relay has been told of 1 samples

  Scenario: What booths find silent is passed on, and who asked lately is known
    When "booth-1" asks and finds "a, b" silent
    And 5000 ms pass at the relay
    And "booth-2" asks and finds "b" silent
    Then it was told of trouble with "a by booth-1, b by booth-1, b by booth-2"
    And within 1000 ms it saw the booths "booth-2"
    And within 6000 ms it saw the booths "booth-1 booth-2"
