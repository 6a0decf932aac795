"""Load and pace that a backend server reports in its answers.

The pace is the time that work takes there at present, in percent of the usual time.
Nothing here is in force where a backend server reports no pace.
"""

import re

import msgspec

from gingerturn.internal import ids
from gingerturn.internal.core import messages

USUAL = 100
"""Pace of a backend server that works as fast as usual."""

MAX_PACE = 10_000
"""Highest valid pace; a higher one is no time that a caller would wait."""

FRESH_MS = 600.0
"""Age up to which a pace is used, the duration of a usual slowdown. Past it the pace
counts as usual, so that an upstream that gets no calls is tried again."""

MIN_FACTOR = 0.5
MAX_FACTOR = 10.0
"""Bounds of the factor on times that follows from a pace. A false report outside of
them would let measured times differ by more than any known slowdown."""

MAX_HEADER_BYTES = 64
"""Bytes of a header value that are read; longer values are invalid."""

MAX_RUNNING_SHARE = 10
"""Most running requests in a valid report, as a multiple of the slots."""

EXCESS_SHARE = 0.05
MIN_EXCESS = 3
"""Requests beyond those of this node that a report may show by chance: at least
:data:`MIN_EXCESS`, and this share of the slots. A report is made before its answer
arrives, and other calls may end in between."""

EXCESS_MS = 5_000.0
"""Age up to which an excess holds without a further report. Calls of an earlier start
of the node have ended by then in most cases."""

UNREPORTED_SHARE = 0.1
"""Share of the slots that a restarted node uses until the first report of a backend
server that reports a pace: calls of the earlier start of the node may hold the rest."""

_FIGURE = re.compile(rb"\d{1,9}")


class Tracker(msgspec.Struct):
    """The latest reports of the backend server beside a node.

    :param pace: latest reported pace; 0 if the latest report had none.
    :param reported_at: when the latest report arrived.
    :param usual_ms: time at ``reported_at`` of a clock that runs slower while the pace
        is high; see :func:`usual_clock`.
    :param excess: requests there beyond those of this node, by the latest report.
    :param foreign: requests there that belong to an earlier start of this node.
    :param is_first: no earlier instance was announced to this node, which may therefore
        have started later than its backend server.
    :param expected_at: when an entry node first knew a pace of the backend server that
        this node does not know; 0 if none did.
    """

    pace: int = 0
    reported_at: ids.Milliseconds = 0.0
    usual_ms: ids.Milliseconds = 0.0
    excess: int = 0
    foreign: int = 0
    is_first: bool = True
    expected_at: ids.Milliseconds = 0.0


def parse(value: bytes) -> messages.BackendLoad:
    """Return the report in the value of a header.

    :param value: running, waiting and slots, and possibly the pace, separated by
        commas.
    :raises ValueError: naming the value and what is allowed.
    """
    parts = [part.strip(b" \t") for part in value.split(b",")]
    valid = len(value) <= MAX_HEADER_BYTES and len(parts) in (3, 4)
    if not valid or not all(map(_FIGURE.fullmatch, parts)):
        raise _invalid(value)
    figures = [int(part) for part in parts]
    running, _, slots = figures[:3]
    if not slots or running > MAX_RUNNING_SHARE * slots:
        raise _invalid(value)
    if len(figures) == 4 and not 1 <= figures[3] <= MAX_PACE:
        raise _invalid(value)
    return messages.BackendLoad(*figures)


def _invalid(value: bytes) -> ValueError:
    shown = value[:MAX_HEADER_BYTES].decode("latin-1")
    return ValueError(
        f"{shown!r} is no load; allowed are running,waiting,slots and a pace from 1 to"
        f" {MAX_PACE}, whole numbers, slots from 1, running at most"
        f" {MAX_RUNNING_SHARE} times the slots"
    )


def factor(pace: int, reported_at: ids.Milliseconds, now: ids.Milliseconds) -> float:
    """Return by how much longer than usual work takes; 1 without a fresh pace."""
    if not pace or now - reported_at > FRESH_MS:
        return 1.0
    return min(MAX_FACTOR, max(MIN_FACTOR, pace / USUAL))


def record(
    tracker: Tracker,
    load: messages.BackendLoad,
    running: int,
    now: ids.Milliseconds,
) -> None:
    """Record a report of the backend server.

    :param running: calls of this node there, including the answered one.
    """
    tracker.usual_ms = usual_clock(tracker, now)
    tracker.pace = load.pace
    excess = max(0, load.running + load.waiting - running) if load.pace else 0
    if not tracker.foreign and excess <= max(MIN_EXCESS, EXCESS_SHARE * load.slots):
        excess = 0
    # Two reports in a row must show it, since one may be outdated on arrival. The first
    # one of a restarted node has no earlier one, and most to lose.
    was_first = tracker.expected_at and not tracker.reported_at
    tracker.foreign = excess if was_first else min(excess, tracker.excess)
    tracker.excess = excess
    tracker.reported_at = now
    tracker.expected_at = 0.0


def usual_clock(tracker: Tracker, now: ids.Milliseconds) -> ids.Milliseconds:
    """Return the time of a clock that advances by the work done at the usual pace.

    The difference of two readings is the time that the work in between would usually
    have taken.
    """
    if not tracker.reported_at:
        return now
    elapsed = now - tracker.reported_at
    at_pace = min(elapsed, FRESH_MS)
    done = at_pace / factor(tracker.pace, 0.0, 0.0)
    return tracker.usual_ms + done + (elapsed - at_pace)


def foreign_calls(tracker: Tracker, now: ids.Milliseconds) -> int:
    """Return how many slots hold requests of an earlier start of the node."""
    if not tracker.foreign or now - tracker.reported_at > EXCESS_MS:
        return 0
    return tracker.foreign


def expect(tracker: Tracker, now: ids.Milliseconds) -> None:
    """Record that an entry node knows a pace of the backend server.

    This node then restarted while the backend server ran on, unless it knows a pace
    itself or saw the backend server start.
    """
    if tracker.is_first and not tracker.reported_at and not tracker.expected_at:
        tracker.expected_at = now


def usable_slots(tracker: Tracker, slots: int, now: ids.Milliseconds) -> int:
    """Return how many slots are not held by requests of an earlier start of the node.

    At least one is used, since only answers report the end of such requests.
    """
    if tracker.expected_at and now - tracker.expected_at <= EXCESS_MS:
        return max(1, int(UNREPORTED_SHARE * slots))
    return max(1, slots - foreign_calls(tracker, now))
