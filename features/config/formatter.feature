Feature: The formatter
  One canonical form; comments and meaning stay, and formatting twice changes nothing.

  Scenario Outline: <text> becomes <form>
    Then formatting "<text>" gives "<form>"
    And formatting "<form>" gives "<form>"

    Examples:
      | text                                        | form                                              |
      | route   live,fresh on league to replica     | route live, fresh on league to replica            |
      | route live on * to any where rack in(b,a)   | route live on * to any where rack in (a, b)       |
      | policy liveAge on * is 900000us  #  why     | policy liveAge on * is 900ms  #  why              |
      | policy closeWait on a,b is 2000ms           | policy closeWait on a, b is 2s                    |
      | # only words                                | # only words                                      |
      | policy site on * is near;policy inSync on * is 2 | policy site on * is near; policy inSync on * is 2 |

  Scenario: The command prints the formatted document, and reports an invalid one with the place of its error
    Then the format command prints the example with the same meaning, and printing that again changes nothing
    And a document whose language is invalid is refused with the place of its error
