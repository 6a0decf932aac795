"""Explains the outcome of a request from the logs of nodes.

A request is traced from its entry node to its home node and to its child calls: if a
backend server failed because a call of its own failed, that call is the cause.
"""

import collections.abc
import typing

import msgspec

from gingerturn import errors
from gingerturn.internal import decoding, outcome_log
from gingerturn.internal.core import decisions

FIRST_FAILURE_STATUS = 500
ENTRY = "entry"
HOME = "home"
RELAYED = "sent"
"""Rule of the line for a response that the entry node forwarded to the caller."""


class Line(msgspec.Struct, frozen=True):
    """A log line about a request.

    :param request: id of the request; that of a child call extends that of its parent.
    :param upstream: at an entry node the home node, at a home node the entry node.
    :param status: status of the response to the caller; 0 if there is none yet.
    :param version: version of the route table in force at the node.
    :param waited_ms: time since the node received the request.
    :param instance: the backend server that it was meant for.
    :param connection: number of the connection to that backend server.
    :param exchange: number of the exchange on that connection.
    :param answer_id: request id in the backend server's answer.
    """

    time: str
    node: str
    part: str
    text: str
    request: str = ""
    rule: str = ""
    kind: str = ""
    upstream: str = ""
    status: decoding.Integer = 0
    figures: dict[str, decoding.Number] = {}
    version: decoding.Integer = 0
    waited_ms: decoding.Number = 0.0
    workspace: str = ""
    decision: str = ""
    instance: str = ""
    connection: decoding.Integer = 0
    exchange: decoding.Integer = 0
    answer_id: str = ""


class _Facts(msgspec.Struct, frozen=True):
    """A line that holds several facts, see :mod:`.internal.outcome_log`."""

    node: str
    facts: tuple[outcome_log.Fact, ...] = ()


_decode_line = decoding.json_decoder(Line)
_decode_facts = decoding.json_decoder(_Facts)


class Explanation(msgspec.Struct, frozen=True):
    """The log lines of a request and its child calls, with the cause of its outcome.

    :param lines: in order of time.
    :param end: the line of the response to the caller, if found.
    :param cause: the line of the decision that caused a failure, if found.
    """

    request: str
    lines: tuple[Line, ...]
    end: Line | None
    cause: Line | None


def read(sources: collections.abc.Iterable[typing.BinaryIO]) -> list[Line]:
    """Return the lines about requests in log files, in order of time.

    Other output and truncated lines are skipped, and so are prefixes that a log
    collector added.
    """
    found: list[Line] = []
    facts: list[Line] = []
    for source in sources:
        for raw in source:
            content = raw[raw.find(b"{") :]
            try:
                line = _decode_line(content)
            except errors.DecodeError:
                continue
            if line.request:
                found.append(line)
            elif b'"facts"' in content:
                facts += _facts_of(content)
    # A decision that also has a line of its own is not repeated.
    decided = {line.decision for line in found if line.decision}
    found += [fact for fact in facts if fact.decision not in decided]
    return sorted(found, key=lambda line: line.time)


def _facts_of(content: bytes) -> list[Line]:
    """Return the facts of a line that holds several."""
    try:
        held = _decode_facts(content)
    except errors.DecodeError:
        return []
    return [
        Line(node=held.node, text=_text_of(fact), **msgspec.structs.asdict(fact))
        for fact in held.facts
    ]


def _text_of(fact: outcome_log.Fact) -> str:
    """Return a fact as a sentence."""
    answer = f"an answer {fact.status} with the id {fact.answer_id!r}"
    if fact.rule == outcome_log.NOT_EXECUTED:
        return f"The backend server says that it did not run: {answer}."
    if fact.rule == outcome_log.UNRELATED_ANSWER:
        return f"Discarded: {answer}, which belongs to no request in progress."
    rule = decisions.Rule.__members__.get(fact.rule.upper())
    return "" if rule is None else decisions.description_of(rule)


def explain(lines: list[Line], wanted: str) -> Explanation:
    """Explain the outcome of a request.

    :param wanted: id of the request, or the decision id in its response.
    :raises InvalidArgument: if no line has this id.
    """
    named = {line.request for line in lines if wanted in {line.request, line.decision}}
    request = min(named, key=len, default=wanted)
    own = tuple(line for line in lines if _is_part(line.request, request))
    if not own:
        raise errors.InvalidArgument(
            f"{wanted!r} is in no line: the logs begin later, end sooner, or the line"
            " was dropped; lines of failed requests are dropped last",
            step="search logs",
        )
    return Explanation(request, own, _end_of(own, request), _cause(own, request))


def _is_part(request: str, whole: str) -> bool:
    """Whether an id is that of a request or of one of its descendants."""
    rest = request[len(whole) :]
    return request.startswith(whole) and not rest[:1].isalnum()


def _end_of(lines: collections.abc.Iterable[Line], request: str) -> Line | None:
    ends = [
        line
        for line in lines
        if line.request == request and line.part == ENTRY and line.status
    ]
    return ends[-1] if ends else None


def _cause(lines: tuple[Line, ...], request: str) -> Line | None:
    end = _end_of(lines, request)
    if end is not None and end.status < FIRST_FAILURE_STATUS:
        return None
    if end is not None and end.rule == RELAYED:
        return _cause_below(lines, request) or end
    homes = [
        line
        for line in lines
        if line.request == request and line.part == HOME and _is_refusal(line, end)
    ]
    return homes[-1] if homes else end


def _is_refusal(line: Line, end: Line | None) -> bool:
    """Whether a line of the home node has the rule of the final response."""
    return end is None or line.rule == end.rule


def _cause_below(lines: tuple[Line, ...], request: str) -> Line | None:
    """Return the cause of the last failed child call of a request."""
    failed = [
        line
        for line in lines
        if line.request != request
        and _is_part(line.request, request)
        and line.part == ENTRY
        and line.status >= FIRST_FAILURE_STATUS
        and _is_direct(line.request, request, lines)
    ]
    return _cause(lines, failed[-1].request) if failed else None


def _is_direct(call: str, request: str, lines: tuple[Line, ...]) -> bool:
    """Whether a call is a child of a request and not a deeper descendant."""
    intermediate = {
        line.request
        for line in lines
        if line.request not in {call, request}
        and _is_part(call, line.request)
        and _is_part(line.request, request)
    }
    return not intermediate
