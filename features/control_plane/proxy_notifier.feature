Feature: A new primary assignment is made known to all controllers and proxies at once

  Background:
    Given the controllers c1 and c2, and the proxies p1 at c1 and p2 at c2, which know primary "a"
    And the proxies have acknowledged p1: 3.7, p2: 3.9

  Scenario: All proxies act on the assignment before their next pull, and report what they have acknowledged
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    Then the proxies have acknowledged up to 3.9, the last commit 100 ms ago
    And p1 and p2 confirm no primary, and acknowledge 3.8 but not 3.9
    And the notice took at most 30 ms

  Scenario: A fence that is withdrawn and lowered acknowledges nothing past the new one
    # guards against acknowledged commits that the backend promoted in the end does not have
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    And c1 assigns "c" without a fence and notifies the proxies
    Then p1 and p2 acknowledge nothing up to 3.1
    When c1 assigns "c" with fence 3.6 and notifies the proxies
    Then p1 and p2 confirm no primary, and acknowledge 3.6 but not 3.7

  Scenario: A fence that was withdrawn meanwhile acknowledges nothing once the view has expired
    # guards against acknowledgements by a proxy that is cut off from the controllers
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    Then p1 and p2 confirm no primary, and acknowledge 3.8 but not 3.9
    When p1 and p2 have asked no controller for 1200 ms
    Then p1 and p2 acknowledge nothing up to 3.1

  Scenario Outline: A promotion's fence is valid until the next promotion: <assignments>
    # guards against a fence that outlives promotions which a proxy has not seen
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    And the proxies see the assignments "<assignments>"
    Then a commit of "a" at 3.8 is acknowledged: <acknowledged>

    Examples:
      | assignments                                | acknowledged |
      | 3 settled                                  | yes          |
      | 3 settled, 3 settled                       | yes          |
      | 3 settled, 4 closing, 5 settled            | yes          |
      | 3 settled, 4 closing, 5 moving             | no           |
      | 5 settled                                  | no           |
      | 3 settled, 6 closing                       | no           |

  Scenario Outline: The commits of all proxies are counted to tell how far the last acknowledged one is at least
    # guards against a successor without acknowledged commits, which the end of the old log alone does not show
    Given p1 acknowledges 3.20 for commits that were sent after <first>
    And p2 acknowledges 3.20 for commits that were sent after <second>
    When c1 assigns "b" without a fence and notifies the proxies
    Then the last acknowledged commit is at least 3.<least>

    Examples:
      | first           | second    | least | # reason                                               |
      | 3.10            | 3.10      | 12    | two commits after 3.10                                 |
      | 3.10, 3.10, 3.9 | 3.10      | 13    | three after 3.10; four after 3.9                       |
      | 3.10, 3.11      | 3.2, 3.12 | 13    | one after 3.12, two after 3.11, three after 3.10       |
      | 3.2             | 2.70      | 3     | a position of a newer term is after all of older terms |

  Scenario Outline: After a promotion the last acknowledged commit is known to be at least <least>
    # guards against waiting for commits that a promotion lost, and against forgetting those that it kept
    Given p1 acknowledges 3.20 for commits that were sent after 3.10, 3.11
    When c1 assigns "b" with fence <fence> and notifies the proxies
    And the assignment of "b" is settled, and c1 assigns "c" without a fence and notifies the proxies
    Then the last acknowledged commit is at least <least>
    And the proxies have acknowledged up to <most>

    Examples:
      | fence | least | most |
      | 3.20  | 3.12  | 3.20 |
      | 3.11  | 3.11  | 3.11 |

  Scenario: An assignment that is confirmed after its promotion lowers no bound
    # guards against acknowledged commits that are forgotten when a new lease holder confirms the assignment
    When c1 assigns "a" with fence 3.11 and notifies the proxies
    And the proxies see the assignments "3 settled"
    And p1 acknowledges 4.20 for commits that were sent after 4.18, 4.19
    And the proxies see the assignments "3 settled, 4 closing, 5 settled"
    Then the last acknowledged commit is at least 4.20
    And the proxies have acknowledged up to 4.20

  Scenario: A controller relays the assignment once it has answered, also to a proxy that asks it later
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    And the proxy p3 starts at c2
    Then p3 knows that the assignment is moving to "b"

  Scenario Outline: Not all acknowledged commits are known where <cause>
    # guards against a promotion without commits that the other proxies are known to have acknowledged
    Given <cause>
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    Then not all acknowledged commits are known, and those that are reach up to <known>

    Examples:
      | cause                                                        | known |
      | p2 does not answer notices                                   | 3.7   |
      | c2 does not answer notices                                   | 3.9   |
      | the register does not list the address of p2                 | 3.7   |
      | p2 restarted 500 ms ago, and the replicas were paused before | 3.7   |
      | 4000 notices of other services are unanswered                | 0.0   |

  Scenario: A proxy whose view has expired is not waited for
    Given p2 has asked no controller for 1200 ms, and no longer answers
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    Then the proxies have acknowledged up to 3.7, the last commit 1300 ms ago
    And the notice took at most 30 ms
