Feature: Validation of shard map documents

  Scenario Outline: Checking <document> yields <found>
    When the shard map <document> is checked
    Then the shard map is <found>

    Examples:
      | document                                                          | found                          |
      | {"version": 1, "places": {"a": "s"}}                              | version 1, 51 %, a at s        |
      | {"version": 2, "places": {}, "agree_percent": 100}                | version 2, 100 %, nothing      |
      | {"version": 3, "places": {"a": "s", "b": "t"}, "agree_percent": 67} | version 3, 67 %, a at s, b at t |
      | {"version": 0, "places": {}}                                      | refused: /version              |
      | {"version": true, "places": {}}                                   | refused: /version              |
      | {"version": 1}                                                    | refused: /places               |
      | {"version": 1, "places": ["a"]}                                   | refused: /places               |
      | {"version": 1, "places": {"a": ""}}                               | refused: /places               |
      | {"version": 1, "places": {"a": 1}}                                | refused: /places               |
      | {"version": 1, "places": {}, "agree_percent": 50}                 | refused: /agree_percent        |
      | {"version": 1, "places": {}, "agree_percent": 101}                | refused: /agree_percent        |
      | {"version": 1, "places": {}, "more": 1}                           | refused: /more                 |
      | ["version"]                                                       | refused: /: must be an object  |
      | {"version": 1, "places": {"a                                      | refused: not JSON              |
      | {"version": 1, "places": {"a": "s", "a": "t"}}                    | refused: line 1: 'a' occurs more than once |

  Scenario Outline: Checking <places> against the configuration and the current map <current> yields <problems>
    Given databases "a, b, c", services "s, t", and a map in force with "<current>"
    When a map with the places "<places>", one per line, is checked
    Then the problems are "<problems>"

    Examples:
      | current | places     | problems                                              |
      |         | a: t       | none                                                  |
      | a: t    | a: t, b: t | none                                                  |
      | a: t    | b: t       | 'a' is lost: map 1 places it at 't'; add it to places |
      |         | a: t, d: t | line 5: 'd' is no database of configuration 7         |
      |         | a: u, b: t | line 4: 'a': 'u' is no service of configuration 7     |
      | c: t    | a: u, d: t | 'c' is lost: map 1 places it at 't'; add it to places / line 4: 'a': 'u' is no service of configuration 7 / line 5: 'd' is no database of configuration 7 |

  Scenario: Shard states survive encoding, and truncated encodings are rejected
    Then 200 random shard states decode to what was encoded
    And every truncation of their encodings is rejected
