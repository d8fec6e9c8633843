Feature: External names are kept
  Names in the wire protocols, keys of stored data and settings, flags, counters, HTTP paths and lease names are
  collected from the sources and compared with data/outward_names.txt, which was recorded before identifiers were
  renamed. New names may be added to the file; a listed name may not disappear from its package.

  Scenario: Every listed name occurs in the sources of its package
    Then the sources contain every listed external name

  Scenario Outline: Renaming an external name is reported
    When "<before>" is renamed to "<after>" in the package "<package>"
    Then exactly the external names <names> are missing

    Examples:
      | before      | after         | package   | names                                             |
      | vault.syncs | replica.syncs | consensus | counter consensus vault.syncs                     |
      | iAcceptLoss | accept_loss   | cli       | text cli iAcceptLoss                              |
      | crowded     | overloaded    | runtime   | enum runtime crowded                              |
      | STEPDOWN    | STEP_DOWN     | adapter   | text adapter STEPDOWN, trial platformsim STEPDOWN |
