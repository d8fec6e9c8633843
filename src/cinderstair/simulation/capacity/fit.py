"""Least squares over a few terms, with the standard error of each coefficient."""

import math
import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from .step import Step

Term = Callable[[Step], float]
TERMS: Mapping[str, Term] = MappingProxyType(
    {
        "1": lambda step: 1.0,
        "N": lambda step: float(step.proxies),
        "D": lambda step: float(step.databases),
        "G": lambda step: float(step.controllers),
        "ND": lambda step: float(step.proxies * step.databases),
        "DD": lambda step: float(step.databases**2),
        "DDD": lambda step: float(step.databases**3),
        "N/G": lambda step: step.proxies / step.controllers,
        "ND/G": lambda step: step.proxies * step.databases / step.controllers,
        "D/G": lambda step: step.databases / step.controllers,
        "GD": lambda step: float(step.controllers * step.databases),
        "GN": lambda step: float(step.controllers * step.proxies),
        "GD/N": lambda step: step.controllers * step.databases / max(1, step.proxies),
        # what every vote carries, and what is asked of the others of a majority
        "VD": lambda step: float(step.voting * step.databases),
        "MD": lambda step: float(step.voting // 2 * step.databases),
        # what the other controllers hear of backends
        "RD": lambda step: (step.controllers - 1) / step.controllers * step.databases,
        # controllers without a vote read every key again and again, and those with one answer them
        "X": lambda step: (step.controllers - step.voting) * step.databases / step.controllers,
    }
)
# why: below it a coefficient may as well be nothing; three standard errors are seldom passed by chance
SIGNIFICANT_T = 3.0
MIN_PIVOT = 1e-12
REWEIGHTING_ROUNDS = 6


@dataclass(frozen=True, kw_only=True)
class Fit:
    """Coefficients by term. `error` is the standard error; without spare points it is not known (nan)."""

    coefficients: dict[str, float]
    errors: dict[str, float] = field(default_factory=dict)
    residual: float = 0.0
    points: int = 0
    # the largest relative difference between a point and the line
    max_residual: float = 0.0
    covariance: dict[tuple[str, str], float] = field(default_factory=dict)

    def predict(self, *, step: Step) -> float:
        return sum(value * TERMS[name](step) for name, value in self.coefficients.items())

    def standard_error(self, *, step: Step) -> float:
        """The standard error of what it says at a step; nan where it is not known."""
        if not self.covariance:
            return math.nan
        square = sum(value * TERMS[a](step) * TERMS[b](step) for (a, b), value in self.covariance.items())
        return math.sqrt(max(0.0, square))

    def is_significant(self, *, term: str) -> bool:
        """Whether the growth with this term is told from none."""
        error = self.errors.get(term, math.nan)
        return not math.isnan(error) and abs(self.coefficients[term]) > SIGNIFICANT_T * error


def solve_linear_system(*, matrix: list[list[float]], columns: list[list[float]]) -> list[list[float]]:
    """Gauss with the largest pivot, for several right sides; ValueError where the terms can't be told apart."""
    size = len(matrix)
    rows = [[*matrix[i], *(column[i] for column in columns)] for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda r: abs(rows[r][i]))
        if abs(rows[pivot][i]) < MIN_PIVOT:
            raise ValueError("the points can't tell the terms apart")
        rows[i], rows[pivot] = rows[pivot], rows[i]
        rows[i] = [value / rows[i][i] for value in rows[i]]
        for r in range(size):
            if r != i:
                rows[r] = [value - rows[r][i] * head for value, head in zip(rows[r], rows[i], strict=True)]
    return [[rows[i][size + c] for i in range(size)] for c in range(len(columns))]


def least_squares(*, steps: Sequence[Step], values: Sequence[float], terms: Sequence[str]) -> Fit:
    """Each point counts by its distance relative to the line, so that large steps don't drown the others."""
    if len(steps) != len(values) or len(steps) < len(terms):
        raise ValueError(f"{len(values)} points for {len(terms)} terms")
    middle = statistics.median(abs(value) for value in values) or 1.0
    sizes = [max(abs(value), middle / 2) for value in values]
    fit = _weighted_least_squares(steps=steps, values=values, terms=terms, sizes=sizes)
    for _ in range(REWEIGHTING_ROUNDS):
        # why: by the line's own size, since a point that came out small by chance must not count for the most
        sizes = [max(abs(fit.predict(step=step)), middle / 100) for step in steps]
        fit = _weighted_least_squares(steps=steps, values=values, terms=terms, sizes=sizes)
    return fit


def _weighted_least_squares(
    *, steps: Sequence[Step], values: Sequence[float], terms: Sequence[str], sizes: Sequence[float]
) -> Fit:
    weights = [1 / size for size in sizes]
    table = [[TERMS[name](step) * w for name in terms] for step, w in zip(steps, weights, strict=True)]
    # why: terms run from 1 to millions, and columns of one size keep the elimination exact
    scales = [math.sqrt(sum(row[j] ** 2 for row in table)) or 1.0 for j in range(len(terms))]
    table = [[value / scale for value, scale in zip(row, scales, strict=True)] for row in table]
    goal = [value * w for value, w in zip(values, weights, strict=True)]
    size = len(terms)
    square = [[sum(row[i] * row[j] for row in table) for j in range(size)] for i in range(size)]
    right = [sum(row[i] * y for row, y in zip(table, goal, strict=True)) for i in range(size)]
    unit = [[float(i == j) for i in range(size)] for j in range(size)]
    first, *inverse = solve_linear_system(matrix=square, columns=[right, *unit])
    gaps = [y - sum(a * b for a, b in zip(row, first, strict=True)) for row, y in zip(table, goal, strict=True)]
    spare = len(values) - size
    variance = sum(gap**2 for gap in gaps) / spare if spare else math.nan
    errors = [math.sqrt(max(0.0, inverse[j][j]) * variance) / scales[j] if spare else math.nan for j in range(size)]
    return Fit(
        coefficients={name: first[j] / scales[j] for j, name in enumerate(terms)},
        errors=dict(zip(terms, errors, strict=True)),
        residual=math.sqrt(variance) if spare else math.nan,
        points=len(values),
        max_residual=max(abs(gap) for gap in gaps),
        covariance={
            (a, b): inverse[j][i] * variance / scales[i] / scales[j]
            for i, a in enumerate(terms)
            for j, b in enumerate(terms)
            if spare
        },
    )


def fit_significant_terms(*, steps: Sequence[Step], values: Sequence[float], terms: Sequence[str]) -> Fit:
    """The fit with only those terms whose growth is told from none; what was dropped does not show at all."""
    left = list(terms)
    while True:
        fit = least_squares(steps=steps, values=values, terms=left)
        # why: nothing costs less the more there is of it; a slope that falls is of work that was shed or put off
        unclear = [
            name for name in left if not fit.is_significant(term=name) or (name != "1" and fit.coefficients[name] < 0)
        ]
        if not unclear or len(left) == 1:
            return fit
        # why: one at a time, since what one term leaves over may be what makes another one clear
        left.remove(min(unclear, key=lambda name: _t_statistic(fit=fit, name=name)))


def _t_statistic(*, fit: Fit, name: str) -> float:
    error = fit.errors[name]
    if name != "1" and fit.coefficients[name] < 0:
        return -1.0
    return 0.0 if math.isnan(error) or not error else abs(fit.coefficients[name]) / error
