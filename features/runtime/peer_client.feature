Feature: Versions of the records, agreed between neighbours
  Each daemon speaks its own version and the one before; what it can't understand it denies, and names.

  Scenario Outline: Daemons of <one> and <other> speak <spoken>
    When a daemon of versions <one> asks a daemon of versions <other> three times
    Then it is answered in version <spoken>

    Examples:
      | one    | other  | spoken |
      | 1 to 1 | 1 to 1 | 1      |
      | 1 to 2 | 1 to 1 | 1      |
      | 1 to 1 | 1 to 2 | 1      |
      | 1 to 2 | 1 to 2 | 2      |
      | 2 to 3 | 1 to 2 | 2      |
      | 1 to 2 | 2 to 3 | 2      |
      | 2 to 3 | 2 to 3 | 3      |

  Scenario Outline: Daemons of <one> and <other> have nothing in common
    When a daemon of versions <one> asks a daemon of versions <other> three times
    Then it is denied, with both versions named, logged once and counted

    Examples:
      | one    | other  |
      | 1 to 2 | 3 to 4 |
      | 3 to 4 | 1 to 2 |

  Scenario: A neighbour that goes back by one version is understood again
    When a daemon of versions 1 to 2 asks a daemon of versions 1 to 2 three times
    And the other is replaced by one of versions 1 to 1, and asked six times
    Then it is answered in version 1

  Scenario: Records that are cut short, repeated, too long or of no version change nothing
    When a desk of versions 1 to 2 is given 2000 records made by seed 4
    Then each is dropped as malformed, denied by its version, or answered as it should be
