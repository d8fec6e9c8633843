Feature: Error words, positions and replies on the wire

  Scenario Outline: What a session may say, and the word that a client is sent
    Then <kind> is reported as <word>

    Examples: promises that nothing is kept, for kinds that are used only where that is so
      | kind            | word    |
      | noLead          | BUSY    |
      | notCurrent      | BUSY    |
      | moving          | BUSY    |
      | noBackend       | BUSY    |
      | crowded         | BUSY    |
      | tooStale        | BUSY    |
      | wireUnsent      | BUSY    |
      | statementDenied | BUSY    |
      | transactionLost | ABORTED |

    Examples: reads alone end with this one
      | kind       | word |
      | wireUnsure | BUSY |

    Examples: no promises
      | kind              | word    |
      | outcomeUnknown    | UNKNOWN |
      | internal          | UNKNOWN |
      | timeLeftSpent     | TIMEOUT |
      | unknownDatabase   | NODB    |
      | unknownPrepared   | UNNAMED |
      | malformed         | GARBLED |
      | tooLarge          | GARBLED |
      | inTransaction     | GARBLED |
      | noTransaction     | GARBLED |
      | transactionFailed | GARBLED |

  Scenario: What a backend itself puts as an error is no promise of ours
    Then no promise is made for "outcomeUnknown, internal, timeLeftSpent, unknownDatabase, malformed"
    And every kind has a word

  Scenario: An error for which a backend had no word may have been run
    Then no promise is made for "backendFault"

  Scenario Outline: Positions
    Then the position "<text>" reads as <found>

    Examples:
      | text   | found  |
      | 4.88 | 4.88 |
      | 0.0    | 0.0    |
      | -      | -      |
      | (empty) | -     |
      | 3      | -      |
      | 3.     | -      |
      | .7     | -      |
      | 3.-7   | -      |
      | 3.7.1  | -      |
      | a.b    | -      |

  Scenario: Success, with rows and a stamp
    Then a reply of 2 rows, stamp st.9, in state I at 4.91 is written as
      """
      ROW row 0
      ROW row 1
      DONE st.9
      READY I 4.91
      """

  Scenario: What the system answers itself
    Then a reply of 0 rows, done, in state T at - is written as
      """
      DONE -
      READY T -
      """

  Scenario: A backend's own error, in its words
    Then a reply of 0 rows, native READONLY srv-2, in state E at 4.91 is written as
      """
      ERROR READONLY srv-2
      READY E 4.91
      """

  Scenario: A refusal says when to come back
    Then a reply of 0 rows, crowded 500, in state I at - is written as
      """
      ERROR BUSY come back in 500 ms
      READY I -
      """

  Scenario: A refusal that nobody should come back from
    Then a reply of 0 rows, transactionFailed, in state E at - is written as
      """
      ERROR GARBLED -
      READY E -
      """
