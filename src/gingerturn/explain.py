"""Why a request ended as it did, from the lines that nodes wrote to their logs.

A request is followed from the entry node that its caller asked to the home node that
decided, and from there into the calls that were made for it: where a backend server
answered with a failure since a call of its own failed, the cause lies there.
"""

import collections.abc
import typing

import msgspec

from gingerturn import errors

FIRST_FAILURE_STATUS = 500
ENTRY = "entry"
HOME = "home"
RELAYED = "sent"
"""Rule of the line by which an entry node passes an answer on."""


class Line(msgspec.Struct, frozen=True):
    """One line about a request.

    :param request: id of the request; a call's id continues that of its request.
    :param upstream: at an entry node the one that it was sent to, at a home the entry.
    :param status: status of the answer to the caller; 0 while there is none.
    :param version: version of the routes in force at that node.
    :param waited_ms: age of the request at that node.
    """

    time: str
    node: str
    part: str
    text: str
    request: str = ""
    rule: str = ""
    kind: str = ""
    upstream: str = ""
    status: int = 0
    figures: dict[str, float] = {}
    version: int = 0
    waited_ms: float = 0.0
    workspace: str = ""
    decision: str = ""


class Story(msgspec.Struct, frozen=True):
    """What the lines tell of one request and of the calls made for it.

    :param lines: in order of time.
    :param end: the line that ended the request, if there is one.
    :param cause: the line that tells why, if there is one.
    """

    request: str
    lines: tuple[Line, ...]
    end: Line | None
    cause: Line | None


def read(sources: collections.abc.Iterable[typing.BinaryIO]) -> list[Line]:
    """Return the lines about requests in some log files, in order of time.

    Other output of a process may stand between them and is passed over, and so is a
    line that was cut off. What a collector of logs put before a line is left out.
    """
    found: list[Line] = []
    for source in sources:
        for raw in source:
            try:
                line = msgspec.json.decode(raw[raw.find(b"{") :], type=Line)
            except msgspec.MsgspecError:
                continue
            if line.request:
                found.append(line)
    return sorted(found, key=lambda line: line.time)


def explain(lines: list[Line], wanted: str) -> Story:
    """Return the story of a request.

    :param wanted: id of the request, or of a decision that its caller was told.
    :raises InvalidArgument: when no line names it.
    """
    named = {line.request for line in lines if wanted in {line.request, line.decision}}
    request = min(named, key=len, default=wanted)
    own = tuple(line for line in lines if _is_part(line.request, request))
    if not own:
        raise errors.InvalidArgument(
            f"{wanted!r} is in no line: the logs begin later, end sooner, or left it"
            " out; a request that failed is left out last",
            step="search logs",
        )
    return Story(request, own, _end_of(own, request), _cause(own, request))


def _is_part(request: str, whole: str) -> bool:
    """Tell whether an id is that of a request or continues it."""
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
    """Tell whether a home's line is about the refusal that ended the request."""
    return end is None or line.rule == end.rule


def _cause_below(lines: tuple[Line, ...], request: str) -> Line | None:
    """Return the cause of the last call that failed of those made for a request."""
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
    """Tell whether no other request stands between a call and a request."""
    between = {
        line.request
        for line in lines
        if line.request not in {call, request}
        and _is_part(call, line.request)
        and _is_part(line.request, request)
    }
    return not between
