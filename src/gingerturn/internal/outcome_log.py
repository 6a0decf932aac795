"""Log of what statements about the outcome of unrepeatable requests rest on.

Lines about single decisions are dropped under load. These facts are buffered and
written together, several to a line, so that a request that was answered as not run can
be traced by its id then, too. The number of facts a second is bounded, and nothing
waits for the reader.
"""

import datetime
import time
import typing

import msgspec

from gingerturn.internal import decoding, logs

STATEMENTS_PER_S = 500
"""Rate limit of facts on which a statement rests that a request has not run."""

DISPATCHES_PER_S = 500
"""Rate limit of facts about requests dispatched to the backend server."""

FACTS_PER_LINE = 32
"""A line with so many facts is written at once; others wait for the next tick."""

NOT_EXECUTED = "not_executed"
"""Rule of the fact that a backend server's answer says that a request did not run."""

UNRELATED_ANSWER = "unrelated_answer"
"""Rule of the fact that an answer was discarded while the request was in progress."""

_PART = "outcomes"


class Fact(msgspec.Struct, frozen=True, omit_defaults=True):
    """A fact about an unrepeatable request.

    :param part: the part that saw or decided it.
    :param rule: name of the decision, or of what was seen.
    :param upstream: the node that the request was sent to, or came from.
    :param status: status of the answer to the caller, or of the backend server's.
    :param decision: id of the decision.
    :param waited_ms: age of the request, or time since it was written to the backend
        server.
    :param instance: the backend server that the request was meant for.
    :param connection: number of the connection to the backend server.
    :param exchange: number of the exchange on that connection.
    :param answer_id: request id in the backend server's answer.
    """

    request: str
    part: str
    rule: str
    time: str = ""
    upstream: str = ""
    status: decoding.Integer = 0
    decision: str = ""
    waited_ms: decoding.Number = 0.0
    instance: str = ""
    connection: decoding.Integer = 0
    exchange: decoding.Integer = 0
    answer_id: str = ""


class _State:
    """State of this module."""

    def __init__(self) -> None:
        self.statements = logs.Budget(STATEMENTS_PER_S)
        self.dispatches = logs.Budget(DISPATCHES_PER_S)
        self.facts: list[Fact] = []
        self.dropped_total = 0


_state = _State()


def may_record(*, dispatch: bool) -> bool:
    """Whether a fact is within the rate limit, which then counts it.

    :param dispatch: the fact is that a request was dispatched.
    """
    budget = _state.dispatches if dispatch else _state.statements
    return budget.take(time.monotonic())


def record(request: str, part: str, rule: str, **fields: typing.Any) -> None:
    """Buffer a fact that :func:`may_record` allowed.

    :param fields: further fields of :class:`Fact`.
    """
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
    _state.facts.append(Fact(request, part, rule, now, **fields))
    if len(_state.facts) >= FACTS_PER_LINE:
        flush()


def flush() -> None:
    """Write the buffered facts as one line, with the number that was dropped."""
    dropped = _state.statements.dropped + _state.dispatches.dropped
    if not _state.facts and not dropped:
        return
    _state.statements.dropped = _state.dispatches.dropped = 0
    _state.dropped_total += dropped
    facts, _state.facts = _state.facts, []
    # Written at any level of the log: it records outcomes and is no warning.
    text = ", ".join(f"{fact.request} {fact.rule}" for fact in facts)
    logs.write_always(_PART, f"Outcomes: {text}.", facts=facts, dropped=dropped)


def dropped_total() -> int:
    """Return how many facts were dropped since the start."""
    return _state.dropped_total
