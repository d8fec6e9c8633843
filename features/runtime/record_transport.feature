Feature: Messages over TCP
  One persistent connection per peer; malformed input is dropped, a connection without responses is replaced.

  Scenario: A connection without responses is replaced by one that works
    Given a server that never responds on its first connection
    When requests are sent to it one after the other
    Then a response arrives over a second connection

  Scenario: Malformed bytes close their connection and do not affect others
    Given a server that echoes requests
    When 50 connections send it random bytes
    Then it still responds, and has counted every malformed connection

  Scenario: A connection attempt that hangs during a partition is cancelled, so a response arrives soon after its end
    Given a network partition of 10 s during which connection attempts hang
    When a request is sent every 100 ms of virtual time
    Then a response arrives within 1000 ms of the end of the partition

  Scenario: Responses are matched with their requests if they are reordered, late, truncated or missing
    Given a server that responds out of order, late, in part or not at all
    When 600 requests are sent to it, 40 at a time
    Then every response belongs to its request, and no request reached the server twice
    And some requests got a response and some did not

  Scenario: The matching check detects a client that matches responses by order
    Given a server that responds out of order, late, in part or not at all
    When 600 requests are sent to it, 40 at a time, by a client that matches responses by order
    Then some response was matched with another request
