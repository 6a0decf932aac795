"""Score the regression sites with the users' bench, against the recorded scores.

``make regress BENCH=PROGRAM SITES="FILE FILE"`` scores each site, by default one
day at a time to bound memory, and prints a line a site: score, gate and mean worth of
the days with faults, beside the recorded ones. ``--record`` records the new scores.
"""

import json
import pathlib
import re
import subprocess
import sys

import click
import msgspec

RECORDED = pathlib.Path(__file__).with_name("landed.json")
MAX_DROP = 0.03
"""Largest drop of a site's score that is not a regression."""

_SCORE = re.compile(
    r"score on the standard days of (?P<site>\S+) \(.*?\): (?P<score>[\d.]+)"
)
_DAY = re.compile(
    r"(?P<day>\S+) +\d+/\d+ +[\d.]+ +(?P<worth>-?[\d.]+) .*?(?P<broken>BROKEN)?\s*$"
)


class SiteScore(msgspec.Struct, frozen=True):
    """The score of a site.

    :param mean_worth: of the standard days with faults.
    :param broken: days that broke a rule or were aborted.
    """

    site: str
    score: float
    gate: bool
    mean_worth: float
    broken: tuple[str, ...] = ()


def parse(text: str) -> SiteScore:
    """Return the score in the output of the bench.

    :raises ValueError: for an output without a score.
    """
    found = _SCORE.search(text)
    if found is None:
        raise ValueError("no score in the output: " + text[-200:])
    days = [match for line in text.splitlines() if (match := _DAY.match(line))]
    worth = [float(day["worth"]) for day in days if _has_faults(day["day"])]
    return SiteScore(
        site=found["site"],
        score=float(found["score"]),
        gate="GATE passed" in text,
        mean_worth=round(sum(worth) / max(1, len(worth)), 4),
        broken=tuple(day["day"] for day in days if day["broken"]),
    )


def _has_faults(day: str) -> bool:
    return day.startswith(("trouble-", "scale-"))


def line(played: SiteScore, before: SiteScore | None) -> str:
    """Return the line of a site."""
    gate = "passed" if played.gate else "FAILED"
    told = (
        f"{played.site:<24} score {played.score:.3f}, gate {gate},"
        f" mean worth {played.mean_worth:.3f}"
    )
    if played.broken:
        told += f", broken: {', '.join(played.broken)}"
    if before is None:
        return told + "; not played at the last landing"
    fall = before.score - played.score
    mark = f"; FELL by {fall:.3f}" if fall > MAX_DROP else ""
    return f"{told}; before {before.score:.3f}, {before.mean_worth:.3f}{mark}"


def recorded_scores() -> dict[str, SiteScore]:
    """Return the recorded scores by site."""
    kept = msgspec.json.decode(RECORDED.read_bytes(), type=list[SiteScore])
    return {played.site: played for played in kept}


def record_score(played: SiteScore) -> None:
    """Record the score of a site."""
    all_sites = {**recorded_scores(), played.site: played}
    told = [msgspec.to_builtins(all_sites[site]) for site in sorted(all_sites)]
    RECORDED.write_text(json.dumps(told, indent=2) + "\n")


@click.command()
@click.option("--bench", required=True, help="The users' bench program.")
@click.option("--jobs", default=1, help="Days played at once.")
@click.option("--record", is_flag=True, help="Record the scores.")
@click.argument("sites", nargs=-1, required=True)
def main(bench: str, jobs: int, record: bool, sites: tuple[str, ...]) -> None:
    """Score each site file in turn."""
    failed = False
    for site in sites:
        ended = subprocess.run(
            [bench, "score", site, "--jobs", str(jobs), "--why", "regression"],
            capture_output=True,
            text=True,
            check=False,
        )
        played = parse(ended.stdout)
        before = recorded_scores().get(played.site)
        click.echo(line(played, before))
        failed |= not played.gate
        failed |= before is not None and before.score - played.score > MAX_DROP
        if record:
            record_score(played)
    sys.exit(int(failed))


if __name__ == "__main__":
    main()
