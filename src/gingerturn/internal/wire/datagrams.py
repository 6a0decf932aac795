"""Membership messages: authentic datagrams.

A datagram is a keyed MAC followed by the message, which names its sender and the
time of sending. A stranger can forge none; a replayed one is dropped once it is
older than :data:`MAX_AGE_MS`, or not newer than the sender's last.
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
"""Clocks of instances may differ by some seconds; replays inside this time are
caught by the order of each sender's times."""

REORDER_MS = 15_000.0
"""Datagrams of one sender may overtake one another by this much, and a sender whose
clock was set back while it restarted is not shut out for as long as that took."""

_MAX_AGE = (1 << 32) - 1
_KINDS = list(messages.GossipKind)
_CAPS_DECODER: msgspec.msgpack.Decoder[messages.CapMessage] = msgspec.msgpack.Decoder(
    messages.CapMessage
)


def mac(secret: bytes, content: bytes) -> bytes:
    """Return the keyed MAC of some bytes."""
    return hmac.digest(secret, content, "sha256")[:MAC_BYTES]


def encode(
    secret: bytes,
    sender: ids.NodeId,
    sent_at: ids.Milliseconds,
    message: messages.Gossip,
) -> bytes:
    """Return a datagram."""
    part = schema.peer.Gossip.new_message()
    part.sender = sender
    part.sentAtMs = sent_at
    part.kind = _KINDS.index(message.kind)
    part.sequence = message.sequence
    part.revision = message.revision
    part.target = message.target
    part.cursor = message.cursor
    part.routeVersion = message.route_version
    part.provenAgeMs = message.verified_age_ms
    part.logEpoch = message.log_epoch
    part.configDigest = message.config_digest
    if message.caps is not None:
        part.caps = msgspec.msgpack.encode(message.caps)
    _put_news(part, message.quarantine)
    members = part.init("members", len(message.members))
    for slot, member in zip(members, message.members, strict=True):
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
    content: bytes = part.to_bytes_packed()
    return mac(secret, content) + content


def decode(
    secrets: list[bytes], datagram: bytes
) -> tuple[ids.NodeId, ids.Milliseconds, messages.Gossip]:
    """Return sender, time of sending and message of an authentic datagram.

    :param secrets: those accepted at present; two during a rotation.
    :raises AuthenticationError: when no secret fits.
    :raises FrameError: when the content is no message.
    """
    proof, content = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not any(hmac.compare_digest(mac(s, content), proof) for s in secrets):
        raise errors.AuthenticationError(
            "a datagram is not authentic", step="check a datagram"
        )
    try:
        part = schema.peer.Gossip.from_bytes_packed(content)
        message = messages.Gossip(
            kind=_KINDS[part.kind],
            sequence=part.sequence,
            revision=ids.Revision(part.revision),
            members=tuple(_member(slot) for slot in part.members),
            target=part.target,
            cursor=part.cursor,
            route_version=part.routeVersion,
            quarantine=_news(part),
            verified_age_ms=part.provenAgeMs,
            caps=_CAPS_DECODER.decode(part.caps) if part.caps else None,
            log_epoch=ids.LogEpoch(part.logEpoch),
            config_digest=part.configDigest,
        )
        return ids.NodeId(part.sender), part.sentAtMs, message
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
    )


def _put_news(part: typing.Any, news: messages.QuarantineGossip) -> None:
    """Write what rides along on requests that end backend servers."""
    if news is messages.NO_QUARANTINE_GOSSIP:
        return
    part.quarantineDigest = news.digest
    ends = part.init("ends", len(news.crashes))
    for slot, end in zip(ends, news.crashes, strict=True):
        slot.node = end.node
        slot.incarnation = end.incarnation
        slot.number = end.number
        slot.part = end.part
        slot.ageMs = _age(end.age_ms)
        slot.requests = b"".join(
            request.to_bytes(ids.FINGERPRINT_BYTES) for request in end.requests
        )
    words = part.init("words", len(news.updates))
    for slot, word in zip(words, news.updates, strict=True):
        slot.request = word.request
        slot.ends = min(word.crash_count, messages.MAX_ENDS)
        slot.ageMs = _age(word.age_ms)


def _news(part: typing.Any) -> messages.QuarantineGossip:
    if not (part.quarantineDigest or len(part.ends) or len(part.words)):
        return messages.NO_QUARANTINE_GOSSIP
    return messages.QuarantineGossip(
        crashes=tuple(_end(slot) for slot in part.ends),
        updates=tuple(
            messages.QuarantineUpdate(slot.request, slot.ends, float(slot.ageMs))
            for slot in part.words
        ),
        digest=part.quarantineDigest,
    )


def _end(slot: typing.Any) -> messages.BackendCrash:
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


def _age(age_ms: ids.Milliseconds) -> int:
    return max(0, min(int(age_ms), _MAX_AGE))


class ReplayGuard:
    """Remembers the latest time of sending of each sender."""

    def __init__(self) -> None:
        self._latest: dict[str, ids.Milliseconds] = {}
        self._recent: dict[tuple[str, float], None] = {}

    def accepts(
        self, sender: ids.NodeId, sent_at: ids.Milliseconds, now: ids.Milliseconds
    ) -> bool:
        """Tell whether a datagram is new, and remember it."""
        if abs(now - sent_at) > MAX_AGE_MS:
            return False
        latest = self._latest.get(sender, 0.0)
        if sent_at < latest - REORDER_MS or (sender, sent_at) in self._recent:
            return False
        self._latest[sender] = max(latest, sent_at)
        self._recent[(sender, sent_at)] = None
        if len(self._recent) > _RECENT:
            del self._recent[next(iter(self._recent))]
        return True


_RECENT = 4_096
"""Datagrams remembered one by one: more than arrive within the reorder time."""
