Feature: Failover of a service

  Scenario: The first primary assigned is the one that leads by its own account
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    Then the assignment went "settled a 3"
    And the platform was asked to promote "nobody"

  Scenario: Nobody is promoted while all is well
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When 20000 ms pass at the controllers
    Then the assignment went "settled a 3"
    And "b" was told "nothing"

  Scenario: A planned switchover announces itself, has the primary step down, and waits until older views expire
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When "a" announces that it is emptying
    Then "b" leads and the assignment is settled within 4000 ms
    And the assignment went "settled a 3, closing a 3, moving b 4, settled b 4"
    And the platform was asked to promote "b under 1"
    And between the end of the old assignment and the next settled one all older views have expired
    And "a" stepped down at least 250 ms after the assignment was closing
    And "b" was told "nothing"
    And no acknowledged commit is lost
    And nobody but one leads, and no replica is paused
    And commits are acknowledged again
    And no controller has crashed

  Scenario: A primary that crashed is replaced by the furthest replica
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And "b" is 40 behind
    And the failover lease is held and the assignment settled
    When what was acknowledged is noted
    And "a" crashes
    And "a" is suspected
    Then "c" leads and the assignment is settled within 4000 ms
    And the assignment went "settled a 3, moving c 4, settled c 4"
    And between the end of the old assignment and the next settled one all older views have expired
    And the position that the lead was fenced at is at or past every acknowledged commit
    And no acknowledged commit is lost
    And "b" was told "pause 4, resume"
    And nobody but one leads, and no replica is paused
    And commits are acknowledged again

  Scenario: A primary that nobody suspects is noticed by its missing heartbeats
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When "a" crashes
    Then "b" leads and the assignment is settled within 7000 ms
    And no acknowledged commit is lost

  Scenario Outline: A suspicion alone replaces no primary
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    And "a" is <reach> to the controllers
    When "a" is suspected
    And 2000 ms pass at the controllers
    Then the assignment went "settled a 3"
    And "b" was told "nothing"

    Examples: it takes connections, and its heartbeats come
      | reach     |
      | reachable |
      | silent    |

  Scenario Outline: Whether a primary is gone is judged by what most controllers see
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    And of <asked> other controllers <reached> reach it
    And "a" is unreachable to the controllers
    When "a" is suspected
    And 3000 ms pass at the controllers
    Then the assignment is settled on "<primary>"
    And the platform was asked to promote "<promoted>"

    Examples:
      | asked | reached | primary | promoted  |
      | 2     | 2       | a       | nobody    |
      | 4     | 3       | a       | nobody    |
      | 1     | 1       | a       | nobody    |
      | 2     | 1       | b       | b under 1 |
      | 2     | 0       | b       | b under 1 |
      | 0     | 0       | b       | b under 1 |

  Scenario Outline: With too few replicas paused nobody is promoted
    Given a service with <confirmations> confirmations, where "a" leads and "b, c, d" are replicas
    And "b" can't be paused
    And the failover lease is held and the assignment settled
    When "a" crashes
    And "a" is suspected
    And 3000 ms pass at the controllers
    Then the platform was asked to promote "<promoted>"
    And no acknowledged commit is lost

    Examples: of 3 replicas, each acknowledged commit is at as many as confirm
      | confirmations | promoted  |
      | 1             | nobody    |
      | 2             | c under 1 |

  Scenario: Replicas that were paused in vain are resumed, after a write that shuts the failover out
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And "b" can't be paused
    And the failover lease is held and the assignment settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the replicas are paused
    And "a" is reachable to the controllers
    And 2000 ms pass at the controllers
    Then the platform was asked to promote "nobody"
    And the assignment is settled on "a"
    And each replica that was paused was resumed, and only after a write that confirms the assignment
    And nobody but one leads, and no replica is paused
    And commits are acknowledged again

  Scenario: A replica that can't be resumed at once is resumed as soon as it can
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And "b" can't be paused
    And the failover lease is held and the assignment settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the replicas are paused
    And "c" is silent to the controllers
    And "a" is reachable to the controllers
    And 4000 ms pass at the controllers
    And "c" is reachable to the controllers
    And 4000 ms pass at the controllers
    Then the assignment is settled on "a"
    And nobody but one leads, and no replica is paused

  Scenario: A replica that can't be resumed at the end of a failover is resumed as soon as it can
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When "a" crashes
    And "a" is suspected
    And the assignment is moving
    And "c" is silent to the controllers
    Then "b" leads and the assignment is settled within 4000 ms
    When 2000 ms pass at the controllers
    And "c" is reachable to the controllers
    And 4000 ms pass at the controllers
    Then nobody but one leads, and no replica is paused

  Scenario: A primary that is leaving serves on while no replica is near
    Given a service with 1 confirmations, where "a" leads and "b" are replicas
    And the failover lease is held and the assignment settled
    When "b" crashes
    And "a" announces that it is emptying
    And 3000 ms pass at the controllers
    Then the assignment went "settled a 3"
    And "a" was told "nothing"
    When "b" comes back
    Then "b" leads and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A replica is promoted once it has all that the primary had when it stepped down
    Given a service with 0 confirmations, where "a" leads and "b, c" are replicas
    And "b" is 20 behind, and has all 200 ms after the primary stepped down
    And "c" is 10 behind
    And the failover lease is held and the assignment settled
    When "a" announces that it is emptying
    Then "b" leads and the assignment is settled within 4000 ms
    And the platform was asked to promote "b under 1"
    And no acknowledged commit is lost
    And commits are acknowledged again

  Scenario: Where no replica comes to have all, the primary that stepped down leads again
    Given a service with 0 confirmations, where "a" leads and "b, c" are replicas
    And "b" is 20 behind
    And "c" is 10 behind
    And the failover lease is held and the assignment settled
    When "a" announces that it is emptying
    And the assignment is closing
    Then "a" leads and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A primary that does not step down serves on, and nobody is promoted beside it
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And "a" does not step down
    And the failover lease is held and the assignment settled
    When "a" announces that it is emptying
    And the assignment is closing
    Then "a" leads and the assignment is settled within 1000 ms
    And the platform was asked to promote "nobody"
    And commits are acknowledged again

  Scenario: A replica that is silent holds up no switchover that another can serve
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    And "b" is silent to the controllers
    When "a" announces that it is emptying
    Then "c" leads and the assignment is settled within 2500 ms
    And no acknowledged commit is lost

  Scenario: While the last replica is not there nobody is promoted
    Given a service with 1 confirmations, where "a" leads and "b" are replicas
    And the failover lease is held and the assignment settled
    When "b" crashes
    And 1000 ms pass at the controllers
    And "a" crashes
    And "a" is suspected
    And 3000 ms pass at the controllers
    Then the platform was asked to promote "nobody"
    When "a" comes back
    And 3000 ms pass at the controllers
    Then the assignment is settled on "a"

  Scenario: A successor that is not running is replaced by another that holds everything
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the platform says that "b" is not running
    And the failover lease is held and the assignment settled
    When "a" crashes
    And "a" is suspected
    Then "c" leads and the assignment is settled within 5000 ms
    And the platform was asked to promote "b under 1, c under 1"
    And no acknowledged commit is lost

  Scenario: A successor that is not running is not replaced by another that holds less
    Given a service with 2 confirmations, where "a" leads and "b, c, d" are replicas
    And "b" is 40 behind
    And "c" can't be paused
    And the failover lease is held and the assignment settled
    And "c" crashes
    And the platform says that "d" is not running
    When "a" crashes
    And "a" is suspected
    And 4000 ms pass at the controllers
    Then the assignment is moving on "d"
    And no acknowledged commit is lost
    When "c" comes back
    Then "c" leads and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A successor that does not come to lead is given up after a while
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And "b" never comes to lead
    And the failover lease is held and the assignment settled
    When "a" crashes
    And "a" is suspected
    Then "c" leads and the assignment is settled within 9000 ms
    And no acknowledged commit is lost

  Scenario: An old primary that comes back in the middle of a failover steps down
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When "a" crashes
    And "a" is suspected
    And the replicas are paused
    And "a" comes back
    Then "b" leads and the assignment is settled within 4000 ms
    And no acknowledged commit is lost
    And nobody but one leads, and no replica is paused

  Scenario Outline: A holder that dies in the middle has its failover ended by the next
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    And another controller seeks the failover lease
    When "a" crashes
    And "a" is suspected
    And the holder of the failover lease dies <moment>
    Then "b" leads and the assignment is settled within 9000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And nobody but one leads, and no replica is paused
    And no controller has crashed

    Examples:
      | moment                           |
      | when the replicas are paused       |
      | when the assignment is moving              |
      | when the platform has been asked |
      | when another leads               |

  Scenario Outline: A holder that dies in the middle of a switchover has it ended by the next
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    And another controller seeks the failover lease
    When "a" announces that it is emptying
    And the holder of the failover lease dies <moment>
    Then "b" leads and the assignment is settled within 9000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And nobody but one leads, and no replica is paused
    And no controller has crashed

    Examples:
      | moment                                |
      | when the assignment is closing                  |
      | when the old primary has stepped down |
      | when the assignment is moving                   |
      | when the platform has been asked      |

  Scenario: A holder that dies with replicas paused, and a primary that is well after all
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    And another controller seeks the failover lease
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the holder of the failover lease dies when the replicas are paused
    And "a" is reachable to the controllers
    And 6000 ms pass at the controllers
    Then the assignment is settled on "a"
    And each replica that was paused was resumed, and only after a write that confirms the assignment
    And nobody but one leads, and no replica is paused
    And commits are acknowledged again

  Scenario: Two holders never call under the same fence
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    And another controller seeks the failover lease
    When "a" crashes
    And "a" is suspected
    And the holder of the failover lease dies when the platform has been asked
    Then "b" leads and the assignment is settled within 9000 ms
    And no two holders ever called under the same fence, and the fences rose

  Scenario: A holder writes over nothing but what it saw
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When "a" announces that it is emptying
    And the assignment is closing
    And another holder has meanwhile written that "c" leads in term 9
    Then that assignment stands for 1500 ms

  Scenario: A holder that is cut off from the register promotes nobody
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When the holder of the failover lease is cut off from the register
    And "a" crashes
    And "a" is suspected
    And 8000 ms pass at the controllers
    Then the platform was asked to promote "nobody"
    And the assignment went "settled a 3"

  Scenario: A replica that left with its log keeps one that lacks commits from being promoted
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And "c" is 40 behind
    And the failover lease is held and the assignment settled
    When "b" deregisters, and ends
    And what was acknowledged is noted
    And "a" crashes
    And "a" is suspected
    And 3000 ms pass at the controllers
    Then the platform was asked to promote "nobody"
    When "a" comes back
    Then "a" leads and the assignment is settled within 2000 ms
    And no acknowledged commit is lost
    And no controller has crashed

  Scenario: A replica that left holds nobody back once another one holds all that it may have confirmed
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When "b" deregisters, and ends
    And 1000 ms pass at the controllers
    And what was acknowledged is noted
    And "a" crashes
    And "a" is suspected
    Then "c" leads and the assignment is settled within 4000 ms
    And the assignment went "settled a 3, moving c 4, settled c 4"
    And no acknowledged commit is lost

  Scenario Outline: An unreachable replica that left is settled where <reached> of <asked> others reach it: <word>
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And of <asked> other controllers <reached> reach it
    And the failover lease is held and the assignment settled
    When "b" deregisters, and ends
    And "b" is unreachable to the controllers
    And 2000 ms pass at the controllers
    Then the deregistration of "b" is settled: <word>

    Examples:
      | asked | reached | word |
      | 2     | 0       | yes  |
      | 1     | 0       | yes  |
      | 2     | 1       | no   |
      | 0     | 0       | no   |

  Scenario: A replica that deregistered and still confirms is fenced with the others
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And "c" is 40 behind
    And the failover lease is held and the assignment settled
    When "b" deregisters, and serves on
    And 1000 ms pass at the controllers
    And what was acknowledged is noted
    And "a" is unreachable to the controllers
    And "a" is suspected
    And 4000 ms pass at the controllers
    Then "b" was told "pause 4"
    And no acknowledged commit is lost

  Scenario: A primary that deregisters first and serves on steps down before another one leads
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And the failover lease is held and the assignment settled
    When "a" deregisters, and serves on
    Then "b" leads and the assignment is settled within 4000 ms
    And the assignment went "settled a 3, closing a 3, moving b 4, settled b 4"
    And "a" stepped down at least 250 ms after the assignment was closing
    And no acknowledged commit is lost

  Scenario: A new holder acts only on what was read since it holds the lease
    Given a service with 1 confirmations, where "a" leads and "b, c" are replicas
    And another controller seeks the failover lease
    And the failover lease is held and the assignment settled
    When the other one takes the failover lease, and reads nothing any more
    Then it holds the failover lease, takes what it knows for current, and writes nothing
    When the other one reads again
    Then it takes a fence number, and confirms the assignment
