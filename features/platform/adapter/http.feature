Feature: HTTP server and client of the adapter

  Scenario Outline: Pipelined requests are handled and answered in order
    Given an HTTP server that echoes bodies
    When the requests "<requests>" arrive <how>
    Then the responses are "<responses>"
    And the handled requests are "<handled>"
    And the connection is open

    Examples:
      | requests                       | how          | responses             | handled                        |
      | GET /a                         | at once      | 200                   | GET /a                         |
      | PUT /a one                     | at once      | 200 one               | PUT /a one                     |
      | PUT /a one, GET /b, PUT /c two | at once      | 200 one, 200, 200 two | PUT /a one, GET /b, PUT /c two |
      | PUT /slow one, PUT /c two      | at once      | 200 one, 200 two      | PUT /slow one, PUT /c two      |
      | PUT /slow one, PUT /c two      | cut at 70    | 200 one, 200 two      | PUT /slow one, PUT /c two      |
      | PUT /a one, PUT /b two         | byte by byte | 200 one, 200 two      | PUT /a one, PUT /b two         |
      | GET /crash, PUT /b two         | at once      | 500, 200 two          | GET /crash, PUT /b two         |

  Scenario: Requests that are split at any byte get the same responses
    When requests arrive cut at each byte, or byte by byte, the responses are the same

  Scenario Outline: A malformed request gets 400 and the connection is closed
    Given an HTTP server that echoes bodies
    When the bytes `<bytes>` arrive
    Then the statuses are <statuses>
    And the handled requests are "nothing"
    And the connection is closed

    Examples:
      | bytes                                                                       | statuses |
      | HELLO\r\n\r\n                                                               | 400      |
      | GET / HTTP/1.1\r\n\r\n                                                      | 400      |
      | GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n                     | 400      |
      | GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n | 400      |

  Scenario Outline: A body over 4 MiB gets 413 and the connection is closed
    Given an HTTP server that echoes bodies
    When a body of 4 MiB +<over> bytes arrives in chunks of 65536
    Then the statuses are <status>
    And the connection is <word>

    Examples:
      | over | status | word   |
      | 0    | 200    | open   |
      | 1    | 413    | closed |

  Scenario: A request with Connection: close is answered before the connection is closed
    Given an HTTP server that echoes bodies
    When the bytes `GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n` arrive
    Then the statuses are 200
    And the connection is closed

  Scenario: An incomplete request at the end of the stream is not handled, and the connection is closed
    Given an HTTP server that echoes bodies
    When the bytes `PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab` arrive
    And the client closes its sending side
    Then the handled requests are "nothing"
    And the connection is closed

  Scenario: The connection is closed after a request during which the client closed its sending side
    Given an HTTP server that echoes bodies
    When the requests "GET /slow" arrive cut at 99
    And the client closes its sending side
    Then the handled requests are "GET /slow"
    And the connection is closed

  Scenario Outline: A POST returns the final status, or an unknown outcome without a response
    When a POST is answered by `<script>`
    Then the result is <result>
    And one complete request was sent and the connection is closed

    Examples:
      | script                                                                    | result     |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n                              | 200        |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}                            | 200        |
      | HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n                        | 409        |
      | HTTP/1.1 2 + 00 OK\r\nContent-Len + gth: 0\r\n\r\n                        | 200        |
      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n | 200        |
      | HTTP/1.1 200 OK\r\n + close                                               | wireUnsure |
      | close                                                                     | wireUnsure |
      | silence                                                                   | wireUnsure |
      | NO HTTP\r\n\r\n + close                                                   | wireUnsure |

  Scenario: A POST whose connection is refused is reported as not sent
    When a POST is answered by `refuse`
    Then the result is wireUnsent

  Scenario Outline: The result of a promotion depends on the platform's status
    When a promotion is answered by `<script>`
    Then the result is <result>
    And the request has the lease holder core-1, the fencing token 12, the service s1 and the backend srv-1

    Examples: 409 means that the backend is not running; after other failures the call may be repeated
      | script                                                | result     |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n          | None       |
      | HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n    | noBackend  |
      | HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n    | wireUnsure |
      | HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n | wireUnsure |
      | silence                                               | wireUnsure |

  Scenario: A promotion is not sent when its lease expires during the connection setup
    When the lease of a promotion expires during the connection setup
    Then the result is wireUnsent
    And nothing was sent and the connection is closed

  Scenario: A POST that times out resets its connection, so that nothing arrives later
    When a POST is answered by `silence`
    Then the result is wireUnsure
    And the connection was reset
