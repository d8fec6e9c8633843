Feature: An HTTP proxy's edge
  Bad input gets its closed kind and its status at once, and harms nobody else.

  Scenario: Every bad job gets its own answer, and the HTTP proxy goes on
    Given a system at work with an open session
    Then these jobs are answered at once
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
    And a body of 2 MiB is answered with 413 and tooLarge
    And the session still works, and no channel was left taken

  Scenario: What a session was promised is kept apart from every other
    Given a system at work with an open session
    When it prepares "append k ", and sets the value "mine" to "7"
    Then its prepared text runs with parameters, and its value is shown to it alone
    And the handle from before the last change runs nothing and is told the newest one
    And a handle from earlier still is told unknownSession
    And a job with two tries at once is told sessionBusy

  Scenario: Commit and rollback do what they say
    Given a system at work with an open session
    Then a transaction that commits is seen by a primary read
    And a transaction that rolls back is not
    And a statement after an abandoned transaction is told transactionLost, once

  Scenario: Without a view that can be current nothing is served, and the client is told when to come back
    Given a system at work with an open session
    When a majority of register replicas is killed
    Then within 3 seconds the HTTP proxy is not ready
    And a new session is denied at once with notCurrent, a Retry-After and where else to go

  Scenario: More than the channels can take waits in order, then is denied at once
    Given a system of 1 HTTP proxy with a cap of 4, and queues of 10
    When 60 clients send slow reads at once with 3 seconds left each
    Then every client is answered within its time left
    And those denied were told crowded within 50 milliseconds, with when to come back
    And no backend was given more than 4 channels

  Scenario: Routes and policies are obeyed as soon as they are in force
    Given a system at work with an open session
    When a configuration with the language "route live on * to replica where hall = old" is in force
    Then 20 live reads all run at the replica in the old hall
    When a configuration with the language "route live on * to deny; policy active on * is 3" is in force
    Then a live read is denied with routeDenied, and a fresh read still runs
    And no pool has room for more than 3 jobs
    When a configuration with the language "route live, fresh on * to primary" is in force
    Then 10 live reads all run at the primary

  Scenario: A replica that answers too late is passed over, then the primary answers
    Given a system at work with an open session
    When both replicas apply 3 seconds late and something is written
    Then a fresh read at once sees the session's own write
    And a live read 1.6 seconds after it sees it too
