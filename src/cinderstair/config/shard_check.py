"""Checks a shard map against the configuration and the map in force."""

from dataclasses import dataclass

from .service_plan import ServicePlan
from .shard_map import ShardMap, line_of_name


@dataclass(frozen=True, kw_only=True, order=True)
class _Problem:
    """A reason against a map; line 0 where the document doesn't name the database."""

    line: int
    reason: str

    def text(self) -> str:
        return f"line {self.line}: {self.reason}" if self.line else self.reason


def _unknown_names(*, text: str, wanted: ShardMap, plan: ServicePlan) -> list[_Problem]:
    """What the map names and the configuration doesn't know."""
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
    """What has moved and the map doesn't name: the plan's service would be asked, which doesn't hold the data."""
    return [
        _Problem(
            line=line_of_name(text=text, name=database),
            reason=f"'{database}' is lost: map {current.version} has it at '{service}'; name its place",
        )
        for database, service in current.placements.items()
        if database in plan.routes and database not in wanted.placements
    ]


def shard_map_problems(*, text: str, wanted: ShardMap, current: ShardMap, plan: ServicePlan) -> list[str]:
    """Every reason against a map, in the order of its document.

    :param text: the document of `wanted`, in which lines are looked up
    :param current: the map in force
    :returns: one line each; empty where the map may come into force
    """
    problems = [
        *_unknown_names(text=text, wanted=wanted, plan=plan),
        *_unplaced_databases(text=text, wanted=wanted, current=current, plan=plan),
    ]
    return [problem.text() for problem in sorted(problems)]
