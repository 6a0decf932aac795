"""The state of one node. Only the reducer changes it."""

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
    events,
    gossip_queue,
    histograms,
    messages,
    pace,
    ranks,
    rate_limits,
    run_times,
    tolerance,
)


class Call(msgspec.Struct):
    """A call that this node accepted from a caller and has not yet answered.

    Invariant: ``tokens`` excludes the tokens held by ``attempt``.

    :param repeat: the call belongs to a request that is being repeated.
    :param parent: the hosted call on whose behalf the backend server calls.
    :param holder: the only node that may run the call, when its key is a ticket.
    :param unproven: sendings of the request of which nothing proves that they did not
        run and never will. The caller may be answered ``not-run`` only without any.
    :param workspace: workspace that the request belongs to; empty if none.
    :param took_cap_token: the call took a token of the workspace's cap.
    :param share_factor: factor of the workspace by which the root was ordered.
    :param tried_upstreams: upstreams that refused or lost this call.
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
    unproven: int = 0
    holder: str = ""
    fingerprint: ids.Fingerprint = ids.Fingerprint(0)
    workspace: ids.WorkspaceName = ids.WorkspaceName("")
    took_cap_token: bool = False
    share_factor: float = 1.0
    tried_upstreams: list[ids.NodeId] = []


class Attempt(msgspec.Struct):
    """One attempt to send a call to an upstream, until its answer or its loss."""

    id: ids.AttemptId
    call: ids.CallId
    node: ids.NodeId
    tokens: int
    sent_at: ids.Milliseconds = 0.0


class Deadline(enum.IntEnum):
    """What is due at a time in :attr:`State.deadlines`, and what its number means.

    CALL, of a call at its entry node; HOSTED, of a hosted call; TOKEN: a token of the
    rate limit for a queued hosted call; WAIT: a queued hosted call has waited for as
    long as it may; CAP_REQUEST: the request to the cap allocator that follows one;
    CAP_REPEAT: the repeat of one.
    """

    CALL = 0
    HOSTED = 1
    TOKEN = 2
    WAIT = 3
    CAP_REQUEST = 4
    CAP_REPEAT = 5


class HostedState(enum.Enum):
    """States of a call at its home node."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    STREAMING = "streaming"
    CHECKING = "checking"
    WAITING = "waiting"


class Evidence(enum.Enum):
    """What proves at a home node that a call did not run and never will."""

    NONE = "none"
    NOT_DISPATCHED = "not-dispatched"
    """It waits at this node, and is forgotten when it is refused."""

    NOT_WRITTEN = "not-written"
    """No connection to the backend server could be opened for it."""

    REJECTED = "rejected"
    """The backend server rejected it, in the answer to this sending."""


class Hosted(msgspec.Struct):
    """A call at its home node.

    Invariant: it occupies a slot exactly in the states CLAIMING, RUNNING and
    STREAMING. In CHECKING its connection broke, and its answer waits until it is
    known whether the backend server crashed.

    :param occupancy: share of the slots in use when the call was dispatched.
    :param instance: the backend server that the call was dispatched to.
    :param usual_started_at: time of :func:`.pace.usual_clock` at the dispatch.
    :param evidence: what proves that the call did not run and never will.
    :param orphaned: the entry node gave up, but the call must not be cancelled.
    :param child_failed: a call that the backend server made for this one failed, so
        its own failure is no evidence against the backend server.
    :param max_wait: its own limit of the time in the queue; 0 for the common one.
    :param has_long_limit: it may wait longer than the common limit.
    :param expected_wait: wait that was expected on arrival.
    :param service_ms: service time that was expected on arrival.
    :param start_by: when to start it to answer within its target; used only where kinds
        have their own limits.
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
    usual_started_at: ids.Milliseconds = 0.0
    instance: str = ""
    evidence: Evidence = Evidence.NOT_DISPATCHED
    orphaned: bool = False
    child_failed: bool = False
    decision: str = ""
    children: dict[str, int] = {}
    max_wait: ids.Milliseconds = 0.0
    has_long_limit: bool = False
    expected_wait: ids.Milliseconds = 0.0
    service_ms: ids.Milliseconds = 0.0
    start_by: ids.Milliseconds = 0.0


_HIGHEST_RANK = ranks.HIGHEST


class Window(msgspec.Struct):
    """Admission statistics of one control window.

    :param least_queue: minimum queue length in the window.
    :param target_queue: a queue at least this long for the whole window raises the
        level.
    :param shed_with_long_limit: calls shed that may wait longer than others.
    :param lowest_common: lowest rank of an arriving call that may not.
    """

    ranks: list[int] = []
    dispatched: int = 0
    shed: int = 0
    busy_ms: float = 0.0
    least_queue: int = 0
    target_queue: int = 2
    shed_with_long_limit: int = 0
    lowest_common: int = _HIGHEST_RANK


class ServiceTime(msgspec.Struct):
    """Observed service time of one kind at the backend server."""

    mean_ms: float
    measured_at: ids.Milliseconds


class Mean(msgspec.Struct):
    """A moving mean and its number of samples."""

    mean: float = 0.0
    count: int = 0


class Saturation(msgspec.Struct):
    """Service times of calls by how busy the backend server was when they started.

    :param unsaturated: mean in ms by kind, of calls started with free slots.
    :param saturated: ratio to the unsaturated mean of the kind, of calls started with
        nearly every slot in use.
    :param limited: the same ratio, of calls started with all but the reserved last
        slots in use.
    :param limited_until: the last slots are kept free until then.
    :param next_trial_at: earliest time of the next comparison, after a trial in which
        the free slots made no call faster.
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

    :param started_ms: Unix time of its start; 0 if not announced.
    """

    started_ms: int
    sequence: int


class WaitCounts(msgspec.Struct):
    """Waits of the calls of one kind since this node started.

    :param over_share: calls started after more than a quarter of their target.
    :param refused: calls refused on arrival, since they would have waited too long.
    :param expired: calls refused after they had waited for as long as they may.
    """

    started: int = 0
    waited_ms: ids.Milliseconds = 0.0
    over_share: int = 0
    refused: int = 0
    expired: int = 0


SlackEntry = tuple[ids.Milliseconds, int, ids.HostedId, ids.Milliseconds]
"""When to start a queued call, its number of arrival, its id and its service time."""


class QueueSlack(msgspec.Struct):
    """Load and waits where kinds have their own queueing time limits.

    :param load: slots that admitted calls take, by class and kind; a moving mean.
    :param arriving_ms: slot time of the calls admitted in the current window.
    :param order: queued calls by class, that with the least slack first.
    :param limited: number of queued calls with a limit of their own.
    :param long_limited: number of those that may wait longer than others.
    """

    load: dict[tuple[int, str], float] = {}
    arriving_ms: dict[tuple[int, str], float] = {}
    order: dict[int, list[SlackEntry]] = {}
    limited: int = 0
    long_limited: int = 0
    waits: dict[str, WaitCounts] = {}


class Backend(msgspec.Struct):
    """The backend server beside this node, and admission to it.

    Invariants: ``0 <= running``; the queue is sorted by (rank, arrival) and is
    only longer than zero while ``running >= limit``.

    :param queue: (rank, negative arrival number, hosted id), lowest first.
    :param started_ms: Unix time at which the present instance started; 0 if not
        announced.
    :param departed_instances: instances that withdrew or that a call found missing, by
        start time; later announcements of that start are outdated.
    :param replaced_instances: instances that another one replaced, with the latest
        announcement of each.
    :param check_pending: a check whether the backend server still listens is under way.
    :param broken_calls: calls that broke since the backend server last answered one.
    :param answered_at: when it last answered a call.
    :param crash_count: number of its crashes while this node ran.
    :param dispatch_count: calls dispatched to it while this node ran.
    :param limiter: applies the rate limit that it reports.
    :param rate_limited_count: calls shed for that limit while this node ran.
    :param logged_limit: the limit in the latest log line about it.
    :param limit_logged_at: when that line was written.
    :param pace_tracker: load and pace that it reports.
    :param slack: load where kinds have their own queueing time limits.
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
    dispatch_count: int = 0
    rate_limited_count: int = 0
    limiter: rate_limits.Limiter = msgspec.field(default_factory=rate_limits.Limiter)
    logged_limit: ids.RequestsPerSecond = rate_limits.NO_LIMIT
    limit_logged_at: ids.Milliseconds = 0.0
    pace_tracker: pace.Tracker = msgspec.field(default_factory=pace.Tracker)
    slack: QueueSlack = msgspec.field(default_factory=QueueSlack)


class Departures(msgspec.Struct):
    """The latest departures of backend servers from this node.

    :param starts: the starts that left, the latest one last; bounded.
    :param at: when the latest one left.
    :param is_unsaved: they changed in the current event.
    :param put_number: number of the pending put of their record; 0 if none is.
    :param retry_at: when the record is put again; infinite once it is saved.
    :param held: announcements that wait until earlier departures are known, in the
        order of their arrival.
    :param held_count: announcements that waited while this node ran.
    :param outdated_count: announcements that were ignored while this node ran.
    """

    starts: tuple[messages.DepartedStart, ...] = ()
    at: ids.Milliseconds = 0.0
    is_unsaved: bool = False
    put_number: int = 0
    retry_at: ids.Milliseconds = math.inf
    held: list[events.BackendAnnounced] = []
    held_count: int = 0
    outdated_count: int = 0


class ReportedLevel(msgspec.Struct, frozen=True, gc=False):
    """A reported level and when it was reported."""

    level: ids.Rank
    reported_at: ids.Milliseconds


LEVEL_AGE_BUCKETS = 7
"""Five bounded age ranges, one for older reports and one for no report."""

NO_REPORTED_LEVEL = ReportedLevel(level=ranks.LOWEST, reported_at=0.0)
"""Stands for a service that never reported a level."""


class ServiceLevel(msgspec.Struct):
    """The levels that the upstreams of a service reported lately.

    :param by_upstream: reported levels, the oldest first.
    :param sorted_levels: the same levels in ascending order.
    :param level: median of these; kept once all of them have expired.
    :param reported_at: when the latest was reported.
    :param requested_at: when reports were last requested.
    """

    by_upstream: dict[str, ReportedLevel]
    sorted_levels: list[int]
    level: ids.Rank = ranks.LOWEST
    reported_at: ids.Milliseconds = 0.0
    requested_at: ids.Milliseconds = 0.0
    due_number: int = 0


class Trend(msgspec.Struct):
    """How the level of a service changes over time.

    :param updated_at: when ``level`` was observed; ``slope`` is per ms, up to then.
    """

    updated_at: ids.Milliseconds
    level: ids.Rank
    slope: float = 0.0


class TreeCost(msgspec.Struct):
    """Slot time that a request of a kind needs of its bottleneck service."""

    service: ids.ServiceName
    slot_ms: float


class Fanout(msgspec.Struct):
    """How many calls a run of a kind makes.

    :param calls: by service and kind of the called.
    """

    runs: float = 0.0
    calls: dict[tuple[ids.ServiceName, ids.KindName], float] = {}


class Costs(msgspec.Struct):
    """Costs of kinds, as far as this node knows them.

    :param reported: reported by home nodes, for the kinds that this node sends.
    :param local: of kinds that run here, with the time of the calculation.
    :param root_importance: importance of the kinds of whole requests that arrive here.
    """

    reported: dict[str, TreeCost] = {}
    local: dict[str, tuple[ids.Milliseconds, TreeCost]] = {}
    fanouts: dict[str, Fanout] = {}
    root_importance: dict[str, int] = {}


class KindTraffic(msgspec.Struct):
    """Moving means over the latest calls of a kind that this node sent.

    :param elapsed: ms from sending to the answer.
    :param size: bytes of call and answer.
    """

    elapsed: ids.Milliseconds
    size: float


class Upstream(msgspec.Struct):
    """Statistics of an upstream that this node has called.

    :param outstanding: attempts of this node in flight there.
    :param sent_since_report: attempts sent since the last load report.
    :param load_reported_at: when its last load report arrived.
    :param consecutive_failures: calls lost there since its last answer.
    :param error_rate: share of its latest answers that were failures of its own.
    :param slowness: time of its answers over the mean of their kinds.
    :param slowness_measured_at: when ``slowness`` was last measured.
    :param status: what its backend server reported, as far as known.
    :param pace: latest pace that it reported; 0 if it reports none.
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
    status: messages.BackendStatus | None = None
    pace: int = 0
    pace_reported_at: ids.Milliseconds = 0.0


class Occupancy(msgspec.Struct):
    """Mean share of their limit that upstreams reported to be in use."""

    mean: float
    reported_at: ids.Milliseconds


class Pool(msgspec.Struct):
    """The healthy upstreams of a service, cached until something changes.

    :param same_zone: those in the zone of this node.
    :param version: of the membership from which the pool was built.
    :param valid_until: when a suspicion or an ejection among them next expires.
    """

    nodes: list[ids.NodeId]
    same_zone: list[ids.NodeId]
    version: int
    valid_until: ids.Milliseconds


class Probe(msgspec.Struct):
    """A ping whose acknowledgement is pending.

    :param timeout_base: when the timeout starts to count; later than ``sent_at`` if
        this process was paused meanwhile.
    :param indirect: a ping through other members has been requested.
    :param for_host: where to relay the acknowledgement, if the ping was requested by
        another member.
    """

    node: ids.NodeId
    timeout_base: ids.Milliseconds
    sent_at: ids.Milliseconds
    indirect: bool = False
    for_host: str = ""
    for_port: int = 0
    for_sequence: int = 0


class MemberOrder(msgspec.Struct):
    """The members that are not suspected, by :func:`.member_order.sort_key`.

    :param zone: those in the zone of this node, including this node.
    :param index: of this node in ``zone``.
    :param cap_sharers: number of members that did not leave, reachable or not.
    :param cap_allocators: the first members in a second order.
    :param version: of the membership from which the order was built.
    """

    first: ids.NodeId
    zone: list[ids.NodeId]
    index: int
    cap_sharers: int
    cap_allocators: list[ids.NodeId]
    version: int


class Freshness(msgspec.Struct):
    """Evidence that the route table is current; see :mod:`.freshness`.

    :param apply_ms: a confirmed table must be active within this time; 0 if operators
        set no bound.
    :param revoke_ms: a revoked API key must cease to work within this time; 0 if
        operators set no bound.
    :param verified_at: when the table in force was last verified to be the newest; 0 if
        never.
    :param read_at: when the log was last known to have no version that is later than
        the active one; 0 if never.
    :param queried_at: when a member was last queried.
    :param query_count: number of such queries.
    :param closed_logged: it has been logged that all API keys are refused.
    :param extra_read_pending: an extra read of the log is under way.
    :param extra_read_at: when the latest one was requested.
    :param next_read_at: earliest time of the next extra read.
    :param failed_reads: consecutive extra reads that gave no evidence.
    :param highest_log_version: highest version read from the log since it was last
        restored from a backup.
    """

    apply_ms: ids.Milliseconds = 0.0
    revoke_ms: ids.Milliseconds = 0.0
    verified_at: ids.Milliseconds = 0.0
    read_at: ids.Milliseconds = 0.0
    queried_at: ids.Milliseconds = 0.0
    query_count: int = 0
    closed_logged: bool = False
    extra_read_pending: bool = False
    extra_read_at: ids.Milliseconds = 0.0
    next_read_at: ids.Milliseconds = 0.0
    failed_reads: int = 0
    highest_log_version: int = 0


class Bucket(msgspec.Struct):
    """Token bucket of a workspace at this node; see :mod:`.cap_buckets`.

    :param refilled_at: up to when tokens have been added.
    :param rate_milli: leased rate in thousandths of a token a second.
    :param lease_until: when the lease ends; 0 if there never was one.
    :param cap_rate: rate of the cap under which the lease counts.
    :param short: the allocator reported that it had no token left.
    :param short_reported_at: when the allocator last reported whether it was short.
    :param overflowed: leased tokens that found the bucket full.
    :param demand: requests a second received here.
    :param admitted_rate: requests a second admitted here.
    :param request_count: requests since ``counted_from``.
    :param admitted_count: requests admitted since then.
    :param last_request_at: when the latest request arrived.
    :param promised_token_at: when the token becomes available that the retry delay of
        the latest refused caller refers to.
    """

    refilled_at: ids.Milliseconds
    counted_from: ids.Milliseconds
    tokens: float = 0.0
    rate_milli: int = 0
    lease_until: ids.Milliseconds = 0.0
    cap_rate: float = 0.0
    short: bool = False
    short_reported_at: ids.Milliseconds = 0.0
    overflowed: float = 0.0
    demand: float = 0.0
    admitted_rate: float = 0.0
    request_count: int = 0
    admitted_count: int = 0
    last_request_at: ids.Milliseconds = 0.0
    promised_token_at: ids.Milliseconds = 0.0


class WorkspaceUsage(msgspec.Struct):
    """Whole requests of a workspace at this node since its start.

    :param refused: requests refused because of the cap.
    :param refused_unanswered: those of them without a report of the allocator that no
        tokens were left; the workspace may have been below its cap.
    :param refused: because of its cap.
    :param shed_for_share: shed while the workspace had a share factor above 1.
    """

    admitted: int = 0
    refused: int = 0
    refused_unanswered: int = 0
    shed_for_share: int = 0


OTHER_WORKSPACES = "(others)"
"""Label of the counters shared by the workspaces without counters of their own. It is
no valid name of a workspace, so it can't collide with one."""


class PendingCapRequest(msgspec.Struct):
    """A request to the cap allocator that is not answered yet.

    :param sent_at: when it was first sent.
    :param repeats_sent_at: when it was sent again.
    :param repeat_at: when it is repeated.
    """

    message: messages.CapRequest
    sent_at: ids.Milliseconds
    repeats_sent_at: list[ids.Milliseconds] = []
    repeat_at: ids.Milliseconds = 0.0


class CapReport(msgspec.Struct):
    """Counts at the latest log line about caps."""

    at: ids.Milliseconds = 0.0
    requests_answered: int = 0
    demands_answered: int = 0
    refused_unanswered: int = 0


class Caps(msgspec.Struct):
    """Use of workspaces' caps at this node; see :mod:`.caps`.

    :param allocator: the cap allocator that was last asked for leases.
    :param stamp: latest stamp of that allocator; 0 before its first answer.
    :param request_number: of the latest request for leases. Numbers of a later start
        of the node are higher.
    :param pending_requests: unanswered requests, by number.
    :param requested_at: when the latest request was sent.
    :param due_number: request after which another one is scheduled.
    :param renewed_at: when leases of all workspaces were last requested.
    :param unanswered_since: when the oldest unanswered request to the allocator was
        sent; 0 if the allocator has answered since.
    :param handed_over: this node was an allocator and handed over as it stops.
    :param delegated_to: allocator to which this node has delegated its share until
        ``delegated_until``.
    :param skipped_nodes: nodes that are not asked, and until when.
    :param waiting_calls: calls that wait for a token, and until when.
    :param usage: by workspace, for the metrics; bounded.
    :param answered_at: when the allocator last answered; 0 before.
    :param round_trips: times from requests to their answers.
    :param round_trip_ms: exponentially weighted mean of the times from the sending
        that was answered.
    :param requests_sent: to other nodes, including repeats.
    :param allocator_changes: times that another node was chosen as the allocator.
    :param reported: counts at the latest log line about them.
    :param checked_at: when timeouts were last checked; 0 before.
    """

    buckets: dict[str, Bucket] = {}
    allocator: ids.NodeId = ids.NodeId("")
    stamp: ids.Milliseconds = 0.0
    request_number: int = 0
    pending_requests: dict[int, PendingCapRequest] = {}
    requested_at: ids.Milliseconds = 0.0
    due_number: int = 0
    renewed_at: ids.Milliseconds = 0.0
    unanswered_since: ids.Milliseconds = 0.0
    handed_over: bool = False
    delegated_to: ids.NodeId = ids.NodeId("")
    delegated_until: ids.Milliseconds = 0.0
    skipped_nodes: dict[ids.NodeId, ids.Milliseconds] = {}
    waiting_calls: dict[ids.CallId, ids.Milliseconds] = {}
    usage: dict[str, WorkspaceUsage] = {}
    answered_at: ids.Milliseconds = 0.0
    round_trips: histograms.Histogram = msgspec.field(
        default_factory=histograms.Histogram
    )
    round_trip_ms: float = 0.0
    requests_sent: int = 0
    allocator_changes: int = 0
    reported: CapReport = msgspec.field(default_factory=CapReport)
    checked_at: ids.Milliseconds = 0.0


class WorkspaceUse(msgspec.Struct):
    """Use of the local backend server by a workspace; see :mod:`.workspace_shares`.

    :param recent_ms: slot time, decayed over about 2 s.
    :param variance: sum of the squared slot times of these calls.
    :param usual: mean share of the slot time.
    :param factor: exponent by which entry nodes lower the hash of its roots.
    """

    recent_ms: float = 0.0
    variance: float = 0.0
    usual: float = 0.0
    factor: float = 1.0


class WorkspaceShares(msgspec.Struct):
    """Use of the local backend server by workspaces.

    :param uses: by workspace; bounded.
    :param learned: weight of the measurements in the usual shares, 0 at the start.
    :param reported: the factors that load reports carry, the largest first.
    """

    uses: dict[str, WorkspaceUse] = {}
    learned: float = 0.0
    reported: messages.WorkspaceFactors = ()


class ReportedFactors(msgspec.Struct):
    """Factors of workspaces that home nodes of a service reported."""

    factors: dict[str, float] = {}
    reported_at: ids.Milliseconds = 0.0


class CapGrant(msgspec.Struct, frozen=True):
    """What the allocator knows of one node's use of a cap.

    :param demand_milli: thousandths of a request a second received there.
    :param rate_milli: leased rate in thousandths of a request a second.
    """

    demand_milli: int
    rate_milli: int
    expires_at: ids.Milliseconds


class CapGrants(msgspec.Struct):
    """What the allocator knows of all nodes' use of a cap, with running totals.

    Invariant: the totals are those of ``by_node``, whose order is that of expiry.

    :param demand_milli: sum of the demand.
    :param rate_milli: sum of the leased rates.
    :param leased_count: nodes with a leased rate.
    """

    by_node: dict[ids.NodeId, CapGrant] = {}
    demand_milli: int = 0
    rate_milli: int = 0
    leased_count: int = 0


class CapWindow(msgspec.Struct):
    """Requests admitted under a cap in the current window, by time slice.

    :param total: what the cap allowed in a window at the last update.
    :param slices: single tokens granted.
    :param leased: tokens that accrue by leases, some of them in the future.
    :param pruned_at: slice in which older ones were last dropped.
    """

    total: float = 0.0
    slices: dict[int, float] = {}
    leased: dict[int, float] = {}
    pruned_at: int = 0


class CapAllocator(msgspec.Struct):
    """Leases that this node grants as cap allocator; see :mod:`.cap_allocator`.

    :param delegations: nodes that delegated their share to it, and until when.
    :param grants: by workspace.
    :param delegated_until: no delegation expires before this time.
    :param windows: by workspace.
    :param delegated_share: share of every cap that is delegated to it at present.
    :param delegated_shares: share that was delegated to it, by time slice.
    :param recent_answers: latest answers to each node, by the request's number.
    :param requests_answered: requests of other nodes and of its own, without repeats.
    :param demands_answered: workspaces named in them.
    """

    delegations: dict[ids.NodeId, ids.Milliseconds] = {}
    grants: dict[str, CapGrants] = {}
    windows: dict[str, CapWindow] = {}
    delegated_until: ids.Milliseconds = math.inf
    delegated_share: float = 0.0
    delegated_shares: dict[int, float] = {}
    recent_answers: dict[ids.NodeId, dict[int, messages.CapAnswer]] = {}
    requests_answered: int = 0
    demands_answered: int = 0


class Membership(msgspec.Struct):
    """The members as this node knows them.

    :param by_service: live members offering a service.
    :param version: incremented by each change that affects which upstreams are healthy.
    :param pending_updates: updates that are still to be gossiped.
    :param doubted: members that this node's probes suspect although they answered calls
        lately.
    :param uncontacted: nodes that joined by the log and sent no datagram since, with
        the number of times each was contacted.
    :param join_put_number: number of the pending put of this node's join record; 0 once
        it is acknowledged.
    :param join_rewrites: consecutive base reads that lacked this node's join record.
    :param members_listed: the members on the log have been read.
    :param synced: a member has sent all the members that it knows.
    :param last_datagram_at: when the last datagram of a member arrived.
    :param departed: members that left by a planned stop, by incarnation.
    :param stopping: members that have begun a planned stop and not departed.
    :param order_cache: derived from the members; valid for its own version only.
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
    join_rewrites: int = 0
    members_listed: bool = False
    synced: bool = False
    last_datagram_at: ids.Milliseconds = 0.0
    departed: dict[ids.NodeId, ids.Incarnation] = {}
    stopping: set[ids.NodeId] = set()
    order_cache: MemberOrder | None = None


class LogHistory(msgspec.Struct):
    """The log's epochs, as far as this node knows them; see :mod:`.log_epochs`.

    Invariant: ``highest`` never goes down, and ``epoch`` is no higher.

    :param epoch: epoch in which the log answers this node; 0 before it reported one.
    :param highest: highest epoch that the log or a member reported.
    :param lower_epoch_answers: consecutive answers with a lower epoch.
    :param read_without_epoch: the log was read while it reported no epoch.
    :param restores: restores of the log from a backup while this node ran.
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


class SkippedCount(msgspec.Struct):
    """Entries of a stream that were not used.

    :param total: number of them since the start.
    :param second: of the latest log lines about them.
    :param lines: log lines in that second.
    """

    total: int = 0
    second: int = 0
    lines: int = 0


class Stream(msgspec.Struct):
    """The position of this node in a stream of the log.

    :param keyed: the log keeps the newest record of each key of the stream, so reading
        starts with a base read and not with the oldest record.
    :param base_read: the newest record of each key has been read.
    :param followed: records are read as they arrive.
    :param outdated: the read under way began too early to include the records that are
        waited for.
    :param long_poll_ms: how long the log holds a read open for new records; 0 leaves
        that to the settings.
    :param timeout_ms: time-out of a read beyond that; 0 for the default one.
    :param requested_at: when the latest read that follows the stream was requested.
    :param current_as_of: when the last successful read was answered.
    :param covered_from: keys issued before this may have been claimed in records that
        this node missed.
    :param generation: number of restarts of reading; answers to earlier reads are
        discarded.
    :param consecutive_missing: consecutive reads whose offset the log did not hold.
    :param missing_total: number of such reads since the start.
    :param consecutive_unapplied: consecutive answers that could not be applied.
    :param incomplete: the last base read ended early, and counts as failed.
    """

    name: str
    keyed: bool = False
    base_read: bool = False
    followed: bool = True
    outdated: bool = False
    long_poll_ms: int = 0
    timeout_ms: int = 0
    offset: int = 0
    read_pending: bool = False
    failures: int = 0
    retry_at: ids.Milliseconds = 0.0
    requested_at: ids.Milliseconds = 0.0
    due_number: int = 0
    current_as_of: ids.Milliseconds = -1.0
    caught_up: bool = False
    covered_from: ids.Milliseconds = 0.0
    generation: int = 0
    consecutive_missing: int = 0
    missing_total: int = 0
    consecutive_unapplied: int = 0
    incomplete: bool = False


class KeyPhase(enum.Enum):
    """Phases of a key at this node."""

    CLAIMING = "claiming"
    OURS_IDLE = "ours-idle"
    OURS_RUNNING = "ours-running"
    OURS_DONE = "ours-done"
    FOREIGN = "foreign"


class KeyEntry(msgspec.Struct):
    """One key of an unrepeatable call at its home node.

    Invariant: DispatchCall is only emitted on the change to OURS_RUNNING, and no
    change leads from OURS_DONE to another phase. OURS_RUNNING is only reverted by a
    failure before one byte was written to the backend server.

    :param claim: this node's own claim.
    :param holder: the node whose claim came first, as ``node/incarnation``.
    :param answer_stored: the answer is stored for repeats of the key.
    :param outcome_known: the run ended with an answer; otherwise its outcome is
        unknown.
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
    """A crash of a backend server and when it happened."""

    crash: messages.BackendCrash
    crashed_at: ids.Milliseconds

    @property
    def requests(self) -> tuple[int, ...]:
        """Fingerprints of the requests that were running there."""
        return self.crash.requests


class QuarantineEntry(msgspec.Struct, frozen=True):
    """Why a request is quarantined.

    :param crash_count: backend servers that crashed while running it.
    :param last_crash_at: when the latest of them crashed.
    """

    crash_count: int
    last_crash_at: ids.Milliseconds


class Trial(msgspec.Struct, frozen=True):
    """The one call of a quarantined request that was run as a trial."""

    hosted: ids.HostedId
    started_at: ids.Milliseconds


class Quarantine(msgspec.Struct):
    """Requests, by fingerprint, that may crash backend servers.

    :param crashes: by node, incarnation, number and part.
    :param reported: entries reported by other nodes or read from the log.
    :param cleared_at: when each request was last known to have been answered.
    :param quarantined: derived from the fields above.
    :param suspects: requests that ran in several crashes and were not cleared since.
    :param digest: of ``quarantined``, for comparison with other nodes.
    :param recent_runs: requests that were answered here lately, the oldest first.
    :param trials: the latest trial here of each quarantined request.
    :param pending_saves: requests by the number of the write of their record.
    :param unsaved: requests whose record the log did not accept.
    :param saved: requests whose record the log accepted from this node.
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
    """A publication that this node appended and has not yet read back."""

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
    :param decided_ids: ids of publications already decided, newest last.
    :param complete: the accepted set is complete up to ``revision``. It is not for a
        reader that starts in a log trimmed by retention, until it has a snapshot.
    :param undecided: publications read while the set was incomplete, decided later.
    :param fetch_whole: a difference fetched from a peer did not lead to its digest.
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
        self.departures = Departures()
        self.upstreams: dict[ids.NodeId, Upstream] = {}
        # Reported levels by service and kind; an empty kind is the service's own.
        self.levels: dict[tuple[str, str], ServiceLevel] = {}
        # Number of whole requests by the age of the reported level they were judged by.
        self.level_age_counts = [0] * LEVEL_AGE_BUCKETS
        # Latest level of a service as relayed by nodes that call it.
        self.relayed_levels: dict[ids.ServiceName, ReportedLevel] = {}
        self.workspace_shares = WorkspaceShares()
        # Share factors of workspaces, by bottleneck service.
        self.reported_factors: dict[ids.ServiceName, ReportedFactors] = {}
        # Mean reported occupancy by service and by whether in the zone of this node.
        self.occupancies: dict[tuple[ids.ServiceName, bool], Occupancy] = {}
        self.pools: dict[ids.ServiceName, Pool] = {}
        # Highest rank for which no upstream was found lately, by service, kind and
        # depth. Calls of lower rank are refused without trying each upstream.
        self.refused_ranks: dict[tuple[str, str, int], int] = {}
        self.refused_since: ids.Milliseconds = 0.0
        self.budgets: dict[ids.ServiceName, allowance.Budget] = {}
        self.costs = Costs()
        self.traffic: dict[str, KindTraffic] = {}
        # In bytes, over all calls that this node sends.
        self.mean_call_size = 0.0
        # Mean time of answered whole requests, by kind.
        self.mean_answer_ms: dict[str, ids.Milliseconds] = {}
        # Of the calls of this backend server, and of the requests of callers.
        self.hosted_times = run_times.RunTimes()
        self.relayed_times = run_times.RunTimes()
        self.trends: dict[ids.ServiceName, Trend] = {}
        self.child_kinds: dict[str, dict[tuple[str, str], ids.Milliseconds]] = {}
        # Calls that wait for the first upstream of their service, with their timeouts.
        self.waiting_calls: dict[ids.CallId, ids.Milliseconds] = {}
        self.started_at: ids.Milliseconds = 0.0
        self.last_tick_at: ids.Milliseconds = 0.0
        self.deadlines: list[tuple[ids.Milliseconds, Deadline, int]] = []
        self.membership = Membership()
        self.streams: dict[str, Stream] = {}
        self.skipped_entries: dict[str, SkippedCount] = {}
        self.log = LogHistory()
        self.keys: dict[str, KeyEntry] = {}
        self.claim_keys: dict[str, str] = {}
        self.claim_batch: list[messages.ClaimRecord] = []
        self.appends: dict[int, list[str]] = {}
        self.append_since: ids.Milliseconds = 0.0
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
        # Highest version that a member reported, and when it did so first.
        self.highest_routes_version = 0
        self.routes_announced_at: ids.Milliseconds = 0.0
        self.freshness = Freshness()
        self.caps = Caps()
        self.cap_allocator = CapAllocator()
        self.cap_tolerance = tolerance.DEFAULT
        # Credit of each service of a split route, for weighted round robin.
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
        """Return a number that is unique in this incarnation."""
        self.counter += 1
        return self.counter

    def next_span(self) -> ids.SpanId:
        """Return a new span id."""
        return ids.SpanId(f"{self.random.getrandbits(64) | 1:016x}")

    def dump(self) -> bytes:
        """Return the state as JSON, for debugging and for comparing two replays."""
        parts = {
            name: value for name, value in vars(self).items() if name not in _NOT_DUMPED
        }
        parts["digest"] = self.configuration.digest
        parts["route_version"] = 0 if self.routes is None else self.routes.version
        return msgspec.json.encode(parts, enc_hook=_dumped)


class Timer(msgspec.Struct):
    """A subscription to the timer service."""

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
"""The effects of one event, in the order of execution."""
