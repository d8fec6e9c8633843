Feature: Allocation of replicas and links to proxies where a backend takes fewer links than there are proxies

  Scenario Outline: Each proxy is allocated one replica, nearest first, and no replica exceeds its cap
    Given proxies in zones "<proxies>"
    And replicas in zones "<replicas>" with a cap of <cap> proxies each
    Then the proxies are allocated the replicas "<allocated>"
    And each proxy has at most one replica, and each replica at most its cap of proxies

    Examples: a zone begins with the name of its region
      | proxies        | replicas | cap | allocated |
      | n1 n1 n2 s1    | n1 s1    | 3   | 0 0 1 1   |
      | n1 n1 n1 n1    | n1 s1    | 3   | 0 0 1 1   |
      | w1 w1 w1 w1    | n1 s1    | 3   | 0 1 0 1   |
      | n1 s1 w1 w1 w2 | n1 s1    | 4   | 0 1 0 1 0 |
      | n2 n1 n2 s1    | n1 n2    | 4   | 1 0 1 0   |
      | n1 n1 n1 n1 n1 | n1 s1    | 2   | 0 0 1 1 - |
      | n1 n1          | -        | 2   | - -       |
      | ? n1 s1        | n1 s1    | 2   | 0 0 1     |

  Scenario: A change of the proxies changes the replicas of few others
    Given 80 proxies in 6 zones of 3 regions
    And replicas in zones "n1 s1" with a cap of 49 proxies each
    Then the replicas are allocated to 40 and 40 proxies
    And removing any one proxy changes the replica of at most 2 others

  Scenario Outline: With fewer links than proxies, those in the backend's region have their own, and elsewhere a few have several
    Given 80 proxies in 6 zones of 3 regions
    And a backend "x" in zone "n1" with a cap of <cap> links
    Then the allocated links add up to <cap>
    And <home> proxies have links in region "n", <far> in "s" and <third> in "w"
    And each zone has a proxy with links

    Examples:
      | cap | home | far | third |
      | 49  | 27   | 3   | 3     |
      | 24  | 2    | 3   | 2     |

  Scenario: In a distant region, the links of different backends are spread over all proxies
    Given 80 proxies in 6 zones of 3 regions
    And a backend "x" in zone "n1" with a cap of 49 links
    Then over 30 backends in that zone each proxy of region "s" has from 1 to 9 links

  Scenario: A change of the proxies changes the links of few others
    Given 80 proxies in 6 zones of 3 regions
    And a backend "x" in zone "n1" with a cap of 49 links
    Then removing any one proxy changes the links of at most 5 others

  Scenario Outline: Few proxies and links
    Given proxies in zones "<proxies>"
    And a backend "x" in zone "n1" with a cap of <cap> links
    Then the proxies are allocated the links "<allocated>"

    Examples:
      | proxies  | cap | allocated |
      | n1 s1    | 1   | 1 -       |
      | n1 n2 s1 | 2   | 1 1 -     |
      | n1 n1 n1 | 2   | 2 - -     |
      | s1 s2    | 1   | 1 -       |
      | n1 s1    | 0   | - -       |
