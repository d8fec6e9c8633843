Feature: Error words, positions and replies of the wire protocol

  Scenario Outline: Each error code of a session is reported as one error word
    Then <code> is reported as <word>

    Examples: words that guarantee no effect, for codes that are used only where that holds
      | code            | word    |
      | noLead          | BUSY    |
      | notCurrent      | BUSY    |
      | moving          | BUSY    |
      | noBackend       | BUSY    |
      | crowded         | BUSY    |
      | tooStale        | BUSY    |
      | wireUnsent      | BUSY    |
      | statementDenied | BUSY    |
      | transactionLost | ABORTED |

    Examples: a code that only reads end with
      | code       | word |
      | wireUnsure | BUSY |

    Examples: words without that guarantee
      | code              | word    |
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

  Scenario: Codes that may leave an effect are reported without the guarantee of none
    Then no guarantee is given by the words for "outcomeUnknown, internal, timeLeftSpent, unknownDatabase, malformed"
    And every error code has a word

  Scenario: A backend's error without an error word is reported without a guarantee
    Then no guarantee is given by the words for "backendFault"

  Scenario Outline: A position is parsed, and a malformed one is unknown
    Then the position "<text>" is parsed as <found>

    Examples:
      | text    | found |
      | 4.88    | 4.88  |
      | 0.0     | 0.0   |
      | -       | -     |
      | (empty) | -     |
      | 3       | -     |
      | 3.      | -     |
      | .7      | -     |
      | 3.-7    | -     |
      | 3.7.1   | -     |
      | a.b     | -     |

  Scenario: A successful reply with rows and a stamp
    Then a reply of 2 rows, stamp st.9, in state I at 4.91 is encoded as
      """
      ROW row 0
      ROW row 1
      DONE st.9
      READY I 4.91
      """

  Scenario: A reply of the proxy itself has no stamp
    Then a reply of 0 rows, done, in state T at - is encoded as
      """
      DONE -
      READY T -
      """

  Scenario: A backend's error is passed on word for word
    Then a reply of 0 rows, native READONLY srv-2, in state E at 4.91 is encoded as
      """
      ERROR READONLY srv-2
      READY E 4.91
      """

  Scenario: A refusal states the delay of a retry
    Then a reply of 0 rows, crowded 500, in state I at - is encoded as
      """
      ERROR BUSY come back in 500 ms
      READY I -
      """

  Scenario: A refusal that a retry can't cure states no delay
    Then a reply of 0 rows, transactionFailed, in state E at - is encoded as
      """
      ERROR GARBLED -
      READY E -
      """
