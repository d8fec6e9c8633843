"""Counts behave's own results: prints 'N passed, N failed' and fails on any failure, or if none ran."""

import json
import sys
from pathlib import Path


def main() -> int:
    features = json.loads(Path(sys.argv[1]).read_text() or "[]")
    statuses = [
        element.get("status", "failed")
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    passed = sum(status == "passed" for status in statuses)
    failed = sum(status not in ("passed", "skipped") for status in statuses)
    code = int(sys.argv[2])
    # why: behave may fail outside any scenario, as in a hook, and that is a failure too
    if code and not failed:
        failed = 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


sys.exit(main())
