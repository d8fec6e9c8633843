Feature: Dense, stable ids for proxies

  Scenario: Whoever asks any controller is dealt an id, all in one write
    Given 3 controllers that keep slots
    And "b1, b2" ask core-1
    And "b3" ask core-2
    When 8 s pass at the keepers
    Then the slots are "0 b1, 1 b2, 2 b3"
    And they were written 1 times

  Scenario: One that comes later gets the lowest that is free, and nobody else's changes
    Given 2 controllers that keep slots
    And "b1, b2, b3" ask core-1
    When 8 s pass at the keepers
    And "b2" are silent from now on
    And 29 s pass at the keepers
    Then the slots are "0 b1, 1 b2, 2 b3"
    When 5 s pass at the keepers
    Then the slots are "0 b1, 2 b3"
    When "a9" ask core-2
    And 5 s pass at the keepers
    Then the slots are "0 b1, 1 a9, 2 b3"

  Scenario: One that is back within its time of grace keeps its id
    Given 2 controllers that keep slots
    And "b1, b2" ask core-1
    When 8 s pass at the keepers
    And "b1" are silent from now on
    And 25 s pass at the keepers
    And "b1" ask core-2
    And 40 s pass at the keepers
    Then the slots are "0 b1, 1 b2"
    And they were written 1 times

  Scenario: Who takes the duty frees nobody whom it has only not heard of yet
    Given 3 controllers that keep slots
    And "b1" ask core-1
    And "b2" ask core-2
    And "b3" ask core-3
    When 8 s pass at the keepers
    And the keeper that holds the duty dies, and its proxies find another after 20 s
    And 45 s pass at the keepers
    Then the slots are "0 b1, 1 b2, 2 b3"
    And they were written 1 times

  Scenario: Whoever holds a duty knows which word all other controllers have
    Given 3 controllers that keep slots
    And core-1 knows turn 4 and phase 2 of the shard map
    And core-2 knows turn 4 and phase 2 of the shard map
    And core-3 knows turn 4 and phase 1 of the shard map
    Then core-1 takes all others for told of turn 4 and phase 2: no
    When core-3 knows turn 4 and phase 2 of the shard map
    Then core-1 takes all others for told of turn 4 and phase 2: yes
    And core-1 takes all others for told of turn 5 and phase 2: no

  Scenario: A controller that answers nobody has been told nothing
    Given 3 controllers that keep slots
    And core-1 knows turn 4 and phase 2 of the shard map
    And core-2 knows turn 4 and phase 2 of the shard map
    When core-3 answers nobody
    Then core-1 takes all others for told of turn 4 and phase 2: no

  Scenario: A keeper tells its neighbours whom it sees, and how they vote
    Given 1 controllers that keep slots
    Then a keeper that is asked tells how long ago it saw each proxy

  Scenario: Where a proxy is stands in a table beside the ids, whichever controller it told
    Given 2 controllers that keep slots
    And "b1, b2" ask core-1
    And "b1" tells core-1 that it is in "north" at "10.0.0.1:5"
    And "b2" tells core-2 that it is in "south" at "10.0.0.2:5"
    When 8 s pass at the keepers
    Then the places are "b1 north 10.0.0.1:5, b2 south 10.0.0.2:5"
    When "b1" tells core-2 that it is in "north" at "10.0.0.9:5"
    And 8 s pass at the keepers
    Then the places are "b1 north 10.0.0.9:5, b2 south 10.0.0.2:5"

  Scenario: A place is written once, and stays while its proxy has an id
    Given 2 controllers that keep slots
    And "b1, b2" ask core-1
    And "b1" tells core-1 that it is in "north" at "10.0.0.1:5"
    When 20 s pass at the keepers
    Then the places are "b1 north 10.0.0.1:5"
    And places were written 1 times
    When "b1" are silent from now on
    And 34 s pass at the keepers
    And "b2" tells core-1 that it is in "south" at "10.0.0.2:5"
    And 8 s pass at the keepers
    Then the places are "b2 south 10.0.0.2:5"

  Scenario: Who told of no place, or has no id, is in no table of places
    Given 1 controllers that keep slots
    And "b1" ask core-1
    And "b7" tells core-1 that it is in "north" at "10.0.0.7:5"
    When 8 s pass at the keepers
    Then the places are "none"
