Feature: Compatibility of a register replica's files
  An upgraded replica reads the files that the previous version wrote. The files in data/disk were recorded before
  the code's identifiers were renamed, and are never written again: a failing scenario has found a change of format.

  Scenario Outline: Recorded files are read to the recorded state: <example>
    Given the recorded disk "<example>"
    When the recorded disk is opened
    Then the state equals the state recorded with the files

    Examples:
      | example      |
      | complete     |
      | torn_slot    |
      | torn_log     |
      | lost_slot    |
      | newer_format |

  Scenario Outline: The same operations write the recorded files: <example>
    Given the recorded disk "<example>"
    Then the same operations write the recorded files, byte for byte

    Examples:
      | example      |
      | complete     |
      | torn_slot    |
      | torn_log     |
      | lost_slot    |
      | newer_format |

  Scenario Outline: A recorded disk can be opened twice: <example>
    Given the recorded disk "<example>"
    When the recorded disk is opened
    Then opening the disk again yields the same state and the next serial number

    Examples:
      | example   |
      | complete  |
      | torn_slot |
      | torn_log  |

  Scenario: The complete example has all files and a promise without a value
    Given the recorded disk "complete"
    Then the recorded disk has both slots and both logs, none of them empty
    When the recorded disk is opened
    Then the state has 7 registers, 1 of them with a promise and no value

  Scenario: A truncated last log entry was never acknowledged and is dropped
    Given the recorded disk "torn_log"
    When the recorded disk is opened
    Then the recorded log had a truncated tail
    And the state has 6 registers, 0 of them with a promise and no value

  Scenario: A disk with a slot in a newer format is refused and left unchanged
    Given the recorded disk "newer_format"
    When the recorded disk is opened
    Then the recorded disk is refused with an error that contains "format 2", and no byte is changed

  Scenario: A newer format in any single file is refused and the disk left unchanged
    Given copies of the recorded disk "complete", each with another file marked as format 2
    Then each copy is refused with an error that contains "format 2", and no byte is changed

  Scenario: A disk with the slot in use damaged is refused and left unchanged
    Given the recorded disk "lost_slot"
    When the recorded disk is opened
    Then the recorded disk is refused with an error that contains "damaged", and no byte is changed
