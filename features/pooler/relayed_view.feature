Feature: What a proxy knows, from one controller at a time

  Background:
    Given a view with controllers "g1, g2"

  Scenario: It stays with the controller that answered, and asks it for changes alone
    When the view runs for 1000 ms
    Then the view is current
    And it requested the full state once, and always from the same controller

  Scenario: It is as old as what its controller knew, counted from the asking
    Given the state of "g1, g2" is 700 ms old
    When the view runs for 1000 ms
    Then the view is current
    When the controllers "g1, g2" are silent for 600 ms
    Then the view is not current

  Scenario: The nearest controller is found again, also when it was not there at first
    Given "g2" is in another zone
    And "g1" is silent
    When the view chooses a controller and runs for 1500 ms
    Then the current controller is "g2"
    When "g1" is back, and the view runs for 4000 ms
    Then the current controller is "g1"
    When "g1" is silent, and the view runs for 5000 ms
    Then the current controller is "g2"
    When "g1" is back, and the view runs for 10000 ms
    Then the current controller is "g1"
    And the view is current

  Scenario: One of the proxy's own zone is nearer than any that answers sooner
    Given "g1" answers after 30 ms
    And "g2" is in another zone
    When the view chooses a controller and runs for 500 ms
    Then the current controller is "g1"

  Scenario: A proxy that begins waits for no controller that is silent
    Given "g2" is in another zone
    And "g1" is silent
    When the view chooses a controller and runs for 10 ms
    Then the current controller is "g2"
    And the choice took at most 100 ms

  Scenario: Of those as near it stays with the one that it asks
    Given "g2" answers after 30 ms
    And "g1" is silent
    When the view chooses a controller and runs for 500 ms
    And "g1" is back, and the view runs for 20000 ms
    Then the current controller is "g2"

  Scenario: While the nearest is looked for, the asking goes on
    Given "g2" is in another zone
    And "g1" is silent
    When the view chooses a controller and runs for 1800 ms
    Then the current controller is "g2"
    And over 1500 ms the view is never older than 320 ms

  Scenario: A controller that is silent is left for another
    When the view runs for 1000 ms
    And the current controller is silent for 1500 ms
    Then the view is current

  Scenario: A controller that is cut off from the others knows nothing current, and is left for another
    Given the state of "g1" is 5000 ms old
    When the view runs for 2000 ms
    Then the view is current

  Scenario: The register never goes back, whatever a controller that lags says
    Given "g1, g2" relay the plan of version 7 with ballot round 3
    When the view runs for 500 ms
    Then the view's plan has version 7
    Given "g1, g2" relay the plan of version 9 with ballot round 2
    When the view runs for 500 ms
    Then the view's plan has version 7
    Given "g1, g2" relay the plan of version 6 with ballot round 4
    When the view runs for 500 ms
    Then the view's plan has version 7
    Given "g1, g2" relay the plan of version 8 with ballot round 5
    When the view runs for 500 ms
    Then the view's plan has version 8

  Scenario Outline: An answer that can't be read does not end the asking
    Given "g1, g2" relay <what>
    When the view runs for 1000 ms
    Given "g1, g2" relay the plan of version 8 with ballot round 5
    When the view runs for 3000 ms
    Then the view is current
    And the view's plan has version 8

    Examples:
      | what                                   |
      | an answer that can't be decoded        |
      | a plan value that can't be decoded     |
      | a primary value that can't be decoded  |
