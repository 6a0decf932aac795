"""Typed messages that events and effects carry between nodes and to the log."""

import enum
import ipaddress
import typing

import msgspec

from gingerturn import routes
from gingerturn.internal import checks, ids

MISDIRECTED = 421
"""Status of a backend server that is not the one meant; it has run nothing
(RFC 9110, 15.5.20)."""


MAX_INCARNATION = (1 << 63) - 1
"""Incarnations travel as numbers of 64 bits."""


class Outcome(enum.Enum):
    """What a caller is told when it gets no answer of the backend server."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ALREADY_RUN = "already-run"


class LoadReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What rides on every answer of a home node.

    :param level: ranks below it are being shed by this node.
    :param tree_level: ranks of children below it are being shed by a service
        that calls of the same kind go on to.
    :param load: calls running and queued.
    :param limit: calls that the node lets run at once.
    :param leaving: the node takes no new work.
    :param scarce: service that sheds most on the way of a request of the kind.
    :param slot_ms: time for which such a request holds slots there.
    :param scarce_level: rank below which that service sheds, as far as the node knows.
    :param scarce_age_ms: how long ago its upstreams told that.
    """

    level: ids.Rank
    tree_level: ids.Rank
    load: int
    limit: int
    leaving: bool = False
    bottleneck: ids.ServiceName = ids.ServiceName("")
    bottleneck_slot_ms: float = 0.0
    bottleneck_level: ids.Rank = ids.Rank(0)
    bottleneck_age_ms: float = 0.0


class CallMetadata(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What an entry node tells the home node about a call.

    :param deadline_ms: time left, relative so that clocks need not agree.
    :param tokens: retry tokens that the attempt takes along.
    :param key: key to be claimed before the call is handed over; empty when the
        call needs no claim.
    :param repeat: an earlier sending of it, or of the request that it serves, reached
        an upstream; what it calls counts as repeats too.
    :param ticket: the node that alone may run it, as ``node/incarnation``, when the
        key is a ticket; then no claim is needed.
    :param first: no earlier sending of this request, or of the one that it serves,
        can have run; only then may a refusal say ``not-run``.
    :param fingerprint: what is the same whenever this request is sent; 0 if not known.
    :param workspace: whose request it is; empty where nobody's.
    """

    service: ids.ServiceName
    kind: ids.KindName
    importance: int
    depth: int
    root: ids.RootHash
    trace: str
    deadline_ms: float
    tokens: int
    repeatable: bool
    key: str = ""
    key_derived: bool = False
    never_ran: bool = True
    ticket: str = ""
    repeat: bool = False
    fingerprint: ids.Fingerprint = ids.Fingerprint(0)
    workspace: ids.WorkspaceName = ids.WorkspaceName("")


class Refusal(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Why a home node gives no answer of its backend server.

    :param rule: number of a :class:`.decisions.Rule`.
    :param holder: node that holds the claim of the key, if another does.
    :param arrived: the backend server itself turned the call away. Nothing ran, but
        the call reached an upstream and counts as an attempt.
    :param room: it did so with slots free.
    """

    rule: int
    outcome: Outcome
    retry_after_ms: float
    decision: str
    holder: str = ""
    reached_backend: bool = False
    had_free_slots: bool = False


class MemberState(enum.IntEnum):
    """States of a member, in the order of precedence inside one version."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class Member(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One node as the others know it.

    :param version: raised by the member itself with each change that it tells.
    :param backend_started_ms: when its backend server started; 0 where that is not
        known.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    version: int
    state: MemberState
    host: str
    peers_port: int
    gossip_port: int
    zone: str
    service: ids.ServiceName = ids.ServiceName("")
    slots: int = 0
    backend_started_ms: int = 0


class GossipKind(enum.Enum):
    """Kinds of membership messages."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ping-request"
    SYNC_REQUEST = "sync-request"
    SYNC_PAGE = "sync-page"
    CAPS = "caps"


class BackendCrash(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A backend server ended by itself.

    :param node: the node beside it.
    :param number: counts the ends there in this incarnation of the node.
    :param part: an end with many requests is told in several parts.
    :param requests: fingerprints of what was under way there.
    :param age_ms: how long ago, so that clocks need not agree.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    number: int
    part: int
    requests: tuple[int, ...]
    age_ms: ids.Milliseconds = 0.0


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node holds a request for.

    :param request: its fingerprint.
    :param ends: backend servers that ended under it; 0 when it ran to an answer.
    :param age_ms: how long ago the latest of them ended, or it was answered.
    """

    request: int
    crash_count: int
    age_ms: ids.Milliseconds


class QuarantineGossip(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What rides on a membership message about requests that end backend servers.

    :param digest: of the requests that the sender keeps out, 32 bits.
    """

    crashes: tuple[BackendCrash, ...] = ()
    updates: tuple[QuarantineUpdate, ...] = ()
    digest: int = 0


NO_QUARANTINE_GOSSIP = QuarantineGossip()


class CapDemand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node is asked for in the name of a workspace with a cap.

    Numbers are thousandths: whole numbers take a third of the bytes, and some hundred
    such entries come to one node each second.

    :param rate_milli: requests a second.
    :param held_milli: requests a second that it may let pass by its present lease.
    :param need: requests that wait for a token.
    :param spilled_milli: tokens that came in by the lease since the last question, and
        found the bucket full.
    """

    workspace: str
    rate_milli: int
    leased_milli: int
    waiting: int
    overflowed_milli: int


class CapRequest(msgspec.Struct, frozen=True, array_like=True, tag="CapAsk", gc=False):
    """A node lends its parts of all caps to the keeper, and asks for leases.

    :param number: pairs the answer with it.
    :param stamp: the keeper's, from when on the loan counts; 0 lends nothing.
    """

    number: int
    stamp: ids.Milliseconds
    demands: tuple[CapDemand, ...]


class CapLease(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node may let pass of a workspace for one term.

    :param rate_milli: thousandths of a request a second.
    :param tokens: for requests that wait.
    :param short: nothing is left for now.
    """

    workspace: str
    rate_milli: int
    tokens: int
    short: bool


class CapAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """The keeper's leases, or who keeps the caps.

    :param stamp: of its own clock, to be sent back with the next question.
    :param keeper: node to ask instead; empty where the sender itself keeps the caps.
    :param released: the sender did keep them, and has ended the loan.
    """

    number: int
    stamp: ids.Milliseconds
    leases: tuple[CapLease, ...]
    allocator: str = ""
    released: bool = False


class CapUsage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What was let pass of a workspace lately.

    :param first: number of the first slice of time, from the present one on.
    :param slices_milli: thousandths of requests, slice by slice.
    """

    workspace: str
    first: int
    slices_milli: tuple[int, ...]


class CapHandover(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """What a keeper that stops leaves to the next one.

    :param share: of every cap that was lent to it, in the mean of the window.
    :param loans: nodes that lent it their parts, and for how many ms more.
    :param used: by workspace.
    """

    share: float
    delegations: tuple[tuple[str, ids.Milliseconds], ...]
    used: tuple[CapUsage, ...]


CapMessage = CapRequest | CapAnswer | CapHandover


class Gossip(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One membership message, with member updates riding on it.

    :param sequence: pairs an acknowledgement with its ping.
    :param target: node that an indirect probe is to reach.
    :param cursor: last node of a synchronisation page; empty at the end.
    :param revision: revision of the configuration that the sender has in force.
    :param route_version: version of the route table that it has in force.
    :param proven_age_ms: how long ago that was certainly the newest; -1 if not known.
    :param caps: between a node and the keeper of caps.
    :param log_epoch: the highest epoch of the log that the sender knows.
    :param config_digest: of the documents of that revision; 0 where nobody can have
        others.
    """

    kind: GossipKind
    sequence: int
    revision: ids.Revision
    members: tuple[Member, ...] = ()
    target: str = ""
    cursor: str = ""
    route_version: int = 0
    quarantine: QuarantineGossip = NO_QUARANTINE_GOSSIP
    verified_age_ms: ids.Milliseconds = -1.0
    caps: CapMessage | None = None
    log_epoch: ids.LogEpoch = ids.LogEpoch(0)
    config_digest: int = 0


class JoinRecord(msgspec.Struct, frozen=True, tag="join"):
    """A node tells on the log where it can be found.

    Others may write to the log; a record that names no place is none.

    :raises ValueError: for a host that is no IP number.
    """

    node: typing.Annotated[str, msgspec.Meta(min_length=1)]
    incarnation: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
    host: str
    gossip_port: typing.Annotated[int, msgspec.Meta(ge=1, le=checks.MAX_PORT)]
    zone: str
    at: float

    def __post_init__(self) -> None:
        ipaddress.ip_address(self.host)


class LeaveRecord(msgspec.Struct, frozen=True, tag="leave"):
    """A node left by a planned stop."""

    node: str
    incarnation: int
    at: float


MAX_FINGERPRINT = (1 << 8 * ids.FINGERPRINT_BYTES) - 1
MAX_ENDS = 0xFFFF


class QuarantineRecord(msgspec.Struct, frozen=True, tag="quarantine"):
    """A request that ends backend servers is kept out.

    :param ends: how many ended under it; 0 when it is kept out no more.
    :param at: when the latest of them ended.
    """

    request: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_FINGERPRINT)]
    ends: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_ENDS)]
    at: float


class ClaimRecord(msgspec.Struct, frozen=True, tag="claim"):
    """The first claim of a key in offset order wins the right to run it."""

    key: str
    claim: str
    node: str


class ClaimBatch(msgspec.Struct, frozen=True, tag="claims"):
    """Claims appended together; they count in the order of the batch."""

    claims: tuple[ClaimRecord, ...]


class PublishRecord(msgspec.Struct, frozen=True, tag="publish"):
    """A team publishes its document.

    :param base: revision at which the author saw that document last change.
    """

    id: str
    team: str
    author: str
    base: int
    text: str
    at: float


class ConfigSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The accepted set at a revision, re-appended before retention drops it."""

    revision: int
    documents: dict[str, str]
    revisions: dict[str, int]
    digest: str


class AuditRecord(msgspec.Struct, frozen=True, tag="audit"):
    """One entry of the trail of changes."""

    at: float
    who: str
    what: str
    subject: str
    outcome: str
    base: int = 0
    revision: int = 0


LogRecord = (
    JoinRecord
    | LeaveRecord
    | ClaimBatch
    | PublishRecord
    | ConfigSnapshot
    | AuditRecord
    | QuarantineRecord
    | routes.RouteTable
)


def encode_record(record: object) -> bytes:
    """Return a log record as JSON, which operators can read."""
    return msgspec.json.encode(record)


_RECORD_DECODER: msgspec.json.Decoder[LogRecord] = msgspec.json.Decoder(LogRecord)


def decode_record(content: bytes) -> LogRecord | None:
    """Return a log record, or ``None`` for bytes that are none: records of a
    later version or of others must not stop a reader."""
    try:
        return _RECORD_DECODER.decode(content)
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError):
        return None
