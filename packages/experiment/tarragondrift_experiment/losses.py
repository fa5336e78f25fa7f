"""Why the jobs of a played day were not served on time, one cause a job.

Reads the log of all entries (each line `SECONDS ENTRY key=value ...`) and the
player's report, whose counts are the truth: jobs that no log accounts for are
shown as unknown.
"""

import collections
import dataclasses
import math
import re
from collections.abc import Iterable
from typing import Any

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (.*event=.*)$")
FIELD = re.compile(r"(\w+)=(\S*)")

NO_PROCESS = "no process to receive it"
BROKEN_OFF = "broken off by a kill"
HELD = "held at a start"
NO_WORKERS = "refused for lack of workers"
FREE_PLACES = "refused while places were free"
LOAD = "refused by predicted load"
HUNG = "on a worker that hung"
UNANSWERED = "order left unanswered"
ERRORS = "on a worker that answered with errors"
SLOW = "on a slow worker"
CUT_OFF = "in a data centre that is cut off"
QUEUE_DEADLINE = "deadline passed in the queue"
QUEUE = "late by queue"
LONG_RUN = "late by a long run"
UNKNOWN = "unknown"

# Nobody can serve these: no process runs, or the one that held the job is gone.
UNAVOIDABLE = frozenset({NO_PROCESS, BROKEN_OFF})

# Answers later than this many times the objective are worth nothing.
USELESS_AFTER = 3.0
# Three nines of jobs served count as full availability.
FULL_NINES = 3.0
WINDOW_S = 2.0
# A worker with this slowness is slow beyond the normal spread of workers, and a
# run of this ratio to its expected time beyond the normal spread of runs.
SLOW_PERCENT = 150
LONG_RATIO = 1.5


@dataclasses.dataclass
class Job:
    """What the logs say of a job over all of its submissions."""

    first_s: float
    entry: str = ""
    answer_s: float | None = None
    code: str = ""
    refused: dict[str, str] | None = None
    accepted_s: float | None = None
    objective_ms: float = 0.0
    deadline_ms: float = 0.0
    left_ms: float | None = None
    held: bool = False
    events: set[str] = dataclasses.field(default_factory=set)
    run_ends: set[str] = dataclasses.field(default_factory=set)
    longest_queue_ms: float = 0.0
    slowest_percent: float = 0.0
    longest_ratio: float = 0.0
    expected_ms: float = 0.0

    def outcome(self) -> str:
        """Returns on_time, late, unserved, or left for callers that gave up."""
        if self.code == "ok" and self.answer_s is not None:
            age_ms = (self.answer_s - self.first_s) * 1000
            if not self.objective_ms or age_ms <= self.objective_ms:
                return "on_time"
            if age_ms <= USELESS_AFTER * self.objective_ms:
                return "late"
            return "unserved"
        if self.left_ms is not None and self.left_ms < 0.95 * self.deadline_ms:
            return "left"
        return "unserved"


def parse_log(lines: Iterable[str]) -> dict[str, Job]:
    """Returns the jobs that the log names, by id."""
    jobs: dict[str, Job] = {}
    for line in lines:
        match = LINE.match(line)
        if match is None:
            continue
        at_s = float(match[1])
        fields = dict(FIELD.findall(match[3]))
        if "job" not in fields:
            continue
        job = jobs.setdefault(fields["job"], Job(first_s=at_s))
        _apply(job, at_s, match[2], fields)
    return jobs


def _apply(job: Job, at_s: float, entry: str, fields: dict[str, str]) -> None:
    event = fields["event"]
    job.events.add(event)
    if event == "job_accepted":
        job.entry = entry
        job.accepted_s = at_s
        job.answer_s, job.code, job.refused, job.left_ms = None, "", None, None
        job.objective_ms = float(fields.get("objective_ms", 0))
        job.deadline_ms = float(fields.get("deadline_ms", 0))
        job.held = job.held or float(fields.get("held_ms", 0)) > 0
    elif event == "job_held":
        job.held, job.entry = True, entry
    elif event == "job_answered":
        job.answer_s, job.code = at_s, fields["code"]
    elif event == "job_refused":
        job.answer_s, job.code, job.refused = at_s, fields["code"], fields
        job.entry = entry
    elif event == "caller_left":
        job.left_ms = float(fields.get("age_ms", 0))
    elif event == "task_start":
        job.longest_queue_ms = max(
            job.longest_queue_ms, float(fields.get("age_ms", 0))
        )
        job.slowest_percent = max(
            job.slowest_percent, float(fields.get("slowness_pct", 0))
        )
        job.expected_ms = float(fields.get("expected_ms", 0))
    elif event == "task_end":
        job.run_ends.add(fields["end"])
        if job.expected_ms > 0:
            ratio = float(fields.get("ran_ms", 0)) / job.expected_ms
            job.longest_ratio = max(job.longest_ratio, ratio)


def _is_cut_off(job: Job, cuts: list[tuple[float, float, str]]) -> bool:
    return any(
        begin <= job.first_s <= end and name in job.entry
        for begin, end, name in cuts
    )


def _refusal_cause(job: Job) -> str:
    fields = job.refused or {}
    if "no_instance" in job.code:
        return NO_WORKERS
    if int(fields.get("free", 0)) > 0:
        return FREE_PLACES
    return LOAD


def classify(job: Job, cuts: list[tuple[float, float, str]]) -> str:
    """Returns the one cause for which a job was late or not served."""
    if job.accepted_s is not None and not job.code and job.left_ms is None:
        return BROKEN_OFF
    if _is_cut_off(job, cuts):
        return CUT_OFF
    if job.code.startswith("not_run"):
        return HELD if job.held else _refusal_cause(job)
    if "run_stalled" in job.events:
        return HUNG
    if "start_unanswered" in job.events:
        return UNANSWERED
    if "failed" in job.run_ends or job.code == "task_failed":
        return ERRORS
    if job.held:
        return HELD
    if "task_start" not in job.events:
        return QUEUE_DEADLINE
    if job.slowest_percent >= SLOW_PERCENT:
        return SLOW
    slack_ms = job.objective_ms - job.expected_ms
    if job.longest_queue_ms > max(slack_ms, 0):
        return QUEUE
    return LONG_RUN if job.longest_ratio >= LONG_RATIO else UNKNOWN


@dataclasses.dataclass(frozen=True)
class Losses:
    """Jobs that were late and not served, by cause, and the day's bound."""

    asked: int
    late: dict[str, int]
    unserved: dict[str, int]
    worth: float
    bound: float

    def unknown_share(self) -> float:
        """Returns the share of lost jobs without a known cause."""
        lost = sum(self.late.values()) + sum(self.unserved.values())
        unknown = self.late.get(UNKNOWN, 0) + self.unserved.get(UNKNOWN, 0)
        return unknown / lost if lost else 0.0


def _reconcile(counted: collections.Counter[str], reported: int) -> None:
    """Adds or removes unknown jobs so that the causes sum to the report."""
    counted[UNKNOWN] += reported - sum(counted.values())
    if counted[UNKNOWN] < 0:
        excess = -counted[UNKNOWN]
        counted[UNKNOWN] = 0
        largest = max(counted, key=lambda cause: counted[cause])
        counted[largest] -= min(excess, counted[largest])


def _cuts(report: dict[str, Any]) -> list[tuple[float, float, str]]:
    return [
        (float(event["at_s"]), float(event["to_s"]), str(event["what"]))
        for event in report.get("events", [])
        if str(event["kind"]).startswith("zone_cut")
    ]


def _bound(report: dict[str, Any], lost: list[float], nowhere: int) -> float:
    """Estimates the worth if only unavoidable losses occurred.

    Counts jobs, whose worth differs by kind. `lost` holds the times of the jobs
    that a kill broke off; those without a process count in the worst windows.
    """
    asked = report["all"]["n"]
    unavoidable = len(lost) + nowhere
    share = 1 - unavoidable / asked
    windows = collections.Counter(int(at / WINDOW_S) for at in lost if at >= 0)
    if windows:
        windows[max(windows, key=lambda at: windows[at])] += nowhere
    asked_in = {
        int(float(one["name"]) / WINDOW_S): one["n"] for one in report["windows"]
    }
    worst = sorted(
        max(0.0, 1 - count / max(1, asked_in.get(at, 1)))
        for at, count in windows.items()
    )[:2]
    estimates = {
        "whole day": share,
        "worst windows": sum(worst) / len(worst) if worst else 1.0,
        "worst class": share,
        "worst zone": share,
        "nines": min(
            1.0, -math.log10(max(unavoidable, 0.5) / asked) / FULL_NINES
        ),
    }
    prices = sum(price for _, _, price in report["prices"][:8])
    worth = sum(
        weight * max(value, estimates.get(name, value))
        for name, weight, value in report["parts"]
    )
    return worth - prices


def account(log: Iterable[str], report: dict[str, Any]) -> Losses:
    """Returns the losses of a day.

    Raises:
        KeyError: the report lacks the counts.
    """
    cuts = _cuts(report)
    late: collections.Counter[str] = collections.Counter()
    unserved: collections.Counter[str] = collections.Counter()
    broken_off = []
    for job in parse_log(log).values():
        outcome = job.outcome()
        if outcome not in ("late", "unserved"):
            continue
        cause = classify(job, cuts)
        (late if outcome == "late" else unserved)[cause] += 1
        if cause == BROKEN_OFF and outcome == "unserved":
            broken_off.append(job.first_s)
    nowhere = sum(
        int(count)
        for how, count, *_ in report.get("unserved_by", [])
        if how == "no connection"
    )
    unserved[NO_PROCESS] += nowhere
    jobs = report["all"]
    _reconcile(late, jobs["late"])
    _reconcile(unserved, jobs["refused"] + jobs["failed"])
    return Losses(
        asked=jobs["n"],
        late=dict(late),
        unserved=dict(unserved),
        worth=report["G"],
        bound=_bound(report, broken_off, nowhere),
    )
