Feature: Files of a register replica that an earlier version wrote
  A replica that is upgraded finds on its disk what the version before wrote there, and has to go on from it. The files
  in data/disk were written before the code's identifiers were renamed, and are never written again: a test that fails
  on them has found a change of format.

  Scenario Outline: A frozen disk is read to the state listed beside it
    Given the frozen disk "<example>"
    When the frozen disk is opened
    Then the state is that listed beside the frozen files

    Examples:
      | example      |
      | complete     |
      | torn_slot    |
      | torn_log     |
      | lost_slot    |
      | newer_format |

  Scenario Outline: The same operations write a frozen disk again
    Given the frozen disk "<example>"
    Then the same operations write the frozen files, byte for byte

    Examples:
      | example      |
      | complete     |
      | torn_slot    |
      | torn_log     |
      | lost_slot    |
      | newer_format |

  Scenario Outline: A frozen disk that was opened can be opened again
    Given the frozen disk "<example>"
    When the frozen disk is opened
    Then the state is that of a store that was opened once more

    Examples:
      | example   |
      | complete  |
      | torn_slot |
      | torn_log  |

  Scenario: The complete example has every file and a promise without a value
    Given the frozen disk "complete"
    Then the frozen disk has both slots and both logs, none of them empty
    When the frozen disk is opened
    Then the frozen state has 7 registers, 1 of them with a promise alone

  Scenario: An entry that is cut short was never answered, and is left out
    Given the frozen disk "torn_log"
    When the frozen disk is opened
    Then the frozen state has more than nothing cut from its log
    And the frozen state has 6 registers, 0 of them with a promise alone

  Scenario: A newer format is refused unchanged
    Given the frozen disk "newer_format"
    When the frozen disk is opened
    Then the frozen disk is refused with the words "format 2", and not one byte is changed

  Scenario: A newer format in any one file is refused unchanged
    Given the frozen disk "complete" with each of its files in turn marked as format 2
    Then each of these frozen disks is refused with the words "format 2", and not one byte is changed

  Scenario: A disk that lost the slot in use is refused unchanged
    Given the frozen disk "lost_slot"
    When the frozen disk is opened
    Then the frozen disk is refused with the words "damaged", and not one byte is changed
