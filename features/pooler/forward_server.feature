Feature: Statements passed on to a proxy that holds links

  Background:
    Given a proxy that holds 2 links to "a", which leads, and another that holds none

  Scenario: A statement runs over a holder's link, with the session's values and shapes ahead of it
    When the other's client asks "SET k v, NAME q PUT x, FETCH 1, RUN q 5, FETCH 2"
    Then the other's client was told "done I, done I, done I, done I, done I"
    And "a" was sent "set k v, FETCH 1, prepare p0 PUT x, RUN p0 5, FETCH 2"
    And "a" has 1 open links, all of the holder

  Scenario: A transaction has one link to itself from its begin to its end
    When the other's client asks "BEGIN, PUT 1 x, FETCH 1, COMMIT, FETCH 2"
    Then the other's client was told "done T, done T, done T, done I, done I"
    And "a" was sent "begin, PUT 1 x, FETCH 1, COMMIT, FETCH 2"
    And the holder has no transaction of others, and every link is given back

  Scenario: What a client undoes, or leaves behind, is rolled back
    When the other's client asks "BEGIN, PUT 1 x, UNDO, BEGIN, PUT 2 x"
    And the other's client vanishes
    And 100 ms pass
    Then "a" was sent "begin, PUT 1 x, rollback, begin, PUT 2 x, rollback"
    And the holder has no transaction of others, and every link is given back

  Scenario: A transaction that rests is kept, and one whose proxy has ended is rolled back
    When the other's client asks "BEGIN, PUT 1 x"
    And 6000 ms pass
    And the other's client asks "COMMIT"
    Then the other's client was told "done T, done T, done I"
    When the other's client asks "BEGIN, PUT 2 x"
    And the other proxy ends
    And 3000 ms pass
    Then the holder has no transaction of others, and every link is given back
    And "a" was sent "begin, PUT 1 x, COMMIT, begin, PUT 2 x, close"

  Scenario Outline: What the holder did not send is answered as not run
    When <state>
    And the other's client asks "PUT 1 x"
    Then the other's client was told "<told>"
    And "a" was sent "nothing"

    Examples:
      | state                                            | told        |
      | the holder stops                                 | noBackend I |
      | the holder has been out of touch for 1200 ms     | notCurrent I |
      | the holder has heard that "b" leads              | noLead I    |

  Scenario: A holder that stops lets a transaction end that has begun, and takes no other
    When the other's client asks "BEGIN, PUT 1 x"
    And the holder stops
    And the other's client asks "COMMIT, PUT 2 x"
    Then the other's client was told "done T, done T, done I, noBackend I"
    And "a" was sent "begin, PUT 1 x, COMMIT"

  Scenario: Whatever lies before a holder that stood still is not sent once its time is up
    When the holder stands still
    And the other's client begins to ask "PUT 1 x"
    And 2000 ms pass
    Then the other's client was told "outcomeUnknown I"
    When the holder goes on
    And 500 ms pass
    Then "a" was sent "nothing"

  Scenario: What lies before a holder that begins anew is not sent, for its clock is another
    When the holder stands still
    And the other's client begins to ask "PUT 1 x"
    And 2000 ms pass
    And the holder begins anew with a clock that is 60 s behind
    And the holder goes on
    And 500 ms pass
    Then "a" was sent "nothing"

  Scenario: A write whose holder is lost on the way is of unknown outcome
    When the other's client asks "FETCH 1"
    And the holder can't be reached any more
    And the other's client asks "PUT 1 x"
    Then the other's client was told "done I, outcomeUnknown I"

  Scenario: A holder that writes for others is not done with a database
    Given "a" answers "slow 200"
    When the other's client begins to ask "PUT 1 x"
    And 100 ms pass
    Then the holder is busy with "db": yes
    When 300 ms pass
    Then the holder is busy with "db": no
    When the other's client asks "BEGIN"
    And 50 ms pass
    Then the holder is busy with "db": yes

  Scenario: A proxy that holds no links sends nothing for others
    When the holder may hold no links any more
    And the other's client asks "FETCH 1"
    Then the other's client was told "timeLeftSpent I"
    And "a" was sent "nothing"
