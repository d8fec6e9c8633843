Feature: Packages import one another only in allowed directions

  Scenario: Every import between packages is in the table of allowed imports
    Then every import between packages is allowed
    And every allowed import is in use

  Scenario: The product does not depend on the platform adapter
    Then no module of the product outside the simulator imports the adapter
