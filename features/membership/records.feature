Feature: The records between controllers and proxies, and in the register

  Scenario Outline: What is written is read back, and what is broken is refused
    Given 300 <records> from a seed
    Then each is read as it was written
    And each that is cut short anywhere, or has a byte too many, is refused with a ValueError
    And each with bytes changed is read or refused with a ValueError
    And noise is refused with a ValueError

    Examples:
      | records           |
      | announcements     |
      | service plans     |
      | service primaries |
      | relay questions   |
      | relay answers     |
      | proxy ids         |
      | proxy addresses   |

  Scenario: A plan's version and its short form
    Given 50 service plans from a seed
    Then a version of 77 is read from the first bytes alone, and 0 from none
    And without its document a plan is the same but for that and what was acknowledged

  Scenario: The deregistration of a backend is its last announcement
    Given 50 announcements from a seed
    Then its deregistration is newer than any other announcement of it, whatever their numbers
