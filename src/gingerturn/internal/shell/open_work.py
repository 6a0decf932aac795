"""What a node has accepted and not delivered yet, which its planned stop waits for.

This is the only list that a stop waits for: requests of callers from their heads on,
answers until the peer's machine has acknowledged their last byte, calls that are hosted
for other nodes, and publications.
"""

import collections.abc
import enum
import typing

import msgspec

from gingerturn.internal import logs

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import ingress, node as nodes

MAX_LOGGED = 20
"""Lines about work that is cut; the number of the rest is logged."""


class Phase(enum.Enum):
    """How far accepted work has come."""

    BODY = "its body is arriving"
    QUEUED = "it waits for earlier requests of its connection"
    RUNNING = "it has no answer yet"
    ANSWERING = "its answer is being written"
    DELIVERING = "the end of its answer is not sent"
    SENT = "its answer is sent, and not acknowledged by the peer's machine"
    HOSTED = "the backend server works on it"
    PUBLISHING = "the outcome of its publication is not known"


class Item(msgspec.Struct, frozen=True):
    """A piece of accepted work.

    :param request: its id; empty if it has none or it is not known any more.
    :param size: bytes of the body that arrived, or that wait to be delivered.
    :param peer: the upstream's node, or the node that a call is hosted for.
    """

    phase: Phase
    request: str = ""
    size: int = 0
    peer: str = ""


def items(node: "nodes.Node") -> collections.abc.Iterator[Item]:
    """Yield all open work of a node."""
    for connection in node.caller_connections:
        yield from _of_caller(node, connection)
    for hosted in node.state.hosted.values():
        # No one waits for the answer to an orphaned call.
        if not hosted.orphaned:
            yield Item(Phase.HOSTED, hosted.metadata.trace)
    for accepted in node.accepted:
        if size := accepted.undelivered_bytes:
            phase = Phase.DELIVERING if accepted.unsent_bytes else Phase.SENT
            yield Item(phase, size=size, peer=accepted.peer)
    for number in node.publications:
        yield Item(Phase.PUBLISHING, number)


def cut_by_end(node: "nodes.Node") -> list[Item]:
    """Return the open work that an end of the process would cut.

    The kernel goes on to deliver what it has taken.
    """
    return [item for item in items(node) if item.phase is not Phase.SENT]


def log_cut(cut: collections.abc.Sequence[Item]) -> None:
    """Log the work that the end of the process cuts, in at most :data:`MAX_LOGGED`
    lines."""
    for item in cut[:MAX_LOGGED]:
        logs.write(
            "WARNING",
            "node",
            f"Cut by the end of the process: {item.phase.value}.",
            request=item.request,
            phase=item.phase.name.lower(),
            bytes=item.size,
            upstream=item.peer,
        )
    if len(cut) > MAX_LOGGED:
        rest = len(cut) - MAX_LOGGED
        logs.write("WARNING", "node", f"Cut by the end of the process: {rest} more.")


def _of_caller(
    node: "nodes.Node", connection: "ingress.CallerConnection"
) -> collections.abc.Iterator[Item]:
    requests = connection.accepted_requests
    for request in requests:
        attempt = node.entry.attempt_of(request)
        peer = "" if attempt is None else attempt.upstream
        if request.answered:
            phase, size = Phase.ANSWERING, connection.undelivered_bytes
        elif request.dispatched:
            phase, size = Phase.RUNNING, request.body_bytes
        elif request.complete:
            phase, size = Phase.QUEUED, request.body_bytes
        else:
            phase, size = Phase.BODY, request.body_bytes
        yield Item(phase, request.trace_id(node.dialect), size, peer)
    if not requests and (size := connection.undelivered_bytes):
        phase = Phase.DELIVERING if connection.unsent_bytes else Phase.SENT
        yield Item(phase, size=size)
