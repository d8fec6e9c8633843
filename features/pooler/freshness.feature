Feature: The log position that a backend must have reached to serve a read of limited age

  Scenario Outline: The earliest sample requested since the given time gives the required position
    Given samples "<samples>"
    Then a read that must see all commits before <since> ms requires <required>

    Examples: samples in the order of their requests
      | samples                 | since | required |
      | 100:3.5                 | 100   | 3.5      |
      | 100:3.5                 | 99    | 3.5      |
      | 100:3.5                 | 101   | -        |
      | 100:3.5 200:3.7 300:3.9 | 50    | 3.5      |
      | 100:3.5 200:3.7 300:3.9 | 101   | 3.7      |
      | 100:3.5 200:3.7 300:3.9 | 200   | 3.7      |
      | 100:3.5 200:3.7 300:3.9 | 201   | 3.9      |
      | 100:3.5 200:3.7 300:3.9 | 301   | -        |
      | 100:3.9 200:4.1         | 150   | 4.1      |

    Examples: thinning samples less than 20 ms apart may raise the required position but never lowers it
      | samples                 | since | required |
      | 100:3.1 105:3.2 110:3.3 | 101   | 3.3      |
      | 100:3.1 110:3.2 125:3.3 | 101   | 3.2      |
      | 100:3.1 110:3.2 125:3.3 | 111   | 3.3      |

  Scenario Outline: A late sample does not raise the required position
    Given samples "<samples>"
    When late samples "<late>" arrive
    Then a read that must see all commits before <since> ms requires <required>

    Examples:
      | samples         | late    | since | required |
      | 100:3.5 200:3.7 | 150:3.6 | 200   | 3.7      |
      | 100:3.5 200:3.7 | 200:3.7 | 150   | 3.7      |

    Examples: a sample requested earlier but answered later shows a higher position
      | samples         | late    | since | required |
      | 100:3.5 200:3.7 | 150:3.9 | 180   | 3.7      |
      | 100:3.5 200:3.7 | 150:3.9 | 120   | 3.7      |

  Scenario: Computing the position for a recent time keeps the samples for an earlier one
    Given samples "100:3.5 200:3.7 300:3.9"
    When the position required since 250 ms has been computed
    Then a read that must see all commits before 90 ms requires 3.5

  Scenario Outline: A fence drops samples past it and is itself a sample
    Given samples "100:3.5 200:3.7 300:3.9"
    When a fence at <fence> is set as of <as_of> ms
    Then a read that must see all commits before <since> ms requires <required>

    Examples:
      | fence | as_of | since | required |
      | 3.7   | 400   | 50    | 3.5      |
      | 3.7   | 400   | 250   | 3.7      |
      | 3.7   | 400   | 400   | 3.7      |
      | 3.7   | 400   | 401   | -        |
      | 3.1   | 400   | 350   | 3.1      |
      | 4.0   | 250   | 260   | 3.9      |

  Scenario: Every required position covers all commits acknowledged before the given time
    Then over 60 seeded runs every required position covers all commits acknowledged before

  Scenario Outline: The number of samples and the distance between them are bounded
    Then a minute of samples <every> ms apart leaves at most <most>, dense enough for reads <age> ms old

    Examples:
      | every | most | age   |
      | 1     | 256  | 2000  |
      | 50    | 256  | 10000 |
