"""Handshake between nodes: limits before the proof, frames and compression after it."""

from benchmarks import frame_sizes
from gingerturn.internal import ids
from gingerturn.internal.shell import node as nodes, peers
from gingerturn.internal.wire import frames
from tests.common import builders, transports


def _accepted() -> tuple[nodes.Node, peers.Accepted, transports.Transport]:
    node = nodes.Node(builders.settings("home"))
    accepted = peers.Accepted(node)
    accepted._abort_unauthenticated = lambda: None  # type: ignore[method-assign]
    transport = transports.Transport()
    accepted._transport = transport  # type: ignore[assignment]
    return node, accepted, transport


def _proof_of_dialled(
    accepted: peers.Accepted, transport: transports.Transport
) -> bytes:
    """Return the proof that a dialling peer sends after its hello."""
    _, theirs = _dialled(accepted, transport)
    return bytes(theirs.written)


def _dialled(
    accepted: peers.Accepted, transport: transports.Transport, *, zone: str = "bne-a"
) -> tuple[peers.Dialled, transports.Transport]:
    """Return the dialling end, whose proof is written but not yet received."""
    dialler = peers.Dialled(
        nodes.Node(builders.settings("entry", zone=zone)), lambda: None, lambda: None
    )
    theirs = transports.Transport()
    dialler._transport = theirs  # type: ignore[assignment]
    dialler.send(dialler._hello(b""))
    accepted.data_received(bytes(theirs.written))
    theirs.written.clear()
    dialler.data_received(bytes(transport.written))
    transport.written.clear()
    return dialler, theirs


def test_a_long_call_right_behind_the_proof_is_taken() -> None:
    # Frames that arrive with the proof do not count as bytes of an unproven peer.
    node, accepted, transport = _accepted()
    proof = _proof_of_dialled(accepted, transport)
    opened: list[int] = []
    node.links.on_accepted_frame = (  # type: ignore[method-assign]
        lambda channel, frame: opened.append(frame.call)
    )
    call = frames.Open(
        call=7,
        terms=builders.call_metadata(),
        head=b"PUT / HTTP/1.1\r\n",
        body=b"x" * 4 * peers.MAX_UNAUTHENTICATED_BYTES,
        whole=True,
    )
    accepted.data_received(proof + frames.encode(call))
    assert opened == [7]
    assert accepted.peer == ids.NodeId("entry")
    assert not transport.closed


def test_an_unproven_peer_is_disconnected_at_the_byte_limit() -> None:
    _, accepted, transport = _accepted()
    accepted.data_received((1 << 19).to_bytes(4, "big") + b"x" * 4_000)
    assert not transport.closed
    accepted.data_received(b"x" * 4_000)
    assert transport.closed


def test_a_long_frame_before_the_proof_is_refused() -> None:
    _, accepted, transport = _accepted()
    hello = frames.Hello(
        call=0,
        node="x" * 2 * peers.MAX_UNAUTHENTICATED_BYTES,
        incarnation=1,
        nonce=b"n",
    )
    accepted.data_received(frames.encode(hello))
    assert transport.closed


def _exchange(*, zone: str) -> tuple[int, int]:
    """Send 20 requests from a zone to one in ``bne-a``, the first with the proof.

    :return: bytes written, and bytes of the same frames without compression.
    """
    node, accepted, transport = _accepted()
    opened: list[frames.Frame] = []
    node.links.on_accepted_frame = (  # type: ignore[method-assign]
        lambda channel, frame: opened.append(frame)
    )
    dialler, theirs = _dialled(accepted, transport, zone=zone)
    sent = frame_sizes.requests(20)
    dialler.send(sent[0])
    proof_and_first = bytes(theirs.written)
    theirs.written.clear()
    accepted.data_received(proof_and_first)
    for frame in sent[1:]:
        dialler.send(frame)
    accepted.data_received(bytes(theirs.written))
    assert opened == sent
    assert not transport.closed
    return len(theirs.written), sum(len(frames.encode(frame)) for frame in sent[1:])


def test_frames_to_another_zone_are_compressed() -> None:
    written, plain = _exchange(zone="bne-b")
    assert written < plain / 3


def test_frames_inside_a_zone_are_plain() -> None:
    written, plain = _exchange(zone="bne-a")
    assert written == plain


def test_a_peer_that_sends_no_zone_gets_plain_frames() -> None:
    written, plain = _exchange(zone="")
    assert written == plain


def test_a_node_compresses_on_a_bounded_number_of_connections() -> None:
    node, accepted, transport = _accepted()
    others = [peers.Accepted(node) for _ in range(peers.MAX_COMPRESSING)]
    node.compressing.update(others)
    dialler, theirs = _dialled(accepted, transport, zone="bne-b")
    accepted.data_received(bytes(theirs.written))
    assert accepted not in node.compressing
    answer = frame_sizes.answers(1)[0]
    accepted.send(answer)
    assert bytes(transport.written) == frames.encode(answer)
    others[0].connection_lost(None)
    assert len(node.compressing) == peers.MAX_COMPRESSING - 1
