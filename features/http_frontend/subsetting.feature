Feature: Deterministic subsetting
  The subset algorithm of "Site Reliability Engineering" (Beyer et al., 2016), chapter 20, and the division of caps.

  Scenario Outline: Backends are in equally many subsets, give or take one
    Given <backends> backends, <HTTP proxies> HTTP proxies and subsets of <size>
    Then every backend is in between <least> and <most> subsets

    Examples: the chapter's own cases, then lists with a remainder and of other lengths
      | backends | HTTP proxies | size | least | most |
      | 12       | 10     | 3    | 2     | 3    |
      | 300      | 300    | 10   | 10    | 10   |
      | 12       | 4      | 3    | 1     | 1    |
      | 12       | 8      | 3    | 2     | 2    |
      | 13       | 8      | 3    | 2     | 2    |
      | 3        | 9      | 20   | 9     | 9    |
      | 1        | 5      | 20   | 5     | 5    |
      | 40       | 7      | 20   | 3     | 4    |

  Scenario Outline: Subset sizes of empty, short and uneven lists
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

  Scenario: Within a round each backend is in exactly one subset
    Given 12 backends, 10 HTTP proxies and subsets of 3
    Then the subsets of HTTP proxies 0 to 3 contain every backend once
    And the subsets of HTTP proxies 4 to 7 contain every backend once
    And no two rounds have the same order

  Scenario: The order of a round is the same in every version of Python
    Then the order of 12 backends in rounds 0 and 1 is the recorded one

  Scenario: Subsets do not depend on the order of the input list
    Given 12 backends, 10 HTTP proxies and subsets of 3
    Then the reversed list gives the same subsets

  Scenario: An unfit backend is replaced only in the subsets that contain it
    Given 60 backends, 30 HTTP proxies and subsets of 10
    When backend 7 becomes unfit
    Then each subset with that backend gets one replacement and loses no other backend
    And the replacements are spread over at least 3 backends
    And every subset is as before once the backend is fit again

  Scenario: Deterministic subsetting spreads more evenly than random subsetting
    Given 300 backends, 300 HTTP proxies and subsets of 30
    Then the ratio of most to least used backend is 1.0, and above 1.3 with random subsets

  Scenario Outline: The allotments of a cap add up to the cap
    Given <backends> backends, <HTTP proxies> HTTP proxies and subsets of <size>
    Then the allotments of a cap of <cap> add up to it and differ by at most 1

    Examples:
      | backends | HTTP proxies | size | cap |
      | 3        | 9      | 20   | 64  |
      | 3        | 9      | 20   | 9   |
      | 3        | 9      | 20   | 5   |
      | 12       | 10     | 3    | 60  |

  Scenario Outline: A change of the backend list or of the proxies changes few subset members
    Given <backends> backends, <HTTP proxies> HTTP proxies and subsets of <size>
    When <change>
    Then at most <sets> subset members change

    Examples: a change of proxies changes no other subset; an added backend changes about one member a subset at most
      | backends | HTTP proxies | size | change            | sets |
      | 12       | 10     | 3    | an HTTP proxy joins     | 0    |
      | 12       | 10     | 3    | an HTTP proxy is lost   | 0    |
      | 3        | 9      | 20   | a backend is new  | 9    |
      | 12       | 10     | 3    | a backend is new  | 10   |
      | 60       | 30     | 10   | a backend is new  | 30   |
