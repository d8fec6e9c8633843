Feature: The configuration language
  Selectors, routes and policies; every error with its line, its column and what was expected.

  Scenario Outline: <text> selects by labels
    When the selector <text> is compiled
    Then it picks <picked> of the machines "hall=old rack=a", "hall=new rack=b" and "rack=c tier=gold"

    Examples:
      | text                                     | picked |
      | hall = old                               | 1      |
      | hall != old                              | 2 3    |
      | hall in (old, new)                       | 1 2    |
      | has hall                                 | 1 2    |
      | not has hall                             | 3      |
      | hall = old or rack = c                   | 1 3    |
      | hall = old and rack = b                  |        |
      | not (hall = old or rack = b)             | 3      |
      | rack = a or rack = b and hall = old      | 1      |
      | (rack = a or rack = b) and hall = new    | 2      |
      | tier = "gold"                            | 3      |
      | nowhere = 1                              |        |

  Scenario Outline: Formatting <text> twice gives the same as once, and the same choice
    When the selector <text> is compiled
    Then its canonical form compiles to itself

    Examples:
      | text                                     |
      | hall=old                                 |
      | not(has hall)and(rack in(b,a))           |
      | a = 1 or (b = "two words" and not c = 3) |

  Scenario Outline: <text> is an error at line <line>, column <column>
    When the program <text> is compiled
    Then it fails at line <line>, column <column> with the words "<words>"

    Examples:
      | text                                        | line | column | words                  |
      | route live on * to repica                   | 1    | 20     | found 'repica'         |
      | route lve on * to replica                   | 1    | 7      | expected one of        |
      | route write on * to replica                 | 1    | 7      | primary or deny        |
      | policy liveAge on league is 9s              | 1    | 29     | must be from           |
      | policy liveAge on league is 9               | 1    | 29     | takes a duration       |
      | policy speed on * is 9s                     | 1    | 8      | expected one of        |
      | policy liveAge on * is 1s; route live on    | 1    | 41     | expected *             |
      | route live on * to any where hall = old or  | 1    | 43     | expected               |
      | route live on * to any where hall ! old     | 1    | 35     | found '!'              |
