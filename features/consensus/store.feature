Feature: Storage of a register replica
  Two slots are written alternately, each followed by a log; answered entries survive any crash.

  Scenario: A torn write at the end of the log keeps every entry that was synced before
    Given a store with 5 saved entries
    When its last append is truncated at every byte
    Then the first 4 entries are always present, and the fifth is complete or absent

  Scenario: A crash at any write loses no answered entry, also while slots are switched
    Given stores that crash at every write while 400 large entries are saved
    Then each store has every entry whose save returned

  Scenario: A failed sync halts the register replica
    Given a world with a register replica whose next sync fails
    When an operator submits a configuration
    Then that register replica halts with the words "disk failed"
    And the other register replicas accept the configuration

  Scenario: A disk of a newer format is refused and left unchanged
    Given a store that has switched slots
    When each of its files in turn is given a newer format number
    Then opening it fails each time with the words "format 2; this version reads formats up to 1", and leaves the files unchanged

  Scenario Outline: Damage that may hide an answered entry is refused with advice to replace the register replica
    Given a store that has switched slots
    When <damage>
    Then opening it fails with the words "replace this register replica"

    Examples:
      | damage                                  |
      | both slots are damaged                  |
      | the slot in use is damaged              |
      | both slots are gone and the logs remain |
