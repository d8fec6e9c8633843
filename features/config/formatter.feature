Feature: Formatting the configuration language
  Formatting yields one canonical form, preserves comments and meaning, and is idempotent.

  Scenario Outline: <text> is formatted as <form>
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

  Scenario: The format command prints the formatted document and rejects an invalid one with the error's location
    Then the format command prints an equivalent example document, and formatting that again changes nothing
    And the format command rejects a document with an invalid program, naming the error's location
