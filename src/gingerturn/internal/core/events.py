"""Events: everything that can happen to a node, as data.

Every event carries its time, and :class:`Started` seeds all randomness, so replaying
a recorded trace of events gives the same effects byte for byte.
"""

import msgspec

from gingerturn import log_service, routes
from gingerturn.internal import ids
from gingerturn.internal.core import allowance, messages, tolerance


class Event(msgspec.Struct, frozen=True, tag=True, array_like=True, gc=False):
    """Base of all events.

    :param now: time of the event.
    """

    now: ids.Milliseconds


class Started(Event, frozen=True):
    """The node starts.

    :param seed: seeds every random choice of this incarnation.
    :param routed: callers are served by the route table instead of naming services.
    :param keyed_log: the log keeps the newest record of each key.
    :param retry_bound: bound on the retries of each service, summed over all nodes.
    :param lineage: calls are linked to their parents by request ids.
    :param revoke_ms: a revoked API key must cease to work within this time; 0 for no
        bound.
    :param apply_ms: a confirmed route table must be active within this time; 0 for no
        bound.
    :param cap_tolerance: by how much the caps of workspaces may be exceeded.
    """

    seed: int
    node: ids.NodeId
    incarnation: ids.Incarnation
    host: str
    peers_port: int
    gossip_port: int
    zone: str
    region: str
    decisions: int
    seeds: tuple[str, ...] = ()
    routed: bool = False
    keyed_log: bool = False
    retry_bound: allowance.Bound | None = None
    lineage: bool = False
    revoke_ms: ids.Milliseconds = 0.0
    cap_tolerance: tolerance.Tolerance = tolerance.DEFAULT
    apply_ms: ids.Milliseconds = 0.0


class Tick(Event, frozen=True):
    """The timer service ticks; subscriptions that are due run."""


class CallArrived(Event, frozen=True):
    """A caller's request has been read, completely or up to the buffer's size.

    :param replayable: the whole body is buffered, so it can be sent again.
    :param body_digest: digest of the buffered body; distinguishes derived keys.
    :param timeout_ms: the caller's own deadline, 0 if it names none.
    :param holder: the only node that may run the call, as ``node/incarnation``, when
        its key is a ticket.
    :param sending: 1 if the caller states that it sends this request for the first
        time, higher for a repeat, 0 if it states neither.
    :param fingerprint: equal for every sending of this request; 0 if not known.
    :param key_digest: of the API key that came with it; empty without one.
    """

    call: ids.CallId
    service: ids.ServiceName
    method: str
    path: str
    trace: str
    span: ids.SpanId
    key: str = ""
    timeout_ms: float = 0
    replayable: bool = True
    body_digest: str = ""
    sending: int = 0
    holder: str = ""
    fingerprint: ids.Fingerprint = ids.Fingerprint(0)
    key_digest: str = ""


class CallerGone(Event, frozen=True):
    """The caller closed its connection before its answer was complete."""

    call: ids.CallId


class AttemptAnswered(Event, frozen=True):
    """An upstream's answer has arrived, or its head if the answer is long.

    :param child_failed: a call that the backend server made for it failed, so its own
        failure is no evidence against that upstream, and another one would fail too.
    :param size: buffered bytes of the call and its answer; 0 if not known.
    :param whole: ``False`` if the answer is streamed.
    """

    attempt: ids.AttemptId
    status: int
    tokens: int
    report: messages.LoadReport
    child_failed: bool = False
    size: int = 0
    whole: bool = True


class AttemptRefused(Event, frozen=True):
    """The home node refused the call without dispatching it, unless the outcome says
    that this is not known.
    """

    attempt: ids.AttemptId
    refusal: messages.Refusal
    tokens: int
    report: messages.LoadReport


class AttemptLost(Event, frozen=True):
    """The connection to the home node broke before the answer.

    :param reached: ``False`` only when it is certain that nothing of the call
        was written to the connection.
    """

    attempt: ids.AttemptId
    reached: bool


class AttemptsSilent(Event, frozen=True):
    """The connection that carried some attempts fell silent before their answers, and
    was replaced.

    The answers may still arrive, and the upstream may be well.
    """

    attempts: tuple[ids.AttemptId, ...]


class AnswerRelayed(Event, frozen=True):
    """The last byte of an upstream's streamed answer was relayed to its caller.

    :param elapsed_ms: time since the request arrived.
    """

    kind: ids.KindName
    elapsed_ms: ids.Milliseconds


class OpenReceived(Event, frozen=True):
    """A call for this node's backend server arrives from an entry node."""

    hosted: ids.HostedId
    sender: ids.NodeId
    metadata: messages.CallMetadata


class LevelRequested(Event, frozen=True, tag="LevelAsked"):
    """A peer requests the present level of this node for calls of a kind.

    :param request: number that pairs the answer with the request.
    """

    request: int
    kind: ids.KindName


class LevelReported(Event, frozen=True, tag="LevelTold"):
    """A peer's answer to a level request."""

    node: ids.NodeId
    kind: ids.KindName
    report: messages.LoadReport


class CancelReceived(Event, frozen=True):
    """The entry node gave up on a call, or its connection broke.

    :param body_whole: the whole body of the call had arrived.
    """

    hosted: ids.HostedId
    body_whole: bool = True


class BackendAnswered(Event, frozen=True):
    """The backend server answered.

    :param whole: the answer is complete; otherwise its body is being streamed and
        :class:`BackendFinished` will follow.
    :param executed: ``False`` when it states that it did not run the request.
    :param load: the load that its answer reports, if it does.
    """

    hosted: ids.HostedId
    status: int
    whole: bool = True
    executed: bool = True
    load: messages.BackendLoad | None = None


class UnprovenRefusal(Event, frozen=True):
    """The backend server's status tells the caller of an unrepeatable request that it
    did not run, but nothing in the answer proves that."""

    hosted: ids.HostedId
    status: int


class BackendReported(Event, frozen=True):
    """The head of an answer reports the state of the backend server.

    :param rate_limit: requests a second that it accepts; negative without a limit.
    :param leaving: it takes no new requests.
    """

    hosted: ids.HostedId
    rate_limit: float = -1.0
    leaving: bool = False


class BackendFinished(Event, frozen=True):
    """The streaming of a long answer ended."""

    hosted: ids.HostedId


class BackendFailed(Event, frozen=True):
    """The exchange with the backend server failed.

    :param dispatched: ``False`` only when not one byte was written to it.
    """

    hosted: ids.HostedId
    dispatched: bool


class BackendChecked(Event, frozen=True):
    """A new connection to the backend server was tried after one broke under a call.

    :param refused: nothing listens there any more: the backend server has crashed.
    """

    refused: bool


class BackendAnnounced(Event, frozen=True):
    """The backend server beside this node announces itself, or renews its announcement.

    :param instance: id of this start of the backend server; empty if not announced.
    :param sequence: increases with each announcement of one instance.
    :param started_ms: Unix time of this start; 0 if not announced.
    """

    service: ids.ServiceName
    host: str
    port: int
    slots: int
    connections: int
    cold: bool = False
    load: int = -1
    ttl_ms: float = 10_000
    instance: str = ""
    sequence: int = 0
    started_ms: int = 0


class BackendWithdrawn(Event, frozen=True):
    """The backend server is leaving: it drains and takes no new work.

    :param instance: which one leaves; empty for whichever runs there.
    :param started_ms: Unix time of the start that leaves; 0 if not announced.
    """

    instance: str = ""
    started_ms: int = 0


class LogRead(Event, frozen=True):
    """Records of a stream were read.

    :param oldest: the oldest offset that the log still holds.
    :param end: the offset after the newest record at the time of the read.
    :param requested_at: when the read began; 0 if not known.
    :param held_open_ms: minimum time for which the log held the read open without new
        records.
    :param extra: the read was made in addition to those that follow the stream.
    :param missing: the log does not hold the requested offset.
    :param generation: as in the effect that requested the read.
    :param epoch: of the log that answered.
    """

    stream: str
    first: int
    records: tuple[bytes, ...]
    oldest: int
    end: int
    requested_at: ids.Milliseconds = 0.0
    held_open_ms: ids.Milliseconds = 0.0
    extra: bool = False
    missing: bool = False
    generation: int = 0
    epoch: ids.LogEpoch = ids.LogEpoch(0)


class NewestRead(Event, frozen=True):
    """The newest record of each key of a stream was read.

    :param end: the offset at which to continue reading.
    :param requested_at: when the read began; 0 if not known.
    :param generation: as in the effect that requested the read.
    :param epoch: of the log that answered.
    :param complete: whether it includes each key; not if reading ended early.
    """

    stream: str
    records: tuple[bytes, ...]
    end: int
    requested_at: ids.Milliseconds = 0.0
    generation: int = 0
    epoch: ids.LogEpoch = ids.LogEpoch(0)
    complete: bool = True


class EntriesSkipped(Event, frozen=True):
    """A read found entries of a stream that cannot be used."""

    stream: str
    skipped: log_service.SkippedEntries


class PutDone(Event, frozen=True):
    """The log acknowledged a record under a key.

    :param epoch: of the log that accepted it.
    """

    put: int
    epoch: ids.LogEpoch = ids.LogEpoch(0)


class PutFailed(Event, frozen=True):
    """A record under a key was not acknowledged; it may have taken effect.

    :param epoch: of the log that refused it, if one did.
    """

    put: int
    epoch: ids.LogEpoch = ids.LogEpoch(0)


class LogReadFailed(Event, frozen=True):
    """A stream could not be read.

    :param extra: as in :class:`LogRead`.
    :param generation: as in the effect that requested the read.
    :param epoch: of the log that refused it, if one did.
    :param unapplied: it was answered, and the answer could not be applied.
    """

    stream: str
    extra: bool = False
    generation: int = 0
    epoch: ids.LogEpoch = ids.LogEpoch(0)
    unapplied: bool = False


class AppendDone(Event, frozen=True):
    """The log acknowledged an append.

    :param epoch: of the log that accepted it.
    """

    append: int
    offset: int
    epoch: ids.LogEpoch = ids.LogEpoch(0)


class AppendFailed(Event, frozen=True):
    """An append was not acknowledged.

    :param certain: it is certain that nothing was appended.
    :param epoch: of the log that refused it, if one did.
    :param unapplied: an event with its outcome could not be applied.
    """

    append: int
    certain: bool
    epoch: ids.LogEpoch = ids.LogEpoch(0)
    unapplied: bool = False


class DatagramReceived(Event, frozen=True):
    """An authenticated membership message arrived."""

    sender: ids.NodeId
    host: str
    port: int
    message: messages.Gossip


class PublishRequested(Event, frozen=True):
    """An operator publishes a team's document at this node."""

    request: str
    team: ids.TeamName
    author: str
    base: ids.Revision
    text: str


class RequestCleared(Event, frozen=True):
    """An operator clears a quarantined request.

    :param request: its fingerprint.
    """

    request: ids.Fingerprint
    author: str


class SnapshotReceived(Event, frozen=True):
    """A peer sent its configuration in force."""

    snapshot: messages.ConfigSnapshot


class RoutesReceived(Event, frozen=True):
    """A peer sent its route table in force.

    :param source: the peer; empty if not known.
    """

    table: routes.RouteTable
    source: ids.NodeId = ids.NodeId("")


class SettingsChanged(Event, frozen=True):
    """The settings were reloaded.

    :param retry_bound: as in :class:`Started`.
    """

    retry_bound: allowance.Bound | None


class StopRequested(Event, frozen=True):
    """A planned stop of this node begins.

    :param grace_ms: the process is ended after this time, even with calls in flight; 0
        if not known.
    """

    grace_ms: float = 0.0


AnyEvent = (
    Started
    | Tick
    | CallArrived
    | CallerGone
    | AttemptAnswered
    | AttemptRefused
    | AttemptLost
    | AttemptsSilent
    | AnswerRelayed
    | OpenReceived
    | LevelRequested
    | LevelReported
    | CancelReceived
    | BackendReported
    | BackendAnswered
    | UnprovenRefusal
    | BackendFinished
    | BackendFailed
    | BackendChecked
    | BackendAnnounced
    | BackendWithdrawn
    | LogRead
    | NewestRead
    | EntriesSkipped
    | PutDone
    | PutFailed
    | RoutesReceived
    | SettingsChanged
    | LogReadFailed
    | AppendDone
    | AppendFailed
    | DatagramReceived
    | PublishRequested
    | RequestCleared
    | SnapshotReceived
    | StopRequested
)
