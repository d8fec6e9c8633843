Feature: Writes sent to a backend that may still take effect
  An answered write has taken effect or never will. After its link is lost, a write may still take effect for a while.

  Background:
    Given a proxy that tracks in-flight writes

  Scenario: Without a sent write none may take effect
    Then writes to "a" may still take effect: no

  Scenario: A write may take effect until it is answered, however long that takes
    When a write to "a" is sent
    Then writes to "a" may still take effect: yes
    And writes to "b" may still take effect: no
    When 60000 ms pass for the in-flight writes
    Then writes to "a" may still take effect: yes
    When the writes to "a" are answered
    Then writes to "a" may still take effect: no

  Scenario: A write whose link is lost may take effect for 3000 ms after the loss
    When a write to "a" is sent
    And the links with writes to "a" are lost
    And 2999 ms pass for the in-flight writes
    Then writes to "a" may still take effect: yes
    When 2 ms pass for the in-flight writes
    Then writes to "a" may still take effect: no

  Scenario: Abandoning closes the links of writes unanswered for too long, of one database or of all
    When a write to "a" is sent
    And 300 ms pass for the in-flight writes
    And a write to "b" is sent
    And writes to "b" unanswered for 250 ms are abandoned
    Then the closed links are "none"
    When writes to any database unanswered for 250 ms are abandoned
    Then the closed links are "a"
