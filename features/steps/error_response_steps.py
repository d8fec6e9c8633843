"""Steps for the table of answers."""

from pathlib import Path
from typing import Any

from behave import then

from cinderstair.runtime.error_responses import ERROR_RESPONSES, REJECTED, UNKNOWN
from cinderstair.runtime.errors import ErrorCode

PAGE = Path(__file__).parents[2] / "docs" / "interface.md"
INSIDE = {ErrorCode.BAD_SETTINGS, ErrorCode.DISK_DAMAGED}


@then("every kind stands in the table once, as denied or unknown with an error status")
def then_table(context: Any) -> None:
    assert set(ERROR_RESPONSES) == set(ErrorCode), set(ErrorCode) ^ set(ERROR_RESPONSES)
    for kind, answer in ERROR_RESPONSES.items():
        assert answer.outcome in (REJECTED, UNKNOWN) and 400 <= answer.status <= 599, kind


@then("only kinds whose job may have run are unknown")
def then_unknown(context: Any) -> None:
    unknown = {kind for kind, answer in ERROR_RESPONSES.items() if answer.outcome == UNKNOWN}
    # why: a backend that answers with an error of its own may have run the job, whatever it calls the error
    assert unknown == {
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.REGISTER_UNSURE,
        ErrorCode.WIRE_UNSURE,
        ErrorCode.INTERNAL,
        ErrorCode.BACKEND_FAULT,
    }, unknown


@then("the interface page lists every kind that can leave an edge, with its status")
def then_page(context: Any) -> None:
    page = PAGE.read_text()
    missing = [
        kind.value
        for kind in ErrorCode
        if kind not in INSIDE and f"| `{kind.value}` | {ERROR_RESPONSES[kind].status}" not in page
    ]
    assert not missing, missing
