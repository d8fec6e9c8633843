Feature: Statement texts of the wire protocol

  Scenario Outline: Each statement that clients may send is parsed
    Then the text "<text>" is parsed as <verb>
    And the field "name" is "'<name>'"
    And the field "content" is "'<content>'"
    And the field "writes" is "<writes>"

    Examples:
      | text                   | verb       | name | content         | writes |
      | BEGIN                  | begin      |      |                 | False  |
      | BEGIN FETCH            | begin_read |      |                 | False  |
      | COMMIT                 | commit     |      |                 | False  |
      | UNDO                   | rollback   |      |                 | False  |
      | FETCH thing            | read       |      |                 | False  |
      | FETCH a b c            | read       |      |                 | False  |
      | PUT thing data         | write      |      |                 | False  |
      | PUT thing data  more   | write      |      |                 | False  |
      | SET zone east          | set_value  | zone | east            | False  |
      | SET zone a b  c        | set_value  | zone | a b  c          | False  |
      | NAME s1 FETCH shape    | prepare    | s1   | shape           | False  |
      | NAME s1 PUT shape d    | prepare    | s1   | shape d         | True   |
      | RUN s1 thing           | execute    | s1   | thing           | False  |
      | RUN s1 thing data more | execute    | s1   | thing data more | False  |
      | FORGET s1              | forget     | s1   |                 | False  |

  Scenario Outline: Malformed statements and those reserved for proxies and controllers are refused
    Then the text "<text>" is refused

    Examples: unknown words, and words that clients may not send
      | text              |
      | (empty)           |
      | fetch 1           |
      | STATE             |
      | CLEAR             |
      | PAUSE 4           |
      | AFTER 3.1 FETCH 1 |
      | AFTER 3.1 BEGIN   |
      | FETCHX 1          |

    Examples: missing or excess arguments
      | text          |
      | FETCH         |
      | PUT           |
      | PUT thing     |
      | BEGIN PUT     |
      | BEGIN FETCH 1 |
      | COMMIT 1      |
      | UNDO 1        |
      | SET           |
      | NAME s1       |
      | NAME s1 FETCH |
      | NAME s1 SET q |
      | NAME FETCH q  |
      | RUN           |
      | RUN s1        |
      | FORGET        |
      | FORGET s1 s2  |

  Scenario: A backend receives the client's bytes unchanged
    Then a backend is sent 500 seeded reads, writes and commits byte for byte, with any alias

  Scenario Outline: A backend receives the link's alias in place of a prepared statement's name
    Then a backend is sent "<sent>" for "<text>" under the alias "<alias>"

    Examples:
      | text                   | alias | sent                    |
      | RUN s1 thing           | p0    | RUN p0 thing            |
      | RUN s1 thing a  b \xff | p17   | RUN p17 thing a  b \xff |
      | RUN RUN RUN s1         | p0    | RUN p0 RUN s1           |
