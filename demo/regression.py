"""Scores deployments with the users' bench and compares each day with an earlier run.

    demo/regression.py --bench PROGRAM [--whole] [--days FILE] SITE...

A deployment that the journal already holds for this commit isn't scored again, so an
interrupted run can be repeated. With `--days`, single days that broke a rule once are
played as well; each line of that file has the deployment's name, the day, the seed and
the cause, separated by " | ".
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

JOURNAL = Path("journal")
# Changes of worth below this are noise, as processor time is measured.
NOISE = 0.03
HEADER = (
    "| deployment | day | before | now | change | rules broken | seed |\n"
    "|---|---|---|---|---|---|---|"
)


@dataclass(frozen=True, slots=True)
class DayResult:
    """Result of one day.

    Attributes:
        name: Name of the day.
        worth: Worth of the day.
        rules: Number of times that each broken rule was broken.
        seed: Seed with which the day can be repeated.
    """

    name: str
    worth: float
    rules: dict[str, int]
    seed: int


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--bench", type=Path, required=True, help="program to run")
    parser.add_argument("--whole", action="store_true", help="all days, not a few")
    parser.add_argument("--jobs", type=int, default=3, help="processors to use")
    parser.add_argument("--days", type=Path, help="file of single days to repeat")
    parser.add_argument("--why", default="regression run", help="line in the journal")
    parser.add_argument("sites", nargs="+", type=Path, help="deployments")
    return parser


def read_head() -> str:
    """Return the commit that is checked out."""
    command = ["git", "rev-parse", "HEAD"]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def read_entries(site: str, is_whole: bool) -> list[dict[str, Any]]:
    """Return the journal's finished scores of a deployment, the oldest first."""
    entries = [json.loads(path.read_text()) for path in sorted(JOURNAL.glob("*.json"))]
    return [
        entry
        for entry in entries
        if entry["cmd"] == "score"
        and entry["ok"]
        and entry["site"] == site
        and (entry.get("mode") != "quick") is is_whole
    ]


def list_results(entry: dict[str, Any]) -> list[DayResult]:
    """Return the results of the days in one journal entry."""
    return [
        DayResult(day["name"], day["G"], day["rules"], day["seed"])
        for day in entry["days"]
    ]


def score_site(options: argparse.Namespace, site: Path) -> bool:
    """Score a deployment unless the journal holds this commit; return the success."""
    head = read_head().strip()
    done = [entry["head"] for entry in read_entries(site.stem, options.whole)]
    if head in done:
        return True
    command = [str(options.bench), "score", str(site), "--jobs", str(options.jobs)]
    command += ["--why", options.why]
    if not options.whole:
        command.append("--quick")
    return subprocess.run(command, stdout=sys.stderr).returncode == 0


def print_comparison(site: str, is_whole: bool) -> int:
    """Print the newest score of a deployment beside the one before.

    Returns:
        Number of days that broke a rule or lost more than the noise.
    """
    entries = read_entries(site, is_whole)
    if not entries:
        print(f"| {site} | not scored | | | | | |")
        return 1
    earlier = list_results(entries[-2]) if len(entries) > 1 else []
    before = {result.name: result.worth for result in earlier}
    findings = 0
    for result in list_results(entries[-1]):
        worth_before = before.get(result.name)
        change = result.worth - worth_before if worth_before is not None else None
        findings += bool(result.rules) or (change is not None and change < -NOISE)
        cells = [
            site,
            result.name,
            "" if worth_before is None else f"{worth_before:.3f}",
            f"{result.worth:.3f}",
            "" if change is None else f"{change:+.3f}",
            ", ".join(f"{rule} {count}" for rule, count in result.rules.items()),
            str(result.seed),
        ]
        print("| " + " | ".join(cells) + " |")
    return findings


def repeat_days(options: argparse.Namespace) -> None:
    """Play the days that broke a rule once."""
    sites = {site.stem: site for site in options.sites}
    for line in options.days.read_text().splitlines():
        fields = [field.strip() for field in line.split("|")]
        if line.startswith("#") or len(fields) != 4 or fields[0] not in sites:
            continue
        site, day, seed, cause = fields
        command = [str(options.bench), "run", str(sites[site]), day, "--seed", seed]
        command += ["--jobs", str(options.jobs), "--why", cause]
        subprocess.run(command, stdout=sys.stderr)


def main() -> int:
    """Run the program; return 1 if a day broke a rule or fell."""
    options = build_parser().parse_args()
    for site in options.sites:
        if not score_site(options, site):
            print(f"{site.stem}: the score did not finish", file=sys.stderr)
    if options.days is not None:
        repeat_days(options)
    print(HEADER)
    findings = [print_comparison(site.stem, options.whole) for site in options.sites]
    return 1 if sum(findings) else 0


if __name__ == "__main__":
    sys.exit(main())
