Feature: Lines out of a stream of bytes

  Scenario Outline: Only CR LF ends a line
    Then the chunks "<chunks>" make the lines "<lines>"

    Examples:
      | chunks                  | lines         |
      | a\r\n                   | a             |
      | a\r\nb\r\nc             | a / b         |
      | a + b\r + \nc + \r\n    | ab / c        |
      | a\nb\r\n                | a\nb          |
      | a\rb\r\n                | a\rb          |
      | a\r\r\n                 | a\r           |
      | a\r + \r + \nb          | a\r           |
      | \r\n\r\n                | (empty) / (empty) |
      | a                       | none          |
      | \xff\x00\r\n            | \xff\x00      |

  Scenario: However a stream is split, its lines are the same
    Then 300 seeded streams make the same lines however they are split

  Scenario Outline: A line may have 1 MiB
    Then a line of 1 MiB is accepted, split <place>

    Examples:
      | place         |
      | nowhere       |
      | in its middle |
      | before CR     |
      | before LF     |

  Scenario Outline: A longer line is refused
    Then a line over 1 MiB is refused <when>

    Examples:
      | when           |
      | before it ends |
      | when it ends   |
      | after another  |
