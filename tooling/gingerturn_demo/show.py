"""The report of a demonstration, as text and as a plot."""

import pathlib

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

from gingerturn_demo import scene  # noqa: E402


def draw(outcome: scene.Outcome, path: pathlib.Path) -> pathlib.Path:
    """Plot goodput, refusals by kind and attempts over time."""
    seconds = scene.WARM_S + scene.TRIGGER_S + scene.RECOVERY_S
    figure, (top, middle, bottom) = pyplot.subplots(
        3, 1, sharex=True, figsize=(9, 8), layout="constrained"
    )
    for name, series in outcome.goodput.items():
        top.plot(range(seconds), series[:seconds], label=name)
    top.set_ylabel("completed /s")
    for name, series in outcome.refused.items():
        middle.plot(range(seconds), series[:seconds], label=name)
    middle.set_ylabel("refused /s")
    bottom.plot(range(len(outcome.attempts)), outcome.attempts)
    bottom.set_ylabel(f"attempts per whole request\nat {outcome.scenario.deepest}")
    bottom.set_ylim(0, 2)
    bottom.set_xlabel("seconds")
    for axis in (top, middle, bottom):
        axis.axvspan(
            scene.WARM_S, scene.WARM_S + scene.TRIGGER_S, alpha=0.15, label="trigger"
        )
        axis.set_xlim(0, seconds)
    top.legend(loc="upper right", fontsize="small")
    top.set_title(
        f"{outcome.scenario.name}: a surge while {outcome.scenario.deepest} is slow"
    )
    figure.savefig(path)
    return path


def write(outcome: scene.Outcome, picture: pathlib.Path) -> str:
    """Return the report as text."""
    begin, end = scene.WARM_S, scene.WARM_S + scene.TRIGGER_S
    lines = [
        f"{outcome.scenario.name}: {outcome.scenario.deepest} at a third of its speed"
        f" and a surge from second {begin} to {end}; callers retry at once, up to"
        f" {scene.CALLER_ATTEMPTS} times.",
        "",
        f"{'kind':<12}{'roots':>8}{'complete':>10}{'share':>8}"
        f"{'before /s':>11}{'trigger /s':>12}{'after /s':>10}",
    ]
    for load in outcome.scenario.loads:
        series = outcome.goodput[load.name]
        lines.append(
            f"{load.name:<12}{outcome.sent[load.name]:>8}"
            f"{outcome.complete[load.name]:>10}"
            f"{outcome.complete[load.name] / max(1, outcome.sent[load.name]):>8.3f}"
            f"{_mean(series, 2, begin):>11.1f}{_mean(series, begin, end):>12.1f}"
            f"{_mean(series, end + 2, end + scene.RECOVERY_S):>10.1f}"
        )
    lines += [
        "",
        "Attempts per whole request at the deepest service: mean"
        f" {sum(outcome.attempts[1:]) / max(1, len(outcome.attempts) - 1):.2f}, most"
        f" in a second {max(outcome.attempts[1:], default=0.0):.2f}.",
        f"Recovery: goodput was back after {_recovery(outcome)} s.",
        f"At most once: {outcome.keys} keyed requests, {outcome.keys_executed} ran,"
        f" {outcome.keys_executed_twice} ran twice.",
        f"Refusals answered as not run took at most {outcome.max_refusal_ms:.0f} ms;"
        f" {outcome.unknown} answers were unknown or lost.",
        f"Configuration in force at every node after {outcome.revision_s:.2f} s.",
        f"Planned stop of a node under load: exit status {outcome.stop_exit_status}"
        " (0: nothing was cut).",
        f"Explanation: {outcome.explanation}",
        f"Picture: {picture}",
    ]
    return "\n".join(lines)


def _mean(series: list[int], begin: int, end: int) -> float:
    return sum(series[begin:end]) / max(1, end - begin)


def _recovery(outcome: scene.Outcome) -> str:
    """Return the seconds until total goodput stays at 90 % of its former mean."""
    columns = zip(*outcome.goodput.values(), strict=True)
    total = [sum(column) for column in columns]
    before = _mean(total, 2, scene.WARM_S)
    ended = scene.WARM_S + scene.TRIGGER_S
    last = ended + scene.RECOVERY_S - 1
    for second in range(ended, last):
        if _mean(total, second, last) >= 0.9 * before and total[second] >= 0.8 * before:
            return str(second - ended)
    return "more than " + str(scene.RECOVERY_S)
