Feature: Splitting of a byte stream into lines

  Scenario Outline: Only CR LF ends a line, also across chunks
    Then the chunks "<chunks>" are split into the lines "<lines>"

    Examples:
      | chunks               | lines             |
      | a\r\n                | a                 |
      | a\r\nb\r\nc          | a / b             |
      | a + b\r + \nc + \r\n | ab / c            |
      | a\nb\r\n             | a\nb              |
      | a\rb\r\n             | a\rb              |
      | a\r\r\n              | a\r               |
      | a\r + \r + \nb       | a\r               |
      | \r\n\r\n             | (empty) / (empty) |
      | a                    | none              |
      | \xff\x00\r\n         | \xff\x00          |

  Scenario: The lines do not depend on the chunk boundaries
    Then 300 seeded streams are split into the same lines with any chunks

  Scenario Outline: A line of 1 MiB is accepted
    Then a line of 1 MiB is accepted with a chunk boundary <place>

    Examples:
      | place         |
      | nowhere       |
      | in the middle |
      | before CR     |
      | before LF     |

  Scenario Outline: A line of more than 1 MiB is refused, complete or not
    Then a line over 1 MiB is refused <when>

    Examples:
      | when                |
      | before its end      |
      | at its end          |
      | before another line |
