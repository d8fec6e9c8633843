"""Steps for the HTTP responses to error codes."""

from pathlib import Path
from typing import Any

from behave import then

from cinderstair.runtime.error_responses import ERROR_RESPONSES, REJECTED, UNKNOWN
from cinderstair.runtime.errors import ErrorCode

PAGE = Path(__file__).parents[2] / "docs" / "interface.md"
INTERNAL_CODES = {ErrorCode.BAD_SETTINGS, ErrorCode.DISK_DAMAGED}


@then("every error code has a response, with the outcome denied or unknown and an error status")
def then_table(context: Any) -> None:
    assert set(ERROR_RESPONSES) == set(ErrorCode), set(ErrorCode) ^ set(ERROR_RESPONSES)
    for code, response in ERROR_RESPONSES.items():
        assert response.outcome in (REJECTED, UNKNOWN) and 400 <= response.status <= 599, code


@then("the outcome is unknown only for codes after which the request may have run")
def then_unknown(context: Any) -> None:
    unknown = {code for code, response in ERROR_RESPONSES.items() if response.outcome == UNKNOWN}
    # A backend that responds with an error of its own may have run the request, whichever error it reports.
    assert unknown == {
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.REGISTER_UNSURE,
        ErrorCode.NO_RESPONSE,
        ErrorCode.INTERNAL,
        ErrorCode.BACKEND_FAULT,
    }, unknown


@then("the interface documentation lists every error code that a client can receive, with its status")
def then_page(context: Any) -> None:
    page = PAGE.read_text()
    missing = [
        code.value
        for code in ErrorCode
        if code not in INTERNAL_CODES and f"| `{code.value}` | {ERROR_RESPONSES[code].status}" not in page
    ]
    assert not missing, missing
