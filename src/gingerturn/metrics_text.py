"""What a node's metrics say, for ``gingerturn status`` where no node serves an
administration API.
"""

import collections.abc
import re

import msgspec

from gingerturn import errors

_LINE = re.compile(
    r"gingerturn_(?P<name>\w+)"
    r"(?:\{(?P<label>\w+)=\"(?P<value>(?:[^\"\\]|\\.)*)\"\})?"
    r" (?P<number>\S+)"
)
"""One sample of the Prometheus text format, as a node writes it: one label at most."""


class NodeMetrics(msgspec.Struct):
    """The metrics of one node.

    :param plain: samples without a label, by name.
    :param refused: requests refused or failed, by rule.
    :param answer_seconds: time to the answer, by quantile.
    :param workspaces: by workspace, what is told of it by name of the sample.
    """

    plain: dict[str, float] = {}
    refused: dict[str, float] = {}
    answer_seconds: dict[str, float] = {}
    workspaces: dict[str, dict[str, float]] = {}


def parse(text: str, *, origin: str) -> NodeMetrics:
    """Return what a metrics page says; samples of other systems are passed over.

    :param origin: the address or file, named in errors.
    :raises InvalidArgument: for a line that is no sample, and for a page without any.
    """
    found = NodeMetrics()
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith("gingerturn_"):
            _add(found, line, where=f"{origin}:{number}")
    if not found.plain:
        raise errors.InvalidArgument(
            "no metrics of a node; wanted are lines that begin with gingerturn_",
            step="read metrics",
            peer=origin,
        )
    return found


def words(found: NodeMetrics) -> list[str]:
    """Return what the metrics say, a sentence a line."""
    plain = found.plain
    ready = "ready" if plain.get("ready") else "not ready"
    lines = [
        f"{ready}, routes version {_count(plain, 'route_version')},"
        f" {_count(plain, 'members')} members,"
        f" {_count(plain, 'upstreams')} upstreams",
        f"{_count(plain, 'calls_in_flight')} calls in flight,"
        f" {_count(plain, 'hosted_calls')} hosted",
        f"backend server: {_count(plain, 'backend_running')} running,"
        f" {_count(plain, 'backend_queue')} queued,"
        f" limit {_count(plain, 'backend_limit')},"
        f" level {_count(plain, 'backend_level')}",
        f"answered {_count(plain, 'answered_total')}" + _times(found),
    ]
    if found.refused:
        most = sorted(found.refused.items(), key=lambda item: -item[1])
        lines.append("refused: " + ", ".join(f"{rule} {n:.0f}" for rule, n in most))
    if plain.get("backend_ends_total") or plain.get("requests_kept_out"):
        lines.append(
            f"backend server ended by itself {_count(plain, 'backend_ends_total')}"
            f" times, {_count(plain, 'requests_kept_out')} requests kept out"
        )
    if plain.get("log_restores_total"):
        lines.append(
            f"log restored from a backup {_count(plain, 'log_restores_total')} times,"
            f" epoch {_count(plain, 'log_epoch')}"
        )
    if plain.get("keys_closed"):
        lines.append("requests with API keys are refused: keys_stale")
    if plain.get("log_lines_dropped_total"):
        lines.append(f"{_count(plain, 'log_lines_dropped_total')} log lines left out")
    return lines


class WorkspaceUse(msgspec.Struct):
    """Whole requests of a workspace at some nodes since their starts.

    :param cap: requests a second by all nodes; 0 for any number.
    """

    workspace: str
    passed: float = 0.0
    refused: float = 0.0
    cap: float = 0.0


def workspaces(pages: collections.abc.Iterable[NodeMetrics]) -> list[WorkspaceUse]:
    """Return the use of each workspace over some nodes, most refused first."""
    found: dict[str, WorkspaceUse] = {}
    for page in pages:
        for name, told in page.workspaces.items():
            use = found.setdefault(name, WorkspaceUse(name))
            use.passed += told.get("workspace_passed_total", 0.0)
            use.refused += told.get("workspace_refused_total", 0.0)
            use.cap = max(use.cap, told.get("workspace_cap", 0.0))
    return sorted(found.values(), key=lambda use: (-use.refused, -use.passed))


def _add(found: NodeMetrics, line: str, *, where: str) -> None:
    match = _LINE.fullmatch(line)
    try:
        number = float(match["number"]) if match else None
    except ValueError:
        number = None
    if match is None or number is None:
        raise errors.InvalidArgument(
            f"{line[:80]!r} is no sample; wanted is NAME VALUE",
            step="read metrics",
            peer=where,
        )
    if match["label"] == "rule":
        found.refused[match["value"]] = number
    elif match["label"] == "quantile":
        found.answer_seconds[match["value"]] = number
    elif match["label"] == "workspace":
        name = match["value"].replace(r"\"", '"').replace(r"\\", "\\")
        found.workspaces.setdefault(name, {})[match["name"]] = number
    elif match["label"] is None:
        found.plain[match["name"]] = number


def _count(plain: dict[str, float], name: str) -> str:
    value = plain.get(name)
    return "?" if value is None else f"{value:.0f}"


def _times(found: NodeMetrics) -> str:
    told = sorted(found.answer_seconds.items())
    return "".join(
        f", p{100 * float(quantile):g} {1000 * seconds:.0f} ms"
        for quantile, seconds in told
    )
