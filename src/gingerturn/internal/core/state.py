"""The state of one node, changed only by the reducer."""

import enum
import math
import random

import msgspec

from gingerturn import configuration, routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    allowance,
    decisions,
    effects,
    gossip_queue,
    messages,
    ranks,
    tolerance,
)


class Call(msgspec.Struct):
    """A call that this node accepted from a caller and has not yet answered.

    Invariant: ``tokens`` are those held here; those of ``attempt`` are not
    among them.

    :param repeat: it is part of a request that is run again.
    :param parent: the hosted call on whose behalf the backend server calls.
    :param tried: upstreams that refused or lost this call.
    :param holder: the node that alone may run it, when its key is a ticket.
    :param first: nothing of this request can have run so far; set to ``False``
        as soon as that is not certain, and never back.
    :param cleared: no sending of it is open: none was made, or the last one was
        certainly not run. Only then may a caller be told so, whatever else the state
        says: a fault that lost an attempt must not turn into a promise.
    :param workspace: whose request it is; empty where nobody's.
    :param drew: it took a token of the workspace's cap.
    """

    id: ids.CallId
    rule: configuration.KindRule
    service: ids.ServiceName
    importance: int
    depth: int
    root: ids.RootHash
    rank: ids.Rank
    deadline: ids.Milliseconds
    tokens: int
    trace: str
    key: str
    key_derived: bool
    replayable: bool
    arrived_at: ids.Milliseconds
    repeat: bool = False
    parent: ids.HostedId | None = None
    attempt: ids.AttemptId | None = None
    attempts: int = 0
    redirects: int = 0
    never_ran: bool = True
    attempts_settled: bool = True
    holder: str = ""
    fingerprint: ids.Fingerprint = ids.Fingerprint(0)
    workspace: ids.WorkspaceName = ids.WorkspaceName("")
    took_cap_token: bool = False
    tried_upstreams: list[ids.NodeId] = []


class Attempt(msgspec.Struct):
    """One sending of a call, until its answer or its loss."""

    id: ids.AttemptId
    call: ids.CallId
    node: ids.NodeId
    tokens: int
    sent_at: ids.Milliseconds = 0.0


class HostedState(enum.Enum):
    """States of a call at its home node."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    STREAMING = "streaming"
    CHECKING = "checking"
    WAITING = "waiting"


class Hosted(msgspec.Struct):
    """A call at its home node.

    Invariant: it occupies a slot exactly in the states CLAIMING, RUNNING and
    STREAMING. In CHECKING its connection broke, and its answer waits until it is
    known whether the backend server ended.

    :param occupancy: share of the slots in use when it was handed over.
    :param orphaned: the entry node gave up, but the call may not be cancelled.
    :param child_failed: a call that the backend server made for it failed, so its
        own failure tells nothing of the backend server.
    """

    id: ids.HostedId
    sender: ids.NodeId
    metadata: messages.CallMetadata
    rank: ids.Rank
    deadline: ids.Milliseconds
    tokens: int
    arrived_at: ids.Milliseconds
    state: HostedState = HostedState.QUEUED
    span: ids.SpanId = ids.SpanId("")
    started_at: ids.Milliseconds = 0.0
    occupancy: float = 0.0
    orphaned: bool = False
    child_failed: bool = False
    decision: str = ""
    children: dict[str, int] = {}


class Window(msgspec.Struct):
    """What one control window saw at admission.

    :param least_queue: least length of the queue in the window.
    :param target_queue: a queue at least this long throughout raises the level.
    """

    ranks: list[int] = []
    dispatched: int = 0
    shed: int = 0
    busy_ms: float = 0.0
    least_queue: int = 0
    target_queue: int = 2


class ServiceTime(msgspec.Struct):
    """Observed time of one kind at the backend server."""

    mean_ms: float
    measured_at: ids.Milliseconds


class Mean(msgspec.Struct):
    """A mean that follows its latest values, and of how many."""

    mean: float = 0.0
    count: int = 0


class Saturation(msgspec.Struct):
    """Times of calls by how full the backend server was when they were begun.

    :param roomy: by kind, in ms, begun while there was room.
    :param full: begun with nearly every slot taken, over what their kind takes then.
    :param held: begun with the last slots left free and all others taken.
    :param held_until: the last slots are left free until then.
    :param rests_until: they are not tried again before that.
    """

    unsaturated: dict[str, Mean] = {}
    saturated: Mean = msgspec.field(default_factory=Mean)
    limited: Mean = msgspec.field(default_factory=Mean)
    limited_until: ids.Milliseconds = 0.0
    next_trial_at: ids.Milliseconds = 0.0


class BrokenCall(msgspec.Struct, frozen=True):
    """A call whose connection to the backend server broke before its answer."""

    fingerprint: ids.Fingerprint
    broken_at: ids.Milliseconds


class InstanceAnnouncement(msgspec.Struct, frozen=True):
    """The latest announcement of an instance.

    :param started_ms: when it had started; 0 where it tells none.
    """

    started_ms: int
    sequence: int


class Backend(msgspec.Struct):
    """The backend server beside this node, and admission to it.

    Invariants: ``0 <= running``; the queue is sorted by (rank, arrival) and is
    only longer than zero while ``running >= limit``.

    :param queue: (rank, negative arrival number, hosted id), lowest first.
    :param started_ms: when the present instance started; 0 where it tells none.
    :param left: instances that left, or that a call did not find any more; what still
        arrives from the start that did is late.
    :param replaced: instances that another one took the place of, and what was heard
        last from each.
    :param checking: whether it still listens is being found out.
    :param broken: calls that broke since it last answered one.
    :param answered: when it last answered a call.
    :param ends: how often it ended by itself while this node ran.
    """

    service: ids.ServiceName = ids.ServiceName("")
    host: str = ""
    port: int = 0
    slots: int = 0
    expires_at: ids.Milliseconds = 0.0
    present: bool = False
    leaving: bool = False
    limit: float = 1.0
    slow_start: bool = False
    running: int = 0
    queue: list[tuple[int, int, ids.HostedId]] = []
    level: ids.Rank = ranks.LOWEST
    windows: list[Window] = msgspec.field(default_factory=lambda: [Window()])
    running_since: ids.Milliseconds = 0.0
    last_cut_at: ids.Milliseconds = 0.0
    instance: str = ""
    sequence: int = 0
    started_ms: int = 0
    departed_instances: dict[str, int] = {}
    replaced_instances: dict[str, InstanceAnnouncement] = {}
    times: dict[str, ServiceTime] = {}
    saturation: Saturation = msgspec.field(default_factory=Saturation)
    unreachable_until: ids.Milliseconds = 0.0
    check_pending: bool = False
    broken_calls: list[BrokenCall] = []
    answered_at: ids.Milliseconds = 0.0
    crash_count: int = 0


class ReportedLevel(msgspec.Struct, frozen=True, gc=False):
    """A level that an answer told, and when."""

    level: ids.Rank
    reported_at: ids.Milliseconds


LEVEL_AGE_BUCKETS = 7
"""Five bounded ages, older ones, and no word at all."""

NO_REPORTED_LEVEL = ReportedLevel(level=ranks.LOWEST, reported_at=0.0)
"""Nothing was ever told."""


class ServiceLevel(msgspec.Struct):
    """What the upstreams of a service told of lately.

    :param told: by upstream, the longest ago first.
    :param ranked: the same levels, the lowest first.
    :param level: median of it; kept when all of it is too old.
    :param heard: when the latest was told.
    :param asked: when some upstreams were last asked for it.
    """

    by_upstream: dict[str, ReportedLevel]
    sorted_levels: list[int]
    level: ids.Rank = ranks.LOWEST
    reported_at: ids.Milliseconds = 0.0
    requested_at: ids.Milliseconds = 0.0


class Trend(msgspec.Struct):
    """How the level of a service moves.

    :param at: when ``level`` was seen; ``slope`` is per ms, up to then.
    """

    updated_at: ids.Milliseconds
    level: ids.Rank
    slope: float = 0.0


class TreeCost(msgspec.Struct):
    """What a request of a kind takes of the scarcest service on its way."""

    service: ids.ServiceName
    slot_ms: float


class Fanout(msgspec.Struct):
    """How many calls a run of a kind makes, by service and kind of the call."""

    runs: float = 0.0
    calls: dict[tuple[ids.ServiceName, ids.KindName], float] = {}


class Costs(msgspec.Struct):
    """What this node knows of the costs of kinds.

    :param told: by home nodes, for the kinds that this node sends.
    :param own: of kinds that run here, and when it was worked out.
    :param roots: importance of the kinds of whole requests that come here.
    """

    reported: dict[str, TreeCost] = {}
    local: dict[str, tuple[ids.Milliseconds, TreeCost]] = {}
    fanouts: dict[str, Fanout] = {}
    root_importance: dict[str, int] = {}


class KindTraffic(msgspec.Struct):
    """What calls of a kind are like that this node sends: means over the latest.

    :param elapsed: from sending to the answer.
    :param size: bytes of call and answer.
    """

    elapsed: ids.Milliseconds
    size: float


class Upstream(msgspec.Struct):
    """What this node knows of an upstream that it has called.

    :param outstanding: attempts of this node in flight there.
    :param failures: calls lost there since the last answer.
    :param error: share of the latest answers that were failures of its own.
    :param slowness: time of its answers over the mean of their kinds.
    :param timed: when that was measured.
    :param since_report: attempts sent since the last load report.
    :param answered: when its last load report came.
    """

    node: ids.NodeId
    own_level: ReportedLevel
    load: int = 0
    limit: int = 0
    outstanding: int = 0
    sent_since_report: int = 0
    load_reported_at: ids.Milliseconds = 0.0
    consecutive_failures: int = 0
    error_rate: float = 0.0
    slowness: float = 1.0
    slowness_measured_at: ids.Milliseconds = 0.0
    ejections: int = 0
    ejected_until: ids.Milliseconds = 0.0


class Occupancy(msgspec.Struct):
    """Mean part of their limit that upstreams said was taken."""

    mean: float
    reported_at: ids.Milliseconds


class Pool(msgspec.Struct):
    """The upstreams of a service that are healthy, as long as nothing changes.

    :param near: those in the own zone.
    :param version: of the membership that it was made from.
    :param until: when a suspicion or an ejection among them changes by itself.
    """

    nodes: list[ids.NodeId]
    same_zone: list[ids.NodeId]
    version: int
    valid_until: ids.Milliseconds


class Probe(msgspec.Struct):
    """A ping whose acknowledgement is awaited.

    :param sent: from when its answer is missed; later than ``asked`` where this node
        stood still meanwhile.
    :param asked: when it was sent.
    """

    node: ids.NodeId
    timeout_base: ids.Milliseconds
    sent_at: ids.Milliseconds
    indirect: bool = False
    for_host: str = ""
    for_port: int = 0
    for_sequence: int = 0


class MemberOrder(msgspec.Struct):
    """The members that are not suspected, by :func:`.member_order.place`.

    :param owners: all members that did not leave, also those that cannot be reached.
    :param keepers: the first ones by another order.

    :param zone: those in the own zone, with this node.
    :param index: of this node among them.
    :param version: of the membership that it was made from.
    """

    first: ids.NodeId
    zone: list[ids.NodeId]
    index: int
    cap_sharers: int
    cap_allocators: list[ids.NodeId]
    version: int


class Freshness(msgspec.Struct):
    """What proves that the route table in force is the newest; see :mod:`.freshness`.

    :param revoke_ms: within this time a key that was taken away must cease to work;
        0 where operators set no bound.
    :param proven: when the table in force was certainly the newest; 0 if never.
    :param asked: when a member was last asked.
    :param questions: how often one was.
    :param closed: it was written that no key is let in.
    :param reading: an extra read of the log is under way.
    :param read_again: not before this.
    :param shown: the latest version that the log showed since it was last restored from
        a backup.
    """

    revoke_ms: ids.Milliseconds = 0.0
    verified_at: ids.Milliseconds = 0.0
    queried_at: ids.Milliseconds = 0.0
    query_count: int = 0
    closed_logged: bool = False
    extra_read_pending: bool = False
    next_read_at: ids.Milliseconds = 0.0
    highest_log_version: int = 0


class Bucket(msgspec.Struct):
    """Tokens of a workspace at this node; see :mod:`.cap_buckets`.

    :param filled: up to when what came in has been added.
    :param rate_milli: thousandths of a token a second, by the lease.
    :param lease_until: when the lease ends; 0 where there never was one.
    :param short: the keeper had no token left.
    :param told: when it last said whether it had.
    :param spilled: tokens of the lease that found it full.
    :param demand: requests a second asked for here.
    :param count: requests since ``counted_from``.
    :param drawn: when the latest came.
    :param promised: when the token comes in that the last refused caller was told of.
    """

    refilled_at: ids.Milliseconds
    counted_from: ids.Milliseconds
    tokens: float = 0.0
    rate_milli: int = 0
    lease_until: ids.Milliseconds = 0.0
    short: bool = False
    short_reported_at: ids.Milliseconds = 0.0
    overflowed: float = 0.0
    demand: float = 0.0
    request_count: int = 0
    last_request_at: ids.Milliseconds = 0.0
    promised_token_at: ids.Milliseconds = 0.0


class WorkspaceUsage(msgspec.Struct):
    """Whole requests of a workspace at this node, since its start."""

    admitted: int = 0
    refused: int = 0


class Caps(msgspec.Struct):
    """What this node uses of workspaces' caps; see :mod:`.caps`.

    :param keeper: node that was asked last.
    :param stamp: the latest of that keeper; 0 before its first answer.
    :param number: of the latest question.
    :param open: questions without an answer, and when they were put.
    :param asked: when the latest question was put.
    :param renewed: when it was last asked for all workspaces.
    :param silent_since: when the first was put that the keeper has not answered; 0 if
        it has answered since.
    :param handed_over: this node kept the caps and left them to another, as it stops.
    :param lent_to: keeper to whom the own parts are lent until ``lent_until``.
    :param passed_over: nodes that are not asked, and until when.
    :param held: calls that wait for a token, and until when.
    :param use: by workspace, for the metrics; bounded.
    """

    buckets: dict[str, Bucket] = {}
    allocator: ids.NodeId = ids.NodeId("")
    stamp: ids.Milliseconds = 0.0
    request_number: int = 0
    pending_requests: dict[int, ids.Milliseconds] = {}
    requested_at: ids.Milliseconds = 0.0
    renewed_at: ids.Milliseconds = 0.0
    unanswered_since: ids.Milliseconds = 0.0
    handed_over: bool = False
    delegated_to: ids.NodeId = ids.NodeId("")
    delegated_until: ids.Milliseconds = 0.0
    skipped_nodes: dict[ids.NodeId, ids.Milliseconds] = {}
    waiting_calls: dict[ids.CallId, ids.Milliseconds] = {}
    usage: dict[str, WorkspaceUsage] = {}


class CapGrant(msgspec.Struct, frozen=True):
    """What the keeper knows of one node's use of a cap.

    :param demand: requests a second asked for there.
    :param rate_milli: thousandths of a request a second that it is leased.
    :param depth: requests at once that its bucket holds.
    """

    demand: float
    rate_milli: int
    depth: float
    expires_at: ids.Milliseconds


class CapWindow(msgspec.Struct):
    """Requests of a cap that were let pass lately, by slice of time.

    :param total: what the cap allowed in a window when it was last looked at.
    """

    total: float = 0.0
    slices: dict[int, float] = {}


class CapAllocator(msgspec.Struct):
    """What this node leases as the keeper of caps; see :mod:`.cap_keeper`.

    :param loans: nodes that lent it their parts, and until when.
    :param grants: by workspace and node.
    :param windows: by workspace, what was let pass.
    :param share: of every cap that it may give.
    :param shares: share that was lent to it, by slice of time.
    """

    delegations: dict[ids.NodeId, ids.Milliseconds] = {}
    grants: dict[str, dict[ids.NodeId, CapGrant]] = {}
    windows: dict[str, CapWindow] = {}
    delegated_share: float = 0.0
    delegated_shares: dict[int, float] = {}


class Membership(msgspec.Struct):
    """The members as this node knows them.

    :param by_service: live members offering a service.
    :param version: raised with each change that bears on which upstreams are healthy.
    :param doubted: suspected by the own probes, though they answered calls of late.
    :param rumours: updates that are still passed on.
    :param unmet: nodes that joined by the log and were not heard of since, and how
        often each was contacted.
    :param join_put: number under which the own join record is being put; 0 once it
        is acknowledged.
    :param listed: the members on the log have been read.
    :param heard: when the last datagram of a member came.
    :param left: members that left by a planned stop, by incarnation.
    :param ordered: what follows from all this, until it changes.
    """

    self_member: messages.Member | None = None
    members: dict[str, messages.Member] = {}
    by_service: dict[str, list[ids.NodeId]] = {}
    version: int = 0
    pending_updates: gossip_queue.GossipQueue = msgspec.field(
        default_factory=gossip_queue.GossipQueue
    )
    probes: dict[int, Probe] = {}
    suspected: dict[str, ids.Milliseconds] = {}
    doubted: set[ids.NodeId] = set()
    gone: dict[str, ids.Milliseconds] = {}
    probe_order: list[str] = []
    sequence: int = 0
    next_push: ids.Milliseconds = 0.0
    push_pending: bool = False
    uncontacted: dict[str, tuple[messages.JoinRecord, int]] = {}
    join_put_number: int = 0
    join_retry_at: ids.Milliseconds = 0.0
    members_listed: bool = False
    last_datagram_at: ids.Milliseconds = 0.0
    departed: dict[ids.NodeId, ids.Incarnation] = {}
    order_cache: MemberOrder | None = None


class LogHistory(msgspec.Struct):
    """What this node knows of the log's epoch; see :mod:`.log_epochs`.

    Invariant: ``highest`` never goes down, and ``epoch`` is no higher.

    :param epoch: that of the log as it answers this node; 0 before it told one.
    :param highest: the highest that the log or a member told.
    :param lower: answers in a row that told of an earlier one.
    :param saw_none: the log was read from while it told none.
    :param restores: how often it was restored from a backup while this node ran.
    """

    epoch: ids.LogEpoch = ids.LogEpoch(0)
    highest: ids.LogEpoch = ids.LogEpoch(0)
    lower_epoch_answers: int = 0
    read_without_epoch: bool = False
    restores: int = 0

    @property
    def was_restored(self) -> bool:
        """Whether the log was restored from a backup, also before this node started."""
        return self.restores > 0 or self.highest > ids.FIRST_LOG_EPOCH


class Stream(msgspec.Struct):
    """Where this node stands in a stream of the log.

    :param fresh: when the last successful read began to be answered.
    :param covered_from: keys minted before this may have been claimed in records
        that this node missed.
    :param keyed: the log keeps the newest record of each key of it, so that reading
        begins with those and not with the oldest record.
    :param based: those have been read.
    :param followed: records are read as they come.
    :param outdated: the read under way began too early to tell what is asked for.
    :param hold_ms: how long the log holds a read open for news; 0 leaves it to the
        settings.
    :param generation: how often reading began anew; answers to earlier reads are not
        used.
    :param missing: reads in a row whose offset the log did not hold.
    :param missing_total: such reads since the start.
    """

    name: str
    keyed: bool = False
    base_read: bool = False
    followed: bool = True
    outdated: bool = False
    long_poll_ms: int = 0
    offset: int = 0
    read_pending: bool = False
    failures: int = 0
    retry_at: ids.Milliseconds = 0.0
    current_as_of: ids.Milliseconds = -1.0
    caught_up: bool = False
    covered_from: ids.Milliseconds = 0.0
    generation: int = 0
    consecutive_missing: int = 0
    missing_total: int = 0


class KeyPhase(enum.Enum):
    """What this node knows of a key."""

    CLAIMING = "claiming"
    OURS_IDLE = "ours-idle"
    OURS_RUNNING = "ours-running"
    OURS_DONE = "ours-done"
    FOREIGN = "foreign"


class KeyEntry(msgspec.Struct):
    """One key of an unrepeatable call at its home node.

    Invariant: HandOver is only ever emitted on the change to OURS_RUNNING, and
    no change leads from OURS_DONE to another phase. From OURS_RUNNING the only
    way back is a failure before one byte was written to the backend server.

    :param claim: this node's own claim.
    :param holder: the node whose claim came first, as ``node/incarnation``.
    :param certain: the run ended with an answer; otherwise its end is not known.
    """

    key: str
    phase: KeyPhase
    since: ids.Milliseconds
    claim: str = ""
    holder: str = ""
    hosted: ids.HostedId | None = None
    waiters: list[ids.HostedId] = []
    answer_stored: bool = False
    outcome_known: bool = True


class KnownCrash(msgspec.Struct, frozen=True):
    """A backend server that ended by itself, and when."""

    crash: messages.BackendCrash
    crashed_at: ids.Milliseconds

    @property
    def requests(self) -> tuple[int, ...]:
        """Fingerprints of what was under way there."""
        return self.crash.requests


class QuarantineEntry(msgspec.Struct, frozen=True):
    """Why a request is kept out.

    :param ends: backend servers that ended under it.
    :param at: when the latest of them did.
    """

    crash_count: int
    last_crash_at: ids.Milliseconds


class Trial(msgspec.Struct, frozen=True):
    """The one call of a request that is kept out which ran all the same, and when."""

    hosted: ids.HostedId
    started_at: ids.Milliseconds


class Quarantine(msgspec.Struct):
    """What is known of requests, by fingerprint, that end backend servers.

    :param ends: by node, incarnation, number and part.
    :param told: kept out by the word of other nodes or of the log.
    :param cleared: when each was last known to have run to an answer.
    :param kept_out: what follows from these.
    :param suspects: under way in more than one end, and not cleared since.
    :param digest: of ``kept_out``, to be compared with other nodes.
    :param runs: what ran to an answer here lately, the longest ago first.
    :param trials: the latest one here of each that is kept out.
    :param saving: by the number of the record that is being put on the log.
    :param unsaved: those whose record the log did not take.
    :param saved: those whose record it took from this node.
    """

    crashes: dict[str, KnownCrash] = {}
    reported: dict[int, QuarantineEntry] = {}
    cleared_at: dict[int, ids.Milliseconds] = {}
    quarantined: dict[int, QuarantineEntry] = {}
    suspects: set[int] = set()
    digest: int = 0
    crashes_to_gossip: gossip_queue.GossipQueue = msgspec.field(
        default_factory=gossip_queue.GossipQueue
    )
    updates_to_gossip: gossip_queue.GossipQueue = msgspec.field(
        default_factory=gossip_queue.GossipQueue
    )
    next_gossip_at: ids.Milliseconds = 0.0
    recent_runs: dict[int, None] = {}
    trials: dict[int, Trial] = {}
    pending_saves: dict[int, int] = {}
    unsaved: set[int] = set()
    saved: set[int] = set()


class Publication(msgspec.Struct):
    """A publication that this node appended and whose fate is not yet read."""

    request: str
    id: str
    team: ids.TeamName
    author: str
    base: ids.Revision
    since: ids.Milliseconds


class Revisions(msgspec.Struct):
    """The configuration in force.

    Invariant: ``revision`` never goes down.

    :param changed: revision at which each team's document last changed.
    :param seen: ids of publications already decided, newest last.
    :param based: the accepted set is complete up to ``revision``; a reader that
        begins in a log trimmed by retention is not, until it has a snapshot.
    :param undecided: publications read before that, decided after it.
    :param fetch_whole: a peer's difference did not lead to its digest.
    """

    revision: ids.Revision = ids.Revision(0)
    documents: dict[str, str] = {}
    changed: dict[str, int] = {}
    decided_ids: dict[str, bool] = {}
    pending: dict[str, Publication] = {}
    appends: dict[int, str] = {}
    history: list[messages.AuditRecord] = []
    complete: bool = False
    undecided: list[tuple[int, messages.PublishRecord]] = []
    snapshot_at: ids.Milliseconds = 0.0
    fetched_at: ids.Milliseconds = 0.0
    fetch_whole: bool = False


class State:
    """The whole state of one node.

    :param node: this node's id.
    :param decision_count: records kept in each ring of decisions.
    """

    def __init__(self, *, node: ids.NodeId, seed: int, decision_count: int) -> None:
        self.node = node
        self.random = random.Random(seed)
        self.incarnation = ids.Incarnation(0)
        self.zone = ""
        self.region = ""
        self.now: ids.Milliseconds = 0.0
        self.configuration = configuration.Configuration({})
        self.calls: dict[ids.CallId, Call] = {}
        self.attempts: dict[ids.AttemptId, Attempt] = {}
        self.hosted: dict[ids.HostedId, Hosted] = {}
        self.hosted_by_span: dict[ids.SpanId, ids.HostedId] = {}
        self.backend = Backend()
        self.upstreams: dict[ids.NodeId, Upstream] = {}
        # Told levels by service and kind; with no kind, the service's own.
        self.levels: dict[tuple[str, str], ServiceLevel] = {}
        # Whole requests by the age of the word that decided on them.
        self.level_age_counts = [0] * LEVEL_AGE_BUCKETS
        # The latest word on a service that nodes passed on which call it.
        self.relayed_levels: dict[ids.ServiceName, ReportedLevel] = {}
        # Mean occupancy that upstreams told, by service and whether of the own zone.
        self.occupancies: dict[tuple[ids.ServiceName, bool], Occupancy] = {}
        self.pools: dict[ids.ServiceName, Pool] = {}
        # The highest rank that no upstream took a moment ago, by service, kind and
        # depth: what ranks lower need not be tried upstream by upstream.
        self.refused_ranks: dict[tuple[str, str, int], int] = {}
        self.refused_since: ids.Milliseconds = 0.0
        self.budgets: dict[ids.ServiceName, allowance.Budget] = {}
        self.costs = Costs()
        self.traffic: dict[str, KindTraffic] = {}
        # Mean size of all calls that this node sends.
        self.mean_call_size = 0.0
        # Mean time of answered whole requests, by kind.
        self.mean_answer_ms: dict[str, ids.Milliseconds] = {}
        self.trends: dict[ids.ServiceName, Trend] = {}
        self.child_kinds: dict[str, dict[tuple[str, str], ids.Milliseconds]] = {}
        # Calls that wait for the first upstream of their service, and until when.
        self.waiting_calls: dict[ids.CallId, ids.Milliseconds] = {}
        self.started_at: ids.Milliseconds = 0.0
        # When the timer service last ran.
        self.last_tick_at: ids.Milliseconds = 0.0
        self.deadlines: list[tuple[ids.Milliseconds, int, int]] = []
        self.membership = Membership()
        self.streams: dict[str, Stream] = {}
        self.log = LogHistory()
        self.keys: dict[str, KeyEntry] = {}
        self.claim_keys: dict[str, str] = {}
        self.claim_batch: list[messages.ClaimRecord] = []
        self.appends: dict[int, list[str]] = {}
        self.next_claim: ids.Milliseconds = 0.0
        self.claim_gap: ids.Milliseconds = 0.0
        self.revisions = Revisions()
        self.quarantine = Quarantine()
        self.routed = False
        self.keyed_log = False
        self.lineage = False
        self.retry_bound: allowance.Bound | None = None
        self.routes: routes.RouteIndex | None = None
        self.routes_fetched_at: ids.Milliseconds = 0.0
        # The latest version that a member told of.
        self.highest_routes_version = 0
        self.freshness = Freshness()
        self.caps = Caps()
        self.cap_allocator = CapAllocator()
        self.cap_tolerance = tolerance.DEFAULT
        # Credit of each service of a split route, for the weighted turn.
        self.split_credits: dict[str, dict[str, float]] = {}
        self.decisions = decisions.DecisionLog(node=node, size=decision_count)
        self.timers: list[Timer] = []
        self.timer_phase: ids.Milliseconds = 0.0
        self.stopping = False
        self.departed = False
        self.stopped = False
        self.depart_at: ids.Milliseconds = 0.0
        self.stop_after: ids.Milliseconds = 0.0
        self.stop_by: ids.Milliseconds = math.inf
        self.seeds: tuple[str, ...] = ()
        self.counter = 0

    def __repr__(self) -> str:
        return (
            f"State(node={self.node!r}, calls={len(self.calls)},"
            f" hosted={len(self.hosted)}, revision={self.revisions.revision})"
        )

    @property
    def version(self) -> int:
        """Version of the routes in force, or revision of the documents."""
        if self.routes is not None:
            return self.routes.version
        return self.revisions.revision

    def next_number(self) -> int:
        """Return a number never given before in this incarnation."""
        self.counter += 1
        return self.counter

    def next_span(self) -> ids.SpanId:
        """Return a fresh span id."""
        return ids.SpanId(f"{self.random.getrandbits(64) | 1:016x}")

    def dump(self) -> bytes:
        """Return the state as JSON, for people and for comparing two replays."""
        parts = {
            name: value for name, value in vars(self).items() if name not in _NOT_DUMPED
        }
        parts["digest"] = self.configuration.digest
        parts["route_version"] = 0 if self.routes is None else self.routes.version
        return msgspec.json.encode(parts, enc_hook=_dumped)


class Timer(msgspec.Struct):
    """A part's subscription to the timer service."""

    name: str
    period: ids.Milliseconds
    due: ids.Milliseconds


_NOT_DUMPED = frozenset(
    {
        "random",
        "configuration",
        "decisions",
        "child_kinds",
        "costs",
        "refused_ranks",
        "routes",
    }
)


def _dumped(value: object) -> object:
    return gossip_queue.encoded(value)


Effects = list[effects.Effect]
"""The effects of one event, in the order in which they are to be carried out."""
