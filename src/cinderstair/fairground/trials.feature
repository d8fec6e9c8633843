Feature: What must never happen
  Each trial brings one failure about in a simulated world at work; every checker looks on.

  Scenario Outline: Nothing that must never happen does, in <trial>
    When the trial <trial> is run with seeds 1 to 2
    Then the checkers find nothing
    And at least <done> jobs were done

    Examples:
      | trial                 | done |
      | primaryKilled         | 1000 |
      | primaryFrozen         | 700  |
      | primaryCut            | 500  |
      | overrideUnderCut      | 700  |
      | primaryMuted          | 700  |
      | holderKilledToo       | 1000 |
      | candidateKilledToo    | 1000 |
      | deafReplica           | 1000 |
      | laggingReplica        | 1000 |
      | slowBackend           | 1000 |
      | primaryAndReplicaLost | 1000 |
      | stallKilled           | 1000 |
      | stallFrozen           | 700  |
      | clientsVanish         | 700  |
      | stallsStopped         | 1000 |
      | hallMoved             | 1500 |
      | hallMovedAmidCrashes  | 1500 |
      | wholeHallHeldBack     | 1000 |
      | moveCancelled         | 800  |
      | vaultsTurned          | 1000 |
      | vaultsGone            | 1000 |
      | vaultDisks            | 700  |
      | vaultWiped            | 1000 |
      | answersLost           | 700  |
      | promotionLost         | 1000 |
      | backendEmpties        | 1500 |
      | beatsLost             | 1000 |
      | restartsInTurn        | 2000 |
      | configurations        | 1000 |
      | chaos                 | 2000 |

  Scenario Outline: What wide sweeps once found stays mended: <found>
    When the trial <trial> is run with seeds <seed> to <seed>
    Then the checkers find nothing

    Examples:
      | found                                                 | trial              | seed |
      | a lead settled with nobody in sync forgot its heirs   | candidateKilledToo | 6    |
      | a stall ended under a job that was just coming in     | stallsStopped      | 7    |
