Feature: Which backend a statement may go to

  Scenario: Reads go to the nearest copies first, the primary in its turn by nearness
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    And "b" is at distance 3
    Then the read candidates are "c, a, b"
    Given "c" is at distance 1
    Then the read candidates are "a, c, b"

  Scenario: A primary with much to do comes last, and one with too much not at all
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    When 3 links of "a" are borrowed
    Then the read candidates are "c, b, a"

  Scenario: A copy in trouble comes last
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    When a failure of "c" is reported
    Then the read candidates are "b, a, c"

  Scenario: A busy copy gives way to one as near
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    And "a" is at distance 3
    When 1 links of "b" are borrowed
    Then the read candidates are "c, b, a"

  Scenario: Nobody surely leads while this proxy is out of touch, and copies may still be read
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    Then confirming the primary returns "a"
    When the proxy has received no relay answer for 800 ms
    Then confirming the primary returns "a"
    When the proxy has received no relay answer for 300 ms
    Then confirming the primary returns "notCurrent"
    And the read candidates are "b"

  Scenario: Nobody surely leads while the lead closes or moves
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When the primary's assignment is closing
    Then confirming the primary returns "moving"
    When a promotion of "b" with fence 3.5 starts, expected to end in 500 ms
    Then confirming the primary returns "moving"

  Scenario Outline: The position that a guarded read needs
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And the primary's position was sampled <ago> ms ago
    Then a read with <sort> consistency, maximum age <age> ms and last commit <own> requires "<needs>"

    Examples: a margin of 60 ms
      | ago | sort    | age  | own | needs    |
      | 100 | bounded | 500  | -   | 3.5      |
      | 400 | bounded | 500  | -   | 3.5      |
      | 450 | bounded | 500  | -   | tooStale |
      | 100 | session | 500  | 3.9 | 3.9      |
      | 100 | session | 500  | 3.2 | 3.5      |
      | 100 | bounded | 0    | -   | tooStale |

  Scenario: What a move's fence cuts off is needed no more
    Given a proxy of a service with primary "a" and replicas "b", all at 3.9
    And the primary's position was sampled 10 ms ago
    When a promotion of "b" with fence 3.6 starts, expected to end in 500 ms
    And the router's timer runs for 100 ms
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "3.6"

  Scenario: A position is asked for only where reads want one
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When the router's timer runs for 3000 ms
    Then none of "state" was sent to "a"
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "tooStale"
    When the router's timer runs for 500 ms
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "3.5"

  Scenario: Reads that may be older let a position be asked for later
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And the primary's position was sampled 0 ms ago
    Then a read with bounded consistency, maximum age 3000 ms and last commit - requires "3.5"
    When the router's timer runs for 2200 ms
    Then none of "state" was sent to "a"
    When the router's timer runs for 400 ms
    Then "a" was sent "state"

  Scenario: The route that allows the least age says when a position is asked for
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And the primary's position was sampled 0 ms ago
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "3.5"
    And a read with bounded consistency, maximum age 3000 ms and last commit - requires "3.5"
    When the router's timer runs for 500 ms
    Then none of "state" was sent to "a"
    When the router's timer runs for 300 ms
    Then "a" was sent "state"

  Scenario: What another proxy was shown will do, and the primary is not asked
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    Then a read with bounded consistency, maximum age 900 ms and last commit - requires "tooStale"
    When the controller relays a sample of 3.6 in term 3 every 300 ms for 3000 ms
    Then none of "state" was sent to "a"
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "3.6"

  Scenario: The proxy that its controller sends asks the primary, and tells
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And the primary's position was sampled 400 ms ago
    When the controller asks this proxy to sample the primary
    Then none of "state" was sent to "a"
    When 200 ms pass
    And the controller asks this proxy to sample the primary
    Then "a" was sent "state"
    And the samples to report are 3.5

  Scenario: What a move's fence cuts off is neither told nor taken from others
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

  Scenario: An answer that outlasts a move of the lead to the same backend is not told
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And "a" answers "slow 200"
    When the client starts "PUT 1 x"
    And 100 ms pass
    And a promotion of "a" with fence 3.5 starts, expected to end in 500 ms
    And the promotion of "a" ends after 10 ms
    And 200 ms pass
    Then the samples to report are none

  Scenario: A position that an old primary shows while the lead moves counts for nothing
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When a promotion of "b" with fence 3.5 starts, expected to end in 500 ms
    And the client runs "FETCH 1"
    Then none of "FETCH 1" was sent to "a"
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "tooStale"

  Scenario: A position from before a move of the lead to the same backend counts for nothing
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    And "a" answers "slow 200"
    When the client starts "PUT 1 x"
    And 100 ms pass
    And a promotion of "a" with fence 3.2 starts, expected to end in 500 ms
    And 200 ms pass
    Then the client's replies are "done I"
    And a read with bounded consistency, maximum age 900 ms and last commit - requires "tooStale"

  Scenario Outline: All proxies together keep within a backend's cap
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    Then with a cap of <cap> links and <proxies> proxies all limits add up to the cap less the control links

    Examples:
      | cap | proxies |
      | 40  | 1      |
      | 40  | 7      |
      | 26  | 20     |

  Scenario: A proxy without a number takes no more than it will have
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    Then with a cap of 40 links and 6 proxies, one more without an id gets no larger limit than with one

  Scenario Outline: With fewer links than proxies each keeps links to one copy, and no copy more than there are
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    Then with a cap of <cap> links and <proxies> proxies each keeps links to <kept> replica, at most <most> to the same

    Examples: of 55 links 6 are for control
      | cap | proxies | kept | most |
      | 55  | 80     | 1    | 45   |
      | 46  | 80     | 1    | 40   |
      | 16  | 12     | 1    | 6    |

  Scenario: A proxy without an id keeps no link where they are fewer than proxies
    Given a proxy of a service with primary "a" and replicas "b, c", all at 3.5
    Then with a cap of 16 links and 12 proxies one without an id keeps links to 0 replicas

  Scenario: A copy that empties gets nothing new, and is open again when it says so
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When "b" announces that it is draining
    Then "b" accepts new statements: no
    And the read candidates are "a"
    When "b" announces that it is ready
    Then "b" accepts new statements: yes

  Scenario: A primary that empties serves on until its place is taken, or for 5 s
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When "a" announces that it is draining
    Then "a" accepts new statements: yes
    When the router's timer runs for 4800 ms
    Then "a" accepts new statements: yes
    When the router's timer runs for 500 ms
    Then "a" accepts new statements: no

  Scenario Outline: A primary that has <drain> ms to empty is served for <served> ms
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

  Scenario: A primary that empties is shut as soon as another has its place
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When "a" announces that it is draining
    And a promotion of "b" with fence 3.5 starts, expected to end in 500 ms
    Then "a" accepts new statements: no

  Scenario: A backend that is gone is forgotten
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    When "b" announces that it is deregistered
    Then "b" accepts new statements: no
    And the read candidates are "a"

  Scenario: With fewer links than proxies all parts add up to the cap, and who has none knows who has some
    Given a proxy of a service with primary "a" and replicas "b", all at 3.5
    Then with a cap of 16 links and 30 reachable proxies the limits add up to 10, and each proxy knows all other holders

  Scenario: What is dealt anew is taken when whoever held it must have heard, and given back at once
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

  Scenario: Where nobody says where proxies are, links are lent after a while
    Given a reachable proxy, one of 12 that share 10 links to "a"
    And no proxy addresses are published
    Then its limit for "a" is 0
    When the router's timer runs for 10200 ms
    Then its limit for "a" is 1

  Scenario: Before any ids are dealt a proxy that can be reached holds nothing
    Given a reachable proxy, one of 0 that share 10 links to "a"
    Then its limit for "a" is 0
