"""Parses the metrics of nodes, for ``gingerturn status`` without administration API."""

import collections.abc
import re

import msgspec

from gingerturn import errors
from gingerturn.internal import decoding

_LABEL = r"(\w+)=\"((?:[^\"\\]|\\.)*)\""
_LABELS = re.compile(_LABEL)
_LINE = re.compile(
    r"gingerturn_(?P<name>\w+)"
    rf"(?:\{{(?P<labels>{_LABEL}(?:,{_LABEL})*)\}})?"
    r" (?P<number>\S+)"
)
"""A sample of the Prometheus text format."""

ANSWERED_RULE = "sent"
"""Rule of the calls whose answer was relayed."""


class NodeMetrics(msgspec.Struct):
    """The metrics of one node.

    :param plain: samples without labels, by name.
    :param refused: refused and failed requests, by rule.
    :param answer_seconds: response time, by quantile.
    :param workspaces: samples by name, by workspace.
    :param streams: samples by name, by stream of the log.
    :param zone: availability zone of the node.
    :param outcomes: calls that ended at the node, by kind and rule.
    :param unready: why callers may not be sent to the node; empty if they may.
    :param unhandled_errors: errors that nothing caught, by part.
    """

    plain: dict[str, float] = {}
    refused: dict[str, float] = {}
    answer_seconds: dict[float, float] = {}
    workspaces: dict[str, dict[str, float]] = {}
    streams: dict[str, dict[str, float]] = {}
    zone: str = ""
    outcomes: dict[tuple[str, str], float] = {}
    unready: str = ""
    unhandled_errors: dict[str, float] = {}


def parse(text: str, *, origin: str) -> NodeMetrics:
    """Parse a metrics page, without the samples of other programs.

    :param origin: address or file, for errors.
    :raises InvalidArgument: for a malformed sample and a page without samples.
    """
    found = NodeMetrics()
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith("gingerturn_"):
            _add_sample(found, line, where=f"{origin}:{number}")
    if not found.plain:
        raise errors.InvalidArgument(
            "no metrics of a node; expected lines that begin with gingerturn_",
            step="read metrics",
            peer=origin,
        )
    return found


def summary(found: NodeMetrics) -> list[str]:
    """Return a summary of the metrics, by line."""
    plain = found.plain
    ready = "ready" if plain.get("ready") else "not ready"
    if found.unready:
        ready = f"not ready: {found.unready}"
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
        f"answered {_count(plain, 'answered_total')}" + _latencies(found),
    ]
    if plain.get("backend_rate_limit", -1.0) >= 0.0:
        lines.append(
            f"backend server: rate limit {plain['backend_rate_limit']:g} requests a"
            f" second, {plain.get('backend_dispatch_rate', 0.0):.1f} dispatched,"
            f" {_count(plain, 'backend_rate_limited_total')} shed for it so far"
        )
    if plain.get("backend_pace"):
        lines.append(
            f"backend server: pace {_count(plain, 'backend_pace')}"
            f" {_count(plain, 'backend_pace_age_ms')} ms ago,"
            f" {_count(plain, 'backend_foreign_calls')} calls of an earlier start of"
            f" the node; {_count(plain, 'upstreams_slow')} upstreams slow now"
        )
    if plain.get("backend_invalid_load_reports_total"):
        lines.append(
            f"backend server: {_count(plain, 'backend_invalid_load_reports_total')}"
            " invalid reports of its load"
        )
    if found.refused:
        descending = sorted(found.refused.items(), key=lambda item: -item[1])
        lines.append(
            "refused: " + ", ".join(f"{rule} {n:.0f}" for rule, n in descending)
        )
    if plain.get("backend_ends_total") or plain.get("requests_kept_out"):
        lines.append(
            f"backend server crashed {_count(plain, 'backend_ends_total')}"
            f" times, {_count(plain, 'requests_kept_out')} requests in quarantine"
        )
    if plain.get("connections_replaced_total"):
        lines.append(
            f"silent connections to other nodes replaced"
            f" {_count(plain, 'connections_replaced_total')} times"
        )
    if plain.get("backend_connections_discarded_total"):
        lines.append(
            f"idle connections to the backend server closed after unanswered requests:"
            f" {_count(plain, 'backend_connections_discarded_total')}"
        )
    if plain.get("log_restores_total"):
        lines.append(
            f"log restored from a backup {_count(plain, 'log_restores_total')} times,"
            f" epoch {_count(plain, 'log_epoch')}"
        )
    known = plain.get("route_version_known", 0.0)
    if known > plain.get("route_version", 0.0):
        lines.append(
            f"routes version {known:.0f} is known and not active; the log had none"
            f" later than the active one {_count(plain, 'route_read_age_ms')} ms ago"
        )
    skipped = [
        f"{stream} {_count(samples, 'log_entries_skipped_total')}"
        for stream, samples in sorted(found.streams.items())
        if samples.get("log_entries_skipped_total")
    ]
    if skipped:
        lines.append(f"entries of the log that could not be used: {', '.join(skipped)}")
    if plain.get("keys_closed"):
        lines.append("requests with API keys are refused: keys_stale")
    if found.unhandled_errors:
        counts = sorted(found.unhandled_errors.items())
        parts = ", ".join(f"{part} {count:.0f}" for part, count in counts)
        lines.append(f"errors that nothing caught: {parts}")
    if plain.get("log_lines_dropped_total"):
        lines.append(f"{_count(plain, 'log_lines_dropped_total')} log lines dropped")
    return lines


class WorkspaceUse(msgspec.Struct):
    """Root requests of a workspace at some nodes since these started.

    :param refused: because of its cap.
    :param unanswered: those of them that the cap allocator did not answer in time; the
        workspace may have been below its cap.
    :param cap: limit of requests a second at all nodes; 0 if unlimited.
    :param shed_for_share: shed while it used more than its share of a bottleneck
        service.
    :param factor: highest share factor that a node reports at present; 0 if none does.
    """

    workspace: str
    passed: float = 0.0
    refused: float = 0.0
    unanswered: float = 0.0
    cap: float = 0.0
    shed_for_share: float = 0.0
    factor: float = 0.0


def workspaces(pages: collections.abc.Iterable[NodeMetrics]) -> list[WorkspaceUse]:
    """Return the use of each workspace at some nodes, most refused or shed first."""
    found: dict[str, WorkspaceUse] = {}
    for page in pages:
        for name, samples in page.workspaces.items():
            use = found.setdefault(name, WorkspaceUse(name))
            use.passed += samples.get("workspace_passed_total", 0.0)
            use.refused += samples.get("workspace_refused_total", 0.0)
            use.unanswered += samples.get("workspace_refused_unanswered_total", 0.0)
            use.cap = max(use.cap, samples.get("workspace_cap", 0.0))
            use.shed_for_share += samples.get("workspace_shed_for_share_total", 0.0)
            use.factor = max(use.factor, samples.get("workspace_factor", 0.0))
    return sorted(
        found.values(),
        key=lambda use: (-use.refused - use.shed_for_share, -use.passed),
    )


class ServedShare(msgspec.Struct):
    """How the calls of an availability zone, or of a kind there, ended.

    :param kind: empty for all kinds together.
    :param causes: rules by which calls were refused or failed, most frequent first.
    """

    zone: str
    kind: str
    answered: float = 0.0
    ended: float = 0.0
    causes: dict[str, float] = {}

    @property
    def share(self) -> float:
        """The share of the calls that were answered."""
        return self.answered / self.ended if self.ended else 1.0


def served(
    pages: collections.abc.Iterable[NodeMetrics],
    earlier: collections.abc.Iterable[NodeMetrics] = (),
) -> list[ServedShare]:
    """Return how calls ended, by availability zone and kind, least answered first.

    :param earlier: pages of the same nodes, whose counts are subtracted.
    """
    found: dict[tuple[str, str], ServedShare] = {}
    for sign, group in ((1.0, pages), (-1.0, earlier)):
        for page in group:
            for (kind, rule), number in page.outcomes.items():
                for key in ((page.zone, ""), (page.zone, kind)):
                    share = found.setdefault(key, ServedShare(*key))
                    _count_outcome(share, rule, sign * number)
    for share in found.values():
        descending = sorted(share.causes.items(), key=lambda item: -item[1])
        share.causes = {rule: number for rule, number in descending if number > 0.0}
    return sorted(found.values(), key=lambda share: (bool(share.kind), share.share))


def _count_outcome(share: ServedShare, rule: str, number: float) -> None:
    share.ended += number
    if rule == ANSWERED_RULE:
        share.answered += number
    else:
        share.causes[rule] = share.causes.get(rule, 0.0) + number


def _add_sample(found: NodeMetrics, line: str, *, where: str) -> None:
    match = _LINE.fullmatch(line)
    number = None if match is None else _number(match["number"])
    if match is None or number is None:
        raise errors.InvalidArgument(
            f"{line[:80]!r} is no sample; expected NAME VALUE",
            step="read metrics",
            peer=where,
        )
    name = match["name"]
    labels = {
        label: value.replace(r"\"", '"').replace(r"\\", "\\")
        for label, value in _LABELS.findall(match["labels"] or "")
    }
    match labels:
        case {"kind": kind, "rule": rule}:
            found.outcomes[(kind, rule)] = number
        case {"rule": rule}:
            found.refused[rule] = number
        case {"quantile": text} if (quantile := _number(text)) is not None:
            found.answer_seconds[quantile] = number
        case {"workspace": workspace}:
            found.workspaces.setdefault(workspace, {})[name] = number
        case {"stream": stream}:
            found.streams.setdefault(stream, {})[name] = number
        case {"reason": reason}:
            found.unready = reason if number else found.unready
        case {"part": part}:
            found.unhandled_errors[part] = number
        case {"zone": zone}:
            found.zone = zone
        case {}:
            if not labels:
                found.plain[name] = number


def _number(text: str) -> float | None:
    try:
        return decoding.parse_float(text)
    except errors.DecodeError:
        return None


def _count(plain: dict[str, float], name: str) -> str:
    value = plain.get(name)
    return "?" if value is None else f"{value:.0f}"


def _latencies(found: NodeMetrics) -> str:
    quantiles = sorted(found.answer_seconds.items())
    return "".join(
        f", p{100 * quantile:g} {1000 * seconds:.0f} ms"
        for quantile, seconds in quantiles
    )
