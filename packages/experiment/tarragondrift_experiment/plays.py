"""Runs the player for each variant, site, day and seed.

Each variant is played in a work tree of its own, whose deploy file starts the
entries with the variant's flags.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import re
import shutil
import subprocess
import tempfile
import threading
import tomllib
from collections.abc import Callable

from tarragondrift_experiment import reports
from tarragondrift_experiment.rows import PlayKey, Row, append_row, read_rows

DEPLOY_FILE = pathlib.Path("deploy/system.toml")
RUN_LINE = re.compile(r'^(run = "[^"]*)"', re.MULTILINE)
DETAIL_LINES = 12
# The longest days take a few minutes beside others.
PLAY_TIMEOUT_S = 1200


class PlanError(ValueError):
    """A plan that cannot be played; nothing was played yet."""


@dataclasses.dataclass(frozen=True)
class Variant:
    """A commit and the flags that its entries are started with."""

    name: str
    commit: str
    flags: str = ""


@dataclasses.dataclass(frozen=True)
class PlannedDay:
    """A day of a site; a day without seeds is played with its own one."""

    site: pathlib.Path
    day: str
    seeds: tuple[int, ...]


def parse_variant(text: str) -> Variant:
    """Parses NAME=COMMIT or NAME=COMMIT:FLAGS.

    Raises:
        PlanError: the text has another form.
    """
    name, equals, rest = text.partition("=")
    commit, _, flags = rest.partition(":")
    if not (name and equals and commit):
        raise PlanError(f"variant {text!r} is not NAME=COMMIT[:FLAGS]")
    return Variant(name, commit, flags)


def parse_seeds(text: str) -> tuple[int, ...]:
    """Parses numbers and ranges, such as "1,5..8".

    Raises:
        PlanError: a part is neither.
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, dots, last = part.partition("..")
        try:
            begin = int(first)
            end = int(last) if dots else begin
        except ValueError as error:
            raise PlanError(f"seeds {text!r}: {part!r} is no number") from error
        seeds.extend(range(begin, end + 1))
    if not seeds or min(seeds) < 1:
        raise PlanError(f"seeds {text!r}: seeds are positive numbers")
    return tuple(seeds)


def parse_day(text: str, seeds: tuple[int, ...]) -> PlannedDay:
    """Parses SITE:DAY, where DAY is a day of the site file or a file of its own.

    Raises:
        PlanError: there is no such site or day.
    """
    path, colon, day = text.rpartition(":")
    site = pathlib.Path(path)
    if not colon or not site.is_file():
        raise PlanError(f"day {text!r}: there is no site file {path!r}")
    known = tomllib.loads(site.read_text(encoding="utf-8")).get("day", [])
    names = [one.get("name") for one in known]
    if day not in names and not pathlib.Path(day).is_file():
        listed = ", ".join(str(name) for name in names)
        raise PlanError(f"day {text!r}: {site.name} has {listed}")
    return PlannedDay(site.resolve(), day, seeds)


def resolve_commit(repository: pathlib.Path, commit: str) -> str:
    """Returns the full name of a commit.

    Raises:
        PlanError: there is no such commit.
    """
    found = subprocess.run(
        ["git", "rev-parse", "--verify", "--quiet", commit + "^{commit}"],
        cwd=repository,
        capture_output=True,
        text=True,
        check=False,
    )
    if found.returncode != 0:
        raise PlanError(f"there is no commit {commit!r}")
    return found.stdout.strip()


def prepare_tree(
    repository: pathlib.Path, folder: pathlib.Path, variant: Variant
) -> pathlib.Path:
    """Checks a variant out and sets the flags of its entries.

    Raises:
        PlanError: the deploy file has no line that starts the entries.
        CalledProcessError: git fails.
    """
    tree = folder / variant.name
    if not tree.exists():
        subprocess.run(
            ["git", "worktree", "prune"], cwd=repository, check=True
        )
        subprocess.run(
            ["git", "worktree", "add", "--quiet", "--detach", tree, variant.commit],
            cwd=repository,
            check=True,
        )
    subprocess.run(
        ["git", "checkout", "--quiet", "--detach", "--force", variant.commit],
        cwd=tree,
        check=True,
    )
    if variant.flags:
        deploy = tree / DEPLOY_FILE
        text, changed = RUN_LINE.subn(
            rf'\g<1> {variant.flags}"', deploy.read_text(encoding="utf-8")
        )
        if changed != 1:
            raise PlanError(f"{deploy} has {changed} lines that start a role")
        deploy.write_text(text, encoding="utf-8")
    return tree


def play(
    command: list[str],
    tree: pathlib.Path,
    key: PlayKey,
    site: pathlib.Path,
    timeout_s: float = PLAY_TIMEOUT_S,
) -> Row:
    """Runs the player once; a play that ends badly gives a row that says so.

    In `command`, {site}, {day}, {seed}, {report} and {variant} are replaced; the
    report is the file that the player writes, if it writes one.
    """
    with tempfile.TemporaryDirectory() as scratch:
        report = pathlib.Path(scratch) / "report.json"
        words = [
            word.format(
                site=site,
                day=key.day,
                seed=key.seed,
                report=report,
                variant=key.variant,
            )
            for word in command
        ]
        try:
            ended = subprocess.run(
                words,
                cwd=tree,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                errors="replace",
                timeout=timeout_s,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return Row(key, False, detail=f"not ended after {timeout_s} s")
        except OSError as error:
            return Row(key, False, detail=str(error))
        detail = "\n".join(ended.stdout.splitlines()[-DETAIL_LINES:])
        try:
            if report.is_file():
                data = json.loads(report.read_text(encoding="utf-8"))
                return Row(
                    key,
                    True,
                    reports.measures_of_report(data),
                    reports.broken_rules_of_report(data),
                )
            measures = reports.measures_of_output(ended.stdout)
        except (ValueError, KeyError, TypeError) as error:
            return Row(key, False, detail=f"{error!r}\n{detail}")
        finished = ended.returncode == 0 and bool(measures)
        return Row(key, finished, measures if finished else {}, {}, detail)


def keep_journal(tree: pathlib.Path, journal: pathlib.Path) -> int:
    """Copies the journal entries of plays in a tree that are not kept yet.

    Returns:
        How many were copied.
    """
    copied = 0
    for entry in (tree / "journal").rglob("*"):
        target = journal / entry.relative_to(tree / "journal")
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(entry, target)
            copied += 1
    return copied


def run_plays(
    plays: list[tuple[PlayKey, pathlib.Path, pathlib.Path]],
    command: list[str],
    rows: pathlib.Path,
    jobs: int,
    progress: Callable[[Row], None],
) -> None:
    """Runs the plays that `rows` has no finished result of, `jobs` at a time.

    Each of `plays` is a key, the tree to play in and the site file. A row is
    written as soon as its play has ended, so an interrupted run goes on later.
    """
    known = read_rows([rows]) if rows.exists() else []
    finished = {row.key for row in known if row.finished}
    lock = threading.Lock()

    def run_one(item: tuple[PlayKey, pathlib.Path, pathlib.Path]) -> None:
        key, tree, site = item
        row = play(command, tree, key, site)
        with lock:
            append_row(rows, row)
            progress(row)

    with concurrent.futures.ThreadPoolExecutor(max_workers=jobs) as pool:
        list(pool.map(run_one, [p for p in plays if p[0] not in finished]))
