Feature: Names that leave a process are kept
  Fields and words on the wire, keys of stored data and settings, flags, counters, HTTP paths and lease names are
  collected from the sources and compared with data/outward_names.txt, which was written before the code was reworded.
  New names may be added to the file; a listed name may not disappear from its package.

  Scenario: Every listed name is still in the sources of its package
    Then the sources hold every listed outward name

  Scenario Outline: A name that is renamed in the sources is reported as lost
    When "<before>" is renamed to "<after>" in the package "<package>"
    Then only the outward names <names> are lost

    Examples:
      | before      | after         | package   | names                                             |
      | vault.syncs | replica.syncs | consensus | counter consensus vault.syncs                     |
      | iAcceptLoss | accept_loss   | cli       | text cli iAcceptLoss                              |
      | crowded     | overloaded    | runtime   | enum runtime crowded                              |
      | STEPDOWN    | STEP_DOWN     | adapter   | text adapter STEPDOWN, trial platformsim STEPDOWN |
