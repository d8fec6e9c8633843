"""How long a planned change of the shard map will keep writes waiting, estimated from the running system."""

from dataclasses import dataclass

# How often a proxy asks for the register's changes while a map changes, in microseconds.
POLL_PERIOD_US = 90_000
# How long proxies let open transactions end, in microseconds.
DRAIN_US = 250_000
# How often votes are counted, in microseconds.
COUNT_PERIOD_US = 350_000


@dataclass(frozen=True, kw_only=True)
class ShardForecast:
    """Estimated waits of writes to the databases that move, in microseconds.

    :param proxies: how many take part, and `silent` how many of them are not heard now.
    :param usual_us: with all proxies in touch.
    :param silent_us: with a proxy that is not heard.
    :param most_us: after so long the change is withdrawn.
    :param measured: whether `usual_us` is what the last change took, and not calculated.
    """

    proxies: int
    silent: int
    usual_us: int
    silent_us: int
    most_us: int
    measured: bool

    def summary(self) -> str:
        """The forecast as operators read it."""
        base = "as the last change took" if self.measured else "worked out, since none was measured here yet"
        now = (
            f"{self.silent} of {self.proxies} proxies silent now"
            if self.silent
            else f"all {self.proxies} proxies heard"
        )
        return (
            f"writes of moving databases wait about {self.usual_us // 1_000} ms ({base}), "
            f"{self.silent_us // 1_000} ms with a proxy silent; it goes back after {self.most_us // 1_000} ms; {now}"
        )


def forecast(
    *, proxies: int, silent: int, expiry_us: int, withdrawn_us: int, closing_us: int | None, handover_us: int
) -> ShardForecast:
    """Estimates the next change.

    :param expiry_us: after so long nothing sent under the old map takes effect any more.
    :param withdrawn_us: after so long in the closing phase a change is withdrawn.
    :param closing_us: how long the last change here was closing; None where none was measured.
    :param handover_us: how long the last check of the moved data took; 0 where there was none.
    """
    calculated_us = POLL_PERIOD_US + DRAIN_US + POLL_PERIOD_US + COUNT_PERIOD_US + handover_us
    usual_us = (calculated_us if closing_us is None else closing_us) + POLL_PERIOD_US
    return ShardForecast(
        proxies=proxies,
        silent=silent,
        usual_us=usual_us,
        silent_us=expiry_us + COUNT_PERIOD_US + handover_us + POLL_PERIOD_US,
        most_us=withdrawn_us + POLL_PERIOD_US,
        measured=closing_us is not None,
    )
