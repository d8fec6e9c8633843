Feature: Compatibility of the product's HTTP interface
  Status codes, headers and bodies equal the recorded ones byte for byte; random and time-dependent parts are masked.

  Scenario: Each error kind keeps its status code, headers and body
    Then each error kind has the recorded response

  Scenario: The counters of rejected requests keep their names
    Then rejected requests are counted by the recorded counters

  Scenario: The requests of a session keep their responses
    Given the system used for the recording is running
    Then the recorded requests of session have the recorded responses

  Scenario: Invalid requests keep their responses
    Given the system used for the recording is running
    Then the recorded requests of bad_requests have the recorded responses

  Scenario: Requests of operators and the platform and backends' heartbeats keep their responses
    Given the system used for the recording is running
    Then the recorded requests of operators have the recorded responses

  Scenario: A system without a configuration keeps its responses
    Given the system used for the recording has no configuration
    Then the recorded requests of unconfigured have the recorded responses

  Scenario: Requests to backends keep their form
    Given the system used for the recording is running
    Then the session and operator requests cause the recorded requests to backends

  Scenario: Daemons in use have counters of the same names
    Given the system used for the recording is running
    Then after the requests of session its daemons have the recorded counters

  Scenario: Trace spans keep their form
    Given the system used for the recording is running
    Then the session requests cause the recorded trace spans

  Scenario: The counters of forwarded statements keep their names
    Then forwarded statements are counted by the recorded counters

  Scenario: Counter names in the sources are not renamed
    Then each recorded counter name occurs in the sources

  Scenario: The counters of records keep their names
    Then each message type is counted by the recorded counters

  Scenario: A response on a real connection keeps its form
    Then a response on a real socket has the recorded lines
