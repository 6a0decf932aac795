"""Codec of membership messages, which are authenticated datagrams.

A datagram is a keyed MAC followed by the message, which includes its sender and the
time of sending. :class:`ReplayGuard` rejects replayed datagrams.
"""

import hmac
import typing

import msgspec

from gingerturn import errors
from gingerturn.internal import ids
from gingerturn.internal.core import messages
from gingerturn.internal.wire import schema

MAC_BYTES = 16
MAX_AGE_MS = 30_000.0
"""Limit of a datagram's age, and of the clock difference between instances. Replays
within this time are detected by the sender's times of sending."""

REORDER_MS = 15_000.0
"""How far datagrams of one sender may be reordered. Also tolerates a sender whose clock
was set back at its restart."""

_MAX_AGE = (1 << 32) - 1
_KINDS = list(messages.GossipKind)
_CAPS_DECODER: msgspec.msgpack.Decoder[messages.CapMessage] = msgspec.msgpack.Decoder(
    messages.CapMessage
)


def mac(secret: bytes, content: bytes) -> bytes:
    """Return the truncated HMAC-SHA-256 of content."""
    return hmac.digest(secret, content, "sha256")[:MAC_BYTES]


def encode(
    secret: bytes,
    sender: ids.NodeId,
    sent_at: ids.Milliseconds,
    message: messages.Gossip,
) -> bytes:
    """Return the datagram of a message."""
    root = schema.peer.Gossip.new_message()
    root.sender = sender
    root.sentAtMs = sent_at
    root.kind = _KINDS.index(message.kind)
    root.sequence = message.sequence
    root.provenAgeMs = message.verified_age_ms
    root.readAgeMs = message.read_age_ms
    root.target = message.target
    root.cursor = message.cursor
    # Numbers at their default are left out, which gives the same bytes: each field that
    # is set takes about a microsecond.
    if message.revision:
        root.revision = message.revision
    if message.route_version:
        root.routeVersion = message.route_version
    if message.without_updates:
        root.withoutUpdates = True
    if message.log_epoch:
        root.logEpoch = message.log_epoch
    if message.config_digest:
        root.configDigest = message.config_digest
    if message.caps is not None:
        root.caps = msgspec.msgpack.encode(message.caps)
    _encode_quarantine(root, message.quarantine)
    _encode_members(root, message.members)
    content: bytes = root.to_bytes_packed()
    return mac(secret, content) + content


def _encode_members(root: typing.Any, updates: tuple[messages.Member, ...]) -> None:
    members = root.init("members", len(updates))
    for slot, member in zip(members, updates, strict=True):
        slot.node = member.node
        slot.incarnation = member.incarnation
        slot.version = member.version
        slot.state = int(member.state)
        slot.host = member.host
        slot.peersPort = member.peers_port
        slot.gossipPort = member.gossip_port
        slot.zone = member.zone
        slot.service = member.service
        slot.slots = member.slots
        slot.backendStartedMs = member.backend_started_ms
        slot.roomMs = member.room_ms


def decode(
    secrets: list[bytes], datagram: bytes
) -> tuple[ids.NodeId, ids.Milliseconds, messages.Gossip]:
    """Return sender, time of sending and message of a datagram.

    :param secrets: the accepted secrets; two during a rotation.
    :raises AuthenticationError: when the MAC matches no secret.
    :raises FrameError: when the content is not a valid message.
    """
    proof, content = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not any(hmac.compare_digest(mac(s, content), proof) for s in secrets):
        raise errors.AuthenticationError(
            "a datagram is not authentic", step="check a datagram"
        )
    try:
        root = schema.peer.Gossip.from_bytes_packed(content)
        message = messages.Gossip(
            kind=_KINDS[root.kind],
            sequence=root.sequence,
            revision=ids.Revision(root.revision),
            members=tuple(_member(slot) for slot in root.members),
            target=root.target,
            cursor=root.cursor,
            route_version=root.routeVersion,
            quarantine=_decode_quarantine(root),
            verified_age_ms=root.provenAgeMs,
            read_age_ms=root.readAgeMs,
            without_updates=root.withoutUpdates,
            caps=_CAPS_DECODER.decode(root.caps) if root.caps else None,
            log_epoch=ids.LogEpoch(root.logEpoch),
            config_digest=root.configDigest,
        )
        return ids.NodeId(root.sender), root.sentAtMs, message
    except (schema.CapnpError, IndexError, ValueError, UnicodeDecodeError) as error:
        reason = str(error).split("\n", 1)[0]
        raise errors.FrameError(
            f"{len(content)} bytes are no message: {reason}", step="decode a datagram"
        ) from None


def _member(slot: object) -> messages.Member:
    return messages.Member(
        node=ids.NodeId(slot.node),  # type: ignore[attr-defined]
        incarnation=ids.Incarnation(slot.incarnation),  # type: ignore[attr-defined]
        version=slot.version,  # type: ignore[attr-defined]
        state=messages.MemberState(slot.state),  # type: ignore[attr-defined]
        host=slot.host,  # type: ignore[attr-defined]
        peers_port=slot.peersPort,  # type: ignore[attr-defined]
        gossip_port=slot.gossipPort,  # type: ignore[attr-defined]
        zone=slot.zone,  # type: ignore[attr-defined]
        service=ids.ServiceName(slot.service),  # type: ignore[attr-defined]
        slots=slot.slots,  # type: ignore[attr-defined]
        backend_started_ms=slot.backendStartedMs,  # type: ignore[attr-defined]
        room_ms=slot.roomMs,  # type: ignore[attr-defined]
    )


def _encode_quarantine(root: typing.Any, gossip: messages.QuarantineGossip) -> None:
    """Write the quarantine part of a message."""
    if gossip is messages.NO_QUARANTINE_GOSSIP:
        return
    root.quarantineDigest = gossip.digest
    crashes = root.init("ends", len(gossip.crashes))
    for slot, crash in zip(crashes, gossip.crashes, strict=True):
        slot.node = crash.node
        slot.incarnation = crash.incarnation
        slot.number = crash.number
        slot.part = crash.part
        slot.ageMs = _clamped_age(crash.age_ms)
        slot.requests = b"".join(
            request.to_bytes(ids.FINGERPRINT_BYTES) for request in crash.requests
        )
    updates = root.init("words", len(gossip.updates))
    for slot, update in zip(updates, gossip.updates, strict=True):
        slot.request = update.request
        slot.ends = min(update.crash_count, messages.MAX_ENDS)
        slot.ageMs = _clamped_age(update.age_ms)


def _decode_quarantine(root: typing.Any) -> messages.QuarantineGossip:
    if not (root.quarantineDigest or len(root.ends) or len(root.words)):
        return messages.NO_QUARANTINE_GOSSIP
    return messages.QuarantineGossip(
        crashes=tuple(_crash(slot) for slot in root.ends),
        updates=tuple(
            messages.QuarantineUpdate(slot.request, slot.ends, float(slot.ageMs))
            for slot in root.words
        ),
        digest=root.quarantineDigest,
    )


def _crash(slot: typing.Any) -> messages.BackendCrash:
    content = slot.requests
    requests = tuple(
        int.from_bytes(content[first : first + ids.FINGERPRINT_BYTES])
        for first in range(0, len(content), ids.FINGERPRINT_BYTES)
    )
    return messages.BackendCrash(
        node=ids.NodeId(slot.node),
        incarnation=ids.Incarnation(slot.incarnation),
        number=slot.number,
        part=slot.part,
        requests=requests,
        age_ms=float(slot.ageMs),
    )


def _clamped_age(age_ms: ids.Milliseconds) -> int:
    return max(0, min(int(age_ms), _MAX_AGE))


class ReplayGuard:
    """Detects replayed datagrams by the times of sending of each sender."""

    def __init__(self) -> None:
        self._latest: dict[str, ids.Milliseconds] = {}
        self._recent: dict[tuple[str, float], None] = {}

    def accepts(
        self, sender: ids.NodeId, sent_at: ids.Milliseconds, now: ids.Milliseconds
    ) -> bool:
        """Whether a datagram is new; if so, record it."""
        if abs(now - sent_at) > MAX_AGE_MS:
            return False
        latest = self._latest.get(sender, 0.0)
        if sent_at < latest - REORDER_MS or (sender, sent_at) in self._recent:
            return False
        self._latest[sender] = max(latest, sent_at)
        self._recent[(sender, sent_at)] = None
        if len(self._recent) > _MAX_RECENT:
            del self._recent[next(iter(self._recent))]
        return True


_MAX_RECENT = 4_096
"""Limit of datagrams recorded individually: more than arrive in the reorder time."""
