"""Effects: everything that the core requests of the shell, as data."""

import msgspec

from gingerturn.internal import ids
from gingerturn.internal.core import messages


class Effect(msgspec.Struct, frozen=True, tag=True, array_like=True, gc=False):
    """Base of all effects."""


class OpenAttempt(Effect, frozen=True):
    """Send a call to the home node of an upstream."""

    attempt: ids.AttemptId
    call: ids.CallId
    node: ids.NodeId
    host: str
    port: int
    metadata: messages.CallMetadata


class CancelAttempt(Effect, frozen=True):
    """Tell the home node that the answer is no longer wanted."""

    attempt: ids.AttemptId


class RelayAnswer(Effect, frozen=True):
    """Relay the answer of an attempt to the caller."""

    call: ids.CallId
    attempt: ids.AttemptId
    decision: str


class RefuseCall(Effect, frozen=True):
    """Answer the caller with a problem document.

    :param retry_after_ms: the retry delay; 0 if a retry would not help.
    """

    call: ids.CallId
    status: int
    outcome: messages.Outcome
    title: str
    retry_after_ms: float
    decision: str


class DispatchCall(Effect, frozen=True, tag="HandOver"):
    """Dispatch a call to the backend server.

    :param span: span id to send on, by which calls made for this one are recognised.
    :param instance: the intended start of the backend server, if known.
    """

    hosted: ids.HostedId
    host: str
    port: int
    span: ids.SpanId
    deadline_ms: float
    instance: str = ""


class CancelBackend(Effect, frozen=True):
    """Drop a call, and close the exchange with the backend server if it began."""

    hosted: ids.HostedId


class DeparturesSaved(Effect, frozen=True):
    """The put of departures has ended, so that they can be confirmed."""


class CheckBackend(Effect, frozen=True):
    """Check whether the backend server still listens."""

    host: str
    port: int


class SendAnswer(Effect, frozen=True):
    """Send the backend server's answer to the entry node.

    :param store_key: key under which the shell stores the answer, if any.
    :param child_failed: a call that the backend server made for it failed.
    """

    hosted: ids.HostedId
    tokens: int
    report: messages.LoadReport
    decision: str
    store_key: str = ""
    child_failed: bool = False


class SendStoredAnswer(Effect, frozen=True, tag="SendKeptAnswer"):
    """Send the stored answer of a key to a repeat of the call."""

    hosted: ids.HostedId
    key: str
    tokens: int
    report: messages.LoadReport
    decision: str


class StoreAnswer(Effect, frozen=True, tag="KeepAnswer"):
    """Store the answer of a call whose entry node is gone."""

    hosted: ids.HostedId
    key: str


class DeleteStoredAnswer(Effect, frozen=True, tag="ForgetAnswer"):
    """Delete the stored answer of a key."""

    key: str


class SendRefusal(Effect, frozen=True):
    """Send the refusal of a call to its entry node."""

    hosted: ids.HostedId
    refusal: messages.Refusal
    tokens: int
    report: messages.LoadReport


class RequestLevel(Effect, frozen=True, tag="AskLevel"):
    """Request the present level of an upstream for calls of a kind."""

    node: ids.NodeId
    host: str
    port: int
    kind: ids.KindName


class ReportLevel(Effect, frozen=True, tag="TellLevel"):
    """Answer a level request."""

    request: int
    report: messages.LoadReport


class ReadLog(Effect, frozen=True):
    """Read a stream from an offset.

    :param wait: long poll for new records if there are none.
    :param long_poll_ms: for how long; 0 leaves that to the settings.
    :param timeout_ms: time-out beyond that; 0 for the default one.
    :param extra: in addition to the reads that follow the stream.
    :param generation: of the stream; answers to reads of an earlier generation are
        discarded.
    """

    stream: str
    offset: int
    wait: bool
    long_poll_ms: int = 0
    extra: bool = False
    generation: int = 0
    timeout_ms: int = 0


class ReadNewest(Effect, frozen=True):
    """Read the newest record of each key of a stream.

    :param generation: as in :class:`ReadLog`.
    """

    stream: str
    generation: int = 0


class PutRecord(Effect, frozen=True):
    """Put a record under a key, replacing the one before.

    :param record: empty to delete the key.
    """

    put: int
    stream: str
    key: str
    record: bytes


class FetchRoutes(Effect, frozen=True):
    """Fetch the route table in force of a peer."""

    node: ids.NodeId
    host: str
    port: int


class Append(Effect, frozen=True):
    """Append a record to a stream."""

    append: int
    stream: str
    record: bytes


class SendGossip(Effect, frozen=True):
    """Send a membership message."""

    host: str
    port: int
    message: messages.Gossip


class FetchSnapshot(Effect, frozen=True):
    """Fetch the configuration in force of a peer.

    :param since: revision of this node; only later changes are sent.
    """

    node: ids.NodeId
    host: str
    port: int
    since: ids.Revision


class PublishEnded(Effect, frozen=True):
    """Report the result of a publication to the operator.

    :param revision: the new revision, or the one in conflict; 0 if not known.
    """

    request: str
    accepted: bool | None
    revision: ids.Revision
    problem: str


class WriteLog(Effect, frozen=True):
    """Write a log line.

    :param part: the fixed prefix of the part that logs.
    """

    level: str
    part: str
    text: str


class LogDecision(Effect, frozen=True):
    """Write the log line of a decision on a request.

    :param part: the fixed prefix of the part that decided.
    :param request: id of the request.
    :param upstream: the node that the request was sent to, or came from.
    :param figures: inputs of the rule, named as in ``decisions``.
    :param version: version of the routes, or revision of the documents, in force.
    :param waited_ms: age of the request at the decision.
    :param status: status of the answer, 0 if there is none yet.
    :param workspace: workspace that the request belongs to; empty if none.
    :param outcome_fact: a statement about the outcome of an unrepeatable request may
        rest on the decision.
    """

    part: str
    request: str
    decision: str
    rule: int
    kind: str
    upstream: str
    figures: tuple[float, ...]
    version: int
    waited_ms: float
    status: int = 0
    workspace: str = ""
    outcome_fact: bool = False


class Stopped(Effect, frozen=True):
    """Nothing is in flight any more; the process may exit."""


AnyEffect = (
    OpenAttempt
    | CancelAttempt
    | RelayAnswer
    | RefuseCall
    | DispatchCall
    | CancelBackend
    | CheckBackend
    | DeparturesSaved
    | SendAnswer
    | SendStoredAnswer
    | StoreAnswer
    | DeleteStoredAnswer
    | SendRefusal
    | RequestLevel
    | ReportLevel
    | ReadLog
    | ReadNewest
    | PutRecord
    | FetchRoutes
    | Append
    | SendGossip
    | FetchSnapshot
    | PublishEnded
    | WriteLog
    | LogDecision
    | Stopped
)
