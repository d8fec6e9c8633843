Feature: A leaving backend's state is held by a majority before it is acknowledged

  Background:
    Given an announcer among the voters v1, v2 and v3

  Scenario Outline: <reached> of three voters are reached
    Given of the voters <reached> are reached
    When srv-1 announces that it empties
    Then the announcement is <answer>
    And <received> voters received that srv-1 is emptying
    And srv-1 is known here as emptying

    Examples:
      | reached      | answer           | received |
      | v1, v2, v3   | acknowledged     | 3        |
      | v1, v3       | acknowledged     | 2        |
      | v1           | not acknowledged | 1        |
      | nobody       | not acknowledged | 0        |

  Scenario: While no roster is known nothing is acknowledged
    Given no roster is known
    When srv-1 announces that it empties
    Then the announcement is not acknowledged

  Scenario: What a majority holds is not sent again with each later heartbeat
    Given of the voters v1, v2, v3 are reached
    When srv-1 announces that it empties
    And srv-1 announces that it empties
    Then the announcement is acknowledged
    And 3 voters received that srv-1 is emptying

  Scenario: What no majority took is sent again with the next heartbeat
    Given of the voters v1 are reached
    When srv-1 announces that it empties
    Given of the voters v1, v2 are reached
    When srv-1 announces that it empties
    Then the announcement is acknowledged

  Scenario: A deregistration of a backend that is known here
    Given of the voters v1, v2, v3 are reached
    And srv-1 is registered here as ready
    When srv-1 deregisters
    Then the announcement is acknowledged
    And 3 voters received that srv-1 is gone
    And srv-1 is known here as gone of service s1

  Scenario: A deregistration of a backend that another controller knows
    Given of the voters v1, v2, v3 are reached
    And srv-1 is registered at v2 as ready
    When srv-1 deregisters
    Then the announcement is acknowledged
    And srv-1 is known here as gone of service s1

  Scenario: A deregistration of a backend that no controller knows consists of its name alone
    Given of the voters v1, v2, v3 are reached
    When srv-1 deregisters
    Then the announcement is acknowledged
    And srv-1 is known here as gone of no service

  Scenario: A deregistration that no majority takes is not acknowledged, and is sent again
    Given of the voters v1 are reached
    And srv-1 is registered here as ready
    When srv-1 deregisters
    Then the announcement is not acknowledged
    Given of the voters v1, v2 are reached
    When srv-1 deregisters
    Then the announcement is acknowledged

  Scenario: An announcement of another controller is known here
    When another controller announces that srv-1 is emptying
    Then srv-1 is known here as emptying
