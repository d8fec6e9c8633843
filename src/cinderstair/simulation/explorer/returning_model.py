"""A voter that was replaced while it was unreachable returns and is made a voter again."""

from collections.abc import Hashable

from ...consensus.ballot import Ballot
from ...consensus.cell import Cell
from ...consensus.roster import Roster
from .client_actor import Operation
from .register_model import FIRST_BALLOT, KEY, NEW_BALLOT, RegisterMonitor, founding_roster, read, voter_of, write
from .roster_model import RosterChangeModel, replace_voter
from .world_state import Budget

# Ballot of a write that only c accepted; higher than that of the value chosen since.
LOST_BALLOT = Ballot(5, 9)


class ReturningVoterModel(RosterChangeModel):
    """a, b and d vote under epoch 3 and chose version 2; c only knows epoch 1 and accepted another version 2 there.

    An operator replaces d by c under c's old identity while other clients read and write.
    """

    names: tuple[str, ...] = ("a", "b", "c", "d", "changer-0", "reader", "writer")
    register_replicas = 4
    budget = Budget(restarts=1, timers=6)
    scripts: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("replace d by c", replace_voter(leaves="d", enters=voter_of(name="c"))),),
        (("read", read), ("read again", read)),
        (("write 3", write(3)),),
    )

    def cells(self, *, name: str) -> dict[str, Cell]:
        old = Cell(promised=FIRST_BALLOT, accepted=FIRST_BALLOT, value=b"1:first")
        lost = Cell(promised=LOST_BALLOT, accepted=LOST_BALLOT, value=b"2:lost")
        chosen = Cell(promised=NEW_BALLOT, accepted=NEW_BALLOT, value=b"2:writer")
        return {KEY: lost if name == "c" else chosen, "other": old}

    def initial_monitor(self) -> Hashable:
        return RegisterMonitor(2, (0,) * len(self.scripts), ((1, "1:first"), (2, "2:writer")), ())

    def initial_roster(self, *, name: str) -> Roster | None:
        return founding_roster(names="abc") if name == "c" else founding_roster(names="abd", epoch=3)
