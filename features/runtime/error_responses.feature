Feature: The responses to error codes
  The table in the code and the one in the interface page agree.

  Scenario: Every error code has one response, and a client can tell the three outcomes apart
    Then every error code has a response, with the outcome denied or unknown and an error status
    And the outcome is unknown only where the request may have run
    And the interface page lists every error code that a client can get, with its status
