Feature: Encoding of the records that controllers and proxies exchange and of register values

  Scenario Outline: Records survive encoding and decoding, and malformed ones are refused
    Given 300 <records> from a seed
    Then each is decoded to the record that was encoded
    And each truncated encoding, and each with an extra byte, is refused with a ValueError
    And each encoding with changed bytes is decoded or refused with a ValueError
    And random bytes are decoded or refused with a ValueError

    Examples:
      | records           |
      | announcements     |
      | service plans     |
      | service primaries |
      | relay questions   |
      | relay answers     |
      | proxy ids         |
      | proxy addresses   |

  Scenario: A plan's version is read without its body, and a plan can be encoded without its document
    Given 50 service plans from a seed
    Then version 77 is read from the first 8 bytes, and 0 from an empty encoding
    And a plan encoded without its document lacks only the document and the accepted versions

  Scenario: The deregistration of a backend supersedes all its announcements
    Given 50 announcements from a seed
    Then a deregistration is newer than any other announcement of the same backend, regardless of their numbers
