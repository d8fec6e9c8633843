Feature: The adapter's HTTP server and client

  Scenario Outline: Requests are answered one after the other, in their order
    Given an HTTP server that echoes
    When the requests "<requests>" come <how>
    Then the answers are "<answers>"
    And what was handled is "<handled>"
    And the connection is open

    Examples:
      | requests                       | how         | answers                | handled                        |
      | GET /a                         | at once     | 200                    | GET /a                         |
      | PUT /a one                     | at once     | 200 one                | PUT /a one                     |
      | PUT /a one, GET /b, PUT /c two | at once     | 200 one, 200, 200 two  | PUT /a one, GET /b, PUT /c two |
      | PUT /slow one, PUT /c two      | at once     | 200 one, 200 two       | PUT /slow one, PUT /c two      |
      | PUT /slow one, PUT /c two      | cut at 70   | 200 one, 200 two       | PUT /slow one, PUT /c two      |
      | PUT /a one, PUT /b two         | byte by byte | 200 one, 200 two      | PUT /a one, PUT /b two         |
      | GET /crash, PUT /b two         | at once     | 500, 200 two           | GET /crash, PUT /b two         |

  Scenario: Requests that are split anywhere are answered alike
    When the requests come in any two parts, and byte by byte, they are answered alike

  Scenario Outline: What is no HTTP is refused, and the connection closed
    Given an HTTP server that echoes
    When the bytes `<bytes>` come
    Then the statuses are <statuses>
    And what was handled is "nothing"
    And the connection is closed

    Examples:
      | bytes                                                       | statuses |
      | HELLO\r\n\r\n                                               | 400      |
      | GET / HTTP/1.1\r\n\r\n                                      | 400      |
      | GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n     | 400      |
      | GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n | 400 |

  Scenario Outline: A body may have 4 MiB
    Given an HTTP server that echoes
    When a body of 4 MiB +<over> bytes comes in chunks of 65536
    Then the statuses are <status>
    And the connection is <word>

    Examples:
      | over | status | word   |
      | 0    | 200    | open   |
      | 1    | 413    | closed |

  Scenario: A client that asks for a close gets its answer first
    Given an HTTP server that echoes
    When the bytes `GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n` come
    Then the statuses are 200
    And the connection is closed

  Scenario: A client that ends its side in the middle of a request
    Given an HTTP server that echoes
    When the bytes `PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab` come
    And the client ends its side
    Then what was handled is "nothing"
    And the connection is closed

  Scenario: A client that vanishes while its request is handled
    Given an HTTP server that echoes
    When the requests "GET /slow" come cut at 99
    And the client ends its side
    Then what was handled is "GET /slow"
    And the connection is closed

  Scenario Outline: A post, and what becomes of it
    When a post is answered by `<script>`
    Then the result is <result>
    And one whole call was sent, and the connection closed

    Examples:
      | script                                                                | result     |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n                          | 200        |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}                        | 200        |
      | HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n                    | 409        |
      | HTTP/1.1 2 + 00 OK\r\nContent-Len + gth: 0\r\n\r\n                    | 200        |
      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n | 200    |
      | HTTP/1.1 200 OK\r\n + close                                           | wireUnsure |
      | close                                                                 | wireUnsure |
      | silence                                                               | wireUnsure |
      | NO HTTP\r\n\r\n + close                                               | wireUnsure |

  Scenario: A post that reached nobody
    When a post is answered by `refuse`
    Then the result is wireUnsent

  Scenario Outline: A promotion, and what the platform says
    When a promotion is answered by `<script>`
    Then the result is <result>
    And the call names the holder core-1, the fence 12, the service s1 and the backend srv-1

    Examples: 409 says that the backend is not running; all else may be tried again
      | script                                                      | result     |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n                | None       |
      | HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n          | noBackend  |
      | HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n          | wireUnsure |
      | HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n       | wireUnsure |
      | silence                                                     | wireUnsure |

  Scenario: A promotion whose lease runs out while its connection is being made is not sent
    When a promotion's lease runs out while its connection is being made
    Then the result is wireUnsent
    And nothing of it was sent, and the connection closed

  Scenario: A call that is given up is reset, so that nothing of it arrives later
    When a post is answered by `silence`
    Then the result is wireUnsure
    And the connection was reset
