Feature: The wire towards backends

  Scenario: Every text as a backend gets it
    Given a link to a backend
    When the link asks `GREET / BEGIN / BEGIN read / AFTER 3.7 BEGIN read / UNDO / STATE`
    And the link asks `FETCH 1 / AFTER 3.7 FETCH 1 / PUT 1 a  b / COMMIT`
    And the link asks `SET a b c / CLEAR / NAME p0 PUT q / NAME p1 FETCH r / RUN p0 1 x / AFTER 3.7 RUN p1 1`
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

  Scenario Outline: Answers go to the oldest question
    Given a link to a backend
    When the link asks `PUT 1 x / FETCH 2`
    And the backend says `<says>` <how>
    Then the answers to the link are `<answers>`
    And the link is open, and was reported lost 0 times

    Examples:
      | says                                                                  | how          | answers                                  |
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

  Scenario: A link that is lost fails all that it owes, and nothing that it gave
    Given a link to a backend
    When the link asks `PUT 1 x / FETCH 2 / FETCH 3`
    And the backend says `DONE s\r\nREADY I 3.5\r\nROW a\r\nDONE`
    And the link is cut
    Then the answers to the link are `0 rows s I 3.5 / lost / lost`
    And the link is closed, and was reported lost 1 times
    When the link asks `FETCH 4`
    Then the answers to the link are `0 rows s I 3.5 / lost / lost / lost`

  Scenario Outline: A line that can't be makes a link worthless
    Given a link to a backend
    When the link asks `<asks>`
    And the backend says `<says>`
    Then the answers to the link are `<answers>`
    And the link is closed, and was reported lost 0 times

    Examples:
      | asks    | says                                     | answers        |
      | FETCH 1 | HELLO\r\n                                | lost           |
      | FETCH 1 | \r\n                                     | lost           |
      | FETCH 1 | done s\r\n                               | lost           |
      | FETCH 1 | DONE s\r\nREADY X 3.5\r\n                | lost           |
      | FETCH 1 | DONE s\r\nREADY\r\n                      | lost           |
      | FETCH 1 | DONE s\r\nREADY I 3.5\r\nREADY I 3.5\r\n | 0 rows s I 3.5 |

  Scenario: A link that owes an answer is reset, so that what has not arrived yet never will
    Given a link to a backend
    When the link asks `PUT 1 x`
    And the link is closed here
    Then the answers to the link are `lost`
    And its connection is reset

  Scenario: A link that owes nothing ends in order
    Given a link to a backend
    When the link asks `PUT 1 x`
    And the backend says `DONE s\r\nREADY I 3.5\r\n`
    And the link is closed here
    Then its connection ends in order

  Scenario: Values and prepared statements are noted as they are sent
    Given a link to a backend
    When the link asks `SET a 1 / SET b 2 / NAME p0 PUT q`
    Then the link holds the values "a=1 b=2" and has prepared "p0"
    When the link asks `CLEAR`
    Then the link holds the values "none" and has prepared "none"

  Scenario: A backend that knows a name no more has all of them prepared again
    Given a link to a backend
    When the link asks `SET a 1 / NAME p0 PUT q / NAME p1 PUT r`
    And the backend says `DONE -\r\nREADY I -\r\nDONE -\r\nREADY I -\r\nDONE -\r\nREADY I -\r\n`
    And the link asks `RUN p0 1 x`
    And the backend says `ERROR UNNAMED p0\r\nREADY I 3.5\r\n`
    Then the answers to the link are `UNNAMED p0 not run I 3.5`
    And the link holds the values "a=1" and has prepared "none"
    And the link is open, and was reported lost 0 times

  Scenario Outline: A link whose own statements failed serves nobody any more
    Given a link to a backend
    When the link asks `<own> / PUT 1 x`
    And the backend says `ERROR BUSY\r\nREADY I 3.5\r\n`
    Then the answers to the link are `lost`
    And the link is closed, and was reported lost 0 times

    Examples:
      | own           |
      | SET a 1       |
      | CLEAR         |
      | NAME p0 PUT q |

  Scenario Outline: A backend that is dialled
    When a backend is dialled, and answers `<script>`
    Then the result is <result>
    And its greeting was `GREET s1 cinderstair srv-1\r\n`
    And the connection that was dialled is <word>

    Examples: one that is full is there; one that is another refuses itself
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

  Scenario: A backend that is not reached
    When a backend is dialled, and answers `refuse`
    Then the result is wireUnsent

  Scenario Outline: A command, and the state that answers it
    When a backend is commanded to <command>, and answers `READY I 3.5\r\n + <script>`
    Then the result is <result>
    And it was sent `<sent>` after the greeting
    And the connection that was dialled is closed

    Examples:
      | command   | script                                                   | result           | sent             |
      | state     | ROW primary 4 4.91 4 0 1 9\r\nDONE -\r\nREADY I 4.91\r\n | leads 4 4.91 4   | ASK - STATE      |
      | state     | ROW copy 4 4.91 0 15 1 9\r\nDONE -\r\nREADY I 4.90\r\n   | follows 4 4.91 0 | ASK - STATE      |
      | pause     | ROW copy 3 3.12 4 15 1 9\r\nDONE -\r\nREADY I 3.11\r\n   | follows 3 3.12 4 | ASK - PAUSE 4    |
      | resume    | ROW copy 3 - 0 15 1 9 new\r\nDONE -\r\nREADY I -\r\n     | follows 3 0.0 0  | ASK - CONTINUE   |
      | step_down | ROW copy 5 3.12 5 15 1 9\r\nDONE -\r\nREADY I 3.12\r\n   | follows 5 3.12 5 | ASK - STEPDOWN 5 |
      | state     | ERROR BUSY\r\nREADY I 3.5\r\n                            | wireUnsure       | ASK - STATE      |
      | state     | DONE -\r\nREADY I 3.5\r\n                                | wireUnsure       | ASK - STATE      |
      | state     | ROW copy 3\r\nDONE -\r\nREADY I 3.5\r\n                  | wireUnsure       | ASK - STATE      |
      | state     | ROW copy x 3.1 0\r\nDONE -\r\nREADY I 3.5\r\n            | wireUnsure       | ASK - STATE      |
      | state     | silence                                                  | wireUnsure       | ASK - STATE      |
      | state     | ROW copy + close                                         | wireUnsure       | ASK - STATE      |

  Scenario Outline: A backend that can't be commanded
    When a backend is commanded to state, and answers `<script>`
    Then the result is <result>

    Examples:
      | script                 | result     |
      | refuse                 | wireUnsent |
      | close                  | wireUnsent |
      | silence                | wireUnsure |
      | ERROR FULL\r\n + close | crowded    |

  Scenario Outline: Whether the one that was meant has surely ended
    When a backend is dialled, and answers `<script>`
    Then the one that was meant has surely ended: <word>

    Examples:
      | script                                 | word |
      | ERROR WRONGHOST srv-2\r\n + close      | yes  |
      | ERROR WRONGHOST srv-2\r\nREADY I -\r\n | yes  |
      | ERROR FULL -\r\n + close               | no   |
      | close                                  | no   |
      | silence                                | no   |
