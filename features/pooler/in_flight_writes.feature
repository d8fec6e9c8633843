Feature: What has left for a backend and may still land
  An answer says that a write has landed or never will. A link that is lost says neither for a while.

  Background:
    Given what a proxy has under way

  Scenario: Nothing has left, so nothing lands
    Then of "a" anything may land: no

  Scenario: A write counts until it is answered
    When a write of "a" leaves
    Then of "a" anything may land: yes
    And of "b" anything may land: no
    When 60000 ms pass for what is under way
    Then of "a" anything may land: yes
    When the writes of "a" are answered
    Then of "a" anything may land: no

  Scenario: A write whose link is lost counts for as long as it may lie somewhere
    When a write of "a" leaves
    And the links of "a" are lost
    And 2999 ms pass for what is under way
    Then of "a" anything may land: yes
    When 2 ms pass for what is under way
    Then of "a" anything may land: no

  Scenario: What has been owed for long is given up, of the databases that are named or of all
    When a write of "a" leaves
    And 300 ms pass for what is under way
    And a write of "b" leaves
    And what "b" has owed for 250 ms is given up
    Then the links that were closed are "none"
    When what every database has owed for 250 ms is given up
    Then the links that were closed are "a"
