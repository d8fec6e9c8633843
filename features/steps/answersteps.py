"""Steps for the table of answers."""

from pathlib import Path
from typing import Any

from behave import then

from cinderstair.runtime.answers import ANSWERS, DENIED, UNKNOWN
from cinderstair.runtime.kind import Kind

PAGE = Path(__file__).parents[2] / "docs" / "interface.md"
INSIDE = {Kind.badSettings, Kind.diskDamaged}


@then("every kind stands in the table once, as denied or unknown with an error status")
def then_table(context: Any) -> None:
    assert set(ANSWERS) == set(Kind), set(Kind) ^ set(ANSWERS)
    for kind, answer in ANSWERS.items():
        assert answer.outcome in (DENIED, UNKNOWN) and 400 <= answer.status <= 599, kind


@then("only kinds whose job may have run are unknown")
def then_unknown(context: Any) -> None:
    unknown = {kind for kind, answer in ANSWERS.items() if answer.outcome == UNKNOWN}
    # why: a backend that answers with an error of its own may have run the job, whatever it calls the error
    assert unknown == {
        Kind.outcomeUnknown,
        Kind.registerUnsure,
        Kind.wireUnsure,
        Kind.internal,
        Kind.backendFault,
    }, unknown


@then("the interface page lists every kind that can leave an edge, with its status")
def then_page(context: Any) -> None:
    page = PAGE.read_text()
    missing = [
        kind.value for kind in Kind if kind not in INSIDE and f"| `{kind.value}` | {ANSWERS[kind].status}" not in page
    ]
    assert not missing, missing
