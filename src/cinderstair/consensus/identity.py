"""The identity that a register replica's disk holds."""

from ..runtime.context import Context
from .store import Store, ident_entry

IDENTITY_BITS = 62


def ensure_identity(*, ctx: Context, store: Store) -> bool:
    """Gives a blank disk a new random identity, which is never 0.

    :returns: whether the disk was blank.
    """
    if store.held.ident != 0:
        return False
    store.held.ident = ctx.rng.getrandbits(IDENTITY_BITS) | 1
    store.save(entries=[ident_entry(ident=store.held.ident)])
    return True
