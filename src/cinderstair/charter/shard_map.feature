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

  Scenario: Maps and states go through records unchanged, and what is cut short is no map
    Then 200 made-up shard states read back as they were written
    And none of them reads when it is cut short
