"""Addresses, for the record protocol, of the other controllers and of the voters."""

from ..consensus.register_replica import RegisterReplica
from ..consensus.roster import Roster
from ..membership.member import REGISTER_REPLICA_ROLE, Standing
from ..runtime.settings import Settings


class ControllerAddresses:
    """Combines addresses from the membership, the roster and the settings; `settings` may be replaced at any time."""

    def __init__(self, *, settings: Settings, register_replica: RegisterReplica) -> None:
        self.settings = settings
        self.register_replica = register_replica

    def controllers(self) -> tuple[str, ...]:
        """This controller and those that the membership reports alive, sorted."""
        membership = self.register_replica.membership
        others = (
            [] if membership is None else [member.records for member in membership.alive(role=REGISTER_REPLICA_ROLE)]
        )
        return tuple(sorted({self.settings.records, *others}))

    def voters(self) -> tuple[str, ...]:
        """The voters of the register; empty while no roster is known."""
        # the register client may have learned a newer roster than the local replica holds
        return _voter_addresses(roster=self.register_replica.register.roster or self.register_replica.roster)

    def relaying_peers(self) -> list[str]:
        """The other controllers from which a proxy may have got a view that is still current.

        These are all peers except voters that the membership has removed: a member is removed only long after it
        stopped answering. One that announced its end may have answered proxies until just now.
        """
        membership = self.register_replica.membership
        members = {} if membership is None else {each.records: each for each in membership.members.values()}
        return [
            address
            for address in self.peers()
            if address not in members or members[address].standing != Standing.dead
        ]

    def peers(self) -> list[str]:
        """The other controllers: members and voters; the configured seeds stand in for voters without a roster."""
        roster = self.register_replica.roster or self.register_replica.register.roster
        voters = self.settings.seeds if roster is None else _voter_addresses(roster=roster)
        addresses = dict.fromkeys((*self.controllers(), *voters))
        return [address for address in addresses if address != self.settings.records]


def _voter_addresses(*, roster: Roster | None) -> tuple[str, ...]:
    return () if roster is None else tuple(voter.address for voter in roster.voters)
