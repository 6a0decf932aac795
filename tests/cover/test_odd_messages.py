"""Frames and datagrams of nodes with odd values.

Guards against a message that raises anything but an error of ours, that takes long, or
that passes and cannot be encoded, sent or recorded later.
"""

import asyncio
import math
import struct
import typing

import msgspec
import pytest
import uvloop

from gingerturn import errors
from gingerturn.internal import decoding, ids
from gingerturn.internal.core import (
    decisions,
    effects,
    membership,
    messages,
)
from gingerturn.internal.shell import gossip, node as nodes
from gingerturn.internal.wire import datagrams, frames, schema
from tests.common import builders

SECRET = b"a secret of the tests"
encode = msgspec.msgpack.encode

TERMS = ("plans", "top", 1, 0, 5, "t", 900.0, 0, True)
REPORT = (0, 0, 1, 8)


@pytest.mark.parametrize("level", [b"\x91", b"\x81\xa1a"], ids=["arrays", "maps"])
@pytest.mark.parametrize("depth", [2_000, 100_000])
def test_a_deeply_nested_field_of_a_frame_is_an_error(level: bytes, depth: int) -> None:
    with pytest.raises(errors.FrameError, match="nested too deeply"):
        frames.decode(b"\x93\x05\x01" + level * depth + b"\x01")


@pytest.mark.parametrize(
    "content",
    [
        encode((5, -1)),
        encode((5, (1 << 64) - 1)),
        encode((7, 1, -5)),
        encode((7, 1, (1 << 64) - 1)),
        encode((1, 1, (*TERMS[:2], 8, *TERMS[3:]), b"", b"", True)),
        encode((1, 1, (*TERMS[:2], -1, *TERMS[3:]), b"", b"", True)),
        encode((1, 1, (*TERMS[:4], -5, *TERMS[5:]), b"", b"", True)),
        encode((1, 1, (*TERMS[:6], math.nan, *TERMS[7:]), b"", b"", True)),
        encode((1, 1, (*TERMS[:6], math.inf, *TERMS[7:]), b"", b"", True)),
        encode((2, 1, 20_000, 0, REPORT, "", b"", b"", True)),
        encode((2, 1, 200, 0, (1 << 40, 0, 1, 8), "", b"", b"", True)),
        encode((2, 1, 200, 0, (-1, 0, 1, 8), "", b"", b"", True)),
        encode((3, 1, (4, "not-run", math.inf, ""), 0, REPORT)),
        encode((3, 1, (4, "not-run", math.nan, ""), 0, REPORT)),
    ],
)
def test_a_number_out_of_range_in_a_frame_is_an_error(content: bytes) -> None:
    with pytest.raises(errors.FrameError):
        frames.decode(content)


def test_the_largest_hash_of_a_root_passes() -> None:
    content = encode((1, 1, (*TERMS[:4], (1 << 64) - 1, *TERMS[5:]), b"", b"", True))
    frame = frames.decode(content)
    assert isinstance(frame, frames.Open)
    assert frames.decode(frames.encode(frame)[frames.LENGTH_BYTES :]) == frame


def test_a_rule_of_a_later_version_says_nothing_of_the_outcome() -> None:
    assert decisions.known_rule(999) is decisions.Rule.OUTCOME_UNKNOWN
    assert decisions.known_rule(24) is decisions.Rule.LEAVING


def test_a_decision_at_the_largest_revision_is_recorded() -> None:
    log = decisions.DecisionLog(node=ids.NodeId("n1"), size=4)
    found = log.record(
        decisions.Rule.SENT,
        now=1.0,
        root=ids.RootHash((1 << 64) - 1),
        kind="top",
        rank=ids.Rank(messages.MAX_RANK),
        figures=(decoding.MAX_NUMBER,),
        revision=ids.Revision(decoding.MAX_WHOLE),
    )
    held = log.find(found)
    assert held is not None
    assert held.revision == decoding.MAX_WHOLE


def _message() -> typing.Any:
    root = schema.peer.Gossip.new_message()
    root.sender = "n2"
    root.sentAtMs = 1.0
    return root


def _decode(
    content: bytes,
) -> tuple[ids.NodeId, ids.Milliseconds, messages.Gossip]:
    return datagrams.decode([SECRET], datagrams.mac(SECRET, content) + content)


def _with_members(*changes: dict[str, object]) -> bytes:
    root = _message()
    members = root.init("members", len(changes))
    for number, (slot, change) in enumerate(zip(members, changes, strict=True)):
        member: dict[str, object] = {
            "node": f"n{number}",
            "incarnation": 5,
            "version": 1,
            "host": "10.0.0.1",
            "peersPort": 7_000,
            "gossipPort": 7_001,
            "zone": "a",
            "service": "plans",
        }
        for field, value in {**member, **change}.items():
            setattr(slot, field, value)
    content: bytes = root.to_bytes_packed()
    return content


@pytest.mark.parametrize(
    "change",
    [
        {"node": ""},
        {"node": "n" * 64},
        {"node": "n" * 50_000},
        {"node": "n\0"},
        {"node": "é"},
        {"host": ""},
        {"host": "store.example"},
        {"host": "1.2.3"},
        {"host": "x" * 50_000},
        {"zone": ""},
        {"zone": "Z\r\n"},
        {"service": "A B"},
        {"peersPort": 0},
        {"gossipPort": 0},
        {"incarnation": (1 << 64) - 1},
        {"incarnation": datagrams.MAX_INCARNATION + 1},
        {"version": (1 << 32) - 1},
        {"slots": (1 << 32) - 1},
        {"backendStartedMs": (1 << 64) - 1},
    ],
    ids=lambda change: str(change)[:40],
)
def test_a_member_that_cannot_be_passed_on_leaves_the_others_of_its_datagram(
    change: dict[str, object],
) -> None:
    _, _, message = _decode(_with_members({}, change, {}))
    assert [member.node for member in message.members] == ["n0", "n2"]


def test_the_largest_values_of_a_member_that_pass_can_be_answered_and_sent() -> None:
    state = builders.node_state("n0")
    _, _, message = _decode(
        _with_members(
            {
                "incarnation": datagrams.MAX_INCARNATION,
                "version": datagrams.MAX_VERSION,
                "slots": 100_000,
                "backendStartedMs": 1 << 62,
            }
        )
    )
    out: list[effects.Effect] = []
    membership.on_gossip(state, ids.NodeId("n2"), "10.0.0.2", 7_001, message, out)
    me = state.membership.self_member
    assert me is not None
    assert me.incarnation > datagrams.MAX_INCARNATION
    sent = messages.Gossip(
        kind=messages.GossipKind.PING,
        sequence=1,
        revision=ids.Revision(0),
        members=(me,),
    )
    datagrams.encode(SECRET, ids.NodeId("n0"), 1.0, sent)


@pytest.mark.parametrize(
    "fields",
    [
        {"kind": 77},
        {"revision": (1 << 64) - 1},
        {"routeVersion": (1 << 64) - 1},
        {"sender": ""},
        {"sender": "x" * 50_000},
        {"caps": b"\xc1"},
        {"caps": b"\x91" * 50_000 + b"\x01"},
        {"caps": encode(("CapAsk", 1, math.nan, ()))},
        {"caps": encode(("CapAsk", (1 << 64) - 1, 1.0, ()))},
    ],
    ids=lambda fields: str(fields)[:40],
)
def test_an_odd_value_of_a_datagram_is_an_error(fields: dict[str, object]) -> None:
    root = _message()
    for field, value in fields.items():
        setattr(root, field, value)
    with pytest.raises(errors.FrameError, match="decode a datagram"):
        _decode(root.to_bytes_packed())


def test_a_deeply_nested_cap_message_is_an_error() -> None:
    root = _message()
    root.caps = b"\x95\xa6CapAsk\x01\x01\x90" + b"\x91" * 30_000 + b"\x01"
    with pytest.raises(errors.FrameError, match="nested too deeply"):
        _decode(root.to_bytes_packed())


@pytest.mark.parametrize("age", [math.nan, math.inf, -math.inf, -5.0, 3e38])
def test_an_age_that_is_no_number_counts_as_not_known(age: float) -> None:
    root = _message()
    root.provenAgeMs = root.readAgeMs = age
    _, _, message = _decode(root.to_bytes_packed())
    assert (message.verified_age_ms, message.read_age_ms) == (-1.0, -1.0)


@pytest.mark.parametrize("sent_at", [math.nan, math.inf, -math.inf])
def test_a_datagram_sent_at_no_time_is_not_accepted(sent_at: float) -> None:
    guard = datagrams.ReplayGuard()
    assert not guard.accepts(ids.NodeId("n2"), sent_at, builders.START)


WORD = 8


def _with_countless_members(count: int) -> bytes:
    """Return a message with a list of members that have no content, and take none."""
    root = _message()
    root.init("members", 1)
    content = bytearray(root.to_bytes())
    offset, data_words, _ = struct.unpack_from("<iHH", content, WORD)
    pointer = WORD * (2 + (offset >> 2) + data_words) + WORD
    (where, _) = struct.unpack_from("<iI", content, pointer)
    struct.pack_into("<I", content, pointer + 4, 7)
    tag = pointer + WORD * (1 + (where >> 2))
    struct.pack_into("<IHH", content, tag, count << 2, 0, 0)
    words = (content[at : at + WORD] for at in range(0, len(content), WORD))
    return b"".join(b"\xff" + word + b"\x00" for word in words)


def test_a_datagram_with_a_list_of_countless_members_is_refused() -> None:
    _, _, message = _decode(_with_countless_members(1))
    assert message.members == ()
    with pytest.raises(errors.FrameError, match="length of members|Exceeded"):
        _decode(_with_countless_members(5_000_000))


def test_a_datagram_that_unpacks_to_gigabytes_is_refused() -> None:
    with pytest.raises(errors.FrameError):
        _decode(bytes.fromhex("10ffffff3f") + b"\x00\xff" * 30_000)


ODD_HOSTS = ["::1", "fe80::1%x", "store.example", "", "1.2.3", "a\0b", "é", "\ud800"]
HOSTS = ["255.255.255.255", "224.0.0.1", "0.0.0.0", "10.1.2.3", *ODD_HOSTS]


def _gossip(**fields: typing.Any) -> messages.Gossip:
    kind = messages.GossipKind.PING
    return messages.Gossip(kind=kind, sequence=1, revision=ids.Revision(0), **fields)


async def _send_to(hosts: list[str], message: messages.Gossip) -> int:
    """Send a message to each host; return how many could not be sent."""
    node = nodes.Node(builders.settings())
    protocol = gossip.GossipProtocol(node)
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: protocol, local_addr=("127.0.0.1", 0))
    for host in hosts:
        for port in (9, 0, 65_535, 10**30):
            protocol.send(effects.SendGossip(host=host, port=port, message=message))
    protocol.close()
    return protocol.unsent


def test_an_address_that_cannot_be_sent_to_raises_nothing() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        unsent = runner.run(_send_to(HOSTS, _gossip()))
    assert unsent >= 4 * len(ODD_HOSTS)


@pytest.mark.parametrize(
    "fields",
    [
        {"route_version": 1 << 64},
        {"log_epoch": 1 << 32},
        {"target": "\ud800"},
        {"config_digest": -1},
    ],
    ids=str,
)
def test_a_message_that_cannot_be_encoded_raises_nothing(
    fields: dict[str, typing.Any],
) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        unsent = runner.run(_send_to(["127.0.0.1"], _gossip(**fields)))
    assert unsent == 4
