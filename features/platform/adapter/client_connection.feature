Feature: Wire protocol between clients and the proxy

  Scenario Outline: A handshake is accepted for a known database only
    Given a client connection
    When the client sends `<message>`
    Then the client receives
      """
      <answer>
      """
    And the connection is <word>

    Examples:
      | message                     | answer                             | word   |
      | GREET db1 u1\r\n            | READY I -                          | open   |
      | GREET db1\r\n               | READY I -                          | open   |
      | GREET db1 u1 more of it\r\n | READY I -                          | open   |
      | GREET db2 u1\r\n            | ERROR NODB no such database        | closed |
      | GREET\r\n                   | ERROR NODB no such database        | closed |
      | GREET \xff\xfe u1\r\n       | ERROR NODB no such database        | closed |
      | ASK 1 FETCH a\r\n           | ERROR GARBLED no such message here | closed |
      | GARBAGE\r\n                 | ERROR GARBLED no such message here | closed |
      | \r\n                        | ERROR GARBLED no such message here | closed |
      | greet db1 u1\r\n            | ERROR GARBLED no such message here | closed |

  Scenario: A handshake before the first configuration is refused after 1500 ms
    Given a client connection
    And the proxy has no configuration
    When the client sends `GREET db1 u1\r\n`
    And 1300 ms pass on the connection
    Then the client receives nothing
    When 200 ms pass on the connection
    Then the client receives
      """
      ERROR BUSY come back in 500 ms
      """
    And the connection is closed

  Scenario: A connection without a complete handshake is closed at the handshake timeout
    Given a client connection
    When the client sends `GREET db1`
    And the handshake timeout expires
    Then the client receives nothing
    And the connection is closed

  Scenario: The handshake timeout does not close an idle session
    Given a client connection with a completed handshake
    When the handshake timeout expires
    Then the connection is open

  Scenario: Pipelined statements are run one at a time and answered in order
    Given a client connection with a completed handshake
    When the client sends `ASK 1 BEGIN\r\nASK 2 PUT a x\r\nASK 3 COMMIT\r\n`
    Then the client receives
      """
      DONE 1
      READY T -
      DONE 2
      READY T -
      DONE 3
      READY I -
      """
    And the proxy has run "1 begin, 2 write, 3 commit"

  Scenario: Statements that arrive byte by byte are run
    Given a client connection with a completed handshake
    When the client sends `ASK 1 FETCH a\r\nASK 2 FETCH b\r\n` byte by byte
    Then the proxy has run "1 read, 2 read"

  Scenario: A malformed statement is refused, and the session's state stays as it is
    Given a client connection with a completed handshake
    When the client sends `ASK 1 BEGIN\r\nASK 2 FLETCH a\r\nASK 3\r\nASK 4 FETCH a\r\n`
    Then the client receives
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

  Scenario Outline: BYE, a second GREET or an unknown message ends the session
    Given a client connection with a completed handshake
    When the client sends `<text>`
    Then the client receives
      """
      <answer>
      """
    And the connection is closed
    And the proxy has closed sessions in the states "idle"

    Examples:
      | text             | answer                             |
      | BYE\r\n          |                                    |
      | GREET db1 u1\r\n | ERROR GARBLED no such message here |
      | SOMETHING\r\n    | ERROR GARBLED no such message here |

  Scenario Outline: Statements after the end of a session are not run
    Given a client connection with a completed handshake
    When the client sends `<end>\r\nASK 1 PUT a x\r\n`
    Then the connection is closed
    And the proxy has run "nothing"

    Examples:
      | end       |
      | BYE       |
      | SOMETHING |

  Scenario: A line of more than 1 MiB ends the session
    Given a client connection with a completed handshake
    When the client sends a line of more than 1 MiB
    Then the client receives
      """
      ERROR GARBLED a line is too long
      """
    And the connection is closed
    And the proxy has closed sessions in the states "idle"

  Scenario: Statements are neither run nor read while a client does not read its replies
    Given a client connection with a completed handshake
    When a client that does not read its replies sends 200 statements
    Then at most 1 statement is run and reading is paused
    When the client reads again
    Then all statements are answered in order and reading resumes

  Scenario Outline: A lost client connection closes its session, also in a transaction
    Given a client connection with a completed handshake
    When the client's connection is lost while <what>
    Then the proxy has closed sessions in the states "<state>"
    And the connection's handler has not crashed

    Examples:
      | what              | state |
      | no statement runs | open  |
      | a statement runs  | idle  |
