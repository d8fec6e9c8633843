Feature: Compatibility of records and register values
  Daemons of two versions exchange records during an upgrade, and values in the register outlive every version. The
  bytes in data/record_format.json were recorded before the code's identifiers were renamed, and are never written
  again: a failing scenario has found a change of format.

  Scenario: Values of all types are decoded from and encoded to the recorded bytes
    Given the recorded examples
    Then there is one for each example of the tests, 57 in all
    And each recorded example is decoded to the value of its example
    And each recorded example, decoded and encoded again, has the same bytes
    And each example's value is encoded to the recorded bytes

  Scenario Outline: Recorded requests get the recorded answers from a <daemon>
    Given the recorded dialogue with a "<daemon>"
    Then its requests are encoded to the recorded bytes, <count> in all
    And the handler answers the recorded requests with the recorded bytes

    Examples:
      | daemon               | count |
      | register replica     | 26    |
      | control daemon       | 13    |
      | operator             | 7     |
      | front end            | 12    |
      | front end that stops | 3     |
      | pooler               | 2     |

  Scenario Outline: Clients send the recorded records: <subject>
    When the recorded conversation "<subject>" is repeated by real clients and handlers
    Then the sent records and their answers have the recorded bytes, <count> in all

    Examples:
      | subject  | count |
      | register | 10    |
      | control  | 11    |
      | sessions | 8     |

  Scenario: Message types keep their numbers, protocol versions and names in counters
    Then the message types have the recorded numbers and names in counters
    And each protocol version has the recorded message types

  Scenario: Error kinds keep their spelling
    Then the error kinds have the recorded spelling, 42 in all

  Scenario: Register keys and lease names are kept
    Then the register keys are the recorded ones
    And the lease names are the recorded ones

  Scenario: The promotion fence continues from the stored number
    Then the next holder of the promotion lease increments the recorded fence to the recorded next one

  Scenario: Operators' documents of an earlier version are accepted
    Then the recorded configuration document is accepted as version 1
    And the recorded shard map document is accepted as version 4
    And the recorded service configuration without digests is decoded as version 9

  Scenario: Record frames, version headers and version rejections keep their bytes
    Then the recorded frame is read from a connection, and written with the same bytes
    And the recorded version headers and version rejection are read and written with the same bytes
