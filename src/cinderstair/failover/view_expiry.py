"""The time until views of the register have expired."""


def view_expiry_us(*, lease_us: int) -> int:
    """The time after a write until every view from before it has expired, in microseconds.

    A tenth of the views' lease is added for clock drift.

    :param lease_us: how long a view stays current.
    """
    return lease_us + lease_us // 10
