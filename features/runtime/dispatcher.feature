Feature: One record address a process

  Scenario: What is answered is counted by kind, with its bytes
    Given a desk that answers heartbeats with 30 bytes
    When it is asked for heartbeats with 10 bytes, twice, and once for what it does not know
    Then its counters say 2 records of heartbeats and 80 bytes, and nothing else was answered
