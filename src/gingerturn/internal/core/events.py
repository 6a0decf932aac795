"""Everything that can happen to a node, as data.

Time is in every event and the only randomness is the seed of :class:`Started`,
so a recorded trace of events gives the same effects byte for byte.
"""

import msgspec

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import allowance, messages, tolerance


class Event(msgspec.Struct, frozen=True, tag=True, array_like=True, gc=False):
    """Base of all events.

    :param now: the time at which it happened.
    """

    now: ids.Milliseconds


class Started(Event, frozen=True):
    """The node starts.

    :param seed: seeds every random choice of this incarnation.
    :param routed: callers are served by the route table instead of naming services.
    :param keyed_log: the log keeps the newest record of each key.
    :param retry_bound: on the retries of each service by all nodes together.
    :param lineage: calls are tied to their parents by the ids of requests.
    :param revoke_ms: within this time an API key that was taken away must cease to
        work; 0 for no bound.
    :param cap_tolerance: by how much the caps of workspaces may be passed.
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


class Tick(Event, frozen=True):
    """The timer service ticks; parts with a due subscription run."""


class CallArrived(Event, frozen=True):
    """A caller's request has been read, whole or up to the buffer's size.

    :param replayable: the body is held whole, so that it can be sent again.
    :param body_digest: digest of the held body; tells derived keys apart.
    :param timeout_ms: the caller's own deadline, 0 when it names none.
    :param holder: the node that alone may run the call, as ``node/incarnation``, when
        its key is a ticket.
    :param sending: 1 when the caller says that it sends this request for the first
        time, higher for a repeat, 0 when it says nothing.
    :param fingerprint: what is the same whenever this request is sent; 0 if not known.
    :param key_digest: of the API key that came with it; empty where none did.
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
    """The caller closed its connection before its answer was whole."""

    call: ids.CallId


class AttemptAnswered(Event, frozen=True):
    """An upstream's answer is held whole, or its head when it is long.

    :param child_failed: a call that the backend server made for it failed, so its own
        failure tells nothing of that upstream and another one would fail as well.
    :param size: bytes of the call and its answer that are held; 0 if not known.
    """

    attempt: ids.AttemptId
    status: int
    tokens: int
    report: messages.LoadReport
    child_failed: bool = False
    size: int = 0


class AttemptRefused(Event, frozen=True):
    """The home node refused; nothing was handed to its backend server, unless
    the outcome says that this is not known.
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


class OpenReceived(Event, frozen=True):
    """A call for this node's backend server arrives from an entry node."""

    hosted: ids.HostedId
    sender: ids.NodeId
    metadata: messages.CallMetadata


class LevelRequested(Event, frozen=True, tag="LevelAsked"):
    """A peer asks what this node sheds at present, for calls of a kind.

    :param question: number by which the shell pairs the answer with it.
    """

    request: int
    kind: ids.KindName


class LevelReported(Event, frozen=True, tag="LevelTold"):
    """A peer's answer to that question."""

    node: ids.NodeId
    kind: ids.KindName
    report: messages.LoadReport


class CancelReceived(Event, frozen=True):
    """The entry node gave up on a call, or its connection broke."""

    hosted: ids.HostedId


class BackendAnswered(Event, frozen=True):
    """The backend server answered.

    :param whole: the answer is held whole; otherwise its body is being streamed
        and :class:`BackendFinished` will follow.
    :param executed: ``False`` when it says that it did not run the request.
    """

    hosted: ids.HostedId
    status: int
    whole: bool = True
    executed: bool = True


class BackendFinished(Event, frozen=True):
    """The streaming of a long answer ended."""

    hosted: ids.HostedId


class BackendFailed(Event, frozen=True):
    """The exchange with the backend server failed.

    :param handed: ``False`` only when not one byte was written to it.
    """

    hosted: ids.HostedId
    dispatched: bool


class BackendChecked(Event, frozen=True):
    """A new connection to the backend server was tried after one broke under a call.

    :param refused: nothing listens there any more: the backend server has ended.
    """

    refused: bool


class BackendAnnounced(Event, frozen=True):
    """The backend server beside this node announces itself, or renews.

    :param instance: id of this start of the backend server, if it tells one.
    :param sequence: grows with each announcement of one instance.
    :param started_ms: Unix time of this start; 0 when it tells none.
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

    :param instance: which one leaves; empty for whatever runs there.
    :param started_ms: Unix time of the start that leaves; 0 when it tells none.
    """

    instance: str = ""
    started_ms: int = 0


class LogRead(Event, frozen=True):
    """Records of a stream were read.

    :param oldest: the oldest offset that the log still holds.
    :param end: the offset after the newest record at the time of the read.
    :param asked: when the read began; 0 if not known.
    :param held_ms: for how long the log surely held it open, without news.
    :param extra: it was made beside the reads by which the stream is followed.
    :param missing: the log does not hold the offset that was asked for.
    :param generation: as in the effect that asked for it.
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

    :param end: the offset from which to read on.
    :param asked: when the read began; 0 if not known.
    :param generation: as in the effect that asked for it.
    :param epoch: of the log that answered.
    """

    stream: str
    records: tuple[bytes, ...]
    end: int
    requested_at: ids.Milliseconds = 0.0
    generation: int = 0
    epoch: ids.LogEpoch = ids.LogEpoch(0)


class PutDone(Event, frozen=True):
    """The log acknowledged a record under a key.

    :param epoch: of the log that took it.
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
    :param generation: as in the effect that asked for it.
    :param epoch: of the log that refused it, if one did.
    """

    stream: str
    extra: bool = False
    generation: int = 0
    epoch: ids.LogEpoch = ids.LogEpoch(0)


class AppendDone(Event, frozen=True):
    """The log acknowledged an append.

    :param epoch: of the log that took it.
    """

    append: int
    offset: int
    epoch: ids.LogEpoch = ids.LogEpoch(0)


class AppendFailed(Event, frozen=True):
    """An append was not acknowledged.

    :param certain: it is certain that nothing was appended.
    :param epoch: of the log that refused it, if one did.
    """

    append: int
    certain: bool
    epoch: ids.LogEpoch = ids.LogEpoch(0)


class DatagramReceived(Event, frozen=True):
    """An authentic membership message arrived."""

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
    """An operator lets a request that is kept out run again.

    :param request: its fingerprint.
    """

    request: ids.Fingerprint
    author: str


class SnapshotReceived(Event, frozen=True):
    """A peer sent the configuration that it has in force."""

    snapshot: messages.ConfigSnapshot


class RoutesReceived(Event, frozen=True):
    """A peer sent the route table that it has in force."""

    table: routes.RouteTable


class SettingsChanged(Event, frozen=True):
    """The settings were read again.

    :param retry_bound: as in :class:`Started`.
    """

    retry_bound: allowance.Bound | None


class StopRequested(Event, frozen=True):
    """A planned stop of this node begins.

    :param grace_ms: after this time the process ends, whatever is in flight; 0 when
        that is not known.
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
    | OpenReceived
    | LevelRequested
    | LevelReported
    | CancelReceived
    | BackendAnswered
    | BackendFinished
    | BackendFailed
    | BackendChecked
    | BackendAnnounced
    | BackendWithdrawn
    | LogRead
    | NewestRead
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
