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
    """Of one event, for the whole role: where an event concerns one booth alone."""
    return lambda sample, idle: each(*names)(sample, idle) * sample.things


def process_bytes(sample: Sample, idle: Sample | None) -> float:
    return sample.added.rss_bytes / sample.processes


HTTP = ("http_in", "http_out")
BOOTH, GUILDHALL = "booth", "guildhall"

SLOPES: Sequence[Slope] = (
    Slope(
        name="booth idle records", role=BOOTH, phase="idle", unit="/s", terms=("1", "N", "D"), value=rate(*RECORDS)
    ),
    Slope(name="booth idle bytes", role=BOOTH, phase="idle", unit="B/s", terms=("1", "N", "D"), value=rate(*BYTES)),
    Slope(
        name="booth idle processor",
        role=BOOTH,
        phase="idle",
        unit="us/s",
        terms=("1", "D", "N"),
        value=rate("cpu_us"),
    ),
    Slope(
        name="booths' process memory",
        role=BOOTH,
        phase="idle",
        unit="B",
        terms=("1", "N", "ND"),
        value=process_bytes,
        shared=True,
    ),
    Slope(
        name="guildhall idle records",
        role=GUILDHALL,
        phase="idle",
        unit="/s",
        terms=("1", "N/G", "G", "X", "D"),
        value=rate(*RECORDS),
    ),
    Slope(
        name="guildhall idle bytes",
        role=GUILDHALL,
        phase="idle",
        unit="B/s",
        terms=("1", "RD", "MD", "N/G", "X"),
        value=rate(*BYTES),
    ),
    Slope(name="guildhall idle http", role=GUILDHALL, phase="idle", unit="B/s", terms=("D/G",), value=rate(*HTTP)),
    Slope(
        name="guildhall idle processor",
        role=GUILDHALL,
        phase="idle",
        unit="us/s",
        terms=("1", "D", "N/G", "MD", "X", "ND/G"),
        value=rate("cpu_us"),
    ),
    Slope(
        name="busiest guildhall idle",
        role=GUILDHALL,
        phase="idle",
        unit="us/s",
        terms=("1", "D", "N/G", "ND/G"),
        value=lambda sample, idle: sample.busiest * 1_000_000,
    ),
    Slope(
        name="guildhall memory", role=GUILDHALL, phase="idle", unit="B", terms=("1", "D", "N/G"), value=process_bytes
    ),
    Slope(
        name="booth bytes a configuration",
        role=BOOTH,
        phase="configuration",
        unit="B",
        terms=("1", "D"),
        value=carried,
    ),
    Slope(
        name="booth processor a configuration",
        role=BOOTH,
        phase="configuration",
        unit="us",
        terms=("1", "D", "DD", "N"),
        value=each("cpu_us"),
    ),
    Slope(
        name="guildhall bytes a configuration",
        role=GUILDHALL,
        phase="configuration",
        unit="B",
        terms=("1", "VD", "ND/G"),
        value=each(*BYTES),
    ),
    Slope(
        name="guildhall processor a configuration",
        role=GUILDHALL,
        phase="configuration",
        unit="us",
        terms=("1", "VD", "ND/G"),
        value=each("cpu_us"),
    ),
    Slope(
        name="guildhall syncs a configuration",
        role=GUILDHALL,
        phase="configuration",
        unit="",
        terms=("1", "D"),
        value=each("syncs"),
    ),
    Slope(name="booth bytes a primary", role=BOOTH, phase="primary", unit="B", terms=("1",), value=carried),
    Slope(
        name="booth processor a primary",
        role=BOOTH,
        phase="primary",
        unit="us",
        terms=("1", "D", "DD", "N"),
        value=each("cpu_us"),
    ),
    Slope(
        name="guildhall syncs a primary",
        role=GUILDHALL,
        phase="primary",
        unit="",
        terms=("1", "D"),
        value=each("syncs"),
    ),
    Slope(
        name="booth bytes a new booth",
        role=BOOTH,
        phase="replacement",
        unit="B",
        terms=("1", "N", "GD/N"),
        value=carried,
    ),
    Slope(
        name="booth bytes a restart",
        role=BOOTH,
        phase="restart",
        unit="B",
        terms=("1", "GD", "GN"),
        value=one(*BYTES),
    ),
    Slope(
        name="booth processor a restart",
        role=BOOTH,
        phase="restart",
        unit="us",
        terms=("1", "D"),
        value=one("cpu_us"),
    ),
    Slope(
        name="guildhalls' processor a restart",
        role=GUILDHALL,
        phase="restart",
        unit="us",
        terms=("1", "GD", "GN"),
        value=one("cpu_us"),
    ),
)
