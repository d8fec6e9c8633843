"""Steps for the validation of the operator's document."""

import json
from typing import Any

from adapter.operator_document import read_document
from adapter_common import document, raw
from behave import given, then, when

from cinderstair.config.service_plan import read_service_plan
from cinderstair.runtime.errors import ErrorCode


@given("a valid document")
def given_document(context: Any) -> None:
    context.document = document()


@when("the document has its {path} as {value}")
def when_changed(context: Any, path: str, value: str) -> None:
    parent: Any = context.document
    *steps, last = [int(step) if step.isdigit() else step for step in path.split(".")]
    for step in steps:
        parent = parent[step]
    if value == "missing":
        del parent[last]
    else:
        parent[last] = json.loads(value)


def read_changed(*, context: Any) -> Any:
    context.raw = json.dumps(context.document).encode()
    return read_document(raw=context.raw)


@then("the document is accepted")
def then_accepted(context: Any) -> None:
    context.plan = read_changed(context=context)
    assert context.plan.is_ok(), context.plan
    context.plan = context.plan.ok
    assert context.plan.document == context.raw
    assert read_service_plan(data=context.plan.bytes()) == context.plan


@then("the route of the database {database} is {service} as {sort} within {limit_us:d} us, at most {age_us:d} us old")
def then_route(context: Any, database: str, service: str, sort: str, limit_us: int, age_us: int) -> None:
    found = context.plan.routes[database]
    assert (found.service, found.consistency.name, found.time_limit_us, found.max_age_us) == (
        service,
        sort,
        limit_us,
        age_us,
    ), found


@then("version {version:d} is read, and service {service} has {cap:d} links and {confirmations:d} confirmations")
def then_service(context: Any, version: int, service: str, cap: int, confirmations: int) -> None:
    found = context.plan.services[service]
    assert (context.plan.version, found.link_cap, found.confirmations) == (version, cap, confirmations)


@then("the document is refused")
def then_refused(context: Any) -> None:
    found = read_changed(context=context)
    assert found.is_error() and found.error.code == ErrorCode.BROKEN_CONFIGURATION, found
    assert found.error.reason


@then("every proper prefix of the document is refused")
def then_prefixes(context: Any) -> None:
    whole = json.dumps(context.document).encode()
    for end in range(len(whole)):
        assert read_document(raw=whole[:end]).is_error(), whole[:end]


@then("the document {text} is refused")
def then_raw_refused(context: Any, text: str) -> None:
    data = {"of 100000 brackets": b"[" * 100_000, "of noise": b"\xff\xfe\x00{", "of nothing": b""}.get(text)
    found = read_document(raw=raw(text=text) if data is None else data)
    assert found.is_error() and found.error.code == ErrorCode.BROKEN_CONFIGURATION, found
