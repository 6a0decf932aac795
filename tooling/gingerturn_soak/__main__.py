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


@click.command()
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="Seed of a run to repeat."
)
@click.option(
    "--runs", default=1, help="Number of runs with new seeds.", show_default=True
)
@click.option("--machines", default=4, show_default=True)
@click.option("--length", default=12.0, help="Seconds of faults.", show_default=True)
def main(seeds: tuple[int, ...], runs: int, machines: int, length: float) -> None:
    """Run soaks and print each verdict; exit with 1 if there was a violation."""
    # SIGTERM raises SystemExit, so that a run stops the processes that it started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    chosen = seeds or [random.SystemRandom().randrange(1 << 31) for _ in range(runs)]
    failed = [seed for seed in chosen if not play(seed, machines, length)]
    click.echo(f"{len(chosen)} runs, {len(failed)} with violations: {failed}")
    sys.exit(bool(failed))


def play(seed: int, machines: int, length: float) -> bool:
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
            timing=True,
            deadly=True,
            restored=True,
            reported=True,
            silenced=True,
            unrelated=True,
        )
        click.echo(
            f"{verdict.served} of {verdict.attempts} served,"
            f" {len(verdict.steps)} steps, {len(verdict.violations)} violations"
        )
        if not verdict.violations:
            return True
        for line in [*verdict.steps, *verdict.violations[:10]]:
            click.echo(f"    {line}")
        copied = FAILED_RUNS / str(seed)
        shutil.copytree(folder, copied, dirs_exist_ok=True)
        click.echo(f"    logs: {copied}")
    return False


if __name__ == "__main__":
    main()
