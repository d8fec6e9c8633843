Feature: Statements forwarded to a proxy that has links to the backend

  Background:
    Given a serving proxy with 2 links to primary "a", and a forwarding proxy without links

  Scenario: A forwarded statement runs after the session's values and prepared statements that it needs
    When the client of the forwarding proxy sends "SET k v, NAME q PUT x, FETCH 1, RUN q 5, FETCH 2"
    Then the client of the forwarding proxy received "done I, done I, done I, done I, done I"
    And "a" was sent "set k v, FETCH 1, prepare p0 PUT x, RUN p0 5, FETCH 2"
    And "a" has 1 open links, all from the serving proxy

  Scenario: A forwarded transaction uses one link from its begin to its end
    When the client of the forwarding proxy sends "BEGIN, PUT 1 x, FETCH 1, COMMIT, FETCH 2"
    Then the client of the forwarding proxy received "done T, done T, done T, done I, done I"
    And "a" was sent "begin, PUT 1 x, FETCH 1, COMMIT, FETCH 2"
    And the serving proxy has no forwarded transaction, and all links are released

  Scenario: A forwarded transaction is rolled back on the client's request and when the client disconnects
    When the client of the forwarding proxy sends "BEGIN, PUT 1 x, UNDO, BEGIN, PUT 2 x"
    And the client of the forwarding proxy disconnects
    And 100 ms pass
    Then "a" was sent "begin, PUT 1 x, rollback, begin, PUT 2 x, rollback"
    And the serving proxy has no forwarded transaction, and all links are released

  Scenario: An idle transaction is kept alive, and rolled back once its proxy has crashed
    When the client of the forwarding proxy sends "BEGIN, PUT 1 x"
    And 6000 ms pass
    And the client of the forwarding proxy sends "COMMIT"
    Then the client of the forwarding proxy received "done T, done T, done I"
    When the client of the forwarding proxy sends "BEGIN, PUT 2 x"
    And the forwarding proxy crashes
    And 3000 ms pass
    Then the serving proxy has no forwarded transaction, and all links are released
    And "a" was sent "begin, PUT 1 x, COMMIT, begin, PUT 2 x, close"

  Scenario Outline: A request that the serving proxy refuses is reported as not run
    When <state>
    And the client of the forwarding proxy sends "PUT 1 x"
    Then the client of the forwarding proxy received "<reply>"
    And "a" was sent "nothing"

    Examples:
      | state                                              | reply        |
      | the serving proxy stops                            | noBackend I  |
      | the serving proxy has received no view for 1200 ms | notCurrent I |
      | the serving proxy's view has primary "b"           | noLead I     |

  Scenario: A serving proxy that stops completes an open transaction and refuses new statements
    When the client of the forwarding proxy sends "BEGIN, PUT 1 x"
    And the serving proxy stops
    And the client of the forwarding proxy sends "COMMIT, PUT 2 x"
    Then the client of the forwarding proxy received "done T, done T, done I, noBackend I"
    And "a" was sent "begin, PUT 1 x, COMMIT"

  Scenario: A request that reaches a paused proxy is not sent to the backend after its deadline
    When the serving proxy is paused
    And the client of the forwarding proxy sends "PUT 1 x" without waiting
    And 2000 ms pass
    Then the client of the forwarding proxy received "outcomeUnknown I"
    When the serving proxy is resumed
    And 500 ms pass
    Then "a" was sent "nothing"

  Scenario: A request to an earlier run of a restarted proxy is not sent, since its clock differs
    When the serving proxy is paused
    And the client of the forwarding proxy sends "PUT 1 x" without waiting
    And 2000 ms pass
    And the serving proxy restarts with a clock that is 60 s behind
    And the serving proxy is resumed
    And 500 ms pass
    Then "a" was sent "nothing"

  Scenario: A write has an unknown outcome if the serving proxy becomes unreachable
    When the client of the forwarding proxy sends "FETCH 1"
    And the serving proxy becomes unreachable
    And the client of the forwarding proxy sends "PUT 1 x"
    Then the client of the forwarding proxy received "done I, outcomeUnknown I"

  Scenario: Forwarded writes and transactions count as open writes to their database
    Given "a" answers "slow 200"
    When the client of the forwarding proxy sends "PUT 1 x" without waiting
    And 100 ms pass
    Then the serving proxy has open writes to "db": yes
    When 300 ms pass
    Then the serving proxy has open writes to "db": no
    When the client of the forwarding proxy sends "BEGIN"
    And 50 ms pass
    Then the serving proxy has open writes to "db": yes

  Scenario: A proxy without links sends no forwarded statement
    When the serving proxy's link limit becomes 0
    And the client of the forwarding proxy sends "FETCH 1"
    Then the client of the forwarding proxy received "timeLeftSpent I"
    And "a" was sent "nothing"
