"""Weighted linear least squares over a few terms of a step's size, with standard errors."""

import math
import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from .step import Step

Term = Callable[[Step], float]
# Terms by name: N proxies, D databases, G controllers, V voting controllers; products and quotients of these.
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
        # version vectors: in every vote, and in reads from the other voters of a majority
        "VD": lambda step: float(step.voting * step.databases),
        "MD": lambda step: float(step.voting // 2 * step.databases),
        # heartbeats that a controller gets from other controllers instead of from backends
        "RD": lambda step: (step.controllers - 1) / step.controllers * step.databases,
        # non-voting controllers read every key periodically, and the voters answer them
        "X": lambda step: (step.controllers - step.voting) * step.databases / step.controllers,
    }
)
# A coefficient counts as nonzero above this many standard errors, which noise alone rarely exceeds.
SIGNIFICANT_T = 3.0
MIN_PIVOT = 1e-12
REWEIGHTING_ROUNDS = 6


@dataclass(frozen=True, kw_only=True)
class Fit:
    """Coefficients and their standard errors by term.

    Without residual degrees of freedom (as many points as terms) the standard errors are nan and there is no
    covariance. `residual` is the relative residual standard error, `max_residual` the largest relative
    difference between a point and the fit.
    """

    coefficients: dict[str, float]
    errors: dict[str, float] = field(default_factory=dict)
    residual: float = 0.0
    points: int = 0
    max_residual: float = 0.0
    covariance: dict[tuple[str, str], float] = field(default_factory=dict)

    def predict(self, *, step: Step) -> float:
        """Returns the fitted value at a step of any size."""
        return sum(value * TERMS[name](step) for name, value in self.coefficients.items())

    def standard_error(self, *, step: Step) -> float:
        """Returns the standard error of the prediction at a step, or nan where it is unknown."""
        if not self.covariance:
            return math.nan
        variance = sum(value * TERMS[a](step) * TERMS[b](step) for (a, b), value in self.covariance.items())
        return math.sqrt(max(0.0, variance))

    def is_significant(self, *, term: str) -> bool:
        """Tells whether the coefficient differs from zero by more than SIGNIFICANT_T standard errors."""
        error = self.errors.get(term, math.nan)
        return not math.isnan(error) and abs(self.coefficients[term]) > SIGNIFICANT_T * error


def solve_linear_system(*, matrix: list[list[float]], columns: list[list[float]]) -> list[list[float]]:
    """Gauss-Jordan elimination with partial pivoting for several right sides; ValueError for a singular matrix."""
    size = len(matrix)
    rows = [[*matrix[i], *(column[i] for column in columns)] for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda r: abs(rows[r][i]))
        if abs(rows[pivot][i]) < MIN_PIVOT:
            raise ValueError("singular matrix: the terms are collinear at these points")
        rows[i], rows[pivot] = rows[pivot], rows[i]
        rows[i] = [value / rows[i][i] for value in rows[i]]
        for r in range(size):
            if r != i:
                rows[r] = [value - rows[r][i] * head for value, head in zip(rows[r], rows[i], strict=True)]
    return [[rows[i][size + c] for i in range(size)] for c in range(len(columns))]


def least_squares(*, steps: Sequence[Step], values: Sequence[float], terms: Sequence[str]) -> Fit:
    """Minimizes relative residuals by iterative reweighting, so that large steps don't dominate the fit.

    ValueError where there are fewer points than terms or the terms are collinear.
    """
    if len(steps) != len(values) or len(steps) < len(terms):
        raise ValueError(
            f"{len(values)} values at {len(steps)} steps are too few for {len(terms)} terms, or don't match"
        )
    median = statistics.median(abs(value) for value in values) or 1.0
    sizes = [max(abs(value), median / 2) for value in values]
    fit = _weighted_least_squares(steps=steps, values=values, terms=terms, sizes=sizes)
    for _ in range(REWEIGHTING_ROUNDS):
        # Weights come from fitted values: a measured value that is small by chance would get too much weight.
        sizes = [max(abs(fit.predict(step=step)), median / 100) for step in steps]
        fit = _weighted_least_squares(steps=steps, values=values, terms=terms, sizes=sizes)
    return fit


def _weighted_least_squares(
    *, steps: Sequence[Step], values: Sequence[float], terms: Sequence[str], sizes: Sequence[float]
) -> Fit:
    """Solves the normal equations; each point has the weight 1 / size."""
    weights = [1 / size for size in sizes]
    table = [[TERMS[name](step) * w for name in terms] for step, w in zip(steps, weights, strict=True)]
    # Terms range from 1 to millions; columns of unit length keep the elimination numerically stable.
    scales = [math.sqrt(sum(row[j] ** 2 for row in table)) or 1.0 for j in range(len(terms))]
    table = [[value / scale for value, scale in zip(row, scales, strict=True)] for row in table]
    targets = [value * w for value, w in zip(values, weights, strict=True)]
    size = len(terms)
    normal_matrix = [[sum(row[i] * row[j] for row in table) for j in range(size)] for i in range(size)]
    right_side = [sum(row[i] * y for row, y in zip(table, targets, strict=True)) for i in range(size)]
    identity = [[float(i == j) for i in range(size)] for j in range(size)]
    solution, *inverse = solve_linear_system(matrix=normal_matrix, columns=[right_side, *identity])
    residuals = [
        y - sum(a * b for a, b in zip(row, solution, strict=True)) for row, y in zip(table, targets, strict=True)
    ]
    degrees_of_freedom = len(values) - size
    variance = sum(deviation**2 for deviation in residuals) / degrees_of_freedom if degrees_of_freedom else math.nan
    errors = [
        math.sqrt(max(0.0, inverse[j][j]) * variance) / scales[j] if degrees_of_freedom else math.nan
        for j in range(size)
    ]
    return Fit(
        coefficients={name: solution[j] / scales[j] for j, name in enumerate(terms)},
        errors=dict(zip(terms, errors, strict=True)),
        residual=math.sqrt(variance) if degrees_of_freedom else math.nan,
        points=len(values),
        max_residual=max(abs(deviation) for deviation in residuals),
        covariance={
            (a, b): inverse[j][i] * variance / scales[i] / scales[j]
            for i, a in enumerate(terms)
            for j, b in enumerate(terms)
            if degrees_of_freedom
        },
    )


def fit_significant_terms(*, steps: Sequence[Step], values: Sequence[float], terms: Sequence[str]) -> Fit:
    """Backward elimination: drops terms without a significant, positive coefficient until none is left to drop.

    The last term stays in any case. ValueError as for `least_squares`.
    """
    remaining = list(terms)
    while True:
        fit = least_squares(steps=steps, values=values, terms=remaining)
        # No cost falls as the system grows; a negative slope comes from work that was shed or delayed.
        insignificant = [
            name
            for name in remaining
            if not fit.is_significant(term=name) or (name != "1" and fit.coefficients[name] < 0)
        ]
        if not insignificant or len(remaining) == 1:
            return fit
        # One term at a time: removing one can make another significant.
        remaining.remove(min(insignificant, key=lambda name: _t_statistic(fit=fit, name=name)))


def _t_statistic(*, fit: Fit, name: str) -> float:
    """Ranks terms for elimination: negative slopes first, then the smallest |coefficient| / standard error."""
    error = fit.errors[name]
    if name != "1" and fit.coefficients[name] < 0:
        return -1.0
    return 0.0 if math.isnan(error) or not error else abs(fit.coefficients[name]) / error
