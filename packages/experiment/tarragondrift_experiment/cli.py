"""Command line of the experiment tool."""

import argparse
import json
import os
import pathlib
import shlex
import subprocess
import sys
from collections.abc import Sequence

from tabulate import tabulate

from tarragondrift_experiment import compare, losses, plays, plots
from tarragondrift_experiment.rows import PlayKey, Row, RowError, read_rows

EXIT_USAGE = 2
EXIT_UNFINISHED = 1


def _print_progress(row: Row) -> None:
    key = row.key
    words = [key.variant, key.site, key.day, f"seed {key.seed}"]
    if row.finished:
        words.append(f"worth {row.measures.get('worth', float('nan')):.3f}")
    else:
        words.append("not finished: " + row.detail)
    if row.broken_rules:
        words.append(f"breaks {', '.join(row.broken_rules)}")
    print(" ".join(words), flush=True)


def _play(options: argparse.Namespace) -> int:
    repository = pathlib.Path(options.repository).resolve()
    seeds = plays.parse_seeds(options.seeds)
    variants = [plays.parse_variant(text) for text in options.variant]
    days = [plays.parse_day(text, seeds) for text in options.day]
    commits = {
        one.name: plays.resolve_commit(repository, one.commit)
        for one in variants
    }
    folder = pathlib.Path(options.trees).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    planned = []
    trees = []
    for one in variants:
        tree = plays.prepare_tree(repository, folder, one)
        trees.append(tree)
        if options.prepare:
            built = subprocess.run(
                shlex.split(options.prepare),
                cwd=tree,
                capture_output=True,
                text=True,
                check=False,
            )
            if built.returncode != 0:
                print(built.stdout[-2000:] + built.stderr[-2000:])
                raise plays.PlanError(f"variant {one.name} cannot be built")
        for day in days:
            for seed in day.seeds:
                key = PlayKey(
                    variant=one.name,
                    commit=commits[one.name][:8],
                    site=day.site.stem,
                    day=pathlib.Path(day.day).name
                    if "/" not in day.day
                    else day.day,
                    seed=seed,
                )
                planned.append((key, tree, day.site))
    # Plays of the same day and seed follow each other, so that an interruption
    # leaves pairs.
    planned.sort(key=lambda one: (one[0].seed, one[0].site, one[0].day))
    rows = pathlib.Path(options.rows)
    plays.run_plays(
        planned,
        shlex.split(options.command),
        rows,
        options.jobs,
        _print_progress,
    )
    if options.journal:
        for tree in trees:
            plays.keep_journal(tree, pathlib.Path(options.journal))
    results = {row.key: row for row in read_rows([rows])}
    unfinished = [key for key, _, _ in planned if not results[key].finished]
    if unfinished:
        print(f"{len(unfinished)} of {len(planned)} plays did not finish")
    return EXIT_UNFINISHED if unfinished else 0


def _format_difference(one: compare.Difference | None) -> str:
    if one is None:
        return "-"
    if one.margin is None:
        return f"{one.mean:+.4f}"
    return f"{one.mean:+.4f} ±{one.margin:.4f}"


def _compare(options: argparse.Namespace) -> int:
    rows = read_rows([pathlib.Path(path) for path in options.rows])
    comparisons = compare.compare_all(rows, options.baseline)
    if not options.by_day:
        comparisons = [one for one in comparisons if one.scope == "all days"]
    measures = [
        name
        for name in compare.MEASURES
        if any(name in one.differences for one in comparisons)
    ] or sorted({name for one in comparisons for name in one.differences})
    table = [
        [
            one.variant,
            one.scope,
            max((d.pairs for d in one.differences.values()), default=0),
            *(_format_difference(one.differences.get(m)) for m in measures),
            one.verdict(),
        ]
        for one in comparisons
    ]
    headers = ["variant", "scope", "pairs", *measures, "verdict"]
    print(tabulate(table, headers, tablefmt=options.format))
    for one in comparisons:
        for pair in one.missing:
            print(f"not compared: {one.variant} ({one.scope}): {pair}")
    if options.plot:
        plots.draw_comparison(comparisons, pathlib.Path(options.plot))
    return 0


def _losses(options: argparse.Namespace) -> int:
    days = []
    for text in options.day:
        name, _, files = text.partition("=")
        log, _, report = files.partition(",")
        with open(log, encoding="utf-8", errors="replace") as lines:
            data = json.loads(pathlib.Path(report).read_text(encoding="utf-8"))
            days.append((name, losses.account(lines, data)))
    causes = sorted({c for _, one in days for c in one.unserved | one.late})
    table = [
        [cause]
        + [f"{d.unserved.get(cause, 0)}+{d.late.get(cause, 0)}" for _, d in days]
        for cause in causes
    ]
    table.append(["asked"] + [str(one.asked) for _, one in days])
    table.append(["worth"] + [f"{one.worth:.3f}" for _, one in days])
    table.append(["bound"] + [f"{one.bound:.3f}" for _, one in days])
    table.append(
        ["share unknown"] + [f"{one.unknown_share():.0%}" for _, one in days]
    )
    headers = ["cause (not served + late)", *(name for name, _ in days)]
    print(tabulate(table, headers, tablefmt=options.format))
    if options.plot:
        plots.draw_losses(days, pathlib.Path(options.plot))
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="experiment", description=__doc__.splitlines()[0]
    )
    verbs = parser.add_subparsers(required=True, dest="verb")

    played = verbs.add_parser("play", help="play variants x days x seeds")
    played.add_argument(
        "--variant", action="append", required=True, metavar="NAME=COMMIT[:FLAGS]"
    )
    played.add_argument(
        "--day", action="append", required=True, metavar="SITE:DAY"
    )
    played.add_argument("--seeds", required=True, help="for example 1,5..8")
    played.add_argument(
        "--command",
        required=True,
        help="player, with {site} {day} {seed} {report} {variant} replaced",
    )
    played.add_argument("--prepare", help="command that builds a work tree")
    played.add_argument("--rows", required=True, help="file of results")
    played.add_argument("--trees", required=True, help="folder of work trees")
    played.add_argument("--journal", help="folder that keeps the plays' journal")
    played.add_argument("--repository", default=".")
    played.add_argument(
        "--jobs",
        type=int,
        default=max(1, (os.cpu_count() or 2) - 1),
        help="plays at a time (%(default)s)",
    )
    played.set_defaults(run=_play)

    compared = verbs.add_parser("compare", help="paired differences")
    compared.add_argument("rows", nargs="+")
    compared.add_argument("--baseline", required=True, help="name of a variant")
    compared.add_argument("--by-day", action="store_true")
    compared.add_argument("--plot", help="SVG file to draw")
    compared.add_argument("--format", default="github")
    compared.set_defaults(run=_compare)

    lost = verbs.add_parser("losses", help="causes of jobs not served on time")
    lost.add_argument(
        "--day", action="append", required=True, metavar="NAME=LOG,REPORT"
    )
    lost.add_argument("--plot", help="SVG file to draw")
    lost.add_argument("--format", default="github")
    lost.set_defaults(run=_losses)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the tool and returns its exit code."""
    options = _parser().parse_args(arguments)
    try:
        return options.run(options)
    except (plays.PlanError, RowError, ValueError, OSError) as error:
        print(f"experiment: {error}", file=sys.stderr)
        return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
