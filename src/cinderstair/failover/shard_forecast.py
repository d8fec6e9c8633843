"""Estimates how long a planned change of the shard map will delay writes, from measurements of the running system."""

from dataclasses import dataclass

# Interval at which proxies poll the register's changes during a change, in microseconds.
POLL_PERIOD_US = 90_000
# Time that proxies give open transactions to finish, in microseconds.
DRAIN_US = 250_000
# Interval at which votes are counted, in microseconds.
COUNT_PERIOD_US = 350_000


@dataclass(frozen=True, kw_only=True)
class ShardForecast:
    """Estimated delays of writes to the moving databases, in microseconds.

    :param proxies: the number of participants.
    :param silent: the number of participants that are silent now.
    :param usual_us: the delay if all proxies answer.
    :param silent_us: the delay if a proxy is silent.
    :param max_us: the maximum delay, after which the change is withdrawn.
    :param measured: whether `usual_us` is the measured duration of the last change, and not calculated.
    """

    proxies: int
    silent: int
    usual_us: int
    silent_us: int
    max_us: int
    measured: bool

    def summary(self) -> str:
        """The forecast as a line of text for operators."""
        base = "measured at the last change" if self.measured else "calculated, no change was measured here yet"
        now = (
            f"{self.silent} of {self.proxies} proxies silent now"
            if self.silent
            else f"all {self.proxies} proxies heard"
        )
        return (
            f"writes of moving databases wait about {self.usual_us // 1_000} ms ({base}), "
            f"{self.silent_us // 1_000} ms with a proxy silent; "
            f"the change is withdrawn after {self.max_us // 1_000} ms; {now}"
        )


def forecast(
    *, proxies: int, silent: int, expiry_us: int, withdrawn_us: int, closing_us: int | None, handover_us: int
) -> ShardForecast:
    """Estimates the next change.

    :param expiry_us: time until nothing sent under the old map can take effect.
    :param withdrawn_us: time in the closing phase after which a change is withdrawn.
    :param closing_us: measured closing phase of the last change here; None if there was none.
    :param handover_us: duration of the last check of the moved data; 0 if there was none.
    """
    calculated_us = POLL_PERIOD_US + DRAIN_US + POLL_PERIOD_US + COUNT_PERIOD_US + handover_us
    usual_us = (calculated_us if closing_us is None else closing_us) + POLL_PERIOD_US
    return ShardForecast(
        proxies=proxies,
        silent=silent,
        usual_us=usual_us,
        silent_us=expiry_us + COUNT_PERIOD_US + handover_us + POLL_PERIOD_US,
        max_us=withdrawn_us + POLL_PERIOD_US,
        measured=closing_us is not None,
    )
