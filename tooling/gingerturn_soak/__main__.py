"""``python -m gingerturn_soak``: play random runs, or one again by its seed."""

import pathlib
import random
import shutil
import signal
import sys
import tempfile

import click

from gingerturn_soak import run

KEPT = pathlib.Path("out/soak")
"""Logs of runs that broke a promise."""


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Play this one.")
@click.option("--runs", default=1, help="How many fresh seeds.", show_default=True)
@click.option("--machines", default=4, show_default=True)
@click.option("--length", default=12.0, help="Seconds of faults.", show_default=True)
def main(seeds: tuple[int, ...], runs: int, machines: int, length: float) -> None:
    """Play runs and print each one's verdict; exit with 1 if a promise was broken."""
    # Ended by a signal too, a run ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    chosen = seeds or [random.SystemRandom().randrange(1 << 31) for _ in range(runs)]
    failed = [seed for seed in chosen if not play(seed, machines, length)]
    click.echo(f"{len(chosen)} runs, {len(failed)} with a promise broken: {failed}")
    sys.exit(bool(failed))


def play(seed: int, machines: int, length: float) -> bool:
    """Play a run and print its verdict; tell whether every promise was kept."""
    # Told first: a run that ends with a fault of the soak itself can be played again.
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
        )
        click.echo(
            f"{verdict.served} of {verdict.attempts} served,"
            f" {len(verdict.steps)} steps, {len(verdict.broken)} broken"
        )
        if not verdict.broken:
            return True
        for line in [*verdict.steps, *verdict.broken[:10]]:
            click.echo(f"    {line}")
        kept = KEPT / str(seed)
        shutil.copytree(folder, kept, dirs_exist_ok=True)
        click.echo(f"    logs: {kept}")
    return False


if __name__ == "__main__":
    main()
