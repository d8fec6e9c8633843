"""How long a planned change of the shard map will keep writes waiting, from figures of the running system."""

from dataclasses import dataclass

# why: how often a proxy asks while a map changes, lets open transactions end, and how often votes are counted
ASKS_US, DRAINS_US, COUNTS_US = 90_000, 250_000, 350_000


@dataclass(frozen=True, kw_only=True)
class ShardForecast:
    """`usual_us`: all proxies in touch; `silent_us`: one of them is not heard; `most_us`: by then it goes back."""

    proxies: int
    silent: int
    usual_us: int
    silent_us: int
    most_us: int
    measured: bool

    def words(self) -> str:
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
    *, proxies: int, silent: int, outwait_us: int, goes_back_us: int, closing_us: int | None, handover_us: int
) -> ShardForecast:
    """`closing_us` and `handover_us` are those of the last change here; None: none was measured."""
    worked_out_us = ASKS_US + DRAINS_US + ASKS_US + COUNTS_US + handover_us
    usual_us = (worked_out_us if closing_us is None else closing_us) + ASKS_US
    return ShardForecast(
        proxies=proxies,
        silent=silent,
        usual_us=usual_us,
        silent_us=outwait_us + COUNTS_US + handover_us + ASKS_US,
        most_us=goes_back_us + ASKS_US,
        measured=closing_us is not None,
    )
