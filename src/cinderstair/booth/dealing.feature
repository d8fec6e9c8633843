Feature: Which copy a booth keeps a link to where links are fewer than booths

  Scenario Outline: Each booth is dealt one copy, nearest first, and no copy gets more than there is room for
    Given booths in "<booths>"
    And copies in "<copies>", with room for <room> each
    Then the copies are dealt "<dealt>"
    And no booth is dealt more than one copy, and no copy more than its room

    Examples: zones of a region begin with its name
      | booths          | copies  | room | dealt         |
      | n1 n1 n2 s1     | n1 s1   | 3    | 0 0 1 1       |
      | n1 n1 n1 n1     | n1 s1   | 3    | 0 0 1 1       |
      | w1 w1 w1 w1     | n1 s1   | 3    | 0 1 0 1       |
      | n1 s1 w1 w1 w2  | n1 s1   | 4    | 0 1 0 1 0     |
      | n2 n1 n2 s1     | n1 n2   | 4    | 1 0 1 0       |
      | n1 n1 n1 n1 n1  | n1 s1   | 2    | 0 0 1 1 -     |
      | n1 n1           | -       | 2    | - -           |
      | ? n1 s1         | n1 s1   | 2    | 0 0 1         |

  Scenario: A booth that comes or goes changes little for the others
    Given 80 booths in 6 zones of 3 regions
    And copies in "n1 s1", with room for 49 each
    Then the copies are dealt to 40 and 40 booths
    And with any one booth less at most 2 others are dealt another copy
