Feature: The checkers can fail
  A fault is switched into the code under test; the checker for the promise that it breaks must see it.

  Scenario Outline: <fault> is seen in <trial>
    When the trial <trial> is run with seeds <seed> to <seed> and the fault <fault>
    Then the checkers find "<words>"

    Examples:
      | fault             | trial            | seed | words                   |
      | ackAtOnce         | primaryCut       | 2    | acknowledged and lost   |
      | viewForever       | primaryCut       | 1    | primary read            |
      | promoteAtOnce     | overrideUnderCut | 8    | primary read            |
      | sendAgain         | answersLost      | 1    | twice from one try      |
      | sayNothingKept    | answersLost      | 1    | and kept                |
      | anyAge            | laggingReplica   | 1    | live read               |
      | deafToEmptying    | backendEmpties   | 1    | asked after emptying    |
      | noVersions        | configurations   | 1    | an old version          |
      | forgetfulVault    | vaultsTurned     | 1    | read back               |
      | leaveTransactions | clientsVanish    | 1    | another's transaction   |
      | otherText         | stallKilled      | 1    | nobody sent             |
      | mixedValues       | stallKilled      | 1    | was shown               |
      | deafToWindows     | hallMoved        | 1    | still in the old hall   |
      | loseSessions      | hallMoved        | 1    | sessions were lost      |
      | newestAlways      | upgradedInTurn   | 1    | is ready                |
      | neverMove         | primaryKilled    | 1    | service not back        |
      | forgetFloor       | laggingReplica   | 1    | its own session's       |
      | takeAnything      | configurations   | 1    | a broken configuration  |
      | olderAgain        | configurations   | 1    | fell back from          |
      | alteredReadBack   | vaultsTurned     | 1    | read back               |
      | deafToQuiet       | primaryFrozen    | 1    | asked after going quiet |
      | heldDenials       | primaryKilled    | 1    | came only after         |
      | noRetryAfter      | primaryKilled    | 1    | without when to come    |
      | dropAtStop        | stallsStopped    | 2    | was dropped by          |
      | otherParams       | stallKilled      | 1    | nobody sent             |
      | losePrepared      | stallsStopped    | 1    | lost what it had        |
      | neverGiveUp       | primaryMuted     | 6    | came only after         |
      | wholeCap          | capHeld          | 1    | was given               |
      | noCopies          | stallKilled      | 1    | sessions were lost      |
      | anyHandle         | ownersFrozen     | 1    | was shown               |
      | keepCopies        | copiesForgotten  | 1    | still holds             |
      | openAll           | hallMoved        | 1    | a storm after           |
