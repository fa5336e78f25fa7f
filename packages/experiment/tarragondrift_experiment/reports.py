"""Reads the figures of a play from the player's report or output."""

import re
from typing import Any

FIGURE = re.compile(r"^figure=(\S+) value=(\S+)", re.MULTILINE)


def _share(part: float, whole: float) -> float:
    return part / whole if whole else 0.0


def measures_of_report(report: dict[str, Any]) -> dict[str, float]:
    """Returns the measures of a day's report in JSON.

    Shares are of all jobs asked for. The worst data centre, kind and window are
    in worth, between 0 and 1.

    Raises:
        KeyError: the report lacks the counts or the worth.
    """
    jobs = report["all"]
    asked = jobs["n"]
    parts = {name: value for name, _, value in report["parts"]}
    measures = {
        "worth": report["G"],
        "asked": asked,
        "on_time": _share(jobs["in_aim"], asked),
        "late": _share(jobs["late"], asked),
        "refused": _share(jobs["refused"], asked),
        "failed": _share(jobs["failed"], asked),
    }
    names = {
        "worst windows": "worst_window",
        "worst class": "worst_kind",
        "worst zone": "worst_data_centre",
    }
    for part, name in names.items():
        if part in parts:
            measures[name] = parts[part]
    return {name: float(value) for name, value in measures.items()}


def broken_rules_of_report(report: dict[str, Any]) -> dict[str, int]:
    """Returns how often each rule was broken; a fault counts as one rule."""
    broken = {rule: int(count) for rule, count in report["breaks"].items()}
    if report.get("fault"):
        broken["FAULT"] = 1
    return broken


def measures_of_output(output: str) -> dict[str, float]:
    """Returns the `figure=NAME value=NUMBER` lines of a bench's output.

    Raises:
        ValueError: a value is not a number; the message names the figure.
    """
    measures = {}
    for name, value in FIGURE.findall(output):
        try:
            measures[name] = float(value)
        except ValueError as error:
            raise ValueError(f"figure {name} is {value!r}") from error
    return measures
