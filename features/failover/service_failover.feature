Feature: The duty of keeping a primary

  Scenario: Whoever leads by its own account is taken at its word at first
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    Then the lead went "settled a 3"
    And the platform was asked to promote "nobody"

  Scenario: Nobody is promoted while all is well
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When 20000 ms pass at the controllers
    Then the lead went "settled a 3"
    And "b" was told "nothing"

  Scenario: A planned move says that it closes, has the primary step down, and outwaits all older views
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When "a" announces that it empties
    Then "b" leads and the lead is settled within 4000 ms
    And the lead went "settled a 3, closing a 3, moving b 4, settled b 4"
    And the platform was asked to promote "b under 1"
    And between the first word that it does not serve and the word that another does all older views ran out
    And "a" stepped down at least 250 ms after the word that it closes
    And "b" was told "nothing"
    And no acknowledged commit is lost
    And nobody but one leads, and no copy is paused
    And commits are acknowledged again
    And no controller has crashed

  Scenario: A primary that crashed has its place taken by the furthest copy
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And "b" is 40 behind
    And the duty is held and the lead settled
    When what was acknowledged is noted
    And "a" crashes
    And "a" is suspected
    Then "c" leads and the lead is settled within 4000 ms
    And the lead went "settled a 3, moving c 4, settled c 4"
    And between the first word that it does not serve and the word that another does all older views ran out
    And the position that the lead was fenced at is at or past every acknowledged commit
    And no acknowledged commit is lost
    And "b" was told "pause 4, resume"
    And nobody but one leads, and no copy is paused
    And commits are acknowledged again

  Scenario: A primary that nobody suspects is missed by its beats
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When "a" crashes
    Then "b" leads and the lead is settled within 7000 ms
    And no acknowledged commit is lost

  Scenario Outline: A suspicion alone moves nothing
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    And "a" is <reach> to the controllers
    When "a" is suspected
    And 2000 ms pass at the controllers
    Then the lead went "settled a 3"
    And "b" was told "nothing"

    Examples: it takes connections, and its heartbeats come
      | reach     |
      | reachable |
      | silent    |

  Scenario Outline: Whether a primary is gone is judged by what most controllers see
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    And of <asked> other controllers <reached> reach it
    And "a" is dark to the controllers
    When "a" is suspected
    And 3000 ms pass at the controllers
    Then the lead is settled on "<primary>"
    And the platform was asked to promote "<promoted>"

    Examples:
      | asked | reached | primary | promoted  |
      | 2     | 2       | a       | nobody    |
      | 4     | 3       | a       | nobody    |
      | 1     | 1       | a       | nobody    |
      | 2     | 1       | b       | b under 1 |
      | 2     | 0       | b       | b under 1 |
      | 0     | 0       | b       | b under 1 |

  Scenario Outline: With too few copies paused nobody is placed
    Given a service with <confirmations> confirmations, where "a" leads and "b, c, d" are copies
    And "b" can't be paused
    And the duty is held and the lead settled
    When "a" crashes
    And "a" is suspected
    And 3000 ms pass at the controllers
    Then the platform was asked to promote "<promoted>"
    And no acknowledged commit is lost

    Examples: of 3 copies, each acknowledged commit stands at as many as confirm
      | confirmations | promoted  |
      | 1             | nobody    |
      | 2             | c under 1 |

  Scenario: Copies that were paused in vain are resumed, after a write that shuts the move out
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And "b" can't be paused
    And the duty is held and the lead settled
    When "a" is dark to the controllers
    And "a" is suspected
    And the copies are paused
    And "a" is reachable to the controllers
    And 2000 ms pass at the controllers
    Then the platform was asked to promote "nobody"
    And the lead is settled on "a"
    And each copy that was paused was resumed, and only after a write that confirms the lead
    And nobody but one leads, and no copy is paused
    And commits are acknowledged again

  Scenario: A copy that can't be resumed at once is resumed as soon as it can
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And "b" can't be paused
    And the duty is held and the lead settled
    When "a" is dark to the controllers
    And "a" is suspected
    And the copies are paused
    And "c" is silent to the controllers
    And "a" is reachable to the controllers
    And 4000 ms pass at the controllers
    And "c" is reachable to the controllers
    And 4000 ms pass at the controllers
    Then the lead is settled on "a"
    And nobody but one leads, and no copy is paused

  Scenario: A copy that can't be resumed at the end of a move is resumed as soon as it can
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When "a" crashes
    And "a" is suspected
    And the lead moves on
    And "c" is silent to the controllers
    Then "b" leads and the lead is settled within 4000 ms
    When 2000 ms pass at the controllers
    And "c" is reachable to the controllers
    And 4000 ms pass at the controllers
    Then nobody but one leads, and no copy is paused

  Scenario: A primary that leaves serves on while no copy is near
    Given a service with 1 confirmations, where "a" leads and "b" are copies
    And the duty is held and the lead settled
    When "b" crashes
    And "a" announces that it empties
    And 3000 ms pass at the controllers
    Then the lead went "settled a 3"
    And "a" was told "nothing"
    When "b" comes back
    Then "b" leads and the lead is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A copy is placed once it has all that the primary had when it stepped down
    Given a service with 0 confirmations, where "a" leads and "b, c" are copies
    And "b" is 20 behind, and has all 200 ms after the primary stepped down
    And "c" is 10 behind
    And the duty is held and the lead settled
    When "a" announces that it empties
    Then "b" leads and the lead is settled within 4000 ms
    And the platform was asked to promote "b under 1"
    And no acknowledged commit is lost
    And commits are acknowledged again

  Scenario: Where no copy comes to have all, the primary that stepped down leads again
    Given a service with 0 confirmations, where "a" leads and "b, c" are copies
    And "b" is 20 behind
    And "c" is 10 behind
    And the duty is held and the lead settled
    When "a" announces that it empties
    And the lead closes
    Then "a" leads and the lead is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: A primary that does not step down serves on, and nobody is promoted beside it
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And "a" does not step down
    And the duty is held and the lead settled
    When "a" announces that it empties
    And the lead closes
    Then "a" leads and the lead is settled within 1000 ms
    And the platform was asked to promote "nobody"
    And commits are acknowledged again

  Scenario: A copy that is silent holds up no planned move that another can serve
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    And "b" is silent to the controllers
    When "a" announces that it empties
    Then "c" leads and the lead is settled within 2500 ms
    And no acknowledged commit is lost

  Scenario: While the last copy is not there nothing is moved
    Given a service with 1 confirmations, where "a" leads and "b" are copies
    And the duty is held and the lead settled
    When "b" crashes
    And 1000 ms pass at the controllers
    And "a" crashes
    And "a" is suspected
    And 3000 ms pass at the controllers
    Then the platform was asked to promote "nobody"
    When "a" comes back
    And 3000 ms pass at the controllers
    Then the lead is settled on "a"

  Scenario: One that is not running gives way to another that holds everything
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the platform says that "b" is not running
    And the duty is held and the lead settled
    When "a" crashes
    And "a" is suspected
    Then "c" leads and the lead is settled within 5000 ms
    And the platform was asked to promote "b under 1, c under 1"
    And no acknowledged commit is lost

  Scenario: One that is not running does not give way to another that holds less
    Given a service with 2 confirmations, where "a" leads and "b, c, d" are copies
    And "b" is 40 behind
    And "c" can't be paused
    And the duty is held and the lead settled
    And "c" crashes
    And the platform says that "d" is not running
    When "a" crashes
    And "a" is suspected
    And 4000 ms pass at the controllers
    Then the lead is moving on "d"
    And no acknowledged commit is lost
    When "c" comes back
    Then "c" leads and the lead is settled within 4000 ms
    And no acknowledged commit is lost

  Scenario: One that does not come to lead is given up after a while
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And "b" never comes to lead
    And the duty is held and the lead settled
    When "a" crashes
    And "a" is suspected
    Then "c" leads and the lead is settled within 9000 ms
    And no acknowledged commit is lost

  Scenario: An old primary that comes back in the middle of a move gives way
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When "a" crashes
    And "a" is suspected
    And the copies are paused
    And "a" comes back
    Then "b" leads and the lead is settled within 4000 ms
    And no acknowledged commit is lost
    And nobody but one leads, and no copy is paused

  Scenario Outline: A holder that dies in the middle has its move ended by the next
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    And another controller waits for the duty
    When "a" crashes
    And "a" is suspected
    And the holder of the duty dies <moment>
    Then "b" leads and the lead is settled within 9000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And nobody but one leads, and no copy is paused
    And no controller has crashed

    Examples:
      | moment                           |
      | when the copies are paused       |
      | when the lead moves              |
      | when the platform has been asked |
      | when another leads               |

  Scenario Outline: A holder that dies in the middle of a planned move has it ended by the next
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    And another controller waits for the duty
    When "a" announces that it empties
    And the holder of the duty dies <moment>
    Then "b" leads and the lead is settled within 9000 ms
    And no acknowledged commit is lost
    And commits are acknowledged again
    And nobody but one leads, and no copy is paused
    And no controller has crashed

    Examples:
      | moment                                |
      | when the lead closes                  |
      | when the old primary has stepped down |
      | when the lead moves                   |
      | when the platform has been asked      |

  Scenario: A holder that dies with copies paused, and a primary that is well after all
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    And another controller waits for the duty
    When "a" is dark to the controllers
    And "a" is suspected
    And the holder of the duty dies when the copies are paused
    And "a" is reachable to the controllers
    And 6000 ms pass at the controllers
    Then the lead is settled on "a"
    And each copy that was paused was resumed, and only after a write that confirms the lead
    And nobody but one leads, and no copy is paused
    And commits are acknowledged again

  Scenario: Two holders never call under the same fence
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    And another controller waits for the duty
    When "a" crashes
    And "a" is suspected
    And the holder of the duty dies when the platform has been asked
    Then "b" leads and the lead is settled within 9000 ms
    And no two holders ever called under the same fence, and the fences rose

  Scenario: A holder writes over nothing but what it saw
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When "a" announces that it empties
    And the lead closes
    And another holder has meanwhile written that "c" leads in term 9
    Then that word stands for 1500 ms

  Scenario: A holder that is cut off from the register places nobody
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When the holder of the duty is cut off from the register
    And "a" crashes
    And "a" is suspected
    And 8000 ms pass at the controllers
    Then the platform was asked to promote "nobody"
    And the lead went "settled a 3"

  Scenario: A copy that left with its log keeps one that lacks commits from being promoted
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And "c" is 40 behind
    And the duty is held and the lead settled
    When "b" deregisters, and ends
    And what was acknowledged is noted
    And "a" crashes
    And "a" is suspected
    And 3000 ms pass at the controllers
    Then the platform was asked to promote "nobody"
    When "a" comes back
    Then "a" leads and the lead is settled within 2000 ms
    And no acknowledged commit is lost
    And no controller has crashed

  Scenario: A copy that left holds nobody back once another one holds all that it may have confirmed
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When "b" deregisters, and ends
    And 1000 ms pass at the controllers
    And what was acknowledged is noted
    And "a" crashes
    And "a" is suspected
    Then "c" leads and the lead is settled within 4000 ms
    And the lead went "settled a 3, moving c 4, settled c 4"
    And no acknowledged commit is lost

  Scenario Outline: A copy that left in the dark is settled where <reached> of <asked> others reach it: <word>
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And of <asked> other controllers <reached> reach it
    And the duty is held and the lead settled
    When "b" deregisters, and ends
    And "b" is dark to the controllers
    And 2000 ms pass at the controllers
    Then the deregistration of "b" is settled: <word>

    Examples:
      | asked | reached | word |
      | 2     | 0       | yes  |
      | 1     | 0       | yes  |
      | 2     | 1       | no   |
      | 0     | 0       | no   |

  Scenario: A copy that deregistered and confirms yet is fenced with the others
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And "c" is 40 behind
    And the duty is held and the lead settled
    When "b" deregisters, and serves on
    And 1000 ms pass at the controllers
    And what was acknowledged is noted
    And "a" is dark to the controllers
    And "a" is suspected
    And 4000 ms pass at the controllers
    Then "b" was told "pause 4"
    And no acknowledged commit is lost

  Scenario: A primary that deregisters first and serves on steps down before another one leads
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And the duty is held and the lead settled
    When "a" deregisters, and serves on
    Then "b" leads and the lead is settled within 4000 ms
    And the lead went "settled a 3, closing a 3, moving b 4, settled b 4"
    And "a" stepped down at least 250 ms after the word that it closes
    And no acknowledged commit is lost

  Scenario: A new holder acts only on what was read since it holds the duty
    Given a service with 1 confirmations, where "a" leads and "b, c" are copies
    And another controller waits for the duty
    And the duty is held and the lead settled
    When the other one takes the duty, and reads nothing any more
    Then it holds the duty, takes what it knows for current, and writes nothing
    When the other one reads again
    Then it takes a number for its fence, and confirms the lead
