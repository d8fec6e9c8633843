Feature: The wire towards clients

  Scenario Outline: A greeting
    Given a client's connection
    When it sends `<greeting>`
    Then it receives
      """
      <answer>
      """
    And the connection is <word>

    Examples:
      | greeting                  | answer                     | word   |
      | GREET db1 u1\r\n          | READY I -                  | open   |
      | GREET db1\r\n             | READY I -                  | open   |
      | GREET db1 u1 more of it\r\n | READY I -                | open   |
      | GREET db2 u1\r\n          | ERROR NODB no such database | closed |
      | GREET\r\n                 | ERROR NODB no such database | closed |
      | GREET \xff\xfe u1\r\n     | ERROR NODB no such database | closed |
      | ASK 1 FETCH a\r\n         | ERROR GARBLED no such message here | closed |
      | GARBAGE\r\n               | ERROR GARBLED no such message here | closed |
      | \r\n                      | ERROR GARBLED no such message here | closed |
      | greet db1 u1\r\n          | ERROR GARBLED no such message here | closed |

  Scenario: A greeting before the first configuration waits for it, but not for long
    Given a client's connection
    And no configuration yet
    When it sends `GREET db1 u1\r\n`
    And 1300 ms pass on the connection
    Then it receives nothing
    When 200 ms pass on the connection
    Then it receives
      """
      ERROR BUSY come back in 500 ms
      """
    And the connection is closed

  Scenario: A connection that never says for what it came is closed
    Given a client's connection
    When it sends `GREET db1`
    And the time for a greeting is over
    Then it receives nothing
    And the connection is closed

  Scenario: An idle session is not closed
    Given a client's connection that was greeted
    When the time for a greeting is over
    Then the connection is open

  Scenario: Asks that come at once are run one at a time and answered in order
    Given a client's connection that was greeted
    When it sends `ASK 1 BEGIN\r\nASK 2 PUT a x\r\nASK 3 COMMIT\r\n`
    Then it receives
      """
      DONE 1
      READY T -
      DONE 2
      READY T -
      DONE 3
      READY I -
      """
    And the proxy has run "1 begin, 2 write, 3 commit"

  Scenario: However its bytes are split
    Given a client's connection that was greeted
    When it sends `ASK 1 FETCH a\r\nASK 2 FETCH b\r\n` byte by byte
    Then the proxy has run "1 read, 2 read"

  Scenario: A text that is none is refused, and the session goes on in its state
    Given a client's connection that was greeted
    When it sends `ASK 1 BEGIN\r\nASK 2 FLETCH a\r\nASK 3\r\nASK 4 FETCH a\r\n`
    Then it receives
      """
      DONE 1
      READY T -
      ERROR GARBLED -
      READY T -
      ERROR GARBLED -
      READY T -
      DONE 4
      READY T -
      """
    And the connection is open

  Scenario Outline: What ends a session
    Given a client's connection that was greeted
    When it sends `<text>`
    Then it receives
      """
      <answer>
      """
    And the connection is closed
    And the proxy has ended sessions in "idle"

    Examples:
      | text               | answer                             |
      | BYE\r\n            |                                    |
      | GREET db1 u1\r\n   | ERROR GARBLED no such message here |
      | SOMETHING\r\n      | ERROR GARBLED no such message here |

  Scenario Outline: What comes behind the end of a session is not run
    Given a client's connection that was greeted
    When it sends `<end>\r\nASK 1 PUT a x\r\n`
    Then the connection is closed
    And the proxy has run "nothing"

    Examples:
      | end       |
      | BYE       |
      | SOMETHING |

  Scenario: A line that is too long ends the session
    Given a client's connection that was greeted
    When it sends a line of more than 1 MiB
    Then it receives
      """
      ERROR GARBLED a line is too long
      """
    And the connection is closed
    And the proxy has ended sessions in "idle"

  Scenario: A client that does not read its answers is not read from
    Given a client's connection that was greeted
    When a client that does not read sends 200 asks
    Then no more than 1 is run, and reading is paused
    When it reads again
    Then all are answered in order, and reading goes on

  Scenario Outline: A client that vanishes in a transaction
    Given a client's connection that was greeted
    When the client vanishes while <what>
    Then the proxy has ended sessions in "<state>"
    And the connection has not crashed

    Examples:
      | what               | state |
      | nothing runs       | open  |
      | its statement runs | idle  |
