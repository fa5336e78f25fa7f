"""Paired comparison of variants: the same site, day and seed played with both."""

import dataclasses
import math
import statistics
from collections.abc import Iterable, Sequence

from scipy import stats

from tarragondrift_experiment.rows import Row

CONFIDENCE = 0.95

MEASURES = (
    "worth",
    "on_time",
    "late",
    "refused",
    "failed",
    "worst_window",
    "worst_data_centre",
    "worst_kind",
)


@dataclasses.dataclass(frozen=True)
class Difference:
    """Mean of the paired differences of a measure (variant minus baseline).

    `margin` is half of the 95% confidence interval by Student's t distribution;
    None with fewer than two pairs.
    """

    pairs: int
    mean: float
    margin: float | None

    def is_told_apart(self) -> bool:
        """Returns whether the interval does not contain zero."""
        return self.margin is not None and abs(self.mean) > self.margin


@dataclasses.dataclass(frozen=True)
class Comparison:
    """A variant against the baseline, on one day or on all."""

    variant: str
    scope: str
    differences: dict[str, Difference]
    """Plays that lack a partner, or did not finish, by site, day and seed."""
    missing: list[str]
    broken_rules: dict[str, int]

    def verdict(self) -> str:
        """Describes the outcome; a broken rule outweighs any gain."""
        if self.broken_rules:
            return "breaks " + ", ".join(sorted(self.broken_rules))
        worth = next(iter(self.differences.values()), None)
        if worth is None:
            return "no pairs"
        if worth.margin is None:
            return "one pair, no interval"
        if not worth.is_told_apart():
            return "not told apart"
        return "better" if worth.mean > 0 else "worse"


def paired_difference(differences: Sequence[float]) -> Difference:
    """Returns the mean of differences with its confidence interval.

    Raises:
        ValueError: there are no differences.
    """
    if not differences:
        raise ValueError("no pairs")
    pairs = len(differences)
    mean = statistics.fmean(differences)
    if pairs < 2:
        return Difference(pairs, mean, None)
    error = statistics.stdev(differences) / math.sqrt(pairs)
    quantile = stats.t.ppf((1 + CONFIDENCE) / 2, pairs - 1)
    return Difference(pairs, mean, float(error * quantile))


def _describe(pair: tuple[str, str, int]) -> str:
    return f"{pair[0]} {pair[1]} seed {pair[2]}"


def compare_variant(
    baseline: Iterable[Row], variant: Iterable[Row], name: str, scope: str
) -> Comparison:
    """Compares the plays of a variant with those of the baseline."""
    before = {row.key.pair(): row for row in baseline}
    after = {row.key.pair(): row for row in variant}
    broken: dict[str, int] = {}
    for row in after.values():
        for rule, count in row.broken_rules.items():
            if count > 0:
                broken[rule] = broken.get(rule, 0) + count
    shared = []
    missing = []
    for pair in sorted(before.keys() | after.keys()):
        both = (before.get(pair), after.get(pair))
        if all(row is not None and row.finished for row in both):
            shared.append(both)
        else:
            missing.append(_describe(pair))
    names = [
        measure
        for measure in MEASURES
        if any(measure in row.measures for pair in shared for row in pair)
    ]
    if not names and shared:
        names = sorted(shared[0][0].measures)
    differences = {}
    for measure in names:
        values = [
            two.measures[measure] - one.measures[measure]
            for one, two in shared
            if measure in one.measures and measure in two.measures
        ]
        if values:
            differences[measure] = paired_difference(values)
    return Comparison(name, scope, differences, missing, broken)


def compare_all(rows: Sequence[Row], baseline: str) -> list[Comparison]:
    """Compares each variant with the baseline: on all days, then by day.

    Raises:
        ValueError: no row is of the baseline.
    """
    reference = [row for row in rows if row.key.variant == baseline]
    if not reference:
        known = ", ".join(sorted({row.key.variant for row in rows}))
        raise ValueError(f"no rows of variant {baseline!r}; there are {known}")
    found = []
    for name in sorted({row.key.variant for row in rows} - {baseline}):
        played = [row for row in rows if row.key.variant == name]
        days = sorted({(row.key.site, row.key.day) for row in played})
        used = [r for r in reference if (r.key.site, r.key.day) in days]
        found.append(compare_variant(used, played, name, "all days"))
        for site, day in days:
            on_day = [
                [r for r in some if (r.key.site, r.key.day) == (site, day)]
                for some in (used, played)
            ]
            found.append(
                compare_variant(on_day[0], on_day[1], name, f"{site} {day}")
            )
    return found
