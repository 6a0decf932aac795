"""Codec of membership messages, which are authenticated datagrams.

A datagram is a keyed MAC followed by the message, which includes its sender and the
time of sending. :class:`ReplayGuard` rejects replayed datagrams.
"""

import functools
import hmac
import typing

import msgspec

from gingerturn import announcements, errors
from gingerturn.internal import checks, decoding, ids, logs
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
_decode_caps = decoding.msgpack_decoder(
    typing.cast(type[messages.CapMessage], messages.CapMessage)
)

MAX_WORDS = 65_536
"""Words of 8 bytes that are read of a message, 8 times the size of a datagram. A few
packed bytes can stand for gigabytes."""

MAX_ENTRIES = 1_024
"""Limit of each list of a message."""

MAX_VERSION = 1 << 31
"""Limit of a member's version, which leaves room for its further changes."""

MAX_INCARNATION = 1 << 62
"""Limit of an incarnation, since a node that learns of one of its own takes the next.
"""

_ENCODE_FAILURES = (
    schema.CapnpError,
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    OverflowError,
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
    """Return the datagram of a message.

    :raises FrameError: for a value that the schema cannot hold.
    """
    try:
        content = _encode_content(sender, sent_at, message)
    except _ENCODE_FAILURES as error:
        raise errors.FrameError(
            _reason(error), step="encode a datagram", peer=sender
        ) from None
    return mac(secret, content) + content


def _encode_content(
    sender: ids.NodeId, sent_at: ids.Milliseconds, message: messages.Gossip
) -> bytes:
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
    return content


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
        if member.departed:
            _encode_departed(slot, member.departed)


def _encode_departed(
    slot: typing.Any, departed: tuple[messages.DepartedStart, ...]
) -> None:
    starts = slot.init("departed", len(departed))
    for entry, start in zip(starts, departed, strict=True):
        entry.instance = start.instance
        entry.startedMs = start.started_ms


def decode(
    secrets: list[bytes], datagram: bytes
) -> tuple[ids.NodeId, ids.Milliseconds, messages.Gossip]:
    """Return sender, time of sending and message of a datagram.

    Members with values that are not allowed are left out, each with a log line.

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
        root = schema.peer.Gossip.from_bytes_packed(
            content, traversal_limit_in_words=MAX_WORDS
        )
        sender = ids.NodeId(checks.check_name("sender", root.sender))
        message = messages.Gossip(
            kind=_KINDS[root.kind],
            sequence=root.sequence,
            revision=ids.Revision(_whole("revision", root.revision)),
            members=_members(root, sender),
            target=root.target,
            cursor=root.cursor,
            route_version=_whole("routeVersion", root.routeVersion),
            quarantine=_decode_quarantine(root),
            verified_age_ms=_age(root.provenAgeMs),
            read_age_ms=_age(root.readAgeMs),
            without_updates=root.withoutUpdates,
            caps=_decode_caps(root.caps) if root.caps else None,
            log_epoch=ids.LogEpoch(root.logEpoch),
            config_digest=root.configDigest,
        )
        return sender, root.sentAtMs, message
    except _DECODE_FAILURES as error:
        raise errors.FrameError(
            f"{len(content)} bytes are no message: {_reason(error)}",
            step="decode a datagram",
        ) from None


_DECODE_FAILURES = (
    schema.CapnpError,
    errors.DecodeError,
    errors.InvalidArgument,
    IndexError,
    ValueError,
    MemoryError,
)


def _reason(error: Exception) -> str:
    return str(error).split("\n", 1)[0][: decoding.MAX_SHOWN]


def _whole(field: str, value: int) -> int:
    return int(checks.check_range(field, value, 0, decoding.MAX_WHOLE))


def _age(age_ms: ids.Milliseconds) -> ids.Milliseconds:
    """Return an age, or -1 for one that is not known or no number."""
    return age_ms if 0.0 <= age_ms <= decoding.MAX_NUMBER else -1.0


def _entries(field: str, entries: typing.Any) -> typing.Any:
    checks.check_range(f"length of {field}", len(entries), 0, MAX_ENTRIES)
    return entries


def _members(root: typing.Any, sender: ids.NodeId) -> tuple[messages.Member, ...]:
    found: list[messages.Member] = []
    for slot in _entries("members", root.members):
        member = _member(slot)
        try:
            _check_member(member)
        except errors.InvalidArgument as error:
            # The others of the datagram count, as nodes pass on what they are told.
            problem = f"{error}; sent by {sender}"
            logs.warn_skipped("Member", member.node.encode(), problem)
            continue
        found.append(member)
    return tuple(found)


def _check_member(member: messages.Member) -> None:
    """Check that a member can be passed on and sent to.

    :raises InvalidArgument: naming the field that has a value that is not allowed.
    """
    _check_texts(member.node, member.host, member.zone, member.service)
    checks.check_range("incarnation", member.incarnation, 0, MAX_INCARNATION)
    checks.check_range("version", member.version, 0, MAX_VERSION)
    checks.check_range("peers_port", member.peers_port, 1, checks.MAX_PORT)
    checks.check_range("gossip_port", member.gossip_port, 1, checks.MAX_PORT)
    checks.check_range("slots", member.slots, 0, announcements.MAX_SLOTS)
    started_ms = member.backend_started_ms
    checks.check_range("started_ms", started_ms, 0, announcements.MAX_TIME_MS)
    for start in member.departed:
        announcements.check_start(start.instance, start.started_ms)


@functools.lru_cache(maxsize=16_384)
def _check_texts(node: str, host: str, zone: str, service: str) -> None:
    """Check the texts of a member; cached, as each member is heard of often."""
    checks.check_name("node", node)
    checks.check_ip("host", host)
    checks.check_name("zone", zone)
    if service:
        checks.check_name("service", service)


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
        departed=_departed(slot),
    )


def _departed(slot: typing.Any) -> tuple[messages.DepartedStart, ...]:
    starts = slot.departed
    if not len(starts):
        return ()
    kept = list(_entries("departed", starts))[-messages.MAX_DEPARTED :]
    return tuple(messages.DepartedStart(s.instance, s.startedMs) for s in kept)


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
        crashes=tuple(_crash(slot) for slot in _entries("ends", root.ends)),
        updates=tuple(
            messages.QuarantineUpdate(slot.request, slot.ends, float(slot.ageMs))
            for slot in _entries("words", root.words)
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
        if not abs(now - sent_at) <= MAX_AGE_MS:
            # Also for a time that is no number.
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
