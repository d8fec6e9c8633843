Feature: Ways round to a primary that can't be reached from here

  Background:
    Given a primary "a", and other proxies "near" and "far" that may have links to it

  Scenario: Nothing is sought while the primary is reached
    When 2000 ms pass, with a look each 100 ms
    Then no way was tried, and there is none

  Scenario: A way counts once the primary's own position has come by it, and while it goes on coming
    When "a" is silent
    And 300 ms pass, with a look each 100 ms
    Then "a" is reached by way of "near"
    And 5000 ms later "a" is reached by way of "near"

  Scenario: A way that is lost is no way any more, and another is found
    When "a" is silent
    And 300 ms pass, with a look each 100 ms
    And "near" does not reach it either
    And 1500 ms pass, with a look each 100 ms
    Then "a" is reached by way of "far"

  Scenario: Nobody reaches it, and so nothing is sent to anybody
    When "near" does not reach it either
    And "far" does not reach it either
    And "a" is silent
    And 4000 ms pass, with a look each 100 ms
    Then there is no way, and at most 13 were tried
    When "far" reaches it again
    And 2500 ms pass, with a look each 100 ms
    Then "a" is reached by way of "far"

  Scenario: An answer that comes late proves nothing for longer than from its asking
    When "near" answers after 400 ms
    And "far" does not reach it either
    And "a" is silent
    And 900 ms pass, with a look each 100 ms
    Then "a" is reached by way of "near"
    When "near" does not reach it either
    And 1000 ms pass, with a look each 100 ms
    Then there is no way, and at most 8 were tried

  Scenario: A primary that can't be dialled is one that can't be reached
    When "a" can't be dialled
    And 300 ms pass, with a look each 100 ms
    Then "a" is reached by way of "near"

  Scenario: Once the primary is reached from here there is no way round
    When "a" is silent
    And 300 ms pass, with a look each 100 ms
    And "a" answers again
    And 300 ms pass, with a look each 100 ms
    Then there is no way, and at most 2 were tried
