"""Bar plots of measures by trace and policy."""

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

# Value below which a logarithmic axis is linear, so that it can show 0.
SYMLOG_LINEAR_LIMIT = 0.1


class Plot(NamedTuple):
    """Plot of one measure.

    Attributes:
        name: Name of the file without its suffix.
        title: Title with unit.
        read: Reads the measure; NaN leaves a gap.
        bound: Target that is drawn as a line, or None.
        is_logarithmic: Whether the axis is logarithmic.
    """

    name: str
    title: str
    read: Callable[[measures.Measures], float]
    bound: float | None = None
    is_logarithmic: bool = False


def _read_flood(field: str) -> Callable[[measures.Measures], float]:
    return lambda measured: (getattr(measured.floods, field)
                             if measured.floods else math.nan)


PLOTS = (
    Plot("completion", "p95 completion time (s)",
         lambda measured: measured.completion.p95, None, True),
    Plot("slowdown", "p95 slowdown", lambda measured: measured.slowdown.p95,
         None, True),
    Plot("adjacent", "largest adjacent shape to free accelerators, mean",
         lambda measured: measured.adjacent_share),
    Plot("whole", "largest adjacent shape of whole workers, mean",
         lambda measured: measured.whole_share),
    Plot("large_wait", "p95 wait of large gangs (s)",
         lambda measured: measured.large_wait.p95, None, True),
    Plot("flood_throughput", "throughput of other work to base trace",
         _read_flood("throughput"), 0.95),
    Plot("flood_completion", "p95 completion time of other work to base trace",
         _read_flood("completion"), 1.2, True),
    Plot("small_callers", "p95 slowdown of small callers to large ones",
         lambda measured: measured.small_ratio, 1.0, True),
    Plot("jain", "Jain's fairness index of callers",
         lambda measured: measured.jain),
    Plot("use", "accelerator use to that of known run times",
         lambda measured: measured.use_ratio, 0.9),
    Plot("urgent_start", "p99 start of urgent guaranteed work with room (s)",
         lambda measured: measured.urgent_start.p99, 1.4, True),
    Plot("reclaim", "longest reclaim of a guaranteed shape (s)",
         lambda measured: measured.reclaim.worst, None, True),
    Plot("decision_mean", "mean decision round (s)",
         lambda measured: measured.decision_mean_s, 0.05, True),
    Plot("decision_max", "longest decision round (s)",
         lambda measured: measured.decision_max_s, 0.05, True),
)


def plot_all(all_measures: Sequence[measures.Measures],
             folder: pathlib.Path) -> None:
    """Writes one PNG file for each plot.

    Args:
        all_measures: Measures of all replays.
        folder: Folder to write to.
    """
    for plot in PLOTS:
        _plot(plot, all_measures, folder / f"{plot.name}.png")


def _plot(plot: Plot, all_measures: Sequence[measures.Measures],
          path: pathlib.Path) -> None:
    """Draws a plot with one row of bars for each deployment.

    The name of a trace begins with the name of its deployment.
    """
    values = {
        (measured.trace, measured.policy): plot.read(measured)
        for measured in all_measures
    }
    rows: dict[str, list[str]] = {}
    for name in dict.fromkeys(name for name, _ in values):
        rows.setdefault(name.partition("-")[0], []).append(name)
    policy_names = list(dict.fromkeys(policy for _, policy in values))
    figure, grid = pyplot.subplots(max(1, len(rows)),
                                   figsize=(16.0, 1.0 + 4.0 * len(rows)),
                                   layout="constrained",
                                   squeeze=False)
    for axes, names in zip(grid[:, 0], rows.values(), strict=False):
        _draw_bars(axes, plot, names, policy_names, values)
    figure.suptitle(plot.title)
    handles, labels = grid[0, 0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="outside lower center", ncols=6)
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _draw_bars(axes: Any, plot: Plot, names: Sequence[str],
               policy_names: Sequence[str], values: dict[tuple[str, str],
                                                         float]) -> None:
    positions = numpy.arange(len(names))
    width = 0.8 / len(policy_names)
    for index, policy in enumerate(policy_names):
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
        axes.set_yscale("symlog", linthresh=SYMLOG_LINEAR_LIMIT)
    axes.set_xticks(positions, names, rotation=15, ha="right")
