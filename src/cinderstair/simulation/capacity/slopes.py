"""All slopes that are fitted to a run."""

from collections.abc import Sequence

from .sample import Sample
from .slope import Slope, Value

RECORDS = ("records_in", "records_out")
BYTES = ("bytes_in", "bytes_out")


def rate(*names: str) -> Value:
    return lambda sample, idle: sum(sample.rate(name=name) for name in names)


def each(*names: str) -> Value:
    """Of one event, for one of the role's things."""

    def value(sample: Sample, idle: Sample | None) -> float:
        if idle is None:
            raise ValueError("nothing is known of this step at rest")
        return sum(sample.each(name=name, idle=idle) for name in names)

    return value


def carried(sample: Sample, idle: Sample | None) -> float:
    """Bytes of one event for one thing, over what as many records carry at rest."""
    if idle is None or not sample.events:
        raise ValueError("nothing is known of this step at rest")
    # why: a loop that is busy with the event asks less often meanwhile, and time would then take off too much
    records = sum(getattr(idle.added, name) for name in RECORDS)
    usual = sum(getattr(idle.added, name) for name in BYTES) / max(1, records)
    found = sum(getattr(sample.added, name) for name in BYTES)
    over = found - usual * sum(getattr(sample.added, name) for name in RECORDS)
    return over / sample.things / sample.events


def one(*names: str) -> Value:
    """Of one event, for the whole role: where an event concerns one proxy alone."""
    return lambda sample, idle: each(*names)(sample, idle) * sample.things


def process_bytes(sample: Sample, idle: Sample | None) -> float:
    return sample.added.rss_bytes / sample.processes


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
        value=process_bytes,
        shared=True,
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
        value=lambda sample, idle: sample.busiest * 1_000_000,
    ),
    Slope(
        name="controller memory",
        role=CONTROLLER,
        phase="idle",
        unit="B",
        terms=("1", "D", "N/G"),
        value=process_bytes,
    ),
    Slope(
        name="proxy bytes a configuration",
        role=PROXY,
        phase="configuration",
        unit="B",
        terms=("1", "D"),
        value=carried,
    ),
    Slope(
        name="proxy processor a configuration",
        role=PROXY,
        phase="configuration",
        unit="us",
        terms=("1", "D", "DD", "N"),
        value=each("cpu_us"),
    ),
    Slope(
        name="controller bytes a configuration",
        role=CONTROLLER,
        phase="configuration",
        unit="B",
        terms=("1", "VD", "ND/G"),
        value=each(*BYTES),
    ),
    Slope(
        name="controller processor a configuration",
        role=CONTROLLER,
        phase="configuration",
        unit="us",
        terms=("1", "VD", "ND/G"),
        value=each("cpu_us"),
    ),
    Slope(
        name="controller syncs a configuration",
        role=CONTROLLER,
        phase="configuration",
        unit="",
        terms=("1", "D"),
        value=each("syncs"),
    ),
    Slope(name="proxy bytes a primary", role=PROXY, phase="primary", unit="B", terms=("1",), value=carried),
    Slope(
        name="proxy processor a primary",
        role=PROXY,
        phase="primary",
        unit="us",
        terms=("1", "D", "DD", "N"),
        value=each("cpu_us"),
    ),
    Slope(
        name="controller syncs a primary",
        role=CONTROLLER,
        phase="primary",
        unit="",
        terms=("1", "D"),
        value=each("syncs"),
    ),
    Slope(
        name="proxy bytes a new proxy",
        role=PROXY,
        phase="replacement",
        unit="B",
        terms=("1", "N", "GD/N"),
        value=carried,
    ),
    Slope(
        name="proxy bytes a restart",
        role=PROXY,
        phase="restart",
        unit="B",
        terms=("1", "GD", "GN"),
        value=one(*BYTES),
    ),
    Slope(
        name="proxy processor a restart",
        role=PROXY,
        phase="restart",
        unit="us",
        terms=("1", "D"),
        value=one("cpu_us"),
    ),
    Slope(
        name="controllers' processor a restart",
        role=CONTROLLER,
        phase="restart",
        unit="us",
        terms=("1", "GD", "GN"),
        value=one("cpu_us"),
    ),
)
