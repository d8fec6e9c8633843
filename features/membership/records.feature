Feature: The records between controllers and proxies, and in the register

  Scenario Outline: What is written is read back, and what is broken is refused
    Given 300 <records> from a seed
    Then each is read as it was written
    And each that is cut short anywhere, or has a byte too many, is refused with a ValueError
    And each with bytes changed is read or refused with a ValueError
    And noise is refused with a ValueError

    Examples:
      | records         |
      | announcements   |
      | service plans   |
      | service leads   |
      | relay questions |
      | relay answers   |
      | slots           |
      | places          |

  Scenario: A plan's version and its short form
    Given 50 service plans from a seed
    Then a version of 77 is read from the first bytes alone, and 0 from none
    And without its document a plan is the same but for that and what was acknowledged

  Scenario: A backend that went for good says nothing more
    Given 50 announcements from a seed
    Then what a backend said when it went for good stands against whatever it said before or after
