"""Pictures of comparisons and losses, as SVG."""

import pathlib
from collections.abc import Sequence

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402  (the backend is chosen first)

from tarragondrift_experiment.compare import Comparison
from tarragondrift_experiment.losses import Losses


def draw_comparison(comparisons: Sequence[Comparison], path: pathlib.Path) -> None:
    """Draws the paired difference of worth of each variant with its interval."""
    shown = [
        one
        for one in comparisons
        if one.scope == "all days" and "worth" in one.differences
    ]
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.35 * len(shown)))
    for at, one in enumerate(shown):
        worth = one.differences["worth"]
        axes.errorbar(
            worth.mean, at, xerr=worth.margin or 0.0, fmt="o", capsize=3
        )
    axes.set_yticks(range(len(shown)), [one.variant for one in shown])
    axes.axvline(0, color="grey", linewidth=0.8)
    axes.set_xlabel("difference of worth, 95% interval")
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)


def draw_losses(days: Sequence[tuple[str, Losses]], path: pathlib.Path) -> None:
    """Draws the jobs lost by cause for each day."""
    causes = sorted({cause for _, day in days for cause in day.unserved | day.late})
    figure, axes = pyplot.subplots(figsize=(9, 5))
    left = [0.0] * len(days)
    names = [name for name, _ in days]
    for cause in causes:
        counts = [
            100 * (day.unserved.get(cause, 0) + day.late.get(cause, 0)) / day.asked
            for _, day in days
        ]
        axes.barh(names, counts, left=left, label=cause)
        left = [a + b for a, b in zip(left, counts)]
    axes.set_xlabel("jobs late or not served, %")
    axes.legend(fontsize="x-small", loc="upper left", bbox_to_anchor=(1, 1))
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)
