"""Requests to the cap allocator that are in flight: repeats, timeouts, round trips.

A node has one request in flight, unless it has several pages, and repeats it as it
was. So the rate of requests falls as the round trip grows, and an allocator that is
late gets no more of them.
"""

import heapq

import msgspec

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    member_order,
    messages,
    state as states,
)

CHECK_MS = 100.0
"""Interval of the check of timeouts."""

MIN_LATE_MS = 50.0
"""Delay of a check beyond the usual variation."""

MIN_REPEAT_MS = 20.0
"""Least time until an unanswered request is repeated. It doubles with each repeat, so
that an allocator that is late gets fewer of them."""

REPEAT_ROUND_TRIPS = 2.0
"""The same in mean round trips, since repeats of requests that wait in the allocator's
queue make it longer."""

ROUND_TRIP_WEIGHT = 0.125
"""Weight of the latest round trip in the mean."""

ANSWER_TIMEOUT_MS = 400.0
"""An allocator that has not answered for this long is skipped. It tolerates a short
overload, since each change of allocator reduces admission for some seconds."""

TIMEOUT_ROUND_TRIPS = 4.0
"""The same in mean round trips, up to :data:`REQUEST_EXPIRY_MS`."""

FIRST_ANSWER_TIMEOUT_MS = 190.0
"""The same for an allocator that has never answered. It is shorter, since half of the
candidates may be unreachable during a network partition."""

REQUEST_EXPIRY_MS = 900.0
"""A request is given up after this time: the leases of its answer would have almost
expired."""

SILENT_SKIP_MS = 3_000.0
"""A node that did not answer is skipped for this long."""


def extend_timeouts(state: states.State) -> None:
    """Exclude the time in which this node could not read answers from all timeouts.

    After a delay of the event loop, timers run before the datagrams that arrived
    meanwhile are read.
    """
    caps = state.caps
    checked_at, caps.checked_at = caps.checked_at, state.now
    late_ms = state.now - checked_at - CHECK_MS
    if not checked_at or late_ms < MIN_LATE_MS:
        return
    if caps.unanswered_since:
        caps.unanswered_since += late_ms
    for pending in caps.pending_requests.values():
        # Leases count from the time of sending, which stays as it is.
        pending.repeat_at += late_ms
    for call in caps.waiting_calls:
        caps.waiting_calls[call] += late_ms


def send_first(
    state: states.State, message: messages.CapRequest, out: states.Effects
) -> None:
    """Send a request that is in flight from now on."""
    caps = state.caps
    caps.requests_sent += 1
    send(state, caps.allocator, message, out)
    delay = max(MIN_REPEAT_MS, REPEAT_ROUND_TRIPS * caps.round_trip_ms)
    _schedule_repeat(state, caps.pending_requests[message.number], delay)


def repeat_unanswered(state: states.State, out: states.Effects) -> None:
    """Repeat requests whose answer is overdue, as they were.

    The allocator recognizes them, so their calls are not granted tokens twice.
    """
    caps = state.caps
    for pending in caps.pending_requests.values():
        count = len(pending.repeats_sent_at) + 1
        if state.now < pending.repeat_at:
            continue
        caps.requests_sent += 1
        pending.repeats_sent_at.append(state.now)
        number = pending.message.number + count * messages.CAP_REPEAT_STEP
        message = msgspec.structs.replace(pending.message, number=number)
        send(state, caps.allocator, message, out)
        _schedule_repeat(state, pending, state.now - pending.sent_at)


def _schedule_repeat(
    state: states.State, pending: states.PendingCapRequest, delay: ids.Milliseconds
) -> None:
    pending.repeat_at = state.now + delay
    number = pending.message.number
    entry = (pending.repeat_at, states.Deadline.CAP_REPEAT, number)
    heapq.heappush(state.deadlines, entry)


def record_round_trip(
    state: states.State, request: states.PendingCapRequest, repeat: int
) -> None:
    """Record how long callers waited for an answer, and how long it took.

    The two differ where datagrams were lost, which tells nothing of the allocator.

    :param repeat: which of the sendings was answered; 0 for the first.
    """
    caps = state.caps
    caps.round_trips.record(state.now - request.sent_at)
    sent = [request.sent_at, *request.repeats_sent_at]
    elapsed = max(0.0, state.now - sent[min(repeat, len(sent) - 1)])
    mean = caps.round_trip_ms + ROUND_TRIP_WEIGHT * (elapsed - caps.round_trip_ms)
    # A rise counts at once, since repeats would add to the queue that caused it.
    caps.round_trip_ms = max(mean, elapsed)


def send(
    state: states.State,
    node: ids.NodeId,
    message: messages.CapMessage,
    out: states.Effects,
) -> None:
    """Send a message about caps to a member; others are not known by address."""
    member = state.membership.members.get(node)
    if member is None:
        return
    gossip = messages.Gossip(
        kind=messages.GossipKind.CAPS,
        sequence=0,
        revision=state.revisions.revision,
        caps=message,
    )
    out.append(
        effects.SendGossip(host=member.host, port=member.gossip_port, message=gossip)
    )


def skip_silent_allocator(state: states.State) -> None:
    """Skip the allocator if it has not answered in time, or was lost."""
    caps = state.caps
    allocator = caps.allocator
    for number, pending in list(caps.pending_requests.items()):
        if state.now - pending.sent_at > REQUEST_EXPIRY_MS:
            del caps.pending_requests[number]
    if not caps.pending_requests or allocator == state.node:
        return
    timeout = FIRST_ANSWER_TIMEOUT_MS
    if caps.stamp:
        by_round_trips = min(
            TIMEOUT_ROUND_TRIPS * caps.round_trip_ms, REQUEST_EXPIRY_MS
        )
        timeout = max(ANSWER_TIMEOUT_MS, by_round_trips)
    timed_out = caps.unanswered_since and state.now - caps.unanswered_since >= timeout
    if timed_out:
        caps.skipped_nodes[allocator] = state.now + SILENT_SKIP_MS
    if timed_out or not member_order.is_live(state, allocator):
        # The next allocator is asked at once.
        caps.pending_requests.clear()
        caps.renewed_at = 0.0
