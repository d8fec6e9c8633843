Feature: Operators' verbs that speak to a guildhall

  Scenario Outline: <verb> with <answer> ends with <code> and says "<words>"
    Given a guildhall's address that answers <answer>
    When an operator runs "<verb>"
    Then it ends with <code> and says "<words>"

    Examples:
      | verb            | answer                    | code | words                    |
      | guildhall       | text "all is well"        | 0    | all is well              |
      | shards          | text "map 3: a at s"      | 0    | map 3: a at s            |
      | shards MAP      | text "put to the booths"  | 0    | put to the booths        |
      | shards MAP      | kind versionOld           | 1    | versionOld:              |
      | shards MAP      | bytes of another shape    | 1    | records address          |
      | shards MISSING  | text "never asked"        | 2    | No such file             |

  Scenario Outline: An address that is none, or at which nobody answers
    When an operator runs "<verb>" at <address>
    Then it ends with <code> and says "<words>"

    Examples:
      | verb       | address      | code | words             |
      | guildhall  | somewhere    | 2    | is not an address |
      | guildhall  | 127.0.0.1:1  | 1    | wireUnsure        |
      | shards MAP | 127.0.0.1:1  | 3    | wireUnsure        |
