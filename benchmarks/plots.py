"""Draws the timelines of the storm and the cost of the control plane as SVG files.

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
    """Draw completed roots a second in the storm, gingerturn and the baselines."""
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
    """Draw processor time and bytes of the control plane by number of members."""
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


def memory_and_events() -> None:
    """Draw the memory of a node by state and events a second by kind."""
    found = json.loads(cost.SLOPES.read_text())
    for name, values, unit, bound in (
        ("memory", found["memory_states_mb"], "MB", 64.0),
        ("events", found["events_per_second"], "events/s of one core", None),
    ):
        figure, axis = pyplot.subplots(figsize=(8, 2.8), layout="constrained")
        axis.barh(list(values), list(values.values()))
        axis.invert_yaxis()
        axis.set_xlabel(unit)
        if bound:
            axis.axvline(bound, linestyle="--", color="black")
        _save(figure, f"{name}.svg")


def log_and_changes() -> None:
    """Draw appends and idle time by number of nodes, and propagation of a change."""
    found = json.loads(cost.SLOPES.read_text())
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3), layout="constrained")
    for axis, key, label in (
        (left, "appends_by_nodes", "log appends since the start"),
        (right, "idle_cpu_by_nodes", "idle processor time, of a core"),
    ):
        axis.plot([int(n) for n in found[key]], list(found[key].values()), "o-")
        axis.set_xlabel("real nodes")
        axis.set_ylabel(label)
        axis.set_ylim(bottom=0)
    _save(figure, "log.svg")
    figure, axis = pyplot.subplots(figsize=(6, 3), layout="constrained")
    times = found["in_force_ms"]
    axis.plot(times, [(i + 1) / len(times) for i in range(len(times))])
    axis.set_xlabel("ms after the request to publish")
    axis.set_ylabel("share of nodes and changes")
    _save(figure, "in-force.svg")


def main() -> None:
    """Draw all plots whose figures are available."""
    rows = json.loads((overload.OUT / "overload.json").read_text())
    for graph in sorted({row["graph"] for row in rows}):
        storm(rows, graph)
    slopes()
    memory_and_events()
    log_and_changes()


if __name__ == "__main__":
    main()
