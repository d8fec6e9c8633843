Feature: What has left for a backend and may still land
  An answer says that a write has landed or never will. A link that is lost says neither for a while.

  Background:
    Given a proxy that tracks in-flight writes

  Scenario: Nothing has left, so nothing lands
    Then writes to "a" may still take effect: no

  Scenario: A write counts until it is answered
    When a write to "a" is sent
    Then writes to "a" may still take effect: yes
    And writes to "b" may still take effect: no
    When 60000 ms pass for the in-flight writes
    Then writes to "a" may still take effect: yes
    When the writes to "a" are answered
    Then writes to "a" may still take effect: no

  Scenario: A write whose link is lost counts for as long as it may lie somewhere
    When a write to "a" is sent
    And the links with writes to "a" are lost
    And 2999 ms pass for the in-flight writes
    Then writes to "a" may still take effect: yes
    When 2 ms pass for the in-flight writes
    Then writes to "a" may still take effect: no

  Scenario: What has been owed for long is given up, of the databases that are named or of all
    When a write to "a" is sent
    And 300 ms pass for the in-flight writes
    And a write to "b" is sent
    And writes to "b" unanswered for 250 ms are abandoned
    Then the closed links are "none"
    When writes to any database unanswered for 250 ms are abandoned
    Then the closed links are "a"
