"""Formats slopes, times and the projection as Markdown tables."""

import math
from collections.abc import Sequence
from typing import Any

from .fit import Fit
from .projection import Projection
from .results import Results
from .step import Step
from .target_size import TargetSize


def formula(*, fit: Fit) -> str:
    """Formats each coefficient with its standard error and term."""
    formatted = []
    for name, value in fit.coefficients.items():
        error = fit.errors.get(name, math.nan)
        standard_error = "" if math.isnan(error) else f" ± {error:.1g}"
        formatted.append(f"({value:.4g}{standard_error})" + ("" if name == "1" else f" {name}"))
    return " + ".join(formatted)


def report(*, lines: Sequence[dict[str, Any]]) -> str:
    """Formats the report on the JSON lines of one or more runs."""
    results = Results(lines=lines)
    out = ["## Slopes", "", "| Slope | Fit | Unit | Points | Worst point |", "| --- | --- | --- | --- | --- |"]
    for name, fit in results.slopes.items():
        out.append(f"| {name} | {formula(fit=fit)} | {results.units[name]} | {fit.points} | {fit.max_residual:.0%} |")
    out += ["", "## Times", "", "| Step | What | Figures |", "| --- | --- | --- |"]
    for line in results.times:
        step = Step(**{name: line[name] for name in Step.__dataclass_fields__})
        rest = {k: v for k, v in line.items() if k not in ("kind", "what", *Step.__dataclass_fields__)}
        out.append(f"| {step} | {line['what']} | {', '.join(f'{k} {v}' for k, v in rest.items())} |")
    projection = Projection(results=results, size=TargetSize())
    out += [
        "",
        "## Reckoned",
        "",
        "| Role | What | From | Reckoned | Limit | Verdict |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    out += [row.line() for row in projection.rows]
    unmeasured = [line for line in lines if line["kind"] == "unmeasured"]
    out += ["", f"Not measured to the end: {len(unmeasured)}"]
    out += [f"- {line}" for line in unmeasured]
    return "\n".join(out)
