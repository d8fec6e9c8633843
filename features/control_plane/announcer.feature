Feature: A leaving backend's state is acknowledged once a majority of the voters holds it

  Background:
    Given an announcer with the voters v1, v2 and v3

  Scenario Outline: With the reachable voters <reachable> the announcement is <answer>
    Given the reachable voters are <reachable>
    When srv-1 announces that it is emptying
    Then the announcement is <answer>
    And <received> voters received that srv-1 is emptying
    And the heartbeat table lists srv-1 as emptying

    Examples:
      | reachable    | answer           | received |
      | v1, v2, v3   | acknowledged     | 3        |
      | v1, v3       | acknowledged     | 2        |
      | v1           | not acknowledged | 1        |
      | none         | not acknowledged | 0        |

  Scenario: Without a known roster no announcement is acknowledged
    Given no roster is known
    When srv-1 announces that it is emptying
    Then the announcement is not acknowledged

  Scenario: A state that a majority holds is not sent again with later heartbeats
    Given the reachable voters are v1, v2, v3
    When srv-1 announces that it is emptying
    And srv-1 announces that it is emptying
    Then the announcement is acknowledged
    And 3 voters received that srv-1 is emptying

  Scenario: A state that no majority acknowledged is sent again with the next heartbeat
    Given the reachable voters are v1
    When srv-1 announces that it is emptying
    Given the reachable voters are v1, v2
    When srv-1 announces that it is emptying
    Then the announcement is acknowledged

  Scenario: Deregistering a backend that this controller knows keeps its service
    Given the reachable voters are v1, v2, v3
    And this controller has a heartbeat of srv-1 as ready
    When srv-1 deregisters
    Then the announcement is acknowledged
    And 3 voters received that srv-1 is gone
    And the heartbeat table lists srv-1 as gone with service s1

  Scenario: Deregistering a backend that only another controller knows keeps its service
    Given the reachable voters are v1, v2, v3
    And v2 has a heartbeat of srv-1 as ready
    When srv-1 deregisters
    Then the announcement is acknowledged
    And the heartbeat table lists srv-1 as gone with service s1

  Scenario: Deregistering a backend that no controller knows replicates its name without a service
    Given the reachable voters are v1, v2, v3
    When srv-1 deregisters
    Then the announcement is acknowledged
    And the heartbeat table lists srv-1 as gone with no service

  Scenario: A deregistration that no majority acknowledged is not acknowledged, and is sent again when repeated
    Given the reachable voters are v1
    And this controller has a heartbeat of srv-1 as ready
    When srv-1 deregisters
    Then the announcement is not acknowledged
    Given the reachable voters are v1, v2
    When srv-1 deregisters
    Then the announcement is acknowledged

  Scenario: An announcement received from another controller enters the heartbeat table
    When another controller announces that srv-1 is emptying
    Then the heartbeat table lists srv-1 as emptying

  Scenario: A deregistration is acknowledged only once the register holds it
    # guards against a departure that is forgotten when all controllers are killed
    Given the reachable voters are v1, v2, v3
    And this controller has a heartbeat of srv-1 as ready
    And the register can't be written
    When srv-1 deregisters
    Then the announcement is not acknowledged

  Scenario: The departure of a backend that is only on record is recorded with its service
    Given the reachable voters are v1, v2, v3
    And srv-1 is on record, and no controller has a heartbeat of it
    When srv-1 deregisters
    Then the announcement is acknowledged
    And it is on record that srv-1 of service s1 has departed
