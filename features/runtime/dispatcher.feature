Feature: Dispatch of requests by their message type

  Scenario: Handled requests are counted by type, with their bytes
    Given a dispatcher whose handler of heartbeats responds with 30 bytes
    When it gets two requests of 10 bytes for heartbeats, and one of a type without a handler
    Then its counters hold 2 responses of type heartbeats and 80 bytes, and nothing else
