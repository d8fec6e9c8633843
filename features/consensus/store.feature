Feature: A register replica's disk
  Two slots written alternately, each followed by a short log; what was answered is there after any crash.

  Scenario: A log torn at any byte keeps everything that was synced before
    Given a store with 5 saved entries
    When its last append is cut at every byte
    Then the first 4 entries are always there and the fifth is whole or absent

  Scenario: A crash at any write while slots are switched loses nothing that was answered
    Given stores that crash at every write while 400 large entries are saved
    Then each holds every entry that was answered

  Scenario: A failed sync ends the register replica, and no answer leaves
    Given a world with a register replica whose next sync fails
    When an operator submits a configuration
    Then that register replica has halted with the words "disk failed"
    And the configuration is accepted by the others

  Scenario: A disk of a newer format stops the register replica with one line, and is left unchanged
    Given a store that has switched slots
    When each of its files in turn is marked with a newer format
    Then opening it fails each time with the words "format 2, and 1 is the newest", and changes nothing

  Scenario Outline: Damage that may hide an answered entry stops the register replica with a clear message
    Given a store that has switched slots
    When <damage>
    Then opening it fails with the words "replace this register replica"

    Examples:
      | damage                                  |
      | both slots are damaged                  |
      | the slot in use is damaged              |
      | both slots are gone and the logs remain |
