Feature: The platform's wire stays as it was recorded
  What the adapter reads and writes at the platform's edges was recorded once and must be the same, byte for byte.

  Scenario: Clients are told the same words for errors
    Then the frozen error words are sent to clients

  Scenario: Replies to clients keep their bytes
    Then the frozen replies are written to clients byte for byte

  Scenario: Positions keep their form
    Then the frozen positions are read and written alike

  Scenario: Statements keep their form
    Then the frozen texts of statements are read and sent on alike

  Scenario: Lines are split in the same way
    Then the frozen chunks make the recorded lines

  Scenario: Conversations at the client's door go as before
    Then the frozen conversations at the client's door go as recorded

  Scenario: Questions to backends keep their bytes
    Then the frozen questions are put to a backend byte for byte

  Scenario: Answers of backends are understood as before
    Then the frozen answers of a backend are understood alike

  Scenario: Commands to backends keep their bytes
    Then the frozen commands are sent to a backend byte for byte

  Scenario: The control edge answers as before
    Then the frozen requests to the control edge are answered as recorded

  Scenario: Operator documents are read as before
    Then the frozen operator documents are read alike

  Scenario: The HTTP edge keeps the bytes of its answers
    Then the frozen bytes of an answer leave the HTTP edge

  Scenario: The ready probe is answered as before
    Then the frozen probes of readiness are answered as recorded

  Scenario: The promotion call keeps its bytes
    Then the frozen promotion call is sent byte for byte

  Scenario: Settings files of the platform are read as before
    Then the frozen settings files of the platform are read alike
