"""Results of plays, one JSON object a line.

A row names what was played (variant, commit, site, day, seed), whether the play
ended, the rules that it broke, and its measures by name.
"""

import dataclasses
import json
import math
import pathlib
from collections.abc import Iterable


class RowError(ValueError):
    """A row that cannot be used; the message names its file and line."""


@dataclasses.dataclass(frozen=True)
class PlayKey:
    """What was played."""

    variant: str
    commit: str
    site: str
    day: str
    seed: int

    def pair(self) -> tuple[str, str, int]:
        """Returns what two plays must have in common to be compared."""
        return (self.site, self.day, self.seed)


@dataclasses.dataclass(frozen=True)
class Row:
    """The result of one play.

    `finished` is false when the player ended badly or gave no figures; `detail`
    then holds its last lines, and `measures` is empty.
    """

    key: PlayKey
    finished: bool
    measures: dict[str, float] = dataclasses.field(default_factory=dict)
    broken_rules: dict[str, int] = dataclasses.field(default_factory=dict)
    detail: str = ""


def _number(value: object, name: str, where: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise RowError(f"{where}: {name} is {value!r}, not a number")
    if not math.isfinite(value):
        raise RowError(f"{where}: {name} is not finite")
    return float(value)


def parse_row(line: str, where: str) -> Row:
    """Parses one line.

    Raises:
        RowError: the line is not a row; the message begins with `where`.
    """
    try:
        fields = json.loads(line)
        key = PlayKey(**fields["key"])
    except (ValueError, KeyError, TypeError) as error:
        raise RowError(f"{where}: not a row: {error}") from error
    measures = {
        name: _number(value, name, where)
        for name, value in fields.get("measures", {}).items()
    }
    rules = {
        name: int(_number(value, name, where))
        for name, value in fields.get("broken_rules", {}).items()
    }
    return Row(
        key=key,
        finished=bool(fields.get("finished")),
        measures=measures,
        broken_rules=rules,
        detail=str(fields.get("detail", "")),
    )


def read_rows(paths: Iterable[pathlib.Path]) -> list[Row]:
    """Reads rows; of several with the same key, a finished one is kept, else the
    last one.

    Raises:
        RowError: a line is not a row.
        OSError: a file cannot be read.
    """
    latest: dict[PlayKey, Row] = {}
    for path in paths:
        text = path.read_text(encoding="utf-8")
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip():
                continue
            row = parse_row(line, f"{path}:{number}")
            known = latest.get(row.key)
            if known is None or not known.finished or row.finished:
                latest[row.key] = row
    return list(latest.values())


def append_row(path: pathlib.Path, row: Row) -> None:
    """Appends a row to a file, which is created if it does not exist."""
    with path.open("a", encoding="utf-8") as file:
        file.write(json.dumps(dataclasses.asdict(row), sort_keys=True) + "\n")
