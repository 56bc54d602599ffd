"""Bar plots of experiment results."""

from __future__ import annotations

import io
from collections.abc import Sequence

import matplotlib

from emulator.experiments.runner import Result

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend must be chosen first

FIGURE_INCHES = (14.0, 4.0)
GROUP_WIDTH = 0.85


def plot_measure(results: Sequence[Result], measure: str, title: str) -> bytes:
    """Return a PNG image with a group of bars per scenario and a bar per strategy.

    Args:
        results: Results of one deployment.
        measure: Name of the measure.
        title: Title of the plot.
    """
    scenarios = list(dict.fromkeys(result.scenario for result in results))
    strategies = list(dict.fromkeys(result.strategy for result in results))
    width = GROUP_WIDTH / len(strategies)
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for index, strategy in enumerate(strategies):
        chosen = {result.scenario: result for result in results if result.strategy == strategy}
        spreads = [chosen[scenario].measures.get(measure) for scenario in scenarios]
        heights = [spread.median if spread else 0.0 for spread in spreads]
        below = [spread.median - spread.lowest if spread else 0.0 for spread in spreads]
        above = [spread.highest - spread.median if spread else 0.0 for spread in spreads]
        positions = [group + index * width for group in range(len(scenarios))]
        axes.bar(positions, heights, width, yerr=(below, above), label=strategy)
    middle = GROUP_WIDTH / 2 - width / 2
    axes.set_xticks([group + middle for group in range(len(scenarios))], scenarios)
    axes.set_title(title)
    axes.legend(fontsize="small", ncols=4)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", bbox_inches="tight")
    pyplot.close(figure)
    return buffer.getvalue()
