"""A shard map held against the configuration and the map in force: what it would lose, double, or send nowhere."""

from .service_plan import ServicePlan
from .shard_map import ShardMap, line_of_name


def shard_map_problems(*, text: str, wanted: ShardMap, current: ShardMap, plan: ServicePlan) -> list[str]:
    """Every reason against a map, each with the line it is about; none where it may be put."""
    problems: list[tuple[int, str]] = []

    def problem(database: str, words: str) -> None:
        line = line_of_name(text=text, name=database)
        problems.append((line, f"line {line}: {words}" if line else words))

    for database, service in wanted.places.items():
        if database not in plan.routes:
            problem(database, f"'{database}' is no database of configuration {plan.version}")
        if service not in plan.services:
            problem(database, f"'{database}': '{service}' is no service of configuration {plan.version}")
    for database, service in current.places.items():
        # why: where a map is silent the plan's word holds, and what the database holds by now is not there
        if database in plan.routes and database not in wanted.places:
            words = f"'{database}' is lost: map {current.version} has it at '{service}'; name its place"
            problem(database, words)
    return [words for _, words in sorted(problems)]
