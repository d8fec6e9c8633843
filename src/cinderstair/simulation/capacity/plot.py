"""Plots measured against fitted values, if matplotlib is installed."""

from collections.abc import Sequence
from typing import Any

from .results import Results
from .slopes import SLOPES

SHOWN = (
    "proxy idle processor",
    "proxy idle bytes",
    "controller idle processor",
    "controller idle bytes",
    "proxy bytes a configuration",
    "controller bytes a configuration",
)


def plot(*, lines: Sequence[dict[str, Any]], path: str) -> str:
    """Writes the plot to a file; returns an error message, or an empty string if it was written."""
    try:
        import matplotlib
    except ImportError:
        return "no plot: matplotlib is not installed (pip install 'cinderstair[capacity]')"
    matplotlib.use("Agg")
    from matplotlib import pyplot

    results = Results(lines=lines)
    figure, axes = pyplot.subplots(2, 3, figsize=(16, 9))
    slopes = {slope.name: slope for slope in SLOPES}
    for name, axis in zip(SHOWN, axes.flat, strict=True):
        slope, fit = slopes[name], results.slopes.get(name)
        steps, values = slope.points(samples=results.samples)
        if fit is None:
            continue
        # A fit of several terms is no line over any one of them, so values are plotted against the fitted ones.
        fitted = [fit.predict(step=step) for step in steps]
        axis.loglog(fitted, values, "o")
        axis.loglog([min(fitted), max(fitted)], [min(fitted), max(fitted)], "-")
        for step, x, y in zip(steps, fitted, values, strict=True):
            axis.annotate(f"N{step.proxies} D{step.databases}", (x, y), fontsize=7)
        axis.set(title=f"{name} ({slope.unit})", xlabel="fitted", ylabel="measured")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    return ""
