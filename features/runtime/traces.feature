Feature: Traces
  One span per request in OpenTelemetry's JSON encoding; off by default.

  Scenario: Each statement is written as a span if traces have a sink, and none is kept otherwise
    Given a system at work with an open session
    When traces of stall-0 are collected and 5 statements are sent to it
    Then the lines hold 5 spans with hex ids and the times and statuses of the statements
    And without a sink no span is kept
