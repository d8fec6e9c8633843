Feature: Dispatch of requests by their message type

  Scenario: Requests and bytes are counted by type if a handler responds, and not otherwise
    Given a dispatcher whose handler of heartbeats responds with 30 bytes
    When two heartbeats requests of 10 bytes and one request of a type without a handler arrive
    Then its only counters are 2 responses of type heartbeats and 80 bytes
