"""Converts register values to the form in which they are relayed to proxies."""

from ..config.service_plan import PLAN_KEY, read_service_plan


def without_document(key: str, value: bytes) -> bytes:
    """Removes the operator's document from a plan, since proxies only use the compiled part.

    :param key: the value's key in the register; values of keys other than the plan's are returned unchanged.
    """
    if key != PLAN_KEY or not value:
        return value
    return read_service_plan(data=value).bytes(with_document=False)
