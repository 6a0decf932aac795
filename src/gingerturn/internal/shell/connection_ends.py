"""Records of how connections ended, and which requests they left without an answer."""

import enum
import typing

from gingerturn.internal import logs

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import caller_requests, node as nodes


class Side(enum.Enum):
    """Which side ended a connection."""

    NODE = "node"
    PEER = "peer"


class Peer(enum.Enum):
    """What a connection is to."""

    CALLER = "caller"
    BACKEND = "backend"
    NODE = "node"


class Phase(enum.Enum):
    """How far an open request of a caller had come."""

    BODY = "reading the body"
    QUEUED = "read whole, not dispatched"
    WAITING = "read whole, with no upstream"
    PASSED_ON = "passed on"
    ANSWERING = "the answer was being written"


End = tuple[Peer, Side, str, str]
"""Peer, side, how the connection ended, and the phase of its first open request."""


def how(error: Exception | None) -> str:
    """Return how a connection ended: ``fin``, ``reset`` or the name of the error."""
    if error is None:
        return "fin"
    if isinstance(error, ConnectionResetError | BrokenPipeError):
        return "reset"
    return type(error).__name__


def record(
    ends: dict[End, int],
    peer_kind: Peer,
    error: Exception | None,
    *,
    by_node: bool,
    phase: str = "",
) -> Side:
    """Count the end of a connection.

    :param ends: the counts.
    :param error: argument of ``connection_lost``.
    :param by_node: this node closed or aborted it.
    :param phase: of its first open request; empty if it had none.
    """
    side = Side.NODE if by_node else Side.PEER
    end = (peer_kind, side, how(error), phase)
    ends[end] = ends.get(end, 0) + 1
    return side


def record_caller(
    node: "nodes.Node",
    requests: list["caller_requests.Request"],
    error: Exception | None,
    *,
    by_node: bool,
    cause: str,
) -> None:
    """Count the end of a caller's connection, and log its open requests.

    :param requests: those that were read at least in part and have no whole answer.
    :param cause: why this node closed it.
    """
    phases = [_phase(node, request) for request in requests]
    first = phases[0].value if phases else ""
    ends = node.counters.ends
    side = record(ends, Peer.CALLER, error, by_node=by_node, phase=first)
    for request, phase in zip(requests, phases, strict=True):
        if not logs.may_write_end():
            return
        attempt = node.entry.attempt_of(request)
        logs.write(
            "WARNING" if by_node else "INFO",
            "ingress",
            f"Connection of a caller ended with an open request: {phase.value}.",
            request=request.trace_id(node.dialect),
            phase=phase.name.lower(),
            body_bytes=request.body_bytes,
            upstream="" if attempt is None else attempt.upstream,
            ended_by=side.value,
            how=how(error),
            cause=cause,
            stop_age_ms=node.stop_age_ms,
        )


def record_backend(
    ends: dict[End, int],
    error: Exception | None,
    *,
    request: str,
    answered: bool,
    exchange: int,
) -> None:
    """Count and log that a connection to the backend server was lost in an exchange.

    :param ends: the counts.
    :param answered: the head of an answer had arrived.
    :param exchange: number of the exchange on the connection, from 1.
    """
    phase = Phase.ANSWERING if answered else Phase.PASSED_ON
    record(ends, Peer.BACKEND, error, by_node=False, phase=phase.value)
    if logs.may_write_end():
        logs.write(
            "WARNING",
            "backend",
            "Connection to the backend server ended with a request in progress.",
            request=request,
            phase=phase.name.lower(),
            exchange=exchange,
            how=how(error),
        )


def record_nodes(
    node: "nodes.Node",
    peer: str,
    error: Exception | None,
    *,
    by_node: bool,
    calls: int,
) -> None:
    """Count the end of a connection between nodes, and log it if calls were open."""
    phase = Phase.PASSED_ON.value if calls else ""
    ends = node.counters.ends
    side = record(ends, Peer.NODE, error, by_node=by_node, phase=phase)
    if calls and logs.may_write_end():
        logs.write(
            "WARNING",
            "peers",
            f"Connection with {peer} ended with {calls} calls open.",
            ended_by=side.value,
            how=how(error),
            stop_age_ms=node.stop_age_ms,
        )


def rows(ends: dict[End, int]) -> list[tuple[str, float]]:
    """Return the counts as rows of a metric."""
    found = []
    for (peer_kind, side, end, phase), count in ends.items():
        labels = f'peer="{peer_kind.value}",by="{side.value}",how="{end}"'
        labels += f',open="{phase}"'
        found.append((f"{{{labels}}}", float(count)))
    return sorted(found)


def _phase(node: "nodes.Node", request: "caller_requests.Request") -> Phase:
    if request.answered or request.streaming_out:
        return Phase.ANSWERING
    if node.entry.attempt_of(request) is not None:
        return Phase.PASSED_ON
    if not request.complete:
        return Phase.BODY
    return Phase.WAITING if request.dispatched else Phase.QUEUED
