"""Cost of a log line, and of the most lines per second that may be written.

Run with ``python -m benchmarks.logging_cost``. The lines go to a pipe that nobody reads
after it is full, so that the price of a stalled reader is in the second figure.
"""

import os
import time

import click

from gingerturn.internal import logs

LINES = 20_000
FIGURES = {"running": 17.0, "limit": 20.0, "queued": 4.0, "ms waited": 31.25}


def _write() -> None:
    logs.write(
        "WARNING",
        "home",
        "Shed: the queue was full and this call ranked lowest in it.",
        request="9c41d07be2a35f68.e95bc366aa112233",
        rule="queue_full",
        kind="r-lookup",
        upstream="node-3",
        status=503,
        figures=FIGURES,
        version=12,
        waited_ms=31.2,
        decision="node-1:1a2b",
    )


def cost_us(descriptor: int) -> float:
    """Return the processor time of a line in microseconds."""
    output = logs.Output(descriptor)
    logs._state.output = output
    begun = time.thread_time()
    for _ in range(LINES):
        _write()
    return (time.thread_time() - begun) / LINES * 1e6


@click.command()
def main() -> None:
    """Print the costs."""
    read = cost_us(os.open(os.devnull, os.O_WRONLY))
    stalled = cost_us(os.pipe()[1])
    most = logs.FAILURES_PER_S + logs.SUCCESSES_PER_S
    click.echo(f"a line that is read         {read:8.1f} us")
    click.echo(f"a line that nobody reads    {stalled:8.1f} us")
    share = most * max(read, stalled) / 1e6
    click.echo(f"the most, {most} lines/s, of a core {share:8.4f}")


if __name__ == "__main__":
    main()
