Feature: Messages over TCP
  One lasting connection per peer; malformed input is dropped, a silent connection is replaced.

  Scenario: A connection without responses is replaced, and the new one works
    Given a server that never responds on its first connection
    When requests are sent to it one after the other
    Then a response arrives over a second connection

  Scenario: Bytes that are not a frame end their connection and harm no other
    Given a server that responds with the request itself
    When 50 connections send it random bytes
    Then it still responds, and has counted the malformed requests

  Scenario: A connection attempt that hangs in a partition is given up, so that a response arrives soon after the partition
    Given a network whose connection attempts hang for 10 s and succeed after that
    When a request is sent every 100 ms of virtual time
    Then a response arrives within 1000 ms of the end of the partition

  Scenario: Responses are matched with their requests, in whatever order they come and wherever connections end
    Given a server that responds out of order, late, in part or not at all
    When 600 requests are sent to it, 40 at a time
    Then each response is that to its request, and no request reached the server twice
    And some requests got a response, and some did not

  Scenario: The check finds a client that matches responses by order
    Given a server that responds out of order, late, in part or not at all
    When 600 requests are sent to it, 40 at a time, by a client that matches responses by order
    Then some response was given to another request
