Feature: Failover of a service

  Scenario: The first assignment is to the backend that reports itself primary
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    Then the assignments written were "settled a 3"
    And the promotions requested were "none"

  Scenario: No backend is promoted while the primary is healthy
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When the controllers run for 20000 ms
    Then the assignments written were "settled a 3"
    And the requests to "b" were "none"

  Scenario: A planned switchover is announced, demotes the primary, and waits for older views to expire
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "a" announces the state emptying
    Then "b" is primary and the assignment is settled within 4000 ms
    And the assignments written were "settled a 3, closing a 3, moving b 4, settled b 4"
    And the promotions requested were "b with fence 1"
    And all older views expired between the end of the old assignment and the next settled one
    And "a" stepped down at least 250 ms after the assignment was closing
    And the requests to "b" were "none"
    And no acknowledged commit is lost
    And exactly one backend is primary, and no replica is paused
    And commits are acknowledged again
    And no controller has crashed

  Scenario: A crashed primary is replaced by the replica with the longest log
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "b" is 40 positions behind
    And the failover lease is held and the assignment is settled
    When the acknowledged position is recorded
    And "a" crashes
    And "a" is suspected
    Then "c" is primary and the assignment is settled within 4000 ms
    And the assignments written were "settled a 3, moving c 4, moving c 4, settled c 4"
    And all older views expired between the end of the old assignment and the next settled one
    And the fence position is at or after every acknowledged commit
    And no acknowledged commit is lost
    And the requests to "b" were "pause 4, resume"
    And exactly one backend is primary, and no replica is paused
    And commits are acknowledged again

  Scenario: A crashed primary without a suspicion is replaced because of missing heartbeats
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "a" crashes
    Then "b" is primary and the assignment is settled within 7000 ms
    And no acknowledged commit is lost

  Scenario Outline: A suspected primary that accepts connections and sends heartbeats is not replaced
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    And "a" is <reach> to the controllers
    When "a" is suspected
    And the controllers run for 2000 ms
    Then the assignments written were "settled a 3"
    And the requests to "b" were "none"

    Examples: it accepts connections, and its heartbeats arrive
      | reach     |
      | reachable |
      | silent    |

  Scenario Outline: A primary is replaced only if a majority of the controllers can't reach it
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    And <reached> of <asked> other controllers reach the backend
    And "a" is unreachable to the controllers
    When "a" is suspected
    And the controllers run for 3000 ms
    Then the assignment is settled on "<primary>"
    And the promotions requested were "<promoted>"

    Examples:
      | asked | reached | primary | promoted       |
      | 2     | 2       | a       | none           |
      | 4     | 3       | a       | none           |
      | 1     | 1       | a       | none           |
      | 2     | 1       | b       | b with fence 1 |
      | 2     | 0       | b       | b with fence 1 |
      | 0     | 0       | b       | b with fence 1 |

  Scenario Outline: No backend is promoted if too few replicas can be paused
    Given a service with primary "a", replicas "b, c, d" and <confirmations> required confirmations
    And "b" can't be paused
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    And the controllers run for 3000 ms
    Then the promotions requested were "<promoted>"
    And no acknowledged commit is lost

    Examples: each acknowledged commit is at as many of the 3 replicas as confirm
      | confirmations | promoted       |
      | 1             | none           |
      | 2             | c with fence 1 |

  Scenario: Replicas paused for an aborted failover are resumed once a write has confirmed the assignment
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "b" can't be paused
    And the failover lease is held and the assignment is settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the replicas are paused
    And "a" is reachable to the controllers
    And the controllers run for 2000 ms
    Then the promotions requested were "none"
    And the assignment is settled on "a"
    And each paused replica was resumed, after the assignment was confirmed by a write
    And exactly one backend is primary, and no replica is paused
    And commits are acknowledged again

  Scenario: A replica that does not answer is resumed after an aborted failover once it answers
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "b" can't be paused
    And the failover lease is held and the assignment is settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the replicas are paused
    And "c" is silent to the controllers
    And "a" is reachable to the controllers
    And the controllers run for 4000 ms
    And "c" is reachable to the controllers
    And the controllers run for 4000 ms
    Then the assignment is settled on "a"
    And exactly one backend is primary, and no replica is paused

  Scenario: A replica that does not answer at the end of a failover is resumed once it answers
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    And the assignment is moving
    And "c" is silent to the controllers
    Then "b" is primary and the assignment is settled within 4000 ms
    When the controllers run for 2000 ms
    And "c" is reachable to the controllers
    And the controllers run for 4000 ms
    Then exactly one backend is primary, and no replica is paused

  Scenario: A draining primary keeps serving while no replica is available
    Given a service with primary "a", replicas "b" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "b" crashes
    And "a" announces the state emptying
    And the controllers run for 3000 ms
    Then the assignments written were "settled a 3"
    And the requests to "a" were "none"
    When "b" is restarted
    Then "b" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A replica is promoted once it has caught up with the primary that stepped down
    Given a service with primary "a", replicas "b, c" and 0 required confirmations
    And "b" is 20 positions behind, and catches up 200 ms after the primary stepped down
    And "c" is 10 positions behind
    And the failover lease is held and the assignment is settled
    When "a" announces the state emptying
    Then "b" is primary and the assignment is settled within 4000 ms
    And the promotions requested were "b with fence 1"
    And no acknowledged commit is lost
    And commits are acknowledged again

  Scenario: The primary that stepped down is promoted again if no replica catches up
    Given a service with primary "a", replicas "b, c" and 0 required confirmations
    And "b" is 20 positions behind
    And "c" is 10 positions behind
    And the failover lease is held and the assignment is settled
    When "a" announces the state emptying
    And the assignment is closing
    Then "a" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A primary that does not step down keeps serving, and no other backend is promoted
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "a" does not step down
    And the failover lease is held and the assignment is settled
    When "a" announces the state emptying
    And the assignment is closing
    Then "a" is primary and the assignment is settled within 1000 ms
    And the promotions requested were "none"
    And commits are acknowledged again

  Scenario: An unresponsive replica does not delay a switchover to another replica
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    And "b" is silent to the controllers
    When "a" announces the state emptying
    Then "c" is primary and the assignment is settled within 2500 ms
    And no acknowledged commit is lost

  Scenario: No backend is promoted while the last replica is down
    Given a service with primary "a", replicas "b" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "b" crashes
    And the controllers run for 1000 ms
    And "a" crashes
    And "a" is suspected
    And the controllers run for 3000 ms
    Then the promotions requested were "none"
    When "a" is restarted
    And the controllers run for 3000 ms
    Then the assignment is settled on "a"

  Scenario: A successor that is not running is replaced by a replica with all acknowledged commits
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the platform says that "b" is not running
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    Then "c" is primary and the assignment is settled within 5000 ms
    And the promotions requested were "b with fence 1, c with fence 1"
    And no acknowledged commit is lost

  Scenario: A successor that is not running is not replaced by a replica that lacks commits
    Given a service with primary "a", replicas "b, c, d" and 2 required confirmations
    And "b" is 40 positions behind
    And "c" can't be paused
    And the failover lease is held and the assignment is settled
    And "c" crashes
    And the platform says that "d" is not running
    When "a" crashes
    And "a" is suspected
    And the controllers run for 4000 ms
    Then the assignment is moving on "d"
    And no acknowledged commit is lost
    When "c" is restarted
    Then "c" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A successor that does not become primary is replaced after a timeout
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "b" never becomes primary
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    Then "c" is primary and the assignment is settled within 9000 ms
    And no acknowledged commit is lost

  Scenario: An old primary that restarts during a failover steps down
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    And the replicas are paused
    And "a" is restarted
    Then "b" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost
    And exactly one backend is primary, and no replica is paused

  Scenario Outline: The next lease holder completes the failover of a killed one
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    And another controller competes for the failover lease
    When "a" crashes
    And "a" is suspected
    And the holder of the failover lease is killed <moment>
    Then "b" is primary and the assignment is settled within 9000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And exactly one backend is primary, and no replica is paused
    And no controller has crashed

    Examples:
      | moment                                      |
      | when the replicas are paused                |
      | when the assignment is moving               |
      | when the platform has been asked to promote |
      | when another backend is primary             |

  Scenario Outline: The next lease holder completes the switchover of a killed one
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    And another controller competes for the failover lease
    When "a" announces the state emptying
    And the holder of the failover lease is killed <moment>
    Then "b" is primary and the assignment is settled within 9000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And exactly one backend is primary, and no replica is paused
    And no controller has crashed

    Examples:
      | moment                                      |
      | when the assignment is closing              |
      | when the old primary has stepped down       |
      | when the assignment is moving               |
      | when the platform has been asked to promote |

  Scenario: The next lease holder resumes replicas that a killed one paused under a healthy primary
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    And another controller competes for the failover lease
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the holder of the failover lease is killed when the replicas are paused
    And "a" is reachable to the controllers
    And the controllers run for 6000 ms
    Then the assignment is settled on "a"
    And each paused replica was resumed, after the assignment was confirmed by a write
    And exactly one backend is primary, and no replica is paused
    And commits are acknowledged again

  Scenario: Each lease holder uses a new, higher fence number
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    And another controller competes for the failover lease
    When "a" crashes
    And "a" is suspected
    And the holder of the failover lease is killed when the platform has been asked to promote
    Then "b" is primary and the assignment is settled within 9000 ms
    And the two holders used different fence numbers, in ascending order

  Scenario: A lease holder does not overwrite a concurrent change of the assignment
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "a" announces the state emptying
    And the assignment is closing
    And another holder has written "c" as primary of term 9
    Then that assignment is unchanged for 1500 ms

  Scenario: A lease holder that is cut off from the register promotes no backend
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When the holder of the failover lease is cut off from the register
    And "a" crashes
    And "a" is suspected
    And the controllers run for 8000 ms
    Then the promotions requested were "none"
    And the assignments written were "settled a 3"

  Scenario: A replica that lacks commits of a deregistered replica is not promoted
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "c" is 40 positions behind
    And the failover lease is held and the assignment is settled
    When "b" deregisters, and exits
    And the acknowledged position is recorded
    And "a" crashes
    And "a" is suspected
    And the controllers run for 3000 ms
    Then the promotions requested were "none"
    When "a" is restarted
    Then "a" is primary and the assignment is settled within 2000 ms
    And no acknowledged commit is lost
    And no controller has crashed

  Scenario: A deregistered replica does not block failover once another one has all commits that it may have confirmed
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "b" deregisters, and exits
    And the controllers run for 1000 ms
    And the acknowledged position is recorded
    And "a" crashes
    And "a" is suspected
    Then "c" is primary and the assignment is settled within 4000 ms
    And the assignments written were "settled a 3, moving c 4, moving c 4, settled c 4"
    And no acknowledged commit is lost

  Scenario Outline: The deregistration of an unreachable replica, reached by <reached> of <asked> others, is settled: <word>
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And <reached> of <asked> other controllers reach the backend
    And the failover lease is held and the assignment is settled
    When "b" deregisters, and exits
    And "b" is unreachable to the controllers
    And the controllers run for 2000 ms
    Then the deregistration of "b" is settled: <word>

    Examples:
      | asked | reached | word |
      | 2     | 0       | yes  |
      | 1     | 0       | yes  |
      | 2     | 1       | no   |
      | 0     | 0       | no   |

  Scenario Outline: A deregistration that an earlier lease holder settled does not block the next one's failover: killed <moment>
    # guards against a service without a primary, since the next holder waits for a replica whose process has exited
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that do not answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    And another controller competes for the failover lease
    When "c" deregisters, and exits
    And the controllers run for 7000 ms
    And "a" crashes
    And "a" is suspected
    And the holder of the failover lease is killed <moment>
    Then "b" is primary and the assignment is settled within 8000 ms
    And no acknowledged commit is lost

    Examples:
      | moment                        |
      | when the replicas are paused  |
      | when the assignment is moving |

  Scenario: A replica that left, was unreachable, and has exited since does not block failover after a restart of all controllers
    # guards against a service without a primary, since the exit of a replica that was taken for exited is never looked for
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that do not answer notices of an assignment, and acknowledge commits by their views
    And 0 of 2 other controllers reach the backend
    And the failover lease is held and the assignment is settled
    When "c" deregisters, and keeps serving
    And "c" is unreachable to the controllers
    And the controllers run for 2000 ms
    Then the deregistration of "c" is settled: yes
    When "c" is reachable to the controllers
    And "c" ends
    And the controllers run for 1500 ms
    And "a" crashes
    And all controllers are restarted
    Then "b" is primary and the assignment is settled within 12000 ms
    And no acknowledged commit is lost

  Scenario: A replica that left and exited while its primary was lost does not delay the failover beyond the recovery time
    # guards against a service without a primary for 25 s, since a replica that has exited is waited for
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "c" deregisters, and keeps serving
    And the controllers run for 300 ms
    And "a" crashes
    And "c" ends
    And an empty replica "d" takes the address of "c"
    And "a" is suspected
    Then "b" is primary and the assignment is settled within 12000 ms
    And no acknowledged commit is lost

  Scenario: A deregistered replica that still confirms commits is fenced with the others
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "c" is 40 positions behind
    And the failover lease is held and the assignment is settled
    When "b" deregisters, and keeps serving
    And the controllers run for 1000 ms
    And the acknowledged position is recorded
    And "a" is unreachable to the controllers
    And "a" is suspected
    And the controllers run for 4000 ms
    Then the requests to "b" were "pause 4, step down 5, resume"
    And "b" was paused before the promotion was requested
    And no acknowledged commit is lost

  Scenario: A leaving replica that was promoted is replaced, although the others were paused for its promotion
    # guards against replicas that stay paused as long as the primary must be replaced, and so can't replace it
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "c" is 40 positions behind
    And the failover lease is held and the assignment is settled
    When "b" deregisters, and keeps serving
    And "a" crashes
    And "a" is suspected
    Then "c" is primary and the assignment is settled within 9000 ms
    And no acknowledged commit is lost
    And exactly one backend is primary, and no replica is paused

  Scenario: A primary that keeps serving after its deregistration steps down before another one is promoted
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "a" deregisters, and keeps serving
    Then "b" is primary and the assignment is settled within 4000 ms
    And the assignments written were "settled a 3, closing a 3, moving b 4, settled b 4"
    And "a" stepped down at least 250 ms after the assignment was closing
    And no acknowledged commit is lost

  Scenario: A new lease holder acts only on a view that was read after it acquired the lease
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And another controller competes for the failover lease
    And the failover lease is held and the assignment is settled
    When the second controller acquires the failover lease, and its reads of the register fail
    Then it holds the failover lease, its view counts as current, and it writes nothing
    When the reads of the second controller succeed again
    Then it allocates a fence number, and then confirms the assignment

  Scenario Outline: A replica that starts after the others were paused lets no acknowledged commit be lost: <answer>, <whom>
    # guards against a promotion while proxies still acknowledge commits that only a replica unknown so far has confirmed
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that <answer> notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the replicas are paused
    And replica "d" starts, and its heartbeats reach <whom>
    Then "d" is primary and the assignment is settled within 6000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And no controller has crashed

    Examples:
      | answer        | whom                                 |
      | answer        | the lease holder                     |
      | answer        | another controller                   |
      | answer        | the lease holder only after 1500 ms  |
      | do not answer | the lease holder                     |
      | do not answer | another controller                   |

  Scenario: While a replica that confirmed commits is unknown nothing is promoted, and proxies are notified once
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the replicas are paused
    And replica "d" starts, and its heartbeats reach the lease holder only after 2500 ms
    And the controllers run for 2000 ms
    Then the promotions requested were "none"
    And the proxies were notified 1 times
    And "d" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario Outline: Commits acknowledged before a primary crashed, which no known replica has, are waited for: <whom> has them, proxies <answer>
    # guards against a promotion without commits that were acknowledged before the replicas were paused
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that <answer> notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And "c" receives nothing any more
    And replica "d" starts, and its heartbeats reach the lease holder only after <late> ms
    And the controllers run for 1000 ms
    And "a" crashes
    And "a" is suspected
    And the controllers run for 2500 ms
    Then the promotions requested were "none"
    When <event>
    Then "<whom>" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost
    And no controller has crashed

    Examples:
      | answer               | whom | late  | event                        |
      | answer               | d    | 4000  | the controllers run for 0 ms |
      | answer               | a    | 60000 | "a" is restarted             |
      | answer, but for one, | d    | 4000  | the controllers run for 0 ms |
      | answer, but for one, | a    | 60000 | "a" is restarted             |

  Scenario: Commits that no replica has to confirm are not waited for
    # guards against a failover that waits for commits which its service may lose
    Given a service with primary "a", replicas "b, c" and 0 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And "c" receives nothing any more
    And the controllers run for 300 ms
    And "a" crashes
    And "a" is suspected
    Then the assignment is settled on another backend within 4000 ms

  Scenario Outline: A primary that stepped down and is lost for good before it is promoted again is replaced: <event>
    # guards against a service that waits for ever for the end of a log that holds commits which nobody acknowledged
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that <answer> notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And "c" receives nothing any more
    And the controllers run for 100 ms
    And "a" announces the state emptying
    And the promotion of "a" is requested
    And "a" crashes
    And <event>
    Then the assignment is settled on another backend within <within> ms
    And no acknowledged commit is lost
    And no controller has crashed

    Examples:
      | answer        | event                         | within |
      | answer        | the controllers run for 0 ms  | 9000   |
      | do not answer | the controllers run for 0 ms  | 9000   |
      | answer        | all controllers are restarted | 12000  |
      | do not answer | all controllers are restarted | 12000  |

  Scenario Outline: The log of a primary that stepped down and is lost is kept by a replica that is heard of late: <event>
    # guards against a lowered fence where neither controllers nor proxies remember what was acknowledged
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that do not answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And "c" receives nothing any more
    And replica "d" starts, and its heartbeats reach the lease holder only after 4500 ms
    And the controllers run for 300 ms
    And "a" announces the state emptying
    And the promotion of "a" is requested
    And "a" crashes
    And <event>
    Then "d" is primary and the assignment is settled within 9000 ms
    And no acknowledged commit is lost

    Examples:
      | event                         |
      | the controllers run for 0 ms  |
      | all controllers are restarted |

  Scenario: A primary that stepped down, and whose promotion takes long, is waited for while it answers
    # guards against two primaries: the promotion that was requested may take effect at any later time
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "a" never becomes primary
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And "c" receives nothing any more
    And the controllers run for 100 ms
    And "a" announces the state emptying
    And the promotion of "a" is requested
    And the controllers run for 20000 ms
    Then the assignment is moving on "a"

  Scenario: A primary that stepped down, and is down before it is promoted again, keeps commits that no known replica has
    # guards against a fence that is lowered below acknowledged commits
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And "c" receives nothing any more
    And replica "d" starts, and its heartbeats reach the lease holder only after 60000 ms
    And the controllers run for 300 ms
    And "d" ends
    And "a" announces the state emptying
    And the promotion of "a" is requested
    And "a" crashes
    And the controllers run for 6000 ms
    And "a" is restarted
    Then "a" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario Outline: A successor that is lost for good, with commits that nobody acknowledged, is replaced: <event>
    # guards against a service that waits for ever for a log that is lost
    Given a service with primary "a", replicas "b, c" and 2 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And the controllers run for 100 ms
    And "a" crashes
    And "a" is suspected
    And the promotion of "c" is requested
    And "c" crashes
    And <event>
    Then "b" is primary and the assignment is settled within <within> ms
    And no acknowledged commit is lost

    Examples:
      | event                         | within |
      | the controllers run for 0 ms  | 9000   |
      | all controllers are restarted | 12000  |

  Scenario: A primary that returns while a replica that confirmed commits is unknown keeps its commits
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the replicas are paused
    And replica "d" starts, and its heartbeats reach the lease holder only after 60000 ms
    And the controllers run for 1500 ms
    And "a" is reachable to the controllers
    Then "a" is primary and the assignment is settled within 3000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And no controller has crashed

  Scenario: A replica that was taken for exited, and confirmed commits, is paused with the others
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And 0 of 2 other controllers reach the backend
    And the failover lease is held and the assignment is settled
    When "b" deregisters, and keeps serving
    And "b" is unreachable to the controllers
    And the controllers run for 2000 ms
    Then the deregistration of "b" is settled: yes
    When "b" is reachable to the controllers
    And "a" is unreachable to the controllers
    And "a" is suspected
    Then "c" is primary and the assignment is settled within 6000 ms
    And "b" was paused before the promotion was requested
    And no acknowledged commit is lost

  Scenario Outline: A promotion waits until no proxy acts on an older view, and no longer: proxies <answer>
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that <answer> notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    Then "b" is primary and the assignment is settled within 4000 ms
    And the promotion was requested <least> to <most> ms after the assignment was moving
    And no acknowledged commit is lost

    Examples:
      | answer        | least | most |
      | answer        | 100   | 160  |
      | do not answer | 1100  | 1400 |

  Scenario: A replica that restarted after it was paused is paused again before the promotion
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that do not answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the assignment is moving
    And "c" restarts, which ends its pause
    Then the assignment is settled on another backend within 6000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again

  Scenario: A failover logs which replicas are paused, how far each is, and how far proxies have acknowledged
    # guards against logs that can't tell whether a successor lacked acknowledged commits, and why
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the log of the controllers is recorded
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    Then "b" is primary and the assignment is settled within 4000 ms
    And a log line matches "service s: a is fenced: 2 of 2 known replicas are paused \(b at 3.\d+, c at 3.\d+\); deregistered: none; not heard: none; presumed to have exited: none; heartbeats received here for \d+ ms"
    And a log line matches "service s: b is to be promoted with its log up to 3.\d+; proxies have acknowledged up to 3.\d+"
    And a log line matches "service s: replicas resumed: c"
    And the controllers counted "promotion.behind_acknowledged" 0 times

  Scenario: A successor whose log may end before an acknowledged commit is logged as a warning and counted
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the log of the controllers is recorded
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    And proxies report positions 5 beyond what was confirmed
    When "a" crashes
    And "a" is suspected
    Then "b" is primary and the assignment is settled within 4000 ms
    And a log line matches "WARNING service s: b is to be promoted with its log up to 3.\d+; proxies have acknowledged up to 3.\d+"
    And the controllers counted "promotion.behind_acknowledged" 1 times

  Scenario Outline: After all controllers have restarted a replica that <state> counts for the fence
    # guards against a successor that lacks acknowledged commits, since the fence counts only replicas heard since then
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And the controllers run for 100 ms
    And "c" <state>
    And all controllers are restarted
    And the controllers run for 3000 ms
    And "a" crashes
    And "a" is suspected
    And the controllers run for 3000 ms
    Then no acknowledged commit is lost
    And "c" is primary and the assignment is settled within 1000 ms
    And no controller has crashed

    Examples:
      | state                          |
      | sends no more heartbeats       |
      | deregisters, and keeps serving |

  Scenario Outline: A leaving replica counts after all controllers were killed and its primary is cut off from them: proxies <answer>
    # guards against a departure that is known from memory alone: its replica confirms commits that the successor lacks
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that <answer> notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "c" deregisters, and keeps serving
    And the controllers run for 300 ms
    And all controllers are restarted
    And the controllers run for 4000 ms
    And "a" is unreachable to the controllers
    And "a" sends no more heartbeats
    Then "b" is primary and the assignment is settled within 8000 ms
    And no acknowledged commit is lost
    And "c" was paused before the promotion was requested
    And commits are acknowledged again
    And no controller has crashed

    Examples:
      | answer        |
      | answer        |
      | do not answer |

  Scenario: After all controllers have restarted nothing is promoted while a replica that is down may have commits
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And the controllers run for 100 ms
    And "c" crashes
    And all controllers are restarted
    And the controllers run for 3000 ms
    And "a" crashes
    And "a" is suspected
    And the controllers run for 3000 ms
    Then no acknowledged commit is lost
    And the promotions requested were "none"
    When "c" is restarted
    Then "c" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A replica that exited while all controllers restarted does not block failover once another one has all commits
    # guards against a service without a primary, since a replica that never returns is waited for
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "c" crashes
    And all controllers are restarted
    And the controllers run for 4000 ms
    And "a" crashes
    And "a" is suspected
    Then "b" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A replica that is unreachable and has long been silent does not block failover
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "c" is unreachable to the controllers
    And "c" sends no more heartbeats
    And all controllers are restarted
    And the controllers run for 26000 ms
    And "a" crashes
    And "a" is suspected
    Then "b" is primary and the assignment is settled within 4000 ms

  Scenario: A replica that has long sent no heartbeats, and confirms commits, counts for the fence
    # guards against a successor that lacks commits of a replica that serves on long after its last heartbeat
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "c" deregisters, and keeps serving
    And the controllers run for 28000 ms
    And "b" receives nothing any more
    And the controllers run for 500 ms
    And "a" crashes
    And "a" is suspected
    And the controllers run for 3000 ms
    Then no acknowledged commit is lost
    And "c" is primary and the assignment is settled within 1000 ms

  Scenario: A replica without heartbeats that was paused for an aborted failover is resumed
    # guards against a replica that receives nothing for good
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And "b" can't be paused
    And the failover lease is held and the assignment is settled
    When "c" sends no more heartbeats
    And all controllers are restarted
    And the controllers run for 3000 ms
    And "a" is unreachable to the controllers
    And "a" is suspected
    And the controllers run for 400 ms
    And "a" is reachable to the controllers
    And the controllers run for 3000 ms
    Then each paused replica was resumed, after the assignment was confirmed by a write
    And the promotions requested were "none"

  Scenario: A replica that was taken for exited while it was unreachable counts for the fence if it answers
    # guards against a successor that lacks commits of a leaving replica that was cut off from the controllers for a while
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And 0 of 2 other controllers reach the backend
    And the failover lease is held and the assignment is settled
    When "c" deregisters, and keeps serving
    And "c" is unreachable to the controllers
    And the controllers run for 2000 ms
    Then the deregistration of "c" is settled: yes
    When "c" is reachable to the controllers
    And "b" receives nothing any more
    And the controllers run for 300 ms
    And "a" crashes
    And "a" is suspected
    And the controllers run for 3000 ms
    Then no acknowledged commit is lost
    And "c" is primary and the assignment is settled within 1000 ms

  Scenario: A paused replica that restarted, confirmed commits and is unreachable is waited for
    # guards against a successor that lacks commits of a replica whose pause has ended, since it counts as paused
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" is unreachable to the controllers
    And "a" is suspected
    And the replicas are paused
    And "c" restarts, which ends its pause
    And "c" is unreachable to the controllers
    And the controllers run for 14000 ms
    Then the promotions requested were "none"
    When "c" is reachable to the controllers
    Then "c" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A backend that returned under another name at its address counts once
    # guards against a service without a primary, since the old name is waited for
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And the failover lease is held and the assignment is settled
    When "b" receives nothing any more
    And the controllers run for 100 ms
    And "c" crashes, and returns as "d" at its address with its log
    And "a" crashes
    And "a" is suspected
    Then "d" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A failover that all controllers' restart interrupted does not wait for the primary that it replaces
    # guards against a service without a primary, since the replaced one, which nobody has heard since, counts as a replica
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that do not answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    And the assignment is moving
    And all controllers are restarted
    Then "b" is primary and the assignment is settled within 8000 ms
    And no acknowledged commit is lost

  Scenario: A replica that left, was unreachable, and answers that it is busy is waited for
    # guards against a successor that lacks commits of a replica that can be reached, but not paused
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And 0 of 2 other controllers reach the backend
    And the failover lease is held and the assignment is settled
    When "c" deregisters, and keeps serving
    And "c" is unreachable to the controllers
    And the controllers run for 2000 ms
    And "c" is reachable to the controllers
    And "c" can't be paused
    And "b" receives nothing any more
    And the controllers run for 300 ms
    And "a" crashes
    And "a" is suspected
    And the controllers run for 3000 ms
    Then the promotions requested were "none"

  Scenario: An old primary that returns while another backend's promotion is under way serves only once it is promoted
    # guards against commits acknowledged by a primary that a promotion under way replaces
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    And the promotion of "b" is requested
    And "b" deregisters, and keeps serving
    And "a" is restarted
    And the controllers run for 5000 ms
    Then the settled primary is the one that was promoted last
    And no acknowledged commit is lost

  Scenario: An old primary that returns while the successor is unreachable serves only once it is promoted
    # guards against commits acknowledged by a primary that a promotion under way replaces
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    And the promotion of "b" is requested
    And "b" is unreachable to the controllers
    And "a" is restarted
    And the controllers run for 5000 ms
    Then the settled primary is the one that was promoted last
    And no acknowledged commit is lost

  Scenario: A primary that returns under another name at its address serves again in its term
    # guards against a service without a primary for good, since the returned one is counted as a replica that can't be paused
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" crashes, and returns as primary "d" at its address
    And "a" is suspected
    Then "d" is primary and the assignment is settled within 4000 ms
    And the assignments written were "settled a 3, moving d 3, settled d 3"
    And no acknowledged commit is lost
    And commits are acknowledged again
    And exactly one backend is primary, and no replica is paused
    And no controller has crashed

  Scenario: A primary that returned under another name before all controllers were restarted serves again
    # guards against a service without a primary, since nobody remembers the address of the assigned one
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And "c" can't be paused
    And the failover lease is held and the assignment is settled
    When "a" crashes, and returns as primary "d" at its address
    And the controllers run for 500 ms
    And all controllers are restarted
    Then "d" is primary and the assignment is settled within 12000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again

  Scenario: A primary that returns under another name after replicas were paused serves again, and they are resumed
    # guards against replicas that stay paused, where the fence was not complete when the primary returned
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And "b" can't be paused
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    And the replicas are paused
    And "a" returns as primary "d" at its address
    Then "d" is primary and the assignment is settled within 4000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And exactly one backend is primary, and no replica is paused

  Scenario: A primary that returns under another name at another address is replaced
    # guards against a service without a primary for good, since the returned one can't be paused
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that answer notices of an assignment, and acknowledge commits by their views
    And the failover lease is held and the assignment is settled
    When "a" crashes, and returns as primary "d" at another address
    And "a" is suspected
    Then the assignment is settled on another backend within 6000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And exactly one backend is primary, and no replica is paused

  Scenario Outline: A primary that returns under another name while it is being replaced does not block its replacement: <answer>
    # guards against a service without a primary for good, since the returned one can't be paused before the promotion
    Given a service with primary "a", replicas "b, c" and 1 required confirmations
    And proxies that <answer> notices of an assignment, and acknowledge commits by their views
    And proxies report positions 5 beyond what was confirmed
    And the failover lease is held and the assignment is settled
    When "a" crashes
    And "a" is suspected
    And the assignment is moving
    And "a" returns as primary "d" at its address
    Then the assignment is settled on another backend within 6000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And exactly one backend is primary, and no replica is paused

    Examples:
      | answer        |
      | answer        |
      | do not answer |
