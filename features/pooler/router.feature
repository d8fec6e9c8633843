Feature: Routing of statements to backends, and link limits

  Scenario: Read candidates are ordered by distance, an idle primary included
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    And "b" is at distance 3
    Then the read candidates are "c, a, b"
    Given "c" is at distance 1
    Then the read candidates are "a, c, b"

  Scenario: A primary with 3 borrowed links is the last read candidate
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    When 3 links of "a" are borrowed
    Then the read candidates are "c, b, a"

  Scenario: A failing replica is the last read candidate
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    When a failure of "c" is reported
    Then the read candidates are "b, a, c"

  Scenario: Of equally near replicas the one with less load comes first
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    And "a" is at distance 3
    When 1 links of "b" are borrowed
    Then the read candidates are "c, b, a"

  Scenario: Once the view has expired no primary is confirmed, but replicas can be read
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    Then confirming the primary returns "a"
    When the proxy has received no relay answer for 800 ms
    Then confirming the primary returns "a"
    When the proxy has received no relay answer for 300 ms
    Then confirming the primary returns "notCurrent"
    And the read candidates are "b"

  Scenario: No primary is confirmed while its assignment is closing or a promotion runs
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When the primary's assignment is closing
    Then confirming the primary returns "moving"
    When a promotion of "b" with fence 3.5 starts, expected to end in 500 ms
    Then confirming the primary returns "moving"

  Scenario Outline: The position that a read requires, by consistency, maximum age and last commit
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And the primary's position was sampled <sampled> ms ago
    Then a read with <consistency> consistency, maximum age <age> ms and last commit <last_commit> requires "<required>"

    Examples: a sample expires 60 ms before the maximum age
      | sampled | consistency | age | last_commit | required |
      | 100     | bounded     | 500 | -           | 3.5      |
      | 400     | bounded     | 500 | -           | 3.5      |
      | 450     | bounded     | 500 | -           | tooStale |
      | 100     | session     | 500 | 3.9         | 3.9      |
      | 100     | session     | 500 | 3.2         | 3.5      |
      | 100     | bounded     | 0   | -           | tooStale |

  Scenario: A promotion's fence lowers the required position
    Given a proxy of a service with primary "a" and replicas "b", all at 3.9
    And the primary's position was sampled 10 ms ago
    When a promotion of "b" with fence 3.6 starts, expected to end in 500 ms
    And the router's timer runs for 100 ms
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "3.6"

  Scenario: The primary's position is requested only after a read needed it
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When the router's timer runs for 3000 ms
    Then none of "state" was sent to "a"
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "tooStale"
    When the router's timer runs for 500 ms
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "3.5"

  Scenario: A greater maximum age delays the next request for the position
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And the primary's position was sampled 0 ms ago
    Then a read with bounded consistency, maximum age 3000 ms and last commit - requires "3.5"
    When the router's timer runs for 2200 ms
    Then none of "state" was sent to "a"
    When the router's timer runs for 400 ms
    Then "a" was sent "state"

  Scenario: The smallest maximum age determines when the position is requested
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And the primary's position was sampled 0 ms ago
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "3.5"
    And a read with bounded consistency, maximum age 3000 ms and last commit - requires "3.5"
    When the router's timer runs for 500 ms
    Then none of "state" was sent to "a"
    When the router's timer runs for 300 ms
    Then "a" was sent "state"

  Scenario: While samples of other proxies are relayed the primary is not asked
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "tooStale"
    When the controller relays a sample of 3.6 in term 3 every 300 ms for 3000 ms
    Then none of "state" was sent to "a"
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "3.6"

  Scenario: At the controller's request the proxy samples the primary, unless a sample is recent
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And the primary's position was sampled 400 ms ago
    When the controller asks this proxy to sample the primary
    Then none of "state" was sent to "a"
    When 200 ms pass
    And the controller asks this proxy to sample the primary
    Then "a" was sent "state"
    And the samples to report are 3.5

  Scenario: Samples past a promotion's fence are neither reported nor accepted
    Given a proxy of a service with primary "a" and replicas "b", all at 3.9
    And the primary's position was sampled 10 ms ago
    Then the samples to report are 3.9
    When a promotion of "b" with fence 3.6 starts, expected to end in 500 ms
    Then the samples to report are none
    When the controller relays a sample of 3.8 in term 3
    And the controller relays a sample of 3.8 in term 4
    And the router's timer runs for 100 ms
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "3.6"
    When the promotion of "b" ends after 10 ms
    And 100 ms pass
    And the controller relays a sample of 3.8 in term 3
    Then the samples to report are none
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "3.6"
    When the controller relays a sample of 4.1 in term 4
    Then a read with bounded consistency, maximum age 70 ms and last commit - requires "4.1"

  Scenario: A position requested before a promotion of the same backend is not reported after it
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And "a" answers "slow 200"
    When the client starts "PUT 1 x"
    And 100 ms pass
    And a promotion of "a" with fence 3.5 starts, expected to end in 500 ms
    And the promotion of "a" ends after 10 ms
    And 200 ms pass
    Then the samples to report are none

  Scenario: The former primary's position is not used during a promotion
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When a promotion of "b" with fence 3.5 starts, expected to end in 500 ms
    And the client runs "FETCH 1"
    Then none of "FETCH 1" was sent to "a"
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "tooStale"

  Scenario: A position requested before a promotion of the same backend is not used during it
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And "a" answers "slow 200"
    When the client starts "PUT 1 x"
    And 100 ms pass
    And a promotion of "a" with fence 3.2 starts, expected to end in 500 ms
    And 200 ms pass
    Then the client's replies are "outcomeUnknown I"
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "tooStale"

  Scenario Outline: The limits of all proxies add up to the backend's cap
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    Then with a cap of <cap> links and <proxies> proxies all limits add up to the cap less the control links

    Examples:
      | cap | proxies |
      | 40  | 1       |
      | 40  | 7       |
      | 26  | 20      |

  Scenario: A proxy without an id gets no larger limit than it will have with one
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    Then with a cap of 40 links and 6 proxies, one more without an id gets no larger limit than with one

  Scenario Outline: With fewer links than proxies each proxy keeps links to one replica, within the cap
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    Then with a cap of <cap> links and <proxies> proxies each keeps links to <kept> replica, at most <most> to the same

    Examples: 6 links of each cap are control links
      | cap | proxies | kept | most |
      | 55  | 80      | 1    | 45   |
      | 46  | 80      | 1    | 40   |
      | 16  | 12      | 1    | 6    |

  Scenario: With fewer links than proxies a proxy without an id keeps no link
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    Then with a cap of 16 links and 12 proxies one without an id keeps links to 0 replicas

  Scenario: A draining replica gets no new statements until it announces that it is ready
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When "b" announces that it is draining
    Then "b" accepts new statements: no
    And the read candidates are "a"
    When "b" announces that it is ready
    Then "b" accepts new statements: yes

  Scenario: A draining primary accepts statements for 5 s if no replica is promoted
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When "a" announces that it is draining
    Then "a" accepts new statements: yes
    When the router's timer runs for 4800 ms
    Then "a" accepts new statements: yes
    When the router's timer runs for 500 ms
    Then "a" accepts new statements: no

  Scenario Outline: With a drain time of <drain> ms a draining primary is used for <served> ms
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And backends have a drain time of <drain> ms
    When "a" announces that it is draining
    And the router's timer runs for <served> ms
    Then "a" accepts new statements: yes
    When the router's timer runs for 300 ms
    Then "a" accepts new statements: no

    Examples:
      | drain | served |
      | 7000  | 4900   |
      | 3500  | 1700   |
      | 2000  | 900    |

  Scenario: A draining primary accepts no statements once a promotion starts
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When "a" announces that it is draining
    And a promotion of "b" with fence 3.5 starts, expected to end in 500 ms
    Then "a" accepts new statements: no

  Scenario: A deregistered backend is removed from the read candidates
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When "b" announces that it is deregistered
    Then "b" accepts new statements: no
    And the read candidates are "a"

  Scenario: With fewer links than proxies the limits add up to the cap, and all proxies know the holders
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    Then with a cap of 16 links and 30 reachable proxies the limits add up to 10, and each proxy knows all other holders

  Scenario: After a reassignment of ids a limit rises after a delay and falls at once
    Given a reachable proxy, one of 12 that share 10 links to "a"
    Then its limit for "a" is its allocated share
    When the ids are reassigned so that its share becomes larger
    Then its limit for "a" is unchanged
    When the router's timer runs for 1400 ms
    Then its limit for "a" is unchanged
    When the router's timer runs for 200 ms
    Then its limit for "a" is its allocated share
    When the ids are reassigned so that its share becomes smaller
    Then its limit for "a" is its allocated share

  Scenario: Without published proxy addresses a proxy gets a limit after 10 s
    Given a reachable proxy, one of 12 that share 10 links to "a"
    And no proxy addresses are published
    Then its limit for "a" is 0
    When the router's timer runs for 10200 ms
    Then its limit for "a" is 1

  Scenario: Before ids are assigned a reachable proxy has no links
    Given a reachable proxy, one of 0 that share 10 links to "a"
    Then its limit for "a" is 0
