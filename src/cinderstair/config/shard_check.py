"""Validates a shard map against the configuration and the map in force."""

from dataclasses import dataclass

from .service_plan import ServicePlan
from .shard_map import ShardMap, line_of_name


@dataclass(frozen=True, kw_only=True, order=True)
class _Problem:
    """A reason to refuse a map; line 0 if the document doesn't name the database."""

    line: int
    reason: str

    def text(self) -> str:
        return f"line {self.line}: {self.reason}" if self.line else self.reason


def _unknown_names(*, text: str, wanted: ShardMap, plan: ServicePlan) -> list[_Problem]:
    """Databases and services that the map names and the configuration doesn't contain."""
    problems: list[_Problem] = []
    for database, service in wanted.placements.items():
        line = line_of_name(text=text, name=database)
        if database not in plan.routes:
            reason = f"'{database}' is no database of configuration {plan.version}"
            problems.append(_Problem(line=line, reason=reason))
        if service not in plan.services:
            reason = f"'{database}': '{service}' is no service of configuration {plan.version}"
            problems.append(_Problem(line=line, reason=reason))
    return problems


def _unplaced_databases(*, text: str, wanted: ShardMap, current: ShardMap, plan: ServicePlan) -> list[_Problem]:
    """Moved databases that the map omits: they would be routed to the planned service, which lacks their data."""
    return [
        _Problem(
            line=line_of_name(text=text, name=database),
            reason=f"'{database}' is lost: map {current.version} places it at '{service}'; add it to places",
        )
        for database, service in current.placements.items()
        if database in plan.routes and database not in wanted.placements
    ]


def shard_map_problems(*, text: str, wanted: ShardMap, current: ShardMap, plan: ServicePlan) -> list[str]:
    """All reasons to refuse a map, in the order of its document.

    :param text: the document of `wanted`, for line numbers
    :param current: the map in force
    :returns: one line for each reason; empty if the map is acceptable
    """
    problems = [
        *_unknown_names(text=text, wanted=wanted, plan=plan),
        *_unplaced_databases(text=text, wanted=wanted, current=current, plan=plan),
    ]
    return [problem.text() for problem in sorted(problems)]
