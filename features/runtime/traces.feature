Feature: Traces
  One span a job in the OpenTelemetry JSON form; off by default.

  Scenario: Jobs become spans that the form's own library reads back
    Given a system at work with an open session
    When stall-0 traces into a list, and 5 statements are sent to it
    Then the lines hold 5 spans with hex ids, the right times and the right outcome
    And without a sink nothing is kept
