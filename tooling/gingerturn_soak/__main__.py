"""``python -m gingerturn_soak``: run random soaks, or repeat one by its seed."""

import pathlib
import random
import shutil
import signal
import sys
import tempfile

import click

from gingerturn_soak import run

FAILED_RUNS = pathlib.Path("out/soak")
"""Folder for the logs of runs with violations."""

SHOWN = 5
"""Violations of each check that are printed."""


@click.command()
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="Seed of a run to repeat."
)
@click.option(
    "--runs", default=1, help="Number of runs with new seeds.", show_default=True
)
@click.option("--machines", default=4, show_default=True)
@click.option("--length", default=12.0, help="Seconds of faults.", show_default=True)
@click.option(
    "--lasting/--no-lasting",
    "lasts",
    default=True,
    help="Requests that last, on raw sockets.",
    show_default=True,
)
@click.option(
    "--odd/--no-odd",
    default=True,
    help="Odd entries of another writer, and losses of the log's history.",
    show_default=True,
)
@click.option(
    "--timing/--no-timing",
    default=True,
    help="Checks that need a machine which is not busy.",
    show_default=True,
)
@click.option("--calm", is_flag=True, help="Of the common steps, planned ones only.")
def main(
    seeds: tuple[int, ...],
    runs: int,
    machines: int,
    length: float,
    lasts: bool,
    odd: bool,
    timing: bool,
    calm: bool,
) -> None:
    """Run soaks and print each verdict; exit with 1 if there was a violation."""
    # SIGTERM raises SystemExit, so that a run stops the processes that it started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    chosen = seeds or [random.SystemRandom().randrange(1 << 31) for _ in range(runs)]
    failed = [
        seed
        for seed in chosen
        if not play(
            seed, machines, length, lasts=lasts, odd=odd, timing=timing, calm=calm
        )
    ]
    click.echo(f"{len(chosen)} runs, {len(failed)} with violations: {failed}")
    sys.exit(bool(failed))


def play(
    seed: int,
    machines: int,
    length: float,
    *,
    lasts: bool = True,
    odd: bool = True,
    timing: bool = True,
    calm: bool = False,
) -> bool:
    """Run a soak and print its verdict; return whether there was no violation."""
    # Printed first, so that a run in which the soak itself fails can be repeated.
    click.echo(f"seed {seed}: ", nl=False)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        verdict = run.play(
            seed,
            folder,
            machines=machines,
            length_s=length,
            timing=timing,
            deadly=not calm,
            restored=not calm,
            reported=True,
            silenced=not calm,
            unrelated=not calm,
            odd=odd,
            departed=not calm,
            lasts=lasts,
            calm=calm,
        )
        click.echo(
            f"{verdict.served} of {verdict.attempts} served,"
            f" {len(verdict.steps)} steps, {len(verdict.violations)} violations,"
            f" callers late by up to {verdict.late_ms:.0f} ms"
        )
        if not verdict.violations:
            return True
        for line in [*verdict.steps, *_shortened(verdict.violations)]:
            click.echo(f"    {line}")
        copied = FAILED_RUNS / str(seed)
        shutil.copytree(folder, copied, dirs_exist_ok=True)
        click.echo(f"    logs: {copied}")
    return False


def _shortened(violations: list[str]) -> list[str]:
    """Return the number of violations of each check, and some of them."""
    by_check: dict[str, list[str]] = {}
    for line in violations:
        by_check.setdefault(line.partition(":")[0], []).append(line)
    counts = [f"{len(lines)} x {name}" for name, lines in by_check.items()]
    return counts + [line for lines in by_check.values() for line in lines[:SHOWN]]


if __name__ == "__main__":
    main()
