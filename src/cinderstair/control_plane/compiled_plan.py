"""The form of the register's values in which proxies get them."""

from ..config.service_plan import PLAN_KEY, read_service_plan


def without_document(key: str, value: bytes) -> bytes:
    """Leaves the operator's document out of a plan, since proxies act on the compiled plan alone.

    :param key: the key of the register under which the value stands; other keys' values are returned as they are.
    """
    if key != PLAN_KEY or not value:
        return value
    return read_service_plan(data=value).bytes(with_document=False)
