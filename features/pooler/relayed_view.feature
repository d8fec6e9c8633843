Feature: What a proxy knows, from one controller at a time

  Background:
    Given a view that asks "g1, g2"

  Scenario: It stays with the controller that answered, and asks it for changes alone
    When the view keeps itself for 1000 ms
    Then the view is current
    And it asked for everything once, and stayed with one controller

  Scenario: It is as old as what its controller knew, counted from the asking
    Given "g1, g2" know things 700 ms old
    When the view keeps itself for 1000 ms
    Then the view is current
    When the controllers "g1, g2" are silent for 600 ms
    Then the view is not current

  Scenario: The nearest controller is found again, also when it was not there at first
    Given "g2" stands in another zone
    And "g1" is silent
    When the view chooses, and keeps itself for 1500 ms
    Then it asks "g2"
    When "g1" is back, and the view keeps itself for 4000 ms
    Then it asks "g1"
    When "g1" is silent, and the view keeps itself for 5000 ms
    Then it asks "g2"
    When "g1" is back, and the view keeps itself for 10000 ms
    Then it asks "g1"
    And the view is current

  Scenario: One of the proxy's own zone is nearer than any that answers sooner
    Given "g1" is 30 ms away
    And "g2" stands in another zone
    When the view chooses, and keeps itself for 500 ms
    Then it asks "g1"

  Scenario: A proxy that begins waits for no controller that is silent
    Given "g2" stands in another zone
    And "g1" is silent
    When the view chooses, and keeps itself for 10 ms
    Then it asks "g2"
    And that took at most 100 ms

  Scenario: Of those as near it stays with the one that it asks
    Given "g2" is 30 ms away
    And "g1" is silent
    When the view chooses, and keeps itself for 500 ms
    And "g1" is back, and the view keeps itself for 20000 ms
    Then it asks "g2"

  Scenario: While the nearest is looked for, the asking goes on
    Given "g2" stands in another zone
    And "g1" is silent
    When the view chooses, and keeps itself for 1800 ms
    Then it asks "g2"
    And over 1500 ms the view is never older than 320 ms

  Scenario: A controller that is silent is left for another
    When the view keeps itself for 1000 ms
    And the controller that it asks is silent for 1500 ms
    Then the view is current

  Scenario: A controller that is cut off from the others knows nothing current, and is left for another
    Given "g1" know things 5000 ms old
    When the view keeps itself for 2000 ms
    Then the view is current

  Scenario: The register never goes back, whatever a controller that lags says
    Given "g1, g2" tell the plan of version 7 under round 3
    When the view keeps itself for 500 ms
    Then the view's plan is 7
    Given "g1, g2" tell the plan of version 9 under round 2
    When the view keeps itself for 500 ms
    Then the view's plan is 7
    Given "g1, g2" tell the plan of version 6 under round 4
    When the view keeps itself for 500 ms
    Then the view's plan is 7
    Given "g1, g2" tell the plan of version 8 under round 5
    When the view keeps itself for 500 ms
    Then the view's plan is 8

  Scenario Outline: An answer that can't be read does not end the asking
    Given "g1, g2" tell <what>
    When the view keeps itself for 1000 ms
    Given "g1, g2" tell the plan of version 8 under round 5
    When the view keeps itself for 3000 ms
    Then the view is current
    And the view's plan is 8

    Examples:
      | what                      |
      | noise                     |
      | a plan that is none       |
      | a lead that is none       |
