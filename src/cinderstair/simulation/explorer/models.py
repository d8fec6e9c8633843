"""Registry of the models by their command-line names."""

from .lease_model import LeaseModel
from .lease_roster_model import LeaseRosterModel
from .model import Model
from .register_model import RegisterModel
from .returning_model import ReturningVoterModel
from .roster_model import RosterChangeModel, VoterRemovalModel
from .wipe_model import MovedWipeModel, WipeModel

MODELS: dict[str, type[Model]] = {
    "register": RegisterModel,
    "after_ack_wipe": WipeModel,
    "after_ack_wipe_moved": MovedWipeModel,
    "lease": LeaseModel,
    "lease_roster": LeaseRosterModel,
    "returning": ReturningVoterModel,
    "roster_change": RosterChangeModel,
    "roster_leaving": VoterRemovalModel,
}
