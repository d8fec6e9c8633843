Feature: Packages import one another in known directions

  Scenario: No package imports another one that it did not before
    Then each import from one package to another is among the allowed ones
    And each allowed one is still needed

  Scenario: The platform's names stay in its adapter
    Then nothing in the product imports the adapter
