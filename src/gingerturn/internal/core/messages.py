"""Typed messages that events and effects carry between nodes and to the log."""

import enum
import ipaddress
import typing

import msgspec

from gingerturn import announcements, configuration, routes
from gingerturn.internal import checks, decoding, ids

MISDIRECTED = 421
"""Status of a backend server that is not the intended one; nothing was run
(RFC 9110, 15.5.20)."""


MAX_INCARNATION = (1 << 63) - 1
"""Incarnations are encoded as signed 64-bit integers."""

MAX_RANK = (1 << 32) - 1
MAX_IMPORTANCE = configuration.IMPORTANCE_CLASSES - 1
MAX_FINGERPRINT = (1 << 8 * ids.FINGERPRINT_BYTES) - 1

ReportedRank = typing.Annotated[ids.Rank, msgspec.Meta(ge=0, le=MAX_RANK)]
SentFingerprint = typing.Annotated[
    ids.Fingerprint, msgspec.Meta(ge=0, le=MAX_FINGERPRINT)
]


class Outcome(enum.Enum):
    """Whether a call ran, as reported to a caller that gets no backend answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ALREADY_RUN = "already-run"


class BackendStatus(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a backend server reported of itself in its answers.

    :param instance: the instance that reported it.
    :param rate_limit: requests a second that it accepts from all nodes together;
        negative without a limit.
    :param leaving: it takes no new requests.
    :param started_ms: Unix time of its start; 0 if not announced.
    """

    instance: str
    rate_limit: decoding.Number = -1.0
    leaving: bool = False
    started_ms: decoding.Whole = 0


WorkspaceFactors = tuple[tuple[ids.WorkspaceName, decoding.Whole], ...]
"""Share factors of workspaces in thousandths, the largest first."""


class BackendLoad(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a backend server reported of its load in an answer.

    :param running: requests that it runs.
    :param waiting: requests in its own queue.
    :param slots: requests that it runs at once.
    :param pace: time that work takes there at present in percent of the usual time; 0
        if not reported.
    """

    running: decoding.Whole
    waiting: decoding.Whole
    slots: decoding.Whole
    pace: decoding.Whole = 0


class LoadReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Load report that every answer of a home node carries.

    :param level: ranks below it are being shed by this node.
    :param tree_level: ranks of children below it are being shed by a service that calls
        of the same kind go on to.
    :param load: calls running and queued.
    :param limit: calls that the node runs at once.
    :param leaving: the node takes no new work.
    :param bottleneck: service that sheds most on the path of a request of the kind.
    :param bottleneck_slot_ms: slot time that such a request needs there.
    :param bottleneck_level: rank below which that service sheds, as far as known.
    :param bottleneck_age_ms: age of that report of its upstreams.
    :param status: what the backend server reported, unless it is the default.
    :param bottleneck_factors: share factors of workspaces at that service, with the age
        of its level; at most four, and none while it sheds nothing.
    :param pace: latest pace that the backend server reported; 0 if it reports none.
    :param pace_age_ms: time since then. It is an integer, which takes one byte where
        there is no pace.
    """

    level: ReportedRank
    tree_level: ReportedRank
    load: decoding.Whole
    limit: decoding.Whole
    leaving: bool = False
    bottleneck: ids.ServiceName = ids.ServiceName("")
    bottleneck_slot_ms: decoding.Number = 0.0
    bottleneck_level: ReportedRank = ids.Rank(0)
    bottleneck_age_ms: decoding.Number = 0.0
    status: BackendStatus | None = None
    bottleneck_factors: WorkspaceFactors = ()
    pace: decoding.Whole = 0
    pace_age_ms: decoding.Integer = 0


class CallMetadata(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What an entry node sends to the home node about a call.

    :param deadline_ms: remaining time, relative because clocks need not agree.
    :param tokens: retry tokens that the attempt takes along.
    :param key: key to be claimed before the call is dispatched; empty when the call
        needs no claim.
    :param never_ran: no earlier sending of this request, or of the one that it serves,
        can have run; only then may a refusal say ``not-run``.
    :param ticket: the only node that may run it, as ``node/incarnation``, when the key
        is a ticket; then no claim is needed.
    :param repeat: an earlier sending of it, or of the request that it serves, reached
        an upstream; the calls made for it count as repeats too.
    :param fingerprint: equal for every sending of the request; 0 if not known.
    :param workspace: workspace that the request belongs to; empty if none.
    :param status: what the entry node knows that the backend server reported; the home
        node may have restarted since.
    :param knows_pace: the entry node knows a pace that the backend server reported; the
        home node may have restarted since.
    """

    service: ids.ServiceName
    kind: ids.KindName
    importance: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_IMPORTANCE)]
    depth: decoding.Whole
    root: typing.Annotated[ids.RootHash, msgspec.Meta(ge=0)]
    trace: str
    deadline_ms: decoding.Number
    tokens: decoding.Whole
    repeatable: bool
    key: str = ""
    key_derived: bool = False
    never_ran: bool = True
    ticket: str = ""
    repeat: bool = False
    fingerprint: SentFingerprint = ids.Fingerprint(0)
    workspace: ids.WorkspaceName = ids.WorkspaceName("")
    status: BackendStatus | None = None
    knows_pace: bool = False


class Refusal(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Why a home node gives no answer of its backend server.

    :param rule: number of a :class:`.decisions.Rule`.
    :param holder: node that holds the claim of the key, if another does.
    :param reached_backend: the backend server itself turned the call away. Nothing ran,
        but the call reached an upstream and counts as an attempt.
    :param had_free_slots: it turned the call away with slots free.
    """

    rule: decoding.Whole
    outcome: Outcome
    retry_after_ms: decoding.Number
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


MAX_ROOM_MS = 65_535
"""Largest time that the schema holds. Calls that last longer go to other
upstreams, if possible."""


MAX_DEPARTED = 4
"""Departed starts that are kept of a node, which bounds the size of its updates."""


class DepartedStart(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A start of a backend server that has left.

    :param started_ms: Unix time at which it started, at the latest.
    """

    instance: typing.Annotated[
        str, msgspec.Meta(min_length=1, max_length=announcements.MAX_INSTANCE_LENGTH)
    ]
    started_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=announcements.MAX_TIME_MS)]


class Member(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One node as the others know it.

    :param version: incremented by the member itself with each change it gossips.
    :param backend_started_ms: Unix time at which its backend server started; 0 if not
        known.
    :param room_ms: how long the calls may last that it still takes during a planned
        stop; 0 if it does not stop.
    :param departed: the starts that left last beside it, the latest one last.
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
    room_ms: int = 0
    departed: tuple[DepartedStart, ...] = ()


class GossipKind(enum.Enum):
    """Kinds of membership messages."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ping-request"
    SYNC_REQUEST = "sync-request"
    SYNC_PAGE = "sync-page"
    CAPS = "caps"


class BackendCrash(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A crash of a backend server.

    :param node: the node beside it.
    :param number: counts the crashes there in this incarnation of the node.
    :param part: a crash with many requests is split into several parts.
    :param requests: fingerprints of the requests that were running there.
    :param age_ms: relative because clocks need not agree.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    number: int
    part: int
    requests: tuple[int, ...]
    age_ms: ids.Milliseconds = 0.0


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A node's verdict on a request.

    :param request: its fingerprint.
    :param crash_count: backend servers that crashed while running it; 0 if it was
        answered.
    :param age_ms: time since the latest crash, or since the answer.
    """

    request: int
    crash_count: int
    age_ms: ids.Milliseconds


class QuarantineGossip(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Quarantine updates carried by a membership message.

    :param digest: of the requests that the sender quarantines, 32 bits.
    """

    crashes: tuple[BackendCrash, ...] = ()
    updates: tuple[QuarantineUpdate, ...] = ()
    digest: int = 0


NO_QUARANTINE_GOSSIP = QuarantineGossip()


class CapDemand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Demand of a node for a workspace with a cap.

    Numbers are thousandths, which encode to a third of the bytes of floats: some
    hundred such entries reach one node each second.

    :param rate_milli: requests a second received.
    :param leased_milli: requests a second that its present lease allows.
    :param waiting: requests that wait for a token.
    :param overflowed_milli: leased tokens that found the bucket full since the last
        request.
    """

    workspace: str
    rate_milli: decoding.Integer
    leased_milli: decoding.Integer
    waiting: decoding.Integer
    overflowed_milli: decoding.Integer


CAP_REPEAT_STEP = 1 << 48
"""Difference of the numbers of a cap request and its repeat, above all numbers of
requests themselves."""


class CapRequest(msgspec.Struct, frozen=True, array_like=True, tag="CapAsk", gc=False):
    """A node delegates its share of all caps to the allocator and requests leases.

    :param number: pairs the answer with the request. Each repeat of a request adds
        :data:`CAP_REPEAT_STEP`.
    :param stamp: the allocator's, from which the delegation counts; 0 delegates
        nothing.
    """

    number: decoding.Integer
    stamp: decoding.Number
    demands: tuple[CapDemand, ...]


class CapLease(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node may admit of a workspace for one term.

    :param rate_milli: thousandths of a request a second.
    :param tokens: for requests that wait.
    :param short: nothing is left at present.
    """

    workspace: str
    rate_milli: decoding.Integer
    tokens: decoding.Integer
    short: bool


class CapAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """The allocator's leases, or which node is the allocator.

    :param stamp: of the sender's clock, to be returned with the next request.
    :param allocator: node to request leases from instead; empty if the sender itself is
        the allocator.
    :param released: the sender was the allocator and has ended the delegation.
    """

    number: decoding.Integer
    stamp: decoding.Number
    leases: tuple[CapLease, ...]
    allocator: str = ""
    released: bool = False


class CapUsage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What was admitted of a workspace lately.

    :param first: number of the first time slice, relative to the present one.
    :param slices_milli: thousandths of requests in each slice.
    """

    workspace: str
    first: decoding.Integer
    slices_milli: tuple[decoding.Integer, ...]


class CapHandover(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """State that a stopping allocator hands over to the next one.

    :param share: of every cap that was delegated to it, averaged over the window.
    :param delegations: nodes that delegated their share, and the remaining ms.
    :param used: by workspace.
    """

    share: decoding.Number
    delegations: tuple[tuple[str, decoding.Number], ...]
    used: tuple[CapUsage, ...]


CapMessage = CapRequest | CapAnswer | CapHandover


class Gossip(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One membership message, with piggybacked member updates.

    :param sequence: pairs an acknowledgement with its ping.
    :param target: node that an indirect probe is to reach.
    :param cursor: last node of a synchronisation page; empty at the end.
    :param revision: revision of the configuration that the sender has in force.
    :param route_version: version of the route table that it has in force.
    :param verified_age_ms: time since that version was last verified to be the newest;
        -1 if not known.
    :param read_age_ms: time since the log was known to have no later version; -1 if not
        known.
    :param without_updates: the message carries no updates, nor need its answer.
    :param caps: between a node and a cap allocator.
    :param log_epoch: highest epoch of the log that the sender knows.
    :param config_digest: of the documents of that revision; 0 if no other set of that
        revision can exist.
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
    read_age_ms: ids.Milliseconds = -1.0
    without_updates: bool = False


class JoinRecord(msgspec.Struct, frozen=True, tag="join"):
    """Where a node can be reached, written to the log when it joins.

    The log has other writers, so the fields are validated.

    :raises ValueError: if ``host`` is no IP address.
    """

    node: typing.Annotated[
        str, msgspec.Meta(min_length=1, max_length=checks.MAX_NAME_LENGTH)
    ]
    incarnation: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
    host: typing.Annotated[str, msgspec.Meta(max_length=checks.MAX_IP_LENGTH)]
    gossip_port: typing.Annotated[int, msgspec.Meta(ge=1, le=checks.MAX_PORT)]
    zone: typing.Annotated[str, msgspec.Meta(max_length=checks.MAX_NAME_LENGTH)]
    at: decoding.Number

    def __post_init__(self) -> None:
        ipaddress.ip_address(self.host)


class LeaveRecord(msgspec.Struct, frozen=True, tag="leave"):
    """A node left by a planned stop."""

    node: str
    incarnation: decoding.Whole
    at: decoding.Number


class DepartureRecord(msgspec.Struct, frozen=True, tag="departure"):
    """The starts of backend servers that left last beside a node.

    :param at: when the latest of them left.
    """

    node: typing.Annotated[
        str, msgspec.Meta(min_length=1, max_length=checks.MAX_NAME_LENGTH)
    ]
    departed: typing.Annotated[
        tuple[DepartedStart, ...], msgspec.Meta(max_length=MAX_DEPARTED)
    ]
    at: decoding.Number


MAX_ENDS = 0xFFFF


class QuarantineRecord(msgspec.Struct, frozen=True, tag="quarantine"):
    """The quarantine of a request.

    :param ends: backend servers that crashed while running it; 0 once it is released.
    :param at: when the latest of them crashed.
    """

    request: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_FINGERPRINT)]
    ends: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_ENDS)]
    at: decoding.Number


class ClaimRecord(msgspec.Struct, frozen=True, tag="claim"):
    """A claim of a key; the first one in offset order wins the right to run it."""

    key: str
    claim: str
    node: str


class ClaimBatch(msgspec.Struct, frozen=True, tag="claims"):
    """Claims appended together; they are ordered as in the batch."""

    claims: tuple[ClaimRecord, ...]


class PublishRecord(msgspec.Struct, frozen=True, tag="publish"):
    """A team publishes its document.

    :param base: revision at which the author saw that document last change.
    """

    id: str
    team: str
    author: str
    base: decoding.Integer
    text: str
    at: decoding.Number


class ConfigSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The accepted set at a revision, re-appended before retention drops it."""

    revision: decoding.Whole
    documents: dict[str, str]
    revisions: dict[str, decoding.Whole]
    digest: str


class AuditRecord(msgspec.Struct, frozen=True, tag="audit"):
    """One entry of the audit trail."""

    at: decoding.Number
    who: str
    what: str
    subject: str
    outcome: str
    base: decoding.Integer = 0
    revision: decoding.Integer = 0


LogRecord = (
    JoinRecord
    | LeaveRecord
    | ClaimBatch
    | PublishRecord
    | ConfigSnapshot
    | AuditRecord
    | QuarantineRecord
    | DepartureRecord
    | routes.RouteTable
)


def encode_record(record: object) -> bytes:
    """Return a log record as JSON, which operators can read."""
    return msgspec.json.encode(record)


_decode_record = decoding.json_decoder(typing.cast(type[LogRecord], LogRecord))


def decode_record(content: bytes) -> LogRecord:
    """Return a log record.

    :raises DecodeError: for bytes that are no known record, such as those of later
        versions and of other writers, which must not stop a reader.
    """
    return _decode_record(content)
