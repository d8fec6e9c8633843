Feature: Compatibility of the platform's interfaces
  What the adapter reads and writes on the platform's interfaces equals what was recorded, byte for byte.

  Scenario: Error kinds keep their error words for clients
    Then each error kind has the recorded error word

  Scenario: Replies to clients keep their bytes
    Then replies to clients have the recorded bytes

  Scenario: Positions keep their text form
    Then the recorded positions are parsed and formatted as recorded

  Scenario: Statements keep their syntax
    Then the recorded statements are parsed and sent to backends as recorded

  Scenario: Lines are split at the same bytes
    Then the recorded chunks are split into the recorded lines

  Scenario: Conversations with clients keep their replies
    Then the recorded conversations of clients have the recorded replies

  Scenario: Requests to backends keep their bytes
    Then requests to a backend have the recorded bytes

  Scenario: Replies of backends are parsed to the same values
    Then the recorded replies of a backend are parsed as recorded

  Scenario: Commands to backends keep their bytes
    Then commands to a backend have the recorded bytes

  Scenario: The control API keeps its responses
    Then the recorded requests to the control API have the recorded responses

  Scenario: Operator documents are parsed to the same plans
    Then the recorded operator documents are parsed as recorded

  Scenario: The HTTP server keeps the bytes of its responses
    Then a response of the HTTP server has the recorded bytes

  Scenario: The readiness probe keeps its responses
    Then the recorded readiness probes have the recorded responses

  Scenario: The promotion call keeps its bytes
    Then the promotion call has the recorded bytes and results

  Scenario: Settings files of the platform are read to the same settings
    Then the recorded settings files of the platform are read as recorded
