Feature: The closed list of error kinds
  One table from kind to answer, and the interface page says the same.

  Scenario: Every kind has its one answer, and a client can tell the three outcomes apart
    Then every kind stands in the table once, as denied or unknown with an error status
    And only kinds whose job may have run are unknown
    And the interface page lists every kind that can leave an edge, with its status
