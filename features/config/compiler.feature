Feature: The configuration language
  Selectors, routes and policies are compiled; each error names its line, its column and what was expected.

  Scenario Outline: The selector <text> matches machines by their labels
    When the selector <text> is compiled
    Then it matches <matched> of the machines "hall=old rack=a", "hall=new rack=b" and "rack=c tier=gold"

    Examples:
      | text                                     | matched |
      | hall = old                               | 1       |
      | hall != old                              | 2 3     |
      | hall in (old, new)                       | 1 2     |
      | has hall                                 | 1 2     |
      | not has hall                             | 3       |
      | hall = old or rack = c                   | 1 3     |
      | hall = old and rack = b                  |         |
      | not (hall = old or rack = b)             | 3       |
      | rack = a or rack = b and hall = old      | 1       |
      | (rack = a or rack = b) and hall = new    | 2       |
      | tier = "gold"                            | 3       |
      | nowhere = 1                              |         |

  Scenario Outline: The canonical form of <text> is stable and matches the same machines
    When the selector <text> is compiled
    Then its canonical form compiles to the same form and the same matches

    Examples:
      | text                                     |
      | hall=old                                 |
      | not(has hall)and(rack in(b,a))           |
      | a = 1 or (b = "two words" and not c = 3) |

  Scenario Outline: The program <text> is rejected at line <line>, column <column>
    When the program <text> is compiled
    Then compilation fails at line <line>, column <column> with "<message>"

    Examples:
      | text                                        | line | column | message                |
      | route live on * to repica                   | 1    | 20     | found 'repica'         |
      | route lve on * to replica                   | 1    | 7      | expected one of        |
      | route write on * to replica                 | 1    | 7      | primary or deny        |
      | policy liveAge on league is 9s              | 1    | 29     | must be from           |
      | policy liveAge on league is 9               | 1    | 29     | takes a duration       |
      | policy speed on * is 9s                     | 1    | 8      | expected one of        |
      | policy liveAge on * is 1s; route live on    | 1    | 41     | expected *             |
      | route live on * to any where hall = old or  | 1    | 43     | expected               |
      | route live on * to any where hall ! old     | 1    | 35     | found '!'              |
