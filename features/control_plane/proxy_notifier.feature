Feature: A new primary assignment is made known to all controllers and proxies at once

  Background:
    Given the controllers c1 and c2, and the proxies p1 at c1 and p2 at c2, which know primary "a"
    And the proxies have acknowledged p1: 3.7, p2: 3.9

  Scenario: All proxies act on the assignment before their next pull, and report what they have acknowledged
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    Then the proxies have acknowledged up to 3.9, the last commit 100 ms ago
    And p1 and p2 confirm no primary, and acknowledge 3.8 but not 3.9
    And the notice took at most 30 ms

  Scenario: A controller relays the assignment once it has answered, also to a proxy that asks it later
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    And the proxy p3 starts at c2
    Then p3 knows that the assignment is moving to "b"

  Scenario Outline: Nothing is known of the acknowledged commits where <cause>
    Given <cause>
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    Then nothing is known of the acknowledged commits

    Examples:
      | cause                                                      |
      | p2 does not answer notices                                 |
      | c2 does not answer notices                                 |
      | the register does not list the address of p2               |
      | p2 restarted 500 ms ago, and the replicas were paused before |
      | 4000 notices of other services are unanswered              |

  Scenario: A proxy whose view has expired is not waited for
    Given p2 has asked no controller for 1200 ms, and no longer answers
    When c1 assigns "b" with fence 3.8 and notifies the proxies
    Then the proxies have acknowledged up to 3.7, the last commit 1300 ms ago
    And the notice took at most 30 ms
