Feature: HTTP responses to error codes
  The table in the code matches the table of the interface documentation.

  Scenario: Every error code has a documented response whose outcome says whether the request may have run
    Then every error code has a response, with the outcome denied or unknown and an error status
    And the outcome is unknown only for codes after which the request may have run
    And the interface documentation lists every error code that a client can receive, with its status
