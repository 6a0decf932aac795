"""Everything that the core asks of the shell, as data."""

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
    """Tell the home node that the answer is not wanted any more."""

    attempt: ids.AttemptId


class RelayAnswer(Effect, frozen=True):
    """Pass the answer of an attempt on to the caller."""

    call: ids.CallId
    attempt: ids.AttemptId
    decision: str


class RefuseCall(Effect, frozen=True):
    """Answer the caller with a problem.

    :param retry_after_ms: when to come back, 0 when that would not help.
    """

    call: ids.CallId
    status: int
    outcome: messages.Outcome
    title: str
    retry_after_ms: float
    decision: str


class DispatchCall(Effect, frozen=True, tag="HandOver"):
    """Hand a call to the backend server.

    :param span: span id to send on, by which its own calls are recognised.
    :param instance: the start of the backend server that is meant, if known.
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


class CheckBackend(Effect, frozen=True):
    """Find out whether the backend server still listens."""

    host: str
    port: int


class SendAnswer(Effect, frozen=True):
    """Send the backend server's answer to the entry node.

    :param keep_as: key under which the shell keeps the answer, if any.
    :param child_failed: a call that the backend server made for it failed.
    """

    hosted: ids.HostedId
    tokens: int
    report: messages.LoadReport
    decision: str
    store_key: str = ""
    child_failed: bool = False


class SendStoredAnswer(Effect, frozen=True, tag="SendKeptAnswer"):
    """Send the kept answer of a key to a repeat of the call."""

    hosted: ids.HostedId
    key: str
    tokens: int
    report: messages.LoadReport
    decision: str


class StoreAnswer(Effect, frozen=True, tag="KeepAnswer"):
    """Keep the answer of a call whose entry node is gone."""

    hosted: ids.HostedId
    key: str


class DeleteStoredAnswer(Effect, frozen=True, tag="ForgetAnswer"):
    """Drop the kept answer of a key."""

    key: str


class SendRefusal(Effect, frozen=True):
    """Refuse a call towards its entry node."""

    hosted: ids.HostedId
    refusal: messages.Refusal
    tokens: int
    report: messages.LoadReport


class RequestLevel(Effect, frozen=True, tag="AskLevel"):
    """Ask an upstream what it sheds at present, for calls of a kind."""

    node: ids.NodeId
    host: str
    port: int
    kind: ids.KindName


class ReportLevel(Effect, frozen=True, tag="TellLevel"):
    """Answer such a question."""

    request: int
    report: messages.LoadReport


class ReadLog(Effect, frozen=True):
    """Read a stream from an offset.

    :param wait: wait a while for new records if there are none.
    :param hold_ms: how long; 0 leaves it to the settings.
    :param extra: beside the reads by which the stream is followed.
    :param generation: of the stream; the answer to one of an earlier generation is
        not used.
    """

    stream: str
    offset: int
    wait: bool
    long_poll_ms: int = 0
    extra: bool = False
    generation: int = 0


class ReadNewest(Effect, frozen=True):
    """Read the newest record of each key of a stream.

    :param generation: as in :class:`ReadLog`.
    """

    stream: str
    generation: int = 0


class PutRecord(Effect, frozen=True):
    """Put a record under a key, in place of the one before.

    :param record: empty to drop the key.
    """

    put: int
    stream: str
    key: str
    record: bytes


class FetchRoutes(Effect, frozen=True):
    """Ask a peer for the route table that it has in force."""

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
    """Ask a peer for the configuration that it has in force.

    :param since: revision that this node has; only later changes travel.
    """

    node: ids.NodeId
    host: str
    port: int
    since: ids.Revision


class PublishEnded(Effect, frozen=True):
    """Tell the operator how the publication ended.

    :param revision: the new revision, or the one in conflict; 0 if not known.
    """

    request: str
    accepted: bool | None
    revision: ids.Revision
    problem: str


class WriteLog(Effect, frozen=True):
    """Write a log line.

    :param part: the fixed prefix of the part that speaks.
    """

    level: str
    part: str
    text: str


class LogDecision(Effect, frozen=True):
    """Write the log line of a decision that touches a request.

    :param part: the fixed prefix of the part that decided.
    :param request: id of the request.
    :param upstream: the node that it was sent to, or came from.
    :param figures: what the rule saw, by the names that ``decisions`` gives.
    :param version: version of the routes, or revision of the documents, in force.
    :param waited_ms: age of the request when it was decided.
    :param status: status of the answer, 0 when there is none yet.
    :param workspace: whose request it is; empty where nobody's.
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
