Feature: Which backend a statement may go to

  Scenario: Reads go to the nearest copies first, the primary in its turn by nearness
    Given a proxy, where "a" leads and "b, c" are copies, all at 3.5
    And "b" stands 3 away
    Then reads may go to "c, a, b"
    Given "c" stands 1 away
    Then reads may go to "a, c, b"

  Scenario: A primary with much to do comes last, and one with too much not at all
    Given a proxy, where "a" leads and "b, c" are copies, all at 3.5
    When 3 links of "a" are taken
    Then reads may go to "c, b, a"

  Scenario: A copy in trouble comes last
    Given a proxy, where "a" leads and "b, c" are copies, all at 3.5
    When "c" is in trouble
    Then reads may go to "b, a, c"

  Scenario: A busy copy gives way to one as near
    Given a proxy, where "a" leads and "b, c" are copies, all at 3.5
    And "a" stands 3 away
    When 1 links of "b" are taken
    Then reads may go to "c, b, a"

  Scenario: Nobody surely leads while this proxy is out of touch, and copies may still be read
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    Then the surely leading primary is "a"
    When the proxy has been out of touch for 800 ms
    Then the surely leading primary is "a"
    When the proxy has been out of touch for 300 ms
    Then the surely leading primary is "notCurrent"
    And reads may go to "b"

  Scenario: Nobody surely leads while the lead closes or moves
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    When the lead is closing
    Then the surely leading primary is "moving"
    When the lead moves to "b" at 3.5, to be ready in 500 ms
    Then the surely leading primary is "moving"

  Scenario Outline: The position that a guarded read needs
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    And the primary's position was asked for <ago> ms ago
    Then a guarded read of <sort> routes with <age> ms of age, whose session is at <own>, needs "<needs>"

    Examples: a margin of 60 ms
      | ago | sort    | age  | own | needs    |
      | 100 | bounded | 500  | -   | 3.5      |
      | 400 | bounded | 500  | -   | 3.5      |
      | 450 | bounded | 500  | -   | tooStale |
      | 100 | session | 500  | 3.9 | 3.9      |
      | 100 | session | 500  | 3.2 | 3.5      |
      | 100 | bounded | 0    | -   | tooStale |

  Scenario: What a move's fence cuts off is needed no more
    Given a proxy, where "a" leads and "b" are copies, all at 3.9
    And the primary's position was asked for 10 ms ago
    When the lead moves to "b" at 3.6, to be ready in 500 ms
    And the router tends for 100 ms
    Then a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "3.6"

  Scenario: A position is asked for only where reads want one
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    When the router tends for 3000 ms
    Then "state" were not sent to "a"
    And a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "tooStale"
    When the router tends for 500 ms
    Then a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "3.5"

  Scenario: Reads that may be older let a position be asked for later
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    And the primary's position was asked for 0 ms ago
    Then a guarded read of bounded routes with 3000 ms of age, whose session is at -, needs "3.5"
    When the router tends for 2200 ms
    Then "state" were not sent to "a"
    When the router tends for 400 ms
    Then "a" was sent "state"

  Scenario: The route that allows the least age says when a position is asked for
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    And the primary's position was asked for 0 ms ago
    Then a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "3.5"
    And a guarded read of bounded routes with 3000 ms of age, whose session is at -, needs "3.5"
    When the router tends for 500 ms
    Then "state" were not sent to "a"
    When the router tends for 300 ms
    Then "a" was sent "state"

  Scenario: What another proxy was shown will do, and the primary is not asked
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    Then a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "tooStale"
    When for 3000 ms the controller tells of 3.6 under term 3 each 300 ms
    Then "state" were not sent to "a"
    And a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "3.6"

  Scenario: The proxy that its controller sends asks the primary, and tells
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    And the primary's position was asked for 400 ms ago
    When the controller sends this proxy to the primary
    Then "state" were not sent to "a"
    When 200 ms pass
    And the controller sends this proxy to the primary
    Then "a" was sent "state"
    And it has 3.5 to tell

  Scenario: What a move's fence cuts off is neither told nor taken from others
    Given a proxy, where "a" leads and "b" are copies, all at 3.9
    And the primary's position was asked for 10 ms ago
    Then it has 3.9 to tell
    When the lead moves to "b" at 3.6, to be ready in 500 ms
    Then it has nothing to tell
    When the controller tells of 3.8 under term 3
    And the controller tells of 3.8 under term 4
    And the router tends for 100 ms
    Then a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "3.6"
    When the lead settles on "b" after 10 ms
    And 100 ms pass
    And the controller tells of 3.8 under term 3
    Then it has nothing to tell
    And a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "3.6"
    When the controller tells of 4.1 under term 4
    Then a guarded read of bounded routes with 70 ms of age, whose session is at -, needs "4.1"

  Scenario: An answer that outlasts a move of the lead to the same backend is not told
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    And "a" answers "slow 200"
    When the client begins to ask "PUT 1 x"
    And 100 ms pass
    And the lead moves to "a" at 3.5, to be ready in 500 ms
    And the lead settles on "a" after 10 ms
    And 200 ms pass
    Then it has nothing to tell

  Scenario: A position that an old primary shows while the lead moves counts for nothing
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    When the lead moves to "b" at 3.5, to be ready in 500 ms
    And the client asks "FETCH 1"
    Then "FETCH 1" were not sent to "a"
    And a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "tooStale"

  Scenario: A position from before a move of the lead to the same backend counts for nothing
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    And "a" answers "slow 200"
    When the client begins to ask "PUT 1 x"
    And 100 ms pass
    And the lead moves to "a" at 3.2, to be ready in 500 ms
    And 200 ms pass
    Then the client was told "done I"
    And a guarded read of bounded routes with 900 ms of age, whose session is at -, needs "tooStale"

  Scenario Outline: All proxies together keep within a backend's cap
    Given a proxy, where "a" leads and "b, c" are copies, all at 3.5
    Then with <cap> links for each backend and <proxies> proxies all limits stay within the cap, control links apart

    Examples:
      | cap | proxies |
      | 40  | 1      |
      | 40  | 7      |
      | 26  | 20     |

  Scenario: A proxy without a number takes no more than it will have
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    Then with 40 links and 6 proxies, one more without a number takes no larger part than it will have

  Scenario Outline: With fewer links than proxies each keeps links to one copy, and no copy more than there are
    Given a proxy, where "a" leads and "b, c" are copies, all at 3.5
    Then with <cap> links for each backend and <proxies> proxies each keeps links to <kept> copy, at most <most> to one

    Examples: of 55 links 6 are for control
      | cap | proxies | kept | most |
      | 55  | 80     | 1    | 45   |
      | 46  | 80     | 1    | 40   |
      | 16  | 12     | 1    | 6    |

  Scenario: A proxy without an id keeps no link where they are fewer than proxies
    Given a proxy, where "a" leads and "b, c" are copies, all at 3.5
    Then with 16 links for each backend and 12 proxies one without an id keeps links to 0 copies

  Scenario: A copy that empties gets nothing new, and is open again when it says so
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    When "b" says that it is emptying
    Then "b" is open to new statements: no
    And reads may go to "a"
    When "b" says that it is ready
    Then "b" is open to new statements: yes

  Scenario: A primary that empties serves on until its place is taken, or for 5 s
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    When "a" says that it is emptying
    Then "a" is open to new statements: yes
    When the router tends for 4800 ms
    Then "a" is open to new statements: yes
    When the router tends for 500 ms
    Then "a" is open to new statements: no

  Scenario Outline: A primary that has <drain> ms to empty is served for <served> ms
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    And backends have <drain> ms to empty
    When "a" says that it is emptying
    And the router tends for <served> ms
    Then "a" is open to new statements: yes
    When the router tends for 300 ms
    Then "a" is open to new statements: no

    Examples:
      | drain | served |
      | 7000  | 4900   |
      | 3500  | 1700   |
      | 2000  | 900    |

  Scenario: A primary that empties is shut as soon as another has its place
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    When "a" says that it is emptying
    And the lead moves to "b" at 3.5, to be ready in 500 ms
    Then "a" is open to new statements: no

  Scenario: A backend that is gone is forgotten
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    When "b" says that it is gone
    Then "b" is open to new statements: no
    And reads may go to "a"

  Scenario: With fewer links than proxies all parts add up to the cap, and who has none knows who has some
    Given a proxy, where "a" leads and "b" are copies, all at 3.5
    Then with 16 links for each backend and 30 proxies that can be reached the parts add up to 10, and all others know the holders

  Scenario: What is dealt anew is taken when whoever held it must have heard, and given back at once
    Given a proxy that can be reached, one of 12 before "a", which takes 10 links
    Then it may hold its part of "a"
    When the ids are dealt anew, so that it may hold more
    Then it may hold what it held
    When the router tends for 1400 ms
    Then it may hold what it held
    When the router tends for 200 ms
    Then it may hold its part of "a"
    When the ids are dealt anew, so that it may hold less
    Then it may hold its part of "a"

  Scenario: Where nobody says where proxies are, links are lent after a while
    Given a proxy that can be reached, one of 12 before "a", which takes 10 links
    And no table of places
    Then it may hold 0 links to "a"
    When the router tends for 10200 ms
    Then it may hold 1 links to "a"

  Scenario: Before any ids are dealt a proxy that can be reached holds nothing
    Given a proxy that can be reached, one of 0 before "a", which takes 10 links
    Then it may hold 0 links to "a"
