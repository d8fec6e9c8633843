Feature: Records and register values that an earlier version wrote
  Daemons of two versions speak with one another while a system is upgraded, and what is kept in the register outlives
  every version. The bytes in data/record_format.json were written before the code's identifiers were renamed, and are
  never written again: a test that fails on them has found a change of format.

  Scenario: Everything with a type of its own is read and written as it was
    Given the frozen record examples
    Then there is one for every example that the tests make, 53 in all
    And each frozen example is read as the value that it was made of
    And each frozen example, read and written again, has the same bytes
    And each value that the tests make is written as the frozen bytes

  Scenario Outline: A handler answers frozen requests with the frozen answers
    Given the frozen dialogue with a "<daemon>"
    Then the frozen dialogue's requests are built with the same bytes, <count> in all
    And today's handler answers the frozen requests with the same bytes

    Examples:
      | daemon               | count |
      | register replica     | 26    |
      | control daemon       | 13    |
      | operator             | 7     |
      | front end            | 12    |
      | front end that stops | 3     |
      | pooler               | 2     |

  Scenario Outline: Clients send the frozen records
    When the frozen conversation "<subject>" is held by real clients and real handlers
    Then the records that were sent and their answers have the frozen bytes, <count> in all

    Examples:
      | subject  | count |
      | register | 10    |
      | control  | 11    |
      | sessions | 8     |

  Scenario: Wire kinds keep their numbers, their versions and their names in counters
    Then the wire kinds have the frozen numbers and the frozen names in counters
    And each version of the records has the frozen kinds

  Scenario: Error kinds keep their spelling
    Then the error kinds are spelled as the frozen ones, 42 in all

  Scenario: The register's keys and the names of leases stay
    Then the register's keys are the frozen ones
    And the names of leases are the frozen ones

  Scenario: The fence of promotions goes on from the number that is kept
    Then the next holder of the promotion duty counts the frozen fence up to the frozen next one

  Scenario: Documents that operators wrote are still accepted
    Then the frozen configuration document is accepted as version 1
    And the frozen shard document is accepted as version 4
    And the frozen service configuration of before digests were kept is read as version 9

  Scenario: A record's frame and the mark of its version stay
    Then the frozen frame is read from a connection, and written with the same bytes
    And the frozen marks of a version and of a denial are read and written with the same bytes
