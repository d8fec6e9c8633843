Feature: Renamed commands still run under their old names
  Each old name works for one more version and prints one warning on standard error; standard output is unchanged.

  Scenario Outline: <old> runs <new> and prints one deprecation warning
    When the commands "<old> <arguments>" and "<new> <arguments>" are run
    Then both end with <code> and print the same on standard output
    And only the old name prints the additional line "warning: command '<old>' is deprecated and will be removed in the next version; use '<new>'"

    Examples:
      | old           | new              | arguments               | code |
      | stall         | http-proxy       | --settings /nowhere     | 2    |
      | vault         | register-replica | --settings /nowhere     | 2    |
      | replace-vault | replace-replica  | v1 v9 --at 127.0.0.1:1  | 1    |
      | replace-vault | replace-replica  | v1                      | 2    |
      | guildhall     | controller       | --at 127.0.0.1:1        | 1    |

  Scenario Outline: Help lists <new> and not its old name <old>
    When the commands "<old> --help" and "<new> --help" are run
    Then both end with 0 and print the same on standard output
    And the program's help lists <new> and not <old>

    Examples:
      | old           | new              |
      | stall         | http-proxy       |
      | vault         | register-replica |
      | replace-vault | replace-replica  |
      | guildhall     | controller       |
