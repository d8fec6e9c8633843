Feature: The HTTP interface of an HTTP proxy
  Each invalid request gets its error kind and status at once, and affects no other request.

  Scenario: Each invalid request gets its own error kind, and the HTTP proxy keeps serving
    Given a system at work with an open session
    Then these requests are answered within 50 ms
      | method | path                                | body                                                  | status | kind              |
      | GET    | /nowhere                            |                                                       | 404    | unknownPath       |
      | DELETE | /v1/sessions                        |                                                       | 405    | wrongMethod       |
      | POST   | /v1/sessions                        | {"database": "db0"                                    | 400    | malformed         |
      | POST   | /v1/sessions                        | [1]                                                   | 400    | malformed         |
      | POST   | /v1/sessions                        | {"database": "db0"}                                   | 400    | timeLeftMissing   |
      | POST   | /v1/sessions                        | {"database": "db0", "timeLeftUs": 0}                  | 504    | timeLeftSpent     |
      | POST   | /v1/sessions                        | {"database": "db0", "timeLeftUs": -5}                 | 504    | timeLeftSpent     |
      | POST   | /v1/sessions                        | {"database": "db0", "timeLeftUs": true}               | 400    | malformed         |
      | POST   | /v1/sessions                        | {"database": "db0", "timeLeftUs": 9000000000}         | 400    | malformed         |
      | POST   | /v1/sessions                        | {"database": "db9", "timeLeftUs": 9}                  | 404    | unknownDatabase   |
      | POST   | /v1/sessions                        | {"database": ["db0"], "timeLeftUs": 9}                | 404    | unknownDatabase   |
      | POST   | /v1/sessions/nobody/statements      | {"kind": "live", "text": "x", "timeLeftUs": 9}        | 410    | unknownSession    |
      | POST   | /v1/sessions/SESSION/statements     | {"kind": "odd", "text": "x", "timeLeftUs": 9}         | 400    | unknownKind       |
      | POST   | /v1/sessions/SESSION/statements     | {"kind": "live", "timeLeftUs": 9}                     | 400    | malformed         |
      | POST   | /v1/sessions/SESSION/statements     | {"kind": "live", "text": "x", "params": 3, "timeLeftUs": 9} | 400 | malformed      |
      | POST   | /v1/sessions/SESSION/statements     | {"kind": "live", "prepared": "p", "timeLeftUs": 9}    | 404    | unknownPrepared   |
      | POST   | /v1/sessions/SESSION/statements     | {"kind": "write", "text": "dance", "timeLeftUs": 900000} | 422 | statementDenied   |
      | POST   | /v1/sessions/SESSION/statements     | {"kind": "live", "text": "put a b", "timeLeftUs": 900000} | 422 | statementDenied  |
      | POST   | /v1/sessions/SESSION/commit         | {"timeLeftUs": 900000}                                | 409    | noTransaction     |
      | PUT    | /v1/sessions/SESSION/values         | {"values": 3, "timeLeftUs": 900000}                   | 400    | malformed         |
      | PUT    | /v1/sessions/SESSION/prepared/p     | {"text": 3, "timeLeftUs": 900000}                     | 400    | malformed         |
      | PUT    | /v1/configuration                   | {"version": 1                                         | 422    | brokenConfiguration |
      | POST   | /v1/beats                           | {"name": "db0-a"}                                     | 400    | malformed         |
      | POST   | /v1/beats                           | {"name": "db0-a", "site": "k", "state": "odd"}        | 400    | malformed         |
      | POST   | /v1/override                        | {"database": "db0", "backend": "db0-b"}               | 400    | malformed         |
    And a body of 2 MiB is rejected with 413 and tooLarge
    And the session still works, and no session has a request or transaction left open

  Scenario: Prepared texts, values and handles of a session are isolated from other sessions
    Given a system at work with an open session
    When the session prepares "append k " and sets the value "mine" to "7"
    Then its prepared text runs with parameters, and no other session sees its text or value
    And a request with the previous handle is not run, and its response contains the current handle
    And an older handle is rejected with unknownSession
    And the second of two concurrent requests is rejected with sessionBusy

  Scenario: Commit applies a transaction, rollback and abandonment discard it
    Given a system at work with an open session
    Then a committed transaction is visible to primary reads
    And a rolled back transaction is not visible
    And only the first statement after an abandoned transaction is rejected with transactionLost

  Scenario: Without a current view requests are rejected with a time to retry
    Given a system at work with an open session
    When a majority of register replicas is killed
    Then the HTTP proxy becomes not ready within 3 seconds
    And a new session is rejected within 50 ms with notCurrent, Retry-After and addresses of other proxies

  Scenario: Requests beyond the channels are queued, and beyond the queue rejected at once
    Given a system of 1 HTTP proxy with a backend cap of 4 and a queue limit of 10
    When 60 clients send slow reads concurrently with a deadline of 3 seconds
    Then every client is answered within the deadline
    And rejected reads got crowded with a time to retry within 50 ms
    And no backend has had more than 4 channels

  Scenario: Routes and policies apply as soon as their configuration is in force
    Given a system at work with an open session
    When a configuration with the language "route live on * to replica where hall = old" is in force
    Then 20 live reads all run on the replica with hall = old
    When a configuration with the language "route live on * to deny; policy active on * is 3" is in force
    Then a live read is rejected with routeDenied, and a fresh read succeeds
    And no pool has a limit above 3
    When a configuration with the language "route live, fresh on * to primary" is in force
    Then 10 live reads all run on the primary

  Scenario: Reads fall back to the primary when all replicas lag
    Given a system at work with an open session
    When both replicas apply the log 3 seconds late and a value is written
    Then an immediate fresh read sees the session's own write
    And a live read 1.6 seconds later sees it too
