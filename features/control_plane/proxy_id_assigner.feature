Feature: Assignment of dense, stable proxy ids

  Scenario: Proxies that ask different controllers get their ids in one write
    Given 3 controllers that assign proxy ids
    And proxies "b1, b2" ask core-1
    And proxies "b3" ask core-2
    When 8 s pass at the controllers
    Then the proxy ids are "0 b1, 1 b2, 2 b3"
    And the proxy ids were written 1 times

  Scenario: A new proxy gets the lowest free id, and the other ids stay
    Given 2 controllers that assign proxy ids
    And proxies "b1, b2, b3" ask core-1
    When 8 s pass at the controllers
    And proxies "b2" stop asking
    And 29 s pass at the controllers
    Then the proxy ids are "0 b1, 1 b2, 2 b3"
    When 5 s pass at the controllers
    Then the proxy ids are "0 b1, 2 b3"
    When proxies "a9" ask core-2
    And 5 s pass at the controllers
    Then the proxy ids are "0 b1, 1 a9, 2 b3"

  Scenario: A proxy that returns within its grace period keeps its id
    Given 2 controllers that assign proxy ids
    And proxies "b1, b2" ask core-1
    When 8 s pass at the controllers
    And proxies "b1" stop asking
    And 25 s pass at the controllers
    And proxies "b1" ask core-2
    And 40 s pass at the controllers
    Then the proxy ids are "0 b1, 1 b2"
    And the proxy ids were written 1 times

  Scenario: A new lease holder frees no ids of proxies that asked only other controllers
    Given 3 controllers that assign proxy ids
    And proxies "b1" ask core-1
    And proxies "b2" ask core-2
    And proxies "b3" ask core-3
    When 8 s pass at the controllers
    And the lease holder crashes, and its proxies switch to another controller after 20 s
    And 45 s pass at the controllers
    Then the proxy ids are "0 b1, 1 b2, 2 b3"
    And the proxy ids were written 1 times

  Scenario: A controller learns which step of the shard map change its peers have reached
    Given 3 controllers that assign proxy ids
    And core-1 has reached proposal 4 and phase 2 of the shard map
    And core-2 has reached proposal 4 and phase 2 of the shard map
    And core-3 has reached proposal 4 and phase 1 of the shard map
    Then core-1 finds all peers at proposal 4 and phase 2: no
    When core-3 has reached proposal 4 and phase 2 of the shard map
    Then core-1 finds all peers at proposal 4 and phase 2: yes
    And core-1 finds all peers at proposal 5 and phase 2: no

  Scenario: A peer that does not answer counts as not having reached the step
    Given 3 controllers that assign proxy ids
    And core-1 has reached proposal 4 and phase 2 of the shard map
    And core-2 has reached proposal 4 and phase 2 of the shard map
    When core-3 stops answering
    Then core-1 finds all peers at proposal 4 and phase 2: no

  Scenario: A controller reports to its peers which proxies ask it, and their votes
    Given 1 controllers that assign proxy ids
    Then a controller reports the age of each proxy's last question and its vote

  Scenario: The address table lists each proxy with an id, whichever controller got its address
    Given 2 controllers that assign proxy ids
    And proxies "b1, b2" ask core-1
    And "b1" reports to core-1 its address in "north" as "10.0.0.1:5"
    And "b2" reports to core-2 its address in "south" as "10.0.0.2:5"
    When 8 s pass at the controllers
    Then the proxy addresses are "b1 north 10.0.0.1:5, b2 south 10.0.0.2:5"
    When "b1" reports to core-2 its address in "north" as "10.0.0.9:5"
    And 8 s pass at the controllers
    Then the proxy addresses are "b1 north 10.0.0.9:5, b2 south 10.0.0.2:5"

  Scenario: An address is written once and removed when its proxy loses its id
    Given 2 controllers that assign proxy ids
    And proxies "b1, b2" ask core-1
    And "b1" reports to core-1 its address in "north" as "10.0.0.1:5"
    When 20 s pass at the controllers
    Then the proxy addresses are "b1 north 10.0.0.1:5"
    And the proxy addresses were written 1 times
    When proxies "b1" stop asking
    And 34 s pass at the controllers
    And "b2" reports to core-1 its address in "south" as "10.0.0.2:5"
    And 8 s pass at the controllers
    Then the proxy addresses are "b2 south 10.0.0.2:5"

  Scenario: The address table omits proxies without a reported address or without an id
    Given 1 controllers that assign proxy ids
    And proxies "b1" ask core-1
    And "b7" reports to core-1 its address in "north" as "10.0.0.7:5"
    When 8 s pass at the controllers
    Then the proxy addresses are "none"
