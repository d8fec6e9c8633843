Feature: Wire protocol between links and backends

  Scenario: Requests are sent in their wire format
    Given a link to a backend
    When the link sends `GREET / BEGIN / BEGIN read / AFTER 3.7 BEGIN read / UNDO / STATE`
    And the link sends `FETCH 1 / AFTER 3.7 FETCH 1 / PUT 1 a  b / COMMIT`
    And the link sends `SET a b c / CLEAR / NAME p0 PUT q / NAME p1 FETCH r / RUN p0 1 x / AFTER 3.7 RUN p1 1`
    Then the backend receives
      """
      GREET s1 cinderstair srv-1
      ASK - BEGIN
      ASK - BEGIN FETCH
      ASK - AFTER 3.7 BEGIN FETCH
      ASK - UNDO
      ASK - STATE
      ASK id FETCH 1
      ASK id AFTER 3.7 FETCH 1
      ASK id PUT 1 a  b
      ASK id COMMIT
      ASK - SET a b c
      ASK - CLEAR
      ASK - NAME p0 PUT q
      ASK - NAME p1 FETCH r
      ASK id RUN p0 1 x
      ASK id AFTER 3.7 RUN p1 1
      """

  Scenario Outline: Replies resolve the pending requests in order
    Given a link to a backend
    When the link sends `PUT 1 x / FETCH 2`
    And the backend sends `<bytes>` <how>
    Then the outcomes of the link's requests are `<answers>`
    And the link is open and on_lost was called 0 times

    Examples:
      | bytes                                                                 | how          | answers                                  |
      | DONE s\r\nREADY I 3.5\r\n                                             | at once      | 0 rows s I 3.5 / pending                 |
      | DONE s\r\nREADY I 3.5\r\nROW a b\r\nROW \r\nDONE t\r\nREADY I 3.6\r\n | at once      | 0 rows s I 3.5 / 2 rows t I 3.6          |
      | DONE s\r\nREADY I 3.5\r\nROW a b\r\nROW \r\nDONE t\r\nREADY I 3.6\r\n | byte by byte | 0 rows s I 3.5 / 2 rows t I 3.6          |
      | ERROR FAILED so\r\nREADY E 3.5\r\nDONE t\r\nREADY I -\r\n             | at once      | FAILED so retriable E 3.5 / 0 rows t I - |
      | ERROR BUSY\r\nREADY T 3.5\r\n                                         | at once      | BUSY not run T 3.5 / pending             |
      | ERROR LAGGING -\r\nREADY I 3.5\r\n                                    | at once      | LAGGING - not run I 3.5 / pending        |
      | ERROR READONLY srv-2\r\nREADY E 3.5\r\n                               | at once      | READONLY srv-2 not run E 3.5 / pending   |
      | ERROR TIMEOUT\r\nREADY I 3.5\r\n                                      | at once      | TIMEOUT retriable I 3.5 / pending        |
      | ERROR BUSYX\r\nREADY I 3.5\r\n                                        | at once      | BUSYX I 3.5 / pending                    |
      | DONE s\r\nREADY I                                                     | at once      | pending / pending                        |
      | DONE s\r\nREADY I what\r\n                                            | at once      | 0 rows s I - / pending                   |

  Scenario: A lost connection fails the pending requests and later ones, not those that were answered
    Given a link to a backend
    When the link sends `PUT 1 x / FETCH 2 / FETCH 3`
    And the backend sends `DONE s\r\nREADY I 3.5\r\nROW a\r\nDONE`
    And the backend resets the link's connection
    Then the outcomes of the link's requests are `0 rows s I 3.5 / lost / lost`
    And the link is closed and on_lost was called 1 times
    When the link sends `FETCH 4`
    Then the outcomes of the link's requests are `0 rows s I 3.5 / lost / lost / lost`

  Scenario Outline: A protocol violation closes the link without a call of on_lost
    Given a link to a backend
    When the link sends `<requests>`
    And the backend sends `<bytes>`
    Then the outcomes of the link's requests are `<answers>`
    And the link is closed and on_lost was called 0 times

    Examples:
      | requests | bytes                                    | answers        |
      | FETCH 1  | HELLO\r\n                                | lost           |
      | FETCH 1  | \r\n                                     | lost           |
      | FETCH 1  | done s\r\n                               | lost           |
      | FETCH 1  | DONE s\r\nREADY X 3.5\r\n                | lost           |
      | FETCH 1  | DONE s\r\nREADY\r\n                      | lost           |
      | FETCH 1  | DONE s\r\nREADY I 3.5\r\nREADY I 3.5\r\n | 0 rows s I 3.5 |

  Scenario: Closing a link with a pending request resets the connection, so that undelivered data is dropped
    Given a link to a backend
    When the link sends `PUT 1 x`
    And the proxy closes the link
    Then the outcomes of the link's requests are `lost`
    And the link's connection is reset

  Scenario: Closing a link without pending requests closes the connection in order
    Given a link to a backend
    When the link sends `PUT 1 x`
    And the backend sends `DONE s\r\nREADY I 3.5\r\n`
    And the proxy closes the link
    Then the link's connection is closed in order

  Scenario: Session values and prepared statements are recorded when they are sent
    Given a link to a backend
    When the link sends `SET a 1 / SET b 2 / NAME p0 PUT q`
    Then the link has the session values "a=1 b=2" and the prepared statements "p0"
    When the link sends `CLEAR`
    Then the link has the session values "none" and the prepared statements "none"

  Scenario: An UNNAMED error clears the record of prepared statements, so that all are prepared again
    Given a link to a backend
    When the link sends `SET a 1 / NAME p0 PUT q / NAME p1 PUT r`
    And the backend sends `DONE -\r\nREADY I -\r\nDONE -\r\nREADY I -\r\nDONE -\r\nREADY I -\r\n`
    And the link sends `RUN p0 1 x`
    And the backend sends `ERROR UNNAMED p0\r\nREADY I 3.5\r\n`
    Then the outcomes of the link's requests are `UNNAMED p0 not run I 3.5`
    And the link has the session values "a=1" and the prepared statements "none"
    And the link is open and on_lost was called 0 times

  Scenario Outline: A link is closed when one of the proxy's own statements fails
    Given a link to a backend
    When the link sends `<request> / PUT 1 x`
    And the backend sends `ERROR BUSY\r\nREADY I 3.5\r\n`
    Then the outcomes of the link's requests are `lost`
    And the link is closed and on_lost was called 0 times

    Examples:
      | request       |
      | SET a 1       |
      | CLEAR         |
      | NAME p0 PUT q |

  Scenario Outline: The result of a dial depends on the reply to the handshake
    When a backend that answers `<script>` is dialled
    Then the result is <result>
    And the handshake that was sent was `GREET s1 cinderstair srv-1\r\n`
    And the dialled connection is <word>

    Examples: FULL and BUSY are overload; WRONGHOST comes from another backend at the address
      | script                                 | result     | word   |
      | READY I 3.5\r\n                        | a link     | open   |
      | REA + DY I 3.5\r + \n                  | a link     | open   |
      | ERROR FULL\r\n + close                 | crowded    | closed |
      | ERROR BUSY come later\r\n + close      | crowded    | closed |
      | ERROR WRONGHOST srv-2\r\n + close      | wireUnsent | closed |
      | ERROR FULL\r\nREADY I -\r\n            | crowded    | closed |
      | ERROR WRONGHOST srv-2\r\nREADY I -\r\n | noBackend  | closed |
      | close                                  | wireUnsent | closed |
      | NOISE\r\n                              | wireUnsent | closed |
      | silence                                | wireUnsure | closed |

  Scenario: A refused connection fails the dial, with nothing sent
    When a backend that answers `refuse` is dialled
    Then the result is wireUnsent

  Scenario Outline: A command returns the backend's state, or an unknown outcome without a valid state
    When the command <command> is sent to a backend that answers `READY I 3.5\r\n + <script>`
    Then the result is <result>
    And the backend received `<sent>` after the handshake
    And the dialled connection is closed

    Examples:
      | command   | script                                                   | result           | sent             |
      | state     | ROW primary 4 4.91 4 0 1 9\r\nDONE -\r\nREADY I 4.91\r\n | primary 4 4.91 4 | ASK - STATE      |
      | state     | ROW copy 4 4.91 0 15 1 9\r\nDONE -\r\nREADY I 4.90\r\n   | replica 4 4.91 0 | ASK - STATE      |
      | pause     | ROW copy 3 3.12 4 15 1 9\r\nDONE -\r\nREADY I 3.11\r\n   | replica 3 3.12 4 | ASK - PAUSE 4    |
      | resume    | ROW copy 3 - 0 15 1 9 new\r\nDONE -\r\nREADY I -\r\n     | replica 3 0.0 0  | ASK - CONTINUE   |
      | step_down | ROW copy 5 3.12 5 15 1 9\r\nDONE -\r\nREADY I 3.12\r\n   | replica 5 3.12 5 | ASK - STEPDOWN 5 |
      | state     | ERROR BUSY\r\nREADY I 3.5\r\n                            | wireUnsure       | ASK - STATE      |
      | state     | DONE -\r\nREADY I 3.5\r\n                                | wireUnsure       | ASK - STATE      |
      | state     | ROW copy 3\r\nDONE -\r\nREADY I 3.5\r\n                  | wireUnsure       | ASK - STATE      |
      | state     | ROW copy x 3.1 0\r\nDONE -\r\nREADY I 3.5\r\n            | wireUnsure       | ASK - STATE      |
      | state     | silence                                                  | wireUnsure       | ASK - STATE      |
      | state     | ROW copy + close                                         | wireUnsure       | ASK - STATE      |

  Scenario Outline: A command returns the dialer's error when the handshake fails
    When the command state is sent to a backend that answers `<script>`
    Then the result is <result>

    Examples:
      | script                 | result     |
      | refuse                 | wireUnsent |
      | close                  | wireUnsent |
      | silence                | wireUnsure |
      | ERROR FULL\r\n + close | crowded    |

  Scenario Outline: Only WRONGHOST proves that the dialled backend has ended
    When a backend that answers `<script>` is dialled
    Then the error reports the backend as ended: <word>

    Examples:
      | script                                 | word |
      | ERROR WRONGHOST srv-2\r\n + close      | yes  |
      | ERROR WRONGHOST srv-2\r\nREADY I -\r\n | yes  |
      | ERROR FULL -\r\n + close               | no   |
      | close                                  | no   |
      | silence                                | no   |
