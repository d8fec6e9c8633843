Feature: A pool of links to one backend

  Scenario: Links are opened on request, up to the limit
    Given a pool of 2 links
    When 1 clients request a link
    Then the requests have the outcomes "1 a link"
    And 1 links are open and 1 were dialled
    When 4 clients request a link
    Then the requests have the outcomes "2 a link, 3 waits"
    And 2 links are open and 2 were dialled

  Scenario: Released links are reused
    Given a pool of 2 links
    When 2 clients request a link
    And all links are released
    And 2 clients request a link
    Then the requests have the outcomes "2 a link"
    And 2 links are open and 2 were dialled

  Scenario Outline: Queued requests are served by rank, then in order of arrival
    Given a pool of 1 links
    When 1 clients request a link
    And requests of the ranks "<ranks>" arrive
    And links are released one at a time until all requests are served
    Then the requests were served in the order "<order>"

    Examples:
      | ranks         | order         |
      | 2, 0, 1       | 0, 1, 2       |
      | 1, 1, 0, 1, 0 | 0, 0, 1, 1, 1 |

  Scenario: A request is refused at once if too many are queued
    Given a pool of 1 links
    When 1 clients request a link
    And 16 clients request a link
    Then the requests have the outcomes "1 a link, 16 waits"
    When 1 clients request a link
    Then the requests have the outcomes "1 a link, 1 crowded, 16 waits"
    And the last request ended within 1 ms

  Scenario: A request is refused at once if the expected wait exceeds its deadline
    Given a pool of 1 links
    When 1 clients request a link
    And 6 clients request a link
    And 1 clients request a link within 100 ms
    And 1 ms pass at the pool
    Then the requests have the outcomes "1 a link, 1 crowded, 6 waits"
    And the last request ended within 1 ms

  Scenario: A queued request fails at its deadline
    Given a pool of 1 links
    When 1 clients request a link
    And 1 clients request a link within 60 ms
    And 61 ms pass at the pool
    Then the requests have the outcomes "1 a link, 1 crowded"

  Scenario Outline: A link that is handed to a request that ends at the same time returns to the pool
    Given a pool of 1 links
    When 1 clients request a link
    And <moment>
    Then either that request got the link or another can borrow it

    Examples:
      | moment                                                                                 |
      | the borrowed link is released at the very moment of a queued request's deadline        |
      | the borrowed link is released and the queued request is cancelled before it runs again |

  Scenario Outline: An unreachable backend is dialled with backoff and suspected once
    Given a pool of 2 links
    And its dials end with "<dials>"
    When 1 clients request a link
    And 5 ms pass at the pool
    Then the requests have the outcomes "1 noBackend"
    And the backend was suspected <suspected> times
    When 1 clients request a link
    Then the requests have the outcomes "2 noBackend"
    And 0 links are open and 1 were dialled
    When 200 ms pass at the pool
    And 1 clients request a link
    Then 0 links are open and 2 were dialled
    And the backend was suspected <suspected> times
    When 1000 ms pass at the pool
    And 1 clients request a link
    Then 1 links are open and 3 were dialled

    Examples:
      | dials            | suspected |
      | refused, refused | 1         |
      | unsure, refused  | 1         |

  Scenario: At a backend's connection limit requests stay queued, and it is dialled again soon
    Given a pool of 2 links
    And its dials end with "full, full, full"
    When 1 clients request a link
    Then the requests have the outcomes "1 waits"
    When 200 ms pass at the pool
    Then the requests have the outcomes "1 a link"
    And 1 links are open and 4 were dialled
    And the backend was suspected 0 times

  Scenario: A request that arrives before the next dial of a full backend is queued
    Given a pool of 2 links
    And its dials end with "full"
    When 1 clients request a link
    And 1 clients request a link
    And 200 ms pass at the pool
    Then the requests have the outcomes "2 a link"

  Scenario: An idle link on demand is closed after a timeout
    Given a pool of 1 links
    And links that are opened on demand
    When 1 clients request a link
    And all links are released
    And 300 ms pass at the pool
    And 1 clients request a link
    Then 1 links are open and 1 were dialled
    When all links are released
    And 350 ms pass at the pool
    Then 1 links are open and 1 were dialled
    When 100 ms pass at the pool
    Then 0 links are open and 1 were dialled
    And the backend was suspected 0 times
    When 1 clients request a link
    Then the requests have the outcomes "1 a link"

  Scenario: An idle link on demand is closed sooner after the backend reached its connection limit
    Given a pool of 1 links
    And links that are opened on demand
    And a backend that has just reached its connection limit
    When 1 clients request a link
    And all links are released
    And 150 ms pass at the pool
    Then 1 links are open and 1 were dialled
    When 100 ms pass at the pool
    Then 0 links are open and 1 were dialled

  Scenario: A link on demand that is in use stays open
    Given a pool of 1 links
    And links that are opened on demand
    When 1 clients request a link
    And all links are released
    And 1 clients request a link
    And 5000 ms pass at the pool
    Then 1 links are open and 1 were dialled

  Scenario: A refused dial fails no queued request while a link is borrowed
    Given a pool of 2 links
    And its dials end with "ok, full"
    When 1 clients request a link
    And 1 clients request a link
    Then the requests have the outcomes "1 a link, 1 waits"
    When links are released one at a time until all requests are served
    Then the requests have the outcomes "2 a link"

  Scenario Outline: An abandoned statement keeps its link borrowed until the reply or a time limit
    Given a pool of 1 links
    When 1 clients request a link
    And a statement on the borrowed link is abandoned, and answered after <answered> ms
    And <pass> ms pass at the pool
    Then the pool has <idle> idle and <borrowed> borrowed links
    And <open> links are open and 1 were dialled

    Examples:
      | answered | pass | idle | borrowed | open |
      | 300      | 200  | 0    | 1        | 1    |
      | 300      | 400  | 1    | 0        | 1    |
      | 9000     | 2400 | 0    | 1        | 1    |
      | 9000     | 2600 | 0    | 0        | 0    |

  Scenario: A link with the session's values is preferred, then one without values, then any other
    Given a pool of 3 links
    When 3 clients request a link
    And the borrowed links have the values "a=1, b=2, -"
    And all links are released
    And a client with values "b=2" requests a link
    Then the last request got the link with the values "b=2"
    When a client with values "c=3" requests a link
    Then the last request got the link with the values "-"
    When a client with values "c=3" requests a link
    Then the last request got the link with the values "a=1"

  Scenario: A closed pool lends no link, and borrowed links are closed on release
    Given a pool of 2 links
    When 2 clients request a link
    And 1 clients request a link
    And the pool is closed
    Then the requests have the outcomes "2 a link, 1 noBackend"
    And 2 links are open and 2 were dialled
    When all links are released
    Then 0 links are open and 2 were dialled
    When 1 clients request a link
    Then the requests have the outcomes "1 noBackend"
    When the pool is reopened
    And 1 clients request a link
    Then the requests have the outcomes "1 a link, 1 noBackend"

  Scenario: A link that is opened after the pool was closed is closed
    Given a pool of 2 links
    And its dials end with "slow 100"
    When 1 clients request a link
    And the pool is closed
    And 200 ms pass at the pool
    Then the requests have the outcomes "1 noBackend"
    And 0 links are open and 1 were dialled

  Scenario: A lower limit closes links on release
    Given a pool of 3 links
    When 3 clients request a link
    And the pool's limit becomes 1 links
    And all links are released
    Then 1 links are open and 3 were dialled

  Scenario: A lost link is replaced
    Given a pool of 1 links
    When 1 clients request a link
    And 1 clients request a link
    And the borrowed link is lost
    Then the requests have the outcomes "2 a link"
    And 1 links are open and 2 were dialled
    And the backend was suspected 1 times

  Scenario Outline: A backend is suspected once a statement has been unanswered for long, not counting idle time
    Given a pool of 2 links
    When 1 clients request a link
    And the borrowed link is idle for <idle> ms, and then a statement is unanswered for <unanswered> ms
    Then the backend was suspected <suspected> times

    Examples:
      | idle | unanswered | suspected |
      | 0    | 500        | 0         |
      | 0    | 700        | 1         |
      | 400  | 500        | 0         |
      | 3000 | 100        | 0         |
      | 3000 | 700        | 1         |

  Scenario: A backend that replies on another link is not suspected
    Given a pool of 2 links
    When 1 clients request a link
    And the borrowed link is idle for 0 ms, and then a statement is unanswered for 590 ms
    And another link of the backend receives a reply
    And 300 ms pass at the pool
    Then the backend was suspected 0 times

  Scenario: Switching to links on demand closes idle links after a timeout, unless it is switched back
    Given a pool of 2 links
    When 2 clients request a link
    And all links are released
    And 5000 ms pass at the pool
    Then 2 links are open and 2 were dialled
    When links are switched to on demand
    And 300 ms pass at the pool
    And links are switched to permanent
    And 5000 ms pass at the pool
    Then 2 links are open and 2 were dialled
    When links are switched to on demand
    And 450 ms pass at the pool
    Then 0 links are open and 2 were dialled

  Scenario: Queued requests fail at once when the limit becomes 0
    Given a pool of 1 links
    When 1 clients request a link
    And 1 clients request a link
    And the pool's limit is set to 0
    Then the requests have the outcomes "1 a link, 1 noBackend"
    When all links are released
    Then 0 links are open and 1 were dialled
