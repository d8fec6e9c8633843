Feature: Statements and transactions of one client's session

  Background:
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5

  # -- single statements --

  Scenario Outline: A statement that is invalid in the session's state is refused without a backend
    When the client runs "<statements>"
    Then the client's replies are "<replies>"
    And "a" was sent "nothing"

    Examples:
      | statements        | replies                   |
      | RUN s1 1 x        | unknownPrepared I         |
      | FORGET s1         | unknownPrepared I         |
      | COMMIT            | noTransaction I           |
      | UNDO              | noTransaction I           |
      | SET a 1, FORGET a | done I, unknownPrepared I |

  Scenario Outline: A write that was not run is sent to the primary at most four times
    Given "a" answers "<answers>"
    When the client runs "PUT 1 x"
    Then the client's replies are "<replies>"
    And "a" was sent "<sent>"

    Examples:
      | answers                | replies   | sent                               |
      | BUSY                   | done I    | PUT 1 x, PUT 1 x                   |
      | READONLY, BUSY         | done I    | PUT 1 x, PUT 1 x, PUT 1 x          |
      | BUSY, BUSY, BUSY, BUSY | BUSY I    | PUT 1 x, PUT 1 x, PUT 1 x, PUT 1 x |
      | FAILED                 | FAILED I  | PUT 1 x                            |
      | TIMEOUT                | TIMEOUT I | PUT 1 x                            |

  Scenario Outline: A write without an answer is not repeated, and its outcome is unknown
    Given "a" answers "<answers>"
    When the client runs "PUT 1 x"
    Then the client's replies are "outcomeUnknown I"
    And it took between <least> and <most> ms
    And "a" was sent "PUT 1 x"
    And every link is released

    Examples:
      | answers  | least | most |
      | lose     | 1     | 5    |
      | silent   | 765   | 775  |
      | slow 900 | 765   | 775  |

  Scenario Outline: A write waits for a promotion only if its end is expected before the deadline
    When a promotion of "b" with fence 3.5 starts, expected to end in <ready> ms
    And the promotion of "b" ends after 300 ms
    And the client runs "PUT 1 x"
    Then the client's replies are "<replies>"
    And it took between <least> and <most> ms
    And "a" was sent "nothing"
    And "b" was sent "<sent>"

    Examples:
      | ready | replies  | least | most | sent    |
      | 500   | done I   | 300   | 310  | PUT 1 x |
      | 900   | moving I | 0     | 1    | nothing |

  Scenario: An overdue promotion is expected to take as long again
    When a promotion of "b" with fence 3.5 starts, expected to end in 50 ms
    And 900 ms pass
    And the client runs "PUT 1 x"
    Then the client's replies are "moving I"
    And it took between 0 and 1 ms

  Scenario Outline: A statement goes to the new primary if a promotion happens while it waits for a link
    Given dialling "a" results in "slow 100"
    When the client starts "<statements>"
    And 50 ms pass
    And a promotion of "b" with fence 3.5 starts, expected to end in 200 ms
    And the promotion of "b" ends after 200 ms
    And 600 ms pass
    Then the client's replies are "done I"
    And "a" was sent "nothing"
    And "b" was sent "<statements>"
    And every link is released

    Examples:
      | statements |
      | PUT 1 x    |
      | FETCH 1    |

  Scenario: A transaction begins at the new primary if a promotion happens while it waits for a link
    Given dialling "a" results in "slow 100"
    When the client runs "BEGIN"
    And 50 ms pass
    And a promotion of "b" with fence 3.5 starts, expected to end in 200 ms
    And the promotion of "b" ends after 200 ms
    And the client runs "PUT 1 x, COMMIT"
    Then the client's replies are "done T, done T, done I"
    And "a" was sent "nothing"
    And "b" was sent "begin, PUT 1 x, COMMIT"

  Scenario: A write is refused once the view has expired
    When the proxy has received no relay answer for 1300 ms
    And the client runs "PUT 1 x"
    Then the client's replies are "notCurrent I"
    And "a" was sent "nothing"

  # -- reads --

  Scenario: A read with primary consistency is sent to the primary only
    When the client runs "FETCH 1"
    Then the client's replies are "done I"
    And "a" was sent "FETCH 1"

  Scenario: A read with bounded consistency is sent to a replica with a required position
    Given a route with bounded consistency, a maximum age of 1000 ms and a limit of 800 ms
    And the primary's position was sampled 10 ms ago
    When the client runs "FETCH 1"
    Then "c" was sent "after 3.5 FETCH 1"
    And "a" was sent "nothing"

  Scenario: A read with bounded consistency is sent to the primary without a position sample
    Given a route with bounded consistency, a maximum age of 1000 ms and a limit of 800 ms
    When the client runs "FETCH 1"
    Then "a" was sent "FETCH 1"

  Scenario: A read with session consistency requires the position of the session's last write
    Given a route with session consistency, a maximum age of 1000 ms and a limit of 800 ms
    And "a" answers "ok@3.9"
    When the client runs "PUT 1 x, FETCH 1"
    Then the client's replies are "done I, done I"
    And "c" was sent "after 3.9 FETCH 1"

  Scenario Outline: A read that a replica does not run is sent to the next one
    Given a route with bounded consistency, a maximum age of 1000 ms and a limit of 800 ms
    And "c" answers "<c>"
    And the primary's position was sampled 10 ms ago
    When the client runs "FETCH 1"
    Then the client's replies are "done I"
    And "c" was sent "after 3.5 FETCH 1"
    And "b" was sent "after 3.5 FETCH 1"
    And it took between 2 and 60 ms
    And every link is released

    Examples:
      | c       |
      | LAGGING |
      | BUSY    |
      | FAILED  |

  Scenario Outline: A read is sent to another backend if the first is silent or its link is lost
    Given a proxy of a service with primary "a" and replicas "<replicas>", all at 3.5
    And a route with bounded consistency, a maximum age of 1000 ms and a limit of 800 ms
    And "c" answers "<c>"
    And the primary's position was sampled 10 ms ago
    When the client runs "FETCH 1"
    Then the client's replies are "done I"
    And "c" was sent "after 3.5 FETCH 1"
    And it took between <least> and <most> ms
    And every link is released

    Examples: the read is hedged after 260 ms, and the first answer is used
      | replicas | c              | least | most |
      | b, c     | lose, silent   | 2     | 60   |
      | b, c     | silent, silent | 260   | 270  |
      | b, c     | slow 400       | 260   | 270  |
      | c        | lose, silent   | 2     | 60   |
      | c        | silent, silent | 260   | 270  |

  Scenario: A read that every attempt refuses ends with the last refusal
    Given a route with primary consistency, a maximum age of 1000 ms and a limit of 800 ms
    And "a" answers "BUSY, BUSY, BUSY, BUSY, BUSY, BUSY, BUSY, BUSY"
    When the client runs "FETCH 1"
    Then the client's replies are "BUSY I"

  Scenario: A permanent error of a replica ends the read
    Given a route with bounded consistency, a maximum age of 1000 ms and a limit of 800 ms
    And "c" answers "GARBLED"
    And the primary's position was sampled 10 ms ago
    When the client runs "FETCH 1"
    Then the client's replies are "GARBLED I"
    And "b" was sent "nothing"

  Scenario: A read answered before the hedge delay is sent to one backend
    Given a route with bounded consistency, a maximum age of 1000 ms and a limit of 800 ms
    And "c" answers "slow 250"
    And the primary's position was sampled 10 ms ago
    When the client runs "FETCH 1"
    Then "b" was sent "nothing"

  Scenario: A read without an answer ends at its deadline
    Given "a" answers "silent, silent"
    When the client runs "FETCH 1"
    Then the client's replies are "timeLeftSpent I"
    And it took between 765 and 775 ms
    And every link is released

  # -- values and prepared statements --

  Scenario: Changed session values are set on the link before the next statement
    When the client runs "SET a 1, PUT 1 x, SET a 2, SET b 3, PUT 2 x"
    Then "a" was sent "set a 1, PUT 1 x, set a 2, set b 3, PUT 2 x"

  Scenario: A link with values that the session does not have is cleared first
    When the client runs "SET a 1, PUT 1 x"
    And another session runs "PUT 2 x"
    And another session runs "SET b 1, PUT 3 x"
    Then "a" was sent "set a 1, PUT 1 x, clear, PUT 2 x, set b 1, PUT 3 x"

  Scenario: A statement is prepared once on a link, whatever names its clients use
    When the client runs "NAME s1 PUT shape, RUN s1 1 x, RUN s1 2 x"
    And another session runs "NAME t PUT shape, RUN t 3 x"
    Then the client's replies are "done I, done I, done I, done I, done I"
    And "a" was sent "prepare p0 PUT shape, RUN p0 1 x, RUN p0 2 x, RUN p0 3 x"

  Scenario: A name that is prepared again executes the new statement
    When the client runs "NAME s1 PUT shape, RUN s1 1 x, NAME s1 FETCH shape, RUN s1 1, FORGET s1, RUN s1 1"
    Then the client's replies are "done I, done I, done I, done I, done I, unknownPrepared I"
    And "a" was sent "prepare p0 PUT shape, RUN p0 1 x, prepare p1 FETCH shape, RUN p1 1"

  Scenario: Clearing a link also drops its prepared statements, which are prepared again
    When another session runs "SET a 1, NAME t PUT q, RUN t 3 x"
    And the client runs "NAME s PUT q, RUN s 1 x"
    Then "a" was sent "set a 1, prepare p0 PUT q, RUN p0 3 x, clear, prepare p0 PUT q, RUN p0 1 x"

  Scenario: Values and prepared statements are set on the link inside a transaction too
    When the client runs "BEGIN, PUT 1 x, SET a 1, NAME s PUT q, RUN s 2 y, COMMIT"
    Then the client's replies are "done T, done T, done T, done T, done T, done I"
    And "a" was sent "begin, PUT 1 x, set a 1, prepare p0 PUT q, RUN p0 2 y, COMMIT"

  # -- transactions --

  Scenario: BEGIN is answered at once, and the transaction is begun at a backend in the background
    When the client runs "BEGIN"
    Then the client's replies are "done T"
    And it took between 0 and 0 ms
    When 20 ms pass
    Then "a" was sent "begin"
    When the client runs "PUT 1 x, COMMIT"
    Then the client's replies are "done T, done T, done I"
    And "a" was sent "begin, PUT 1 x, COMMIT"
    And every link is released

  Scenario: A read-only transaction goes to a replica with a required position
    Given a route with bounded consistency, a maximum age of 1000 ms and a limit of 800 ms
    And the primary's position was sampled 10 ms ago
    When the client runs "BEGIN read, FETCH 1, COMMIT"
    Then "c" was sent "after 3.5 begin read, FETCH 1, COMMIT"
    And "a" was sent "nothing"

  Scenario Outline: A begin that a replica refuses is sent to the next one
    Given a route with bounded consistency, a maximum age of 1000 ms and a limit of 800 ms
    And "c" answers "<c>"
    And the primary's position was sampled 10 ms ago
    When the client runs "BEGIN read, FETCH 1, COMMIT"
    Then the client's replies are "done T, done T, done I"
    And "b" was sent "after 3.5 begin read, FETCH 1, COMMIT"
    And every link is released

    Examples:
      | c       |
      | LAGGING |
      | BUSY    |

  Scenario Outline: A begin is sent to another backend if the first is silent or its link is lost
    Given a proxy of a service with primary "a" and replicas "c", all at 3.5
    And a route with bounded consistency, a maximum age of 1000 ms and a limit of 2000 ms
    And "c" answers "<c>"
    And the primary's position was sampled 10 ms ago
    When the client runs "BEGIN read, FETCH 1, COMMIT"
    Then the client's replies are "done T, done T, done I"
    And "a" was sent "after 3.5 begin read, FETCH 1, COMMIT"
    And every link is released

    Examples:
      | c              |
      | lose, silent   |
      | silent, silent |

  Scenario: A transaction that no backend begins in time is lost, and none of its statements is sent
    Given "a" answers "silent, silent, silent, silent"
    When the client runs "BEGIN, PUT 1 x, PUT 2 x, COMMIT"
    Then the client's replies are "done T, transactionLost E, transactionFailed E, transactionLost I"
    And none of "PUT 1 x, PUT 2 x, COMMIT" was sent to "a"
    And every link is released

  Scenario: A link lost before the first statement is replaced without an error
    When the client runs "BEGIN"
    And 20 ms pass
    And the open links of "a" are lost
    And the client runs "PUT 1 x, COMMIT"
    Then the client's replies are "done T, done T, done I"
    And "a" was sent "begin, begin, PUT 1 x, COMMIT"

  Scenario Outline: A statement inside a transaction is not repeated after an error
    Given "a" answers "ok, ok, <answer>"
    When the client runs "BEGIN, PUT 1 x, PUT 2 x, PUT 3 x, <end>"
    Then the client's replies are "done T, done T, <replies>"
    And "a" was sent "<sent>"
    And every link is released
    And no released open link is in a transaction

    Examples:
      | answer   | end    | replies                                                   | sent                                     |
      | lose     | COMMIT | transactionLost E, transactionFailed E, transactionLost I | begin, PUT 1 x, PUT 2 x                  |
      | lose     | UNDO   | transactionLost E, transactionFailed E, done I            | begin, PUT 1 x, PUT 2 x                  |
      | silent   | COMMIT | transactionLost E, transactionFailed E, transactionLost I | begin, PUT 1 x, PUT 2 x, close           |
      | FAILED   | COMMIT | FAILED E, transactionFailed E, transactionLost I          | begin, PUT 1 x, PUT 2 x, rollback        |
      | READONLY | UNDO   | READONLY E, transactionFailed E, done I                   | begin, PUT 1 x, PUT 2 x, rollback        |
      | BUSY     | COMMIT | BUSY T, done T, done I                                    | begin, PUT 1 x, PUT 2 x, PUT 3 x, COMMIT |

  Scenario Outline: A commit is sent again only if the backend reports that it did not run it
    Given "a" answers "ok, ok, <answers>"
    When the client runs "BEGIN, PUT 1 x, COMMIT"
    Then the client's replies are "done T, done T, <replies>"
    And "a" was sent "begin, PUT 1 x, <sent>"
    And every link is released
    And no released open link is in a transaction

    Examples:
      | answers                | replies          | sent                                     |
      | BUSY                   | done I           | COMMIT, COMMIT                           |
      | BUSY, BUSY, BUSY, BUSY | BUSY I           | COMMIT, COMMIT, COMMIT, COMMIT, rollback |
      | READONLY               | READONLY I       | COMMIT, rollback                         |
      | lose                   | outcomeUnknown I | COMMIT                                   |
      | silent                 | outcomeUnknown I | COMMIT, close                            |

  Scenario: A commit after the loss of the link is not sent, and the transaction is lost
    When the client runs "BEGIN, PUT 1 x"
    And the open links of "a" are lost
    And the client runs "COMMIT"
    Then the client's replies are "done T, done T, transactionLost I"

  Scenario: BEGIN inside a transaction fails it, and only its end is accepted afterwards
    When the client runs "BEGIN, PUT 1 x, BEGIN, FETCH 1, SET a 1, RUN s, COMMIT, FETCH 2"
    Then the client's replies are "done T, done T, inTransaction E, transactionFailed E, transactionFailed E, transactionFailed E, transactionLost I, done I"
    And every link is released
    And "a" was sent "begin, PUT 1 x, rollback, FETCH 2"

  Scenario: Executing an unknown prepared statement fails the transaction
    When the client runs "BEGIN, RUN s1 1, UNDO"
    Then the client's replies are "done T, unknownPrepared E, done I"
    And every link is released

  Scenario: After a rollback the link serves other sessions
    When the client runs "BEGIN, PUT 1 x, UNDO"
    And 10 ms pass
    And another session runs "PUT 2 x"
    Then "a" was sent "begin, PUT 1 x, rollback, PUT 2 x"

  Scenario Outline: The link is closed if its rollback is not confirmed
    Given "a" answers rollbacks with "<answer>"
    When the client runs "BEGIN, PUT 1 x, UNDO"
    Then the client's replies are "done T, done T, done I"
    When 1500 ms pass
    Then "a" was sent "begin, PUT 1 x, rollback, close"
    And every link is released

    Examples:
      | answer |
      | silent |
      | BUSY   |
      | FAILED |

  Scenario: A transaction rolled back before it was begun leaves no borrowed link
    When the client runs "BEGIN, UNDO, PUT 2 x"
    Then the client's replies are "done T, done I, done I"
    And every link is released
    And no released open link is in a transaction

  Scenario: A transaction of an idle client is rolled back, and its next statements are refused
    When the client runs "BEGIN, PUT 1 x"
    And 2000 ms pass
    And the proxy ends transactions idle for more than 3000 ms
    Then "a" was sent "begin, PUT 1 x"
    When 1001 ms pass
    And the proxy ends transactions idle for more than 3000 ms
    Then "a" was sent "begin, PUT 1 x, rollback"
    When the client runs "PUT 2 x, COMMIT, PUT 3 x"
    Then the client's replies are "done T, done T, transactionFailed E, transactionLost I, done I"

  Scenario: A transaction with a running statement is not idle
    Given "a" answers "ok, ok, slow 700"
    When the client runs "BEGIN, PUT 1 x"
    And the client starts "PUT 2 x"
    And 500 ms pass
    And the proxy ends transactions idle for more than 300 ms
    And 500 ms pass
    Then the client's replies are "done T, done T, done T"

  Scenario: A transaction is rolled back when its idle client disconnects
    When the client runs "BEGIN, PUT 1 x"
    And the client disconnects
    And 10 ms pass
    Then "a" was sent "begin, PUT 1 x, rollback"
    And every link is released
    And no released open link is in a transaction

  Scenario: The link is closed when the client disconnects during a statement
    Given "a" answers "ok, ok, slow 300"
    When the client runs "BEGIN, PUT 1 x"
    And the client starts "PUT 2 x"
    And 100 ms pass
    And the client disconnects
    Then every link is released
    And "a" was sent "begin, PUT 1 x, PUT 2 x, close"
    And no task has crashed

  Scenario: The link is closed when the client disconnects while a commit waits to be repeated
    Given "a" answers "ok, ok, BUSY"
    When the client runs "BEGIN, PUT 1 x"
    And the client starts "COMMIT"
    And 5 ms pass
    And the client disconnects
    Then every link is released
    And "a" was sent "begin, PUT 1 x, COMMIT, close"
    And no task has crashed

  Scenario: A client that disconnects at any point of its first statement leaves no borrowed link
    Then a client that disconnects after any of 8 event loop iterations leaves no borrowed link

  Scenario: A changed route applies from the next transaction
    When the client runs "BEGIN, FETCH 1"
    And the configuration removes the database
    And the client runs "FETCH 2, COMMIT, FETCH 3"
    Then the client's replies are "done T, done T, done T, done I, unknownDatabase I"

  # -- acknowledged commits --

  Scenario Outline: A commit that the new primary may lack is not acknowledged: <answer> beside a fence of <fence>
    # guards against acknowledged commits that are lost because the replaced primary confirmed them late
    Given "a" answers "<answer>"
    When the client starts "PUT 1 x"
    And 50 ms pass
    And a promotion of "b" with fence <fence> starts, expected to end in 900 ms
    And 200 ms pass
    Then the client's replies are "<replies>"
    And every link is released

    Examples: the answer arrives after the promotion has started
      | answer   | fence | replies          |
      | slow 100 | 3.4   | outcomeUnknown I |
      | slow 100 | 3.5   | done I           |

    Examples: the answer arrived before
      | answer | fence | replies |
      | ok     | 3.4   | done I  |

  Scenario: The commit of a transaction that the new primary may lack is not acknowledged
    Given "a" answers "ok, ok, slow 100"
    When the client runs "BEGIN, PUT 1 x"
    And the client starts "COMMIT"
    And 50 ms pass
    And a promotion of "b" with fence 3.4 starts, expected to end in 900 ms
    And 200 ms pass
    Then the client's replies are "done T, done T, outcomeUnknown I"
    And every link is released

  Scenario: The commit of a transaction that changed data is not sent to a replaced primary
    When the client runs "BEGIN, PUT 1 x"
    And a promotion of "b" with fence 3.5 starts, expected to end in 900 ms
    And the client runs "COMMIT"
    Then the client's replies are "done T, done T, transactionLost I"
    And "a" was sent "begin, PUT 1 x, close"

  Scenario: A commit of a transaction without changes is still sent to a replaced primary
    When the client runs "BEGIN, FETCH 1"
    And a promotion of "b" with fence 3.5 starts, expected to end in 900 ms
    And the client runs "COMMIT"
    Then the client's replies are "done T, done T, done I"

  Scenario Outline: A commit that is answered while the view has expired is acknowledged once the view confirms the primary
    Given "a" answers "slow 400"
    And the proxy has received no relay answer for 900 ms
    When the client starts "PUT 1 x"
    And <silence> ms pass
    And the proxy receives relay answers again
    And 500 ms pass
    Then the client's replies are "<replies>"
    And every link is released

    Examples:
      | silence | replies          |
      | 600     | done I           |
      | 900     | outcomeUnknown I |

  Scenario: A primary's late answer for a commit of its earlier term is not acknowledged after its next promotion
    Given "a" answers "slow 400"
    When the client starts "PUT 1 x"
    And 50 ms pass
    And the promotion of "a" ends after 0 ms
    And 500 ms pass
    Then the client's replies are "outcomeUnknown I"
