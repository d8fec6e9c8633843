Feature: The share
  The design page's deterministic subsetting, as tables from the page and its chapter.

  Scenario Outline: Every backend gets as many HTTP proxies as any other, or one fewer
    Given <backends> backends, <HTTP proxies> HTTP proxies and subsets of <size>
    Then every backend is in between <least> and <most> subsets

    Examples: the chapter's own cases, then a remainder and lists of all lengths
      | backends | HTTP proxies | size | least | most |
      | 12       | 10     | 3    | 2     | 3    |
      | 300      | 300    | 10   | 10    | 10   |
      | 12       | 4      | 3    | 1     | 1    |
      | 12       | 8      | 3    | 2     | 2    |
      | 13       | 8      | 3    | 2     | 2    |
      | 3        | 9      | 20   | 9     | 9    |
      | 1        | 5      | 20   | 5     | 5    |
      | 40       | 7      | 20   | 3     | 4    |

  Scenario Outline: Subset sizes at the edges
    Given <backends> backends, <HTTP proxies> HTTP proxies and subsets of <size>
    Then every HTTP proxy's subset holds between <least> and <most> backends

    Examples:
      | backends | HTTP proxies | size | least | most |
      | 0        | 3      | 20   | 0     | 0    |
      | 5        | 3      | 0    | 0     | 0    |
      | 3        | 9      | 20   | 3     | 3    |
      | 12       | 4      | 3    | 3     | 3    |
      | 13       | 4      | 3    | 3     | 4    |
      | 23       | 4      | 5    | 5     | 6    |

  Scenario: Within a round each backend goes to exactly one HTTP proxy
    Given 12 backends, 10 HTTP proxies and subsets of 3
    Then HTTP proxies 0 to 3 hold every backend once
    And HTTP proxies 4 to 7 hold every backend once
    And no two rounds deal in the same order

  Scenario: The order never changes, whatever the version of Python
    Then the order of 12 backends in rounds 0 and 1 is the recorded one

  Scenario: The order in which the list arrives does not matter
    Given 12 backends, 10 HTTP proxies and subsets of 3
    Then a list that arrives in another order gives the same subsets

  Scenario: A loss moves one channel set of those that held it, and nothing else
    Given 60 backends, 30 HTTP proxies and subsets of 10
    When backend 7 becomes unfit
    Then each HTTP proxy that held it opens one replacement and closes nothing else
    And the replacements are spread over at least 3 backends
    And its return brings every subset back as it was

  Scenario: Subsetting by design is compared with random subsetting
    Given 300 backends, 300 HTTP proxies and subsets of 30
    Then the spread by design is 1.0 and the spread by random draws is above 1.3

  Scenario Outline: The cap is shared out whole, and never exceeded
    Given <backends> backends, <HTTP proxies> HTTP proxies and subsets of <size>
    Then the allotments of a cap of <cap> add up to it and differ by at most 1

    Examples:
      | backends | HTTP proxies | size | cap |
      | 3        | 9      | 20   | 64  |
      | 3        | 9      | 20   | 9   |
      | 3        | 9      | 20   | 5   |
      | 12       | 10     | 3    | 60  |

  Scenario Outline: A change of the list or of the ids moves few channel sets
    Given <backends> backends, <HTTP proxies> HTTP proxies and subsets of <size>
    When <change>
    Then at most <sets> of the subset places change

    Examples: an HTTP proxy more or less moves nobody else; a listed change moves about one place a subset at the most
      | backends | HTTP proxies | size | change            | sets |
      | 12       | 10     | 3    | an HTTP proxy joins     | 0    |
      | 12       | 10     | 3    | an HTTP proxy is lost   | 0    |
      | 3        | 9      | 20   | a backend is new  | 9    |
      | 12       | 10     | 3    | a backend is new  | 10   |
      | 60       | 30     | 10   | a backend is new  | 30   |
