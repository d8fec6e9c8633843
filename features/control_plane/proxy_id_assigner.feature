Feature: Dense, stable ids for proxies

  Scenario: Proxies that ask any controller are assigned ids, all in one write
    Given 3 controllers that assign proxy ids
    And "b1, b2" ask core-1
    And "b3" ask core-2
    When 8 s pass at the controllers
    Then the proxy ids are "0 b1, 1 b2, 2 b3"
    And the proxy ids were written 1 times

  Scenario: A new proxy gets the lowest free id, and no other id changes
    Given 2 controllers that assign proxy ids
    And "b1, b2, b3" ask core-1
    When 8 s pass at the controllers
    And "b2" are silent from now on
    And 29 s pass at the controllers
    Then the proxy ids are "0 b1, 1 b2, 2 b3"
    When 5 s pass at the controllers
    Then the proxy ids are "0 b1, 2 b3"
    When "a9" ask core-2
    And 5 s pass at the controllers
    Then the proxy ids are "0 b1, 1 a9, 2 b3"

  Scenario: A proxy that returns within its grace period keeps its id
    Given 2 controllers that assign proxy ids
    And "b1, b2" ask core-1
    When 8 s pass at the controllers
    And "b1" are silent from now on
    And 25 s pass at the controllers
    And "b1" ask core-2
    And 40 s pass at the controllers
    Then the proxy ids are "0 b1, 1 b2"
    And the proxy ids were written 1 times

  Scenario: A new holder of the lease frees no id of a proxy that it has not heard of yet
    Given 3 controllers that assign proxy ids
    And "b1" ask core-1
    And "b2" ask core-2
    And "b3" ask core-3
    When 8 s pass at the controllers
    And the controller that holds the lease dies, and its proxies find another after 20 s
    And 45 s pass at the controllers
    Then the proxy ids are "0 b1, 1 b2, 2 b3"
    And the proxy ids were written 1 times

  Scenario: A controller knows which step of the shard map the others have reached
    Given 3 controllers that assign proxy ids
    And core-1 knows proposal 4 and phase 2 of the shard map
    And core-2 knows proposal 4 and phase 2 of the shard map
    And core-3 knows proposal 4 and phase 1 of the shard map
    Then core-1 knows that all others are at proposal 4 and phase 2: no
    When core-3 knows proposal 4 and phase 2 of the shard map
    Then core-1 knows that all others are at proposal 4 and phase 2: yes
    And core-1 knows that all others are at proposal 5 and phase 2: no

  Scenario: A controller that does not answer has reached no step
    Given 3 controllers that assign proxy ids
    And core-1 knows proposal 4 and phase 2 of the shard map
    And core-2 knows proposal 4 and phase 2 of the shard map
    When core-3 answers nobody
    Then core-1 knows that all others are at proposal 4 and phase 2: no

  Scenario: A controller tells the others which proxies ask it, and how they vote
    Given 1 controllers that assign proxy ids
    Then a controller that is asked says how long ago each proxy asked it, and its vote

  Scenario: A proxy's address is kept beside its id, whichever controller it was reported to
    Given 2 controllers that assign proxy ids
    And "b1, b2" ask core-1
    And "b1" reports to core-1 that it is in "north" at "10.0.0.1:5"
    And "b2" reports to core-2 that it is in "south" at "10.0.0.2:5"
    When 8 s pass at the controllers
    Then the proxy addresses are "b1 north 10.0.0.1:5, b2 south 10.0.0.2:5"
    When "b1" reports to core-2 that it is in "north" at "10.0.0.9:5"
    And 8 s pass at the controllers
    Then the proxy addresses are "b1 north 10.0.0.9:5, b2 south 10.0.0.2:5"

  Scenario: An address is written once, and stays while its proxy has an id
    Given 2 controllers that assign proxy ids
    And "b1, b2" ask core-1
    And "b1" reports to core-1 that it is in "north" at "10.0.0.1:5"
    When 20 s pass at the controllers
    Then the proxy addresses are "b1 north 10.0.0.1:5"
    And the proxy addresses were written 1 times
    When "b1" are silent from now on
    And 34 s pass at the controllers
    And "b2" reports to core-1 that it is in "south" at "10.0.0.2:5"
    And 8 s pass at the controllers
    Then the proxy addresses are "b2 south 10.0.0.2:5"

  Scenario: A proxy without a reported address or without an id has no address in the table
    Given 1 controllers that assign proxy ids
    And "b1" ask core-1
    And "b7" reports to core-1 that it is in "north" at "10.0.0.7:5"
    When 8 s pass at the controllers
    Then the proxy addresses are "none"
