"""Draws the time lines of the storm and the slopes of control, as SVG files.

Run after ``benchmarks.overload`` and ``benchmarks.cost --record``.
"""

import json
import pathlib
import typing

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "gingerturn"

from matplotlib import pyplot  # noqa: E402

from benchmarks import cost, overload  # noqa: E402

FOLDER = pathlib.Path(__file__).parents[1] / "docs" / "plots"
SHOWN = ("gingerturn", "static-limits", "per-hop-retries", "pass-through")


def _save(figure: typing.Any, name: str) -> None:
    FOLDER.mkdir(parents=True, exist_ok=True)
    figure.savefig(FOLDER / name, metadata={"Date": None})
    pyplot.close(figure)


def storm(rows: list[dict[str, typing.Any]], graph: str) -> None:
    """Draw completed roots a second through the storm, ours and the baselines."""
    figure, axis = pyplot.subplots(figsize=(8, 4), layout="constrained")
    for variant in SHOWN:
        row = next(
            (
                r
                for r in rows
                if (r["graph"], r["variant"], r["scenario"], r["demand"])
                == (graph, variant, "storm", overload.STORM_DEMAND)
            ),
            None,
        )
        if row is None:
            continue
        total = [sum(c) for c in zip(*row["per_second"].values(), strict=True)]
        axis.plot(total[:-1], label=variant)
    end = overload.WARM_S + overload.TRIGGER_S
    axis.axvspan(overload.WARM_S, end, alpha=0.15, label="trigger")
    axis.set_xlabel("seconds")
    axis.set_ylabel("whole requests completed /s")
    axis.set_title(f"{graph}: deepest service at a third, callers retry hard")
    axis.legend(fontsize="small")
    _save(figure, f"storm-{graph}.svg")


def slopes() -> None:
    """Draw control's processor time and bytes against the members."""
    found = json.loads(cost.SLOPES.read_text())
    figure, (left, right) = pyplot.subplots(
        1, 2, figsize=(9, 3.5), layout="constrained"
    )
    sizes = [int(size) for size in found["control_cpu"]]
    left.plot(sizes, [100 * v for v in found["control_cpu"].values()], "o-")
    left.set_xlabel("members")
    left.set_ylabel("gossip, % of a core")
    right.plot(sizes, list(found["control_bytes"].values()), "o-")
    right.set_xlabel("members")
    right.set_ylabel("gossip sent, B/s")
    right.set_ylim(0, 2_000)
    _save(figure, "control.svg")


def main() -> None:
    """Draw everything there are figures for."""
    rows = json.loads((overload.OUT / "overload.json").read_text())
    for graph in sorted({row["graph"] for row in rows}):
        storm(rows, graph)
    slopes()


if __name__ == "__main__":
    main()
