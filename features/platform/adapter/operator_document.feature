Feature: Validation of the operator's document

  Background:
    Given a valid document

  Scenario: A valid document is accepted and stored byte for byte
    Then the document is accepted
    And the route of the database db1 is s1 as primary within 650000 us, at most 1100000 us old
    And the route of the database db2 is s2 as bounded within 500 us, at most 1100000 us old
    And version 21 is read, and service s1 has 40 links and 1 confirmations
    And version 21 is read, and service s2 has 26 links and 0 confirmations

  Scenario Outline: A document with unknown fields, defaults or limit values is accepted
    When the document has its <place> as <value>
    Then the document is accepted

    Examples: unknown fields are ignored
      | place               | value      |
      | new                 | {"a": [1]} |
      | routes.0.goal_ms    | "soon"     |
      | services.0.protocol | 7          |
      | limits.head_bytes   | null       |

    Examples: fields with a default, and limits of ranges
      | place                | value   |
      | routes.0.rank        | missing |
      | routes.0.max_age_ms  | missing |
      | services.0.waits_for | missing |
      | limits               | missing |
      | limits               | {}      |
      | revision             | 0       |
      | routes               | []      |
      | routes.0.give_up_ms  | 1       |

  Scenario Outline: A document with a missing, wrong or inconsistent field is refused
    When the document has its <place> as <value>
    Then the document is refused

    Examples: a required field is missing
      | place                | value   |
      | revision             | missing |
      | routes               | missing |
      | services             | missing |
      | routes.1.name        | missing |
      | routes.1.host_name   | missing |
      | routes.1.path_start  | missing |
      | routes.1.sort        | missing |
      | routes.1.target      | missing |
      | routes.1.give_up_ms  | missing |
      | services.0.name      | missing |
      | services.0.max_links | missing |

    Examples: a value of the wrong type or outside its range
      | place                | value    |
      | revision             | "seven"  |
      | revision             | 7.5      |
      | revision             | true     |
      | revision             | -1       |
      | revision             | null     |
      | routes               | {}       |
      | routes.0             | 7        |
      | routes.0.sort        | "newest" |
      | routes.0.give_up_ms  | 0        |
      | routes.0.give_up_ms  | 0.0      |
      | routes.0.give_up_ms  | -5       |
      | routes.0.give_up_ms  | null     |
      | routes.0.give_up_ms  | "soon"   |
      | routes.0.give_up_ms  | [650]    |
      | routes.0.give_up_ms  | NaN      |
      | routes.0.give_up_ms  | Infinity |
      | routes.0.host_name   | 7        |
      | routes.0.host_name   | ""       |
      | routes.0.target      | null     |
      | routes.0.rank        | -1       |
      | routes.0.max_age_ms  | -1       |
      | services.0           | "s1"     |
      | services.0.max_links | 0        |
      | services.0.max_links | "many"   |
      | services.0.waits_for | -1       |
      | limits               | 7        |
      | limits.tx_rest_ms    | "long"   |

    Examples: names that can't be encoded in a record
      | place              | value    |
      | routes.0.host_name | "\ud800" |

    Examples: unknown services and duplicates
      | place               | value |
      | routes.0.target     | "s3"  |
      | services.0.name     | "s9"  |
      | services.1.name     | "s1"  |
      | routes.0.host_name  | "db2" |
      | routes.2.path_start | "/"   |

  Scenario: A truncated document is refused
    Then every proper prefix of the document is refused

  Scenario Outline: Text that is not a document is refused
    Then the document <text> is refused

    Examples:
      | text                |
      | null                |
      | []                  |
      | "text"              |
      | 7                   |
      | {}                  |
      | {"revision": 1e999} |
      | of nothing          |
      | of noise            |
      | of 100000 brackets  |
