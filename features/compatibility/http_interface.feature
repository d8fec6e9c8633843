Feature: The product's HTTP interface stays as it was recorded
  Statuses, headers and bodies were recorded once and must be sent again, byte for byte.

  Scenario: Each error kind keeps its status, outcome, retry time and body
    Then the frozen answer for each error kind is given again

  Scenario: Denials keep the names of their counters
    Then the frozen counters of denials are counted again

  Scenario: A session's life is answered as before
    Given the frozen system at work
    Then the frozen requests of session are answered as recorded

  Scenario: Bad requests are answered as before
    Given the frozen system at work
    Then the frozen requests of bad_requests are answered as recorded

  Scenario: Operators, the platform and backends' heartbeats are answered as before
    Given the frozen system at work
    Then the frozen requests of operators are answered as recorded

  Scenario: A system without a configuration answers as before
    Given the frozen system without a configuration
    Then the frozen requests of unconfigured are answered as recorded

  Scenario: Backends are sent the same requests as before
    Given the frozen system at work
    Then the frozen requests to backends are sent again meanwhile

  Scenario: A run leaves counters of the same names
    Given the frozen system at work
    Then the frozen counter names stand at its daemons after the requests of session

  Scenario: Traces keep their form
    Given the frozen system at work
    Then the frozen traces are written meanwhile

  Scenario: Forwarded statements are counted under the same names
    Then the frozen counters of forwarded statements are counted again

  Scenario: Counter names are not renamed
    Then each frozen counter name still stands in the sources

  Scenario: Records are counted under the same names
    Then the frozen counters of records are counted again

  Scenario: An answer has the same form on a real connection
    Then the frozen answer leaves a real socket as recorded
