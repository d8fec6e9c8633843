Feature: Operators' commands that send requests to a controller

  Scenario Outline: <command> exits with <code> and prints "<words>" if the response is <answer>
    Given a controller that responds with <answer>
    When an operator runs "<command>"
    Then it ends with <code> and says "<words>"

    Examples:
      | command         | answer                    | code | words                    |
      | controller       | text "all is well"        | 0    | all is well              |
      | shards          | text "map 3: a at s"      | 0    | map 3: a at s            |
      | shards MAP      | text "proposed to the proxies" | 0 | proposed to the proxies |
      | shards MAP      | kind versionOld           | 1    | versionOld:              |
      | shards MAP      | bytes of another shape    | 1    | records address          |
      | shards MISSING  | text "never asked"        | 2    | No such file             |
      | shards plan MAP    | text "a: from s to t"      | 0 | a: from s to t           |
      | shards plan MAP    | kind brokenConfiguration   | 1 | brokenConfiguration:     |
      | shards plan MISSING | text "never asked"        | 2 | No such file             |
      | shards begin MAP   | text "proposed to the proxies" | 0 | proposed to the proxies |
      | shards begin MAP   | kind versionTaken          | 1 | versionTaken:            |
      | shards abandon 3   | text "map 3 is given up"   | 0 | map 3 is given up        |
      | shards abandon 3   | kind versionOld            | 1 | versionOld:              |
      | shards abandon x   | text "never asked"         | 2 | whole number             |
      | shards watch 3     | progress steady, 3, ""     | 0 | steady: so it is         |
      | shards watch 3     | progress steady, 2, "few"  | 1 | steady: so it is         |
      | shards watch 3     | progress steady, 2, ""     | 1 | no change is on its way  |
      | shards watch 3 --wait 1 | progress closing, 2, "" | 3 | neither in force       |
      | shards watch 3 --wait 0 | text "never asked"    | 2 | --wait                   |
      | shards watch 3     | bytes of another shape     | 1 | records address          |

  Scenario Outline: <command> exits with <code> if <address> is invalid or does not respond
    When an operator runs "<command>" at <address>
    Then it ends with <code> and says "<words>"

    Examples:
      | command    | address      | code | words             |
      | controller  | somewhere    | 2    | is not an address |
      | controller  | 127.0.0.1:1  | 1    | wireUnsure        |
      | shards MAP | 127.0.0.1:1  | 3    | wireUnsure        |
