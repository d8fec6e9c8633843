Feature: One proxy's links to one backend

  Scenario: Links are opened as they are needed, up to the limit
    Given a pool of 2 links
    When 1 ask for a link
    Then those that asked have "1 a link"
    And 1 links are open and 1 were dialled
    When 4 ask for a link
    Then those that asked have "2 a link, 3 waits"
    And 2 links are open and 2 were dialled

  Scenario: Links that were given back are used again
    Given a pool of 2 links
    When 2 ask for a link
    And all links are given back
    And 2 ask for a link
    Then those that asked have "2 a link"
    And 2 links are open and 2 were dialled

  Scenario Outline: Whoever waits is served by rank, then in the order of coming
    Given a pool of 1 links
    When 1 ask for a link
    And waiters of rank "<ranks>" come
    And one link at a time is given back until all are served
    Then they were served in the order "<order>"

    Examples:
      | ranks         | order         |
      | 2, 0, 1       | 0, 1, 2       |
      | 1, 1, 0, 1, 0 | 0, 0, 1, 1, 1 |

  Scenario: Who can't be served in time is told so at once
    Given a pool of 1 links
    When 1 ask for a link
    And 16 ask for a link
    Then those that asked have "1 a link, 16 waits"
    When 1 ask for a link
    Then those that asked have "1 a link, 1 crowded, 16 waits"
    And the last one was told within 1 ms

  Scenario: Who asks for less time than those before it are likely to take is told so at once
    Given a pool of 1 links
    When 1 ask for a link
    And 6 ask for a link
    And 1 ask for a link for 100 ms
    And 1 ms pass at the pool
    Then those that asked have "1 a link, 1 crowded, 6 waits"
    And the last one was told within 1 ms

  Scenario: Nobody waits longer than it said
    Given a pool of 1 links
    When 1 ask for a link
    And 1 ask for a link for 60 ms
    And 61 ms pass at the pool
    Then those that asked have "1 a link, 1 crowded"

  Scenario Outline: A link that is handed over to one that just gave up is not lost to the others
    Given a pool of 1 links
    When 1 ask for a link
    And <moment>
    Then either it got the link or another may have it

    Examples:
      | moment                                                                      |
      | the held link is given back at the very moment at which a waiter's time is up |
      | the held link is given back and the waiter is cancelled before it runs again |

  Scenario Outline: A backend that can't be reached is dialled less and less often, and blamed once
    Given a pool of 2 links
    And its dials go "<dials>"
    When 1 ask for a link
    And 5 ms pass at the pool
    Then those that asked have "1 noBackend"
    And the backend was blamed <blamed> times
    When 1 ask for a link
    Then those that asked have "2 noBackend"
    And 0 links are open and 1 were dialled
    When 200 ms pass at the pool
    And 1 ask for a link
    Then 0 links are open and 2 were dialled
    And the backend was blamed <blamed> times
    When 1000 ms pass at the pool
    And 1 ask for a link
    Then 1 links are open and 3 were dialled

    Examples:
      | dials            | blamed |
      | refused, refused | 1      |
      | unsure, refused  | 1      |

  Scenario: A backend that is full is there, so who waits goes on waiting, and it is asked again soon
    Given a pool of 2 links
    And its dials go "full, full, full"
    When 1 ask for a link
    Then those that asked have "1 waits"
    When 200 ms pass at the pool
    Then those that asked have "1 a link"
    And 1 links are open and 4 were dialled
    And the backend was blamed 0 times

  Scenario: Who comes while a full backend is to be asked again waits as well
    Given a pool of 2 links
    And its dials go "full"
    When 1 ask for a link
    And 1 ask for a link
    And 200 ms pass at the pool
    Then those that asked have "2 a link"

  Scenario: Where links are lent, one that nobody uses is given back, sooner while the backend is full
    Given a pool of 1 links
    And links that are lent
    When 1 ask for a link
    And all links are given back
    And 300 ms pass at the pool
    And 1 ask for a link
    Then 1 links are open and 1 were dialled
    When all links are given back
    And 350 ms pass at the pool
    Then 1 links are open and 1 were dialled
    When 100 ms pass at the pool
    Then 0 links are open and 1 were dialled
    And the backend was blamed 0 times
    When 1 ask for a link
    Then those that asked have "1 a link"

  Scenario: Where the backend was full lately, a lent link is given back soon
    Given a pool of 1 links
    And links that are lent
    And a backend that was full just now
    When 1 ask for a link
    And all links are given back
    And 150 ms pass at the pool
    Then 1 links are open and 1 were dialled
    When 100 ms pass at the pool
    Then 0 links are open and 1 were dialled

  Scenario: A lent link that is in use is not given back
    Given a pool of 1 links
    And links that are lent
    When 1 ask for a link
    And all links are given back
    And 1 ask for a link
    And 5000 ms pass at the pool
    Then 1 links are open and 1 were dialled

  Scenario: A refused dial fails nobody while links are held that will be given back
    Given a pool of 2 links
    And its dials go "ok, full"
    When 1 ask for a link
    And 1 ask for a link
    Then those that asked have "1 a link, 1 waits"
    When one link at a time is given back until all are served
    Then those that asked have "2 a link"

  Scenario Outline: A statement that nobody waits for any more holds its link until it is answered, or too late
    Given a pool of 1 links
    When 1 ask for a link
    And a statement on the held link is given up, and answered after <answered> ms
    And <pass> ms pass at the pool
    Then the pool has <idle> idle and <taken> taken
    And <open> links are open and 1 were dialled

    Examples:
      | answered | pass | idle | taken | open |
      | 300      | 200  | 0    | 1     | 1    |
      | 300      | 400  | 1    | 0     | 1    |
      | 9000     | 2400 | 0    | 1     | 1    |
      | 9000     | 2600 | 0    | 0     | 0    |

  Scenario: A link with the session's values is taken before one without any, and that before one with others
    Given a pool of 3 links
    When 3 ask for a link
    And the held links have the values "a=1, b=2, -"
    And all links are given back
    And one with values "b=2" asks for a link
    Then the last one got the link with the values "b=2"
    When one with values "c=3" asks for a link
    Then the last one got the link with the values "-"
    When one with values "c=3" asks for a link
    Then the last one got the link with the values "a=1"

  Scenario: A pool that is shut gives out nothing, and lets what is under way end
    Given a pool of 2 links
    When 2 ask for a link
    And 1 ask for a link
    And the pool is shut
    Then those that asked have "2 a link, 1 noBackend"
    And 2 links are open and 2 were dialled
    When all links are given back
    Then 0 links are open and 2 were dialled
    When 1 ask for a link
    Then those that asked have "1 noBackend"
    When the pool is reopened
    And 1 ask for a link
    Then those that asked have "1 a link, 1 noBackend"

  Scenario: A link that arrives at a pool that was shut meanwhile is closed
    Given a pool of 2 links
    And its dials go "slow 100"
    When 1 ask for a link
    And the pool is shut
    And 200 ms pass at the pool
    Then those that asked have "1 noBackend"
    And 0 links are open and 1 were dialled

  Scenario: A smaller limit closes links as they are given back
    Given a pool of 3 links
    When 3 ask for a link
    And the pool may have 1 links
    And all links are given back
    Then 1 links are open and 3 were dialled

  Scenario: A link that is lost makes room for another
    Given a pool of 1 links
    When 1 ask for a link
    And 1 ask for a link
    And the held link is lost
    Then those that asked have "2 a link"
    And 1 links are open and 2 were dialled
    And the backend was blamed 1 times

  Scenario Outline: A backend is blamed once it has owed answers for long, counted from what it was asked
    Given a pool of 2 links
    When 1 ask for a link
    And the held link rests for <rest> ms, and then owes an answer for <owe> ms
    Then the backend was blamed <blamed> times

    Examples:
      | rest | owe | blamed |
      | 0    | 500 | 0      |
      | 0    | 700 | 1      |
      | 400  | 500 | 0      |
      | 3000 | 100 | 0      |
      | 3000 | 700 | 1      |

  Scenario: A backend that answers others is not blamed
    Given a pool of 2 links
    When 1 ask for a link
    And the held link rests for 0 ms, and then owes an answer for 590 ms
    And another link of the backend is heard
    And 300 ms pass at the pool
    Then the backend was blamed 0 times

  Scenario: Links that were kept and are lent from now on go soon, and are kept again where that is taken back
    Given a pool of 2 links
    When 2 ask for a link
    And all links are given back
    And 5000 ms pass at the pool
    Then 2 links are open and 2 were dialled
    When links are lent
    And 300 ms pass at the pool
    And links are kept
    And 5000 ms pass at the pool
    Then 2 links are open and 2 were dialled
    When links are lent
    And 450 ms pass at the pool
    Then 0 links are open and 2 were dialled

  Scenario: Who waits for a link of a proxy that may hold none any more is told so at once
    Given a pool of 1 links
    When 1 ask for a link
    And 1 ask for a link
    And the pool may have no links any more
    Then those that asked have "1 a link, 1 noBackend"
    When all links are given back
    Then 0 links are open and 1 were dialled
