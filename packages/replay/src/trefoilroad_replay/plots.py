"""Plots of figures by trace and policy."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import pathlib
from typing import Any
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot
import numpy

from trefoilroad_replay import measures

LINEAR_BELOW = 0.1  # Logarithmic axes are linear below this.


class Plot(NamedTuple):
    """A figure to plot.

    Attributes:
        name: Name of the file without its ending.
        title: Title with unit.
        read: Reads the figure; NaN leaves a gap.
        bound: Stated target, or None.
        is_logarithmic: Whether the axis is logarithmic.
    """

    name: str
    title: str
    read: Callable[[measures.Measures], float]
    bound: float | None = None
    is_logarithmic: bool = False


def _read_flood(field: str) -> Callable[[measures.Measures], float]:
    return lambda figures: (getattr(figures.floods, field)
                            if figures.floods else math.nan)


PLOTS = (
    Plot("completion", "p95 completion time (s)",
         lambda figures: figures.completion.p95, None, True),
    Plot("slowdown", "p95 slowdown", lambda figures: figures.slowdown.p95, None,
         True),
    Plot("adjacent", "largest adjacent shape to free accelerators, mean",
         lambda figures: figures.adjacent_share),
    Plot("whole", "largest adjacent shape of whole workers, mean",
         lambda figures: figures.whole_share),
    Plot("large_wait", "p95 wait of large gangs (s)",
         lambda figures: figures.large_wait.p95, None, True),
    Plot("flood_throughput", "throughput of other work to base trace",
         _read_flood("throughput"), 0.95),
    Plot("flood_completion", "p95 completion time of other work to base trace",
         _read_flood("completion"), 1.2, True),
    Plot("small_callers", "p95 slowdown of small callers to large ones",
         lambda figures: figures.small_ratio, 1.0, True),
    Plot("jain", "Jain's fairness index of callers",
         lambda figures: figures.jain),
    Plot("use", "accelerator use to that of known run times",
         lambda figures: figures.use_ratio, 0.9),
    Plot("urgent_start", "p99 start of urgent guaranteed work with room (s)",
         lambda figures: figures.urgent_start.p99, 1.4, True),
    Plot("reclaim", "longest reclaim of a guaranteed shape (s)",
         lambda figures: figures.reclaim.worst, None, True),
    Plot("decision_mean", "mean decision round (s)",
         lambda figures: figures.decision_mean_s, 0.05, True),
    Plot("decision_max", "longest decision round (s)",
         lambda figures: figures.decision_max_s, 0.05, True),
)


def plot_all(found: Sequence[measures.Measures], folder: pathlib.Path) -> None:
    """Writes one file for each figure.

    Args:
        found: Figures of all replays.
        folder: Where to write.
    """
    for plot in PLOTS:
        _plot(plot, found, folder / f"{plot.name}.png")


def _plot(plot: Plot, found: Sequence[measures.Measures],
          path: pathlib.Path) -> None:
    """Draws one row for each deployment, which starts the traces' names."""
    values = {
        (figures.trace, figures.policy): plot.read(figures) for figures in found
    }
    rows: dict[str, list[str]] = {}
    for name in dict.fromkeys(name for name, _ in values):
        rows.setdefault(name.partition("-")[0], []).append(name)
    chosen = list(dict.fromkeys(policy for _, policy in values))
    figure, grid = pyplot.subplots(max(1, len(rows)),
                                   figsize=(16.0, 1.0 + 4.0 * len(rows)),
                                   layout="constrained",
                                   squeeze=False)
    for axes, names in zip(grid[:, 0], rows.values(), strict=False):
        _draw_bars(axes, plot, names, chosen, values)
    figure.suptitle(plot.title)
    handles, labels = grid[0, 0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="outside lower center", ncols=6)
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _draw_bars(axes: Any, plot: Plot, names: Sequence[str],
               chosen: Sequence[str], values: dict[tuple[str, str],
                                                   float]) -> None:
    positions = numpy.arange(len(names))
    width = 0.8 / len(chosen)
    for index, policy in enumerate(chosen):
        heights = [values.get((name, policy), math.nan) for name in names]
        heights = [
            height if math.isfinite(height) else math.nan for height in heights
        ]
        axes.bar(positions + (index + 0.5) * width - 0.4,
                 heights,
                 width,
                 label=policy)
    if plot.bound is not None:
        axes.axhline(plot.bound, color="black", linestyle="--", label="target")
    if plot.is_logarithmic:
        axes.set_yscale("symlog", linthresh=LINEAR_BELOW)
    axes.set_xticks(positions, names, rotation=15, ha="right")
