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
