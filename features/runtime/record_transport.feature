Feature: Records over TCP
  One lasting connection a pair; what can't be read is dropped, what has gone silent is dialled anew.

  Scenario: A connection that has gone silent is given up, and the next one is answered
    Given a listener that never answers its first connection
    When it is asked again and again
    Then it is answered over a second connection

  Scenario: Bytes that are no record end their connection and harm no other
    Given a listener that answers with what it is asked
    When 50 connections send it random bytes
    Then it still answers, and has counted what it could not read

  Scenario: A dial that hangs in a cut is given up, so that the first question after the cut is answered soon
    Given a network whose dials hang for 10 s and are answered after that
    When it is asked every 100 ms of virtual time
    Then it is answered within 1000 ms of the end of the cut

  Scenario: Answers find their askers, in whatever order they come and at whatever byte connections end
    Given a listener that answers out of order, late, in part or not at all
    When 600 questions are asked of it, 40 at a time
    Then each answer that was given is the one to its question, and no question reached the listener twice
    And some questions were answered, and some were not

  Scenario: A wire that takes answers in their order is seen to mix them up
    Given a listener that answers out of order, late, in part or not at all
    When 600 questions are asked of it, 40 at a time, over a wire that takes answers in their order
    Then some answer was given to another question
