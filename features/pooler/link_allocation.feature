Feature: Which copy a proxy keeps a link to where links are fewer than proxies

  Scenario Outline: Each proxy is dealt one copy, nearest first, and no copy gets more than there is room for
    Given proxies in "<proxies>"
    And copies in "<copies>", with room for <room> each
    Then the copies are dealt "<dealt>"
    And no proxy is dealt more than one copy, and no copy more than its room

    Examples: zones of a region begin with its name
      | proxies          | copies  | room | dealt         |
      | n1 n1 n2 s1     | n1 s1   | 3    | 0 0 1 1       |
      | n1 n1 n1 n1     | n1 s1   | 3    | 0 0 1 1       |
      | w1 w1 w1 w1     | n1 s1   | 3    | 0 1 0 1       |
      | n1 s1 w1 w1 w2  | n1 s1   | 4    | 0 1 0 1 0     |
      | n2 n1 n2 s1     | n1 n2   | 4    | 1 0 1 0       |
      | n1 n1 n1 n1 n1  | n1 s1   | 2    | 0 0 1 1 -     |
      | n1 n1           | -       | 2    | - -           |
      | ? n1 s1         | n1 s1   | 2    | 0 0 1         |

  Scenario: A proxy that comes or goes changes little for the others
    Given 80 proxies in 6 zones of 3 regions
    And copies in "n1 s1", with room for 49 each
    Then the copies are dealt to 40 and 40 proxies
    And with any one proxy less at most 2 others are dealt another copy

  Scenario Outline: Where links are fewer than proxies, those near a backend have their own, and elsewhere a few hold for all
    Given 80 proxies in 6 zones of 3 regions
    And a backend "x" in "n1" that takes <room> links
    Then all links dealt are <room>
    And of the region "n" <home> proxies hold links, of "s" <far> and of "w" <third>
    And in each zone somebody holds links

    Examples:
      | room | home | far | third |
      | 49   | 27   | 3   | 3     |
      | 24   | 2    | 3   | 2     |

  Scenario: Two backends at one place are held by others far from it, and no proxy holds for much more than its part
    Given 80 proxies in 6 zones of 3 regions
    And a backend "x" in "n1" that takes 49 links
    Then over 30 backends at that place no proxy of "s" holds for more than 9 and none for nobody

  Scenario: A proxy that comes or goes changes the links of few others
    Given 80 proxies in 6 zones of 3 regions
    And a backend "x" in "n1" that takes 49 links
    Then with any one proxy less at most 5 others hold another number of links

  Scenario Outline: Few proxies, few links
    Given proxies in "<proxies>"
    And a backend "x" in "n1" that takes <room> links
    Then the links are dealt "<dealt>"

    Examples:
      | proxies            | room | dealt       |
      | n1 s1             | 1    | 1 -         |
      | n1 n2 s1          | 2    | 1 1 -       |
      | n1 n1 n1          | 2    | 2 - -       |
      | s1 s2             | 1    | 1 -         |
      | n1 s1             | 0    | - -         |
