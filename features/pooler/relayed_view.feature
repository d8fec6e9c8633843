Feature: A proxy's view of the register, pulled from one controller at a time

  Background:
    Given a view with controllers "g1, g2"

  Scenario: After one full answer the view requests only changes from the same controller
    When the view runs for 1000 ms
    Then the view is current
    And it requested the full state once, and always from the same controller

  Scenario: The view's age is counted from its request and includes the age of the controller's state
    Given the state of "g1, g2" is 700 ms old
    When the view runs for 1000 ms
    Then the view is current
    When the controllers "g1, g2" are silent for 600 ms
    Then the view is not current

  Scenario: The view switches to the nearest controller when it becomes available or returns
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

  Scenario: A controller in the proxy's zone is preferred to a faster one in another zone
    Given "g1" answers after 30 ms
    And "g2" is in another zone
    When the view chooses a controller and runs for 500 ms
    Then the current controller is "g1"

  Scenario: A starting proxy does not wait for a silent controller
    Given "g2" is in another zone
    And "g1" is silent
    When the view chooses a controller and runs for 10 ms
    Then the current controller is "g2"
    And the choice took at most 100 ms

  Scenario: The view keeps its controller when an equally near one returns
    Given "g2" answers after 30 ms
    And "g1" is silent
    When the view chooses a controller and runs for 500 ms
    And "g1" is back, and the view runs for 20000 ms
    Then the current controller is "g2"

  Scenario: The view keeps pulling while it chooses a controller
    Given "g2" is in another zone
    And "g1" is silent
    When the view chooses a controller and runs for 1800 ms
    Then the current controller is "g2"
    And over 1500 ms the view is never older than 320 ms

  Scenario: The view switches away from a silent controller
    When the view runs for 1000 ms
    And the current controller is silent for 1500 ms
    Then the view is current

  Scenario: The view switches away from a controller whose state is outdated
    Given the state of "g1" is 5000 ms old
    When the view runs for 2000 ms
    Then the view is current

  Scenario: A value with a lower ballot, or a plan with a lower version, is ignored
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

  Scenario Outline: The view keeps pulling after an answer that can't be decoded
    Given "g1, g2" relay <answer>
    When the view runs for 1000 ms
    Given "g1, g2" relay the plan of version 8 with ballot round 5
    When the view runs for 3000 ms
    Then the view is current
    And the view's plan has version 8

    Examples:
      | answer                                |
      | an answer that can't be decoded       |
      | a plan value that can't be decoded    |
      | a primary value that can't be decoded |
