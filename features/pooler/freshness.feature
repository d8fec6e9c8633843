Feature: What a backend's log must have so that a read on it is fresh enough

  Scenario Outline: The earliest sample that was asked for since then suffices
    Given samples "<samples>"
    Then a read that must see all commits before <since> ms requires <position>

    Examples: in order
      | samples                    | since | position |
      | 100:3.5                    | 100   | 3.5      |
      | 100:3.5                    | 99    | 3.5      |
      | 100:3.5                    | 101   | -        |
      | 100:3.5 200:3.7 300:3.9    | 50    | 3.5      |
      | 100:3.5 200:3.7 300:3.9    | 101   | 3.7      |
      | 100:3.5 200:3.7 300:3.9    | 200   | 3.7      |
      | 100:3.5 200:3.7 300:3.9    | 201   | 3.9      |
      | 100:3.5 200:3.7 300:3.9    | 301   | -        |
      | 100:3.9 200:4.1            | 150   | 4.1      |

    Examples: samples closer than 20 ms are thinned, which needs more and never less
      | samples                         | since | position |
      | 100:3.1 105:3.2 110:3.3         | 101   | 3.3      |
      | 100:3.1 110:3.2 125:3.3         | 101   | 3.2      |
      | 100:3.1 110:3.2 125:3.3         | 111   | 3.3      |

  Scenario Outline: An answer that comes late takes nothing from what is known
    Given samples "<samples>"
    When late samples "<late>" arrive
    Then a read that must see all commits before <since> ms requires <position>

    Examples:
      | samples         | late    | since | position |
      | 100:3.5 200:3.7 | 150:3.6 | 200   | 3.7      |
      | 100:3.5 200:3.7 | 200:3.7 | 150   | 3.7      |

    Examples: it was answered after the other and shows more, which is still no later than its asking
      | samples         | late    | since | position |
      | 100:3.5 200:3.7 | 150:3.9 | 180   | 3.7      |
      | 100:3.5 200:3.7 | 150:3.9 | 120   | 3.7      |

  Scenario: A guarded read that wants fresher data takes nothing from one that wants less
    Given samples "100:3.5 200:3.7 300:3.9"
    When the position required since 250 ms has been computed
    Then a read that must see all commits before 90 ms requires 3.5

  Scenario Outline: A fence cuts what was never acknowledged, and is a sample itself
    Given samples "100:3.5 200:3.7 300:3.9"
    When a fence at <fence> is set as of <as_of> ms
    Then a read that must see all commits before <since> ms requires <position>

    Examples:
      | fence | as_of | since | position |
      | 3.7   | 400   | 50    | 3.5      |
      | 3.7   | 400   | 250   | 3.7      |
      | 3.7   | 400   | 400   | 3.7      |
      | 3.7   | 400   | 401   | -        |
      | 3.1   | 400   | 350   | 3.1      |
      | 4.0   | 250   | 260   | 3.9      |

  Scenario: No position that is needed lacks a commit that was acknowledged before
    Then over 60 seeded runs every required position covers all commits acknowledged before

  Scenario Outline: The samples stay few, and close enough
    Then a minute of samples <every> ms apart leaves at most <most>, dense enough for reads <age> ms old

    Examples:
      | every | most | age   |
      | 1     | 256  | 2000  |
      | 50    | 256  | 10000 |
