Feature: Shard maps as operators write them

  Scenario Outline: A document is checked whole: <document>
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
      | ["version"]                                                       | refused: /: not an object      |
      | {"version": 1, "places": {"a                                      | refused: not JSON              |
      | {"version": 1, "places": {"a": "s", "a": "t"}}                    | refused: line 1: 'a' is named twice |

  Scenario Outline: A map is held against the configuration and the map in force: <why>
    Given databases "a, b, c", services "s, t", and a map in force with "<stands>"
    When the places "<places>", each on a line of its own, are checked
    Then the reasons are "<why>"

    Examples:
      | stands | places         | why                                                              |
      |        | a: t           | none                                                             |
      | a: t   | a: t, b: t     | none                                                             |
      | a: t   | b: t           | 'a' is lost: map 1 has it at 't'; name its place                 |
      |        | a: t, d: t     | line 5: 'd' is no database of configuration 7                    |
      |        | a: u, b: t     | line 4: 'a': 'u' is no service of configuration 7                |
      | c: t   | a: u, d: t     | 'c' is lost: map 1 has it at 't'; name its place / line 4: 'a': 'u' is no service of configuration 7 / line 5: 'd' is no database of configuration 7 |

  Scenario: Maps and states go through records unchanged, and what is cut short is no map
    Then 200 made-up shard states read back as they were written
    And none of them reads when it is cut short
