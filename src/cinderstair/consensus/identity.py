"""The identity of a register replica, which is stored on its disk."""

from ..runtime.context import Context
from .durable_state import ident_entry
from .store import Store

IDENTITY_BITS = 62


def ensure_identity(*, ctx: Context, store: Store) -> bool:
    """Stores a new random identity, which is never 0, on a blank disk. Raises OSError if the disk fails.

    :returns: whether the disk was blank.
    """
    if store.state.ident != 0:
        return False
    store.state.ident = ctx.rng.getrandbits(IDENTITY_BITS) | 1
    store.save(entries=[ident_entry(ident=store.state.ident)])
    return True
