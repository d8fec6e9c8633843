"""The slopes that are fitted to the samples of a run."""

from collections.abc import Sequence

from .sample import Sample
from .slope import Slope, Value

RECORDS = ("records_in", "records_out")
BYTES = ("bytes_in", "bytes_out")


def rate(*names: str) -> Value:
    """The sum of these counters per second and instance."""
    return lambda sample, idle: sum(sample.rate(name=name) for name in names)


def per_event(*names: str) -> Value:
    """The sum of these counters per event and instance, above the idle rate."""

    def value(sample: Sample, idle: Sample | None) -> float:
        if idle is None:
            raise ValueError("the step has no idle sample")
        return sum(sample.per_event(name=name, idle=idle) for name in names)

    return value


def excess_bytes(sample: Sample, idle: Sample | None) -> float:
    """Bytes per event and instance, above what the same number of records carries when idle."""
    if idle is None or not sample.events:
        raise ValueError("the step has no idle sample, or the phase no events")
    # Idle bytes are subtracted per record, not per second: a proxy that is busy with the event polls less often.
    records = sum(getattr(idle.delta, name) for name in RECORDS)
    usual = sum(getattr(idle.delta, name) for name in BYTES) / max(1, records)
    found = sum(getattr(sample.delta, name) for name in BYTES)
    over = found - usual * sum(getattr(sample.delta, name) for name in RECORDS)
    return over / sample.instances / sample.events


def per_event_of_role(*names: str) -> Value:
    """The sum of these counters per event over the whole role, for events that concern a single proxy."""
    return lambda sample, idle: per_event(*names)(sample, idle) * sample.instances


def rss_per_process(sample: Sample, idle: Sample | None) -> float:
    """Resident memory per process, in bytes."""
    return sample.delta.rss_bytes / sample.processes


HTTP = ("http_in", "http_out")
PROXY, CONTROLLER = "booth", "guildhall"

SLOPES: Sequence[Slope] = (
    Slope(
        name="proxy idle records", role=PROXY, phase="idle", unit="/s", terms=("1", "N", "D"), value=rate(*RECORDS)
    ),
    Slope(name="proxy idle bytes", role=PROXY, phase="idle", unit="B/s", terms=("1", "N", "D"), value=rate(*BYTES)),
    Slope(
        name="proxy idle processor",
        role=PROXY,
        phase="idle",
        unit="us/s",
        terms=("1", "D", "N"),
        value=rate("cpu_us"),
    ),
    Slope(
        name="proxies' process memory",
        role=PROXY,
        phase="idle",
        unit="B",
        terms=("1", "N", "ND"),
        value=rss_per_process,
        per_process=True,
    ),
    Slope(
        name="controller idle records",
        role=CONTROLLER,
        phase="idle",
        unit="/s",
        terms=("1", "N/G", "G", "X", "D"),
        value=rate(*RECORDS),
    ),
    Slope(
        name="controller idle bytes",
        role=CONTROLLER,
        phase="idle",
        unit="B/s",
        terms=("1", "RD", "MD", "N/G", "X"),
        value=rate(*BYTES),
    ),
    Slope(name="controller idle http", role=CONTROLLER, phase="idle", unit="B/s", terms=("D/G",), value=rate(*HTTP)),
    Slope(
        name="controller idle processor",
        role=CONTROLLER,
        phase="idle",
        unit="us/s",
        terms=("1", "D", "N/G", "MD", "X", "ND/G"),
        value=rate("cpu_us"),
    ),
    Slope(
        name="busiest controller idle",
        role=CONTROLLER,
        phase="idle",
        unit="us/s",
        terms=("1", "D", "N/G", "ND/G"),
        value=lambda sample, idle: sample.max_utilization * 1_000_000,
    ),
    Slope(
        name="controller memory",
        role=CONTROLLER,
        phase="idle",
        unit="B",
        terms=("1", "D", "N/G"),
        value=rss_per_process,
    ),
    Slope(
        name="proxy bytes a configuration",
        role=PROXY,
        phase="configuration",
        unit="B",
        terms=("1", "D"),
        value=excess_bytes,
    ),
    Slope(
        name="proxy processor a configuration",
        role=PROXY,
        phase="configuration",
        unit="us",
        terms=("1", "D", "DD", "N"),
        value=per_event("cpu_us"),
    ),
    Slope(
        name="controller bytes a configuration",
        role=CONTROLLER,
        phase="configuration",
        unit="B",
        terms=("1", "VD", "ND/G"),
        value=per_event(*BYTES),
    ),
    Slope(
        name="controller processor a configuration",
        role=CONTROLLER,
        phase="configuration",
        unit="us",
        terms=("1", "VD", "ND/G"),
        value=per_event("cpu_us"),
    ),
    Slope(
        name="controller syncs a configuration",
        role=CONTROLLER,
        phase="configuration",
        unit="",
        terms=("1", "D"),
        value=per_event("syncs"),
    ),
    Slope(name="proxy bytes a primary", role=PROXY, phase="primary", unit="B", terms=("1",), value=excess_bytes),
    Slope(
        name="proxy processor a primary",
        role=PROXY,
        phase="primary",
        unit="us",
        terms=("1", "D", "DD", "N"),
        value=per_event("cpu_us"),
    ),
    Slope(
        name="controller syncs a primary",
        role=CONTROLLER,
        phase="primary",
        unit="",
        terms=("1", "D"),
        value=per_event("syncs"),
    ),
    Slope(
        name="proxy bytes a new proxy",
        role=PROXY,
        phase="replacement",
        unit="B",
        terms=("1", "N", "GD/N"),
        value=excess_bytes,
    ),
    Slope(
        name="proxy bytes a restart",
        role=PROXY,
        phase="restart",
        unit="B",
        terms=("1", "GD", "GN"),
        value=per_event_of_role(*BYTES),
    ),
    Slope(
        name="proxy processor a restart",
        role=PROXY,
        phase="restart",
        unit="us",
        terms=("1", "D"),
        value=per_event_of_role("cpu_us"),
    ),
    Slope(
        name="controllers' processor a restart",
        role=CONTROLLER,
        phase="restart",
        unit="us",
        terms=("1", "GD", "GN"),
        value=per_event_of_role("cpu_us"),
    ),
)
