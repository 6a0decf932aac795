"""Load of the cap allocator, which is one node for all others.

Guards against an allocator whose work grows with nodes and workspaces instead of calls,
and against nodes that add to that work when its answers are late.
"""

import collections.abc
import sys
import types

import msgspec
import pytest

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    cap_allocator,
    cap_requests,
    caps,
    decisions,
    events,
    messages,
    reducer,
    state as states,
    timers,
)
from gingerturn_fakes import capped
from tests.common import keyed

NODES = 40
WORKSPACES = 76
USUAL_RATE = 1_200.0
"""Requests a second of all workspaces together."""

CAP_RATIO = 1.6
"""Ratio of the caps to the usual demand."""

BURST_RATIO = 1.45
"""Ratio of the demand in a burst to the usual one, below all caps."""

SERVED_BELOW = 0.98
"""Share of the demand below the caps that is to be admitted."""

DEMAND_MS = 0.1
"""Processor time of each workspace named in a datagram, on a slow node."""


def _datagram_cost(
    datagram_ms: float,
) -> collections.abc.Callable[[messages.Gossip], float]:
    """Return the processor time of datagrams, each of which takes some for itself."""

    def cost(message: messages.Gossip) -> float:
        if message.caps is None:
            return 0.0
        demands: tuple[messages.CapDemand, ...] = ()
        if isinstance(message.caps, messages.CapRequest):
            demands = message.caps.demands
        return datagram_ms + DEMAND_MS * len(demands)

    return cost


def _deployment(
    *, nodes: int = NODES, workspaces: int = WORKSPACES
) -> capped.Deployment:
    rate = CAP_RATIO * USUAL_RATE / workspaces
    names = [f"w{number}" for number in range(workspaces)]
    listed = [routes.workspace(name, [name], rate=rate, burst=rate) for name in names]
    return capped.Deployment(*listed, nodes=nodes)


def _load(made: capped.Deployment, ratio: float, *, duration_ms: float) -> float:
    """Send requests of all workspaces; return the share that is admitted."""
    sent = sum(made.sent.values())
    admitted = sum(map(len, made.admitted.values()))
    workspaces = made.workspaces
    for workspace in workspaces:
        rate = ratio * USUAL_RATE / len(workspaces)
        made.load(workspace, made.names, rate=rate, duration_ms=duration_ms)
    made.world.run(duration_ms)
    admitted = sum(map(len, made.admitted.values())) - admitted
    return admitted / (sum(made.sent.values()) - sent)


def _allocator(made: capped.Deployment) -> states.State:
    any_node = next(iter(made.world.nodes.values()))
    state: states.State = made.world.nodes[any_node.state.caps.allocator].state
    return state


@pytest.mark.parametrize("datagram_ms", [0.25, 0.6])
def test_an_allocator_on_a_slow_node_is_not_overloaded_by_a_burst(
    datagram_ms: float,
) -> None:
    """Guards against renewals and repeats that take all processor time of the allocator
    and have calls far below their caps refused, also long after a burst."""
    made = _deployment()
    made.world.datagram_cost = _datagram_cost(datagram_ms)
    usual = _load(made, 1.0, duration_ms=2_000.0)
    burst = _load(made, BURST_RATIO, duration_ms=2_000.0)
    after = _load(made, 1.0, duration_ms=1_000.0)
    unanswered = made.rules[decisions.Rule.CAP_UNANSWERED]
    assert min(usual, burst, after) >= SERVED_BELOW, (usual, burst, after, unanswered)


def test_requests_name_only_workspaces_that_need_an_answer() -> None:
    """Guards against renewals that name each workspace seen lately: work in proportion
    to nodes times workspaces."""
    made = _deployment()
    _load(made, 1.0, duration_ms=1_000.0)
    allocator = _allocator(made).cap_allocator
    before = allocator.demands_answered
    calls = sum(made.sent.values())
    _load(made, 1.0, duration_ms=2_000.0)
    named = allocator.demands_answered - before
    assert named <= 1.25 * (sum(made.sent.values()) - calls)


@pytest.mark.parametrize("lag_ms", [120.0, 180.0])
def test_late_answers_are_not_asked_for_again_and_again(
    lag_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against nodes that send more to an allocator whose answers are late."""
    made = _deployment(nodes=12, workspaces=20)
    _load(made, 0.2, duration_ms=1_000.0)
    monkeypatch.setattr(
        "gingerturn_fakes.links._delay", lambda *arguments: lag_ms / 2.0
    )
    sent = {name: n.state.caps.requests_sent for name, n in made.world.nodes.items()}
    _load(made, 0.2, duration_ms=3_000.0)
    for name, node in made.world.nodes.items():
        per_s = (node.state.caps.requests_sent - sent[name]) / 3.0
        # One in flight at a time, and at most one repeat of each.
        assert per_s <= 2.0 * 1_000.0 / lag_ms


@pytest.mark.parametrize("lost_share", [0.025, 0.1])
def test_lost_datagrams_of_a_node_hold_up_its_calls_briefly(lost_share: float) -> None:
    """Guards against a lost request or answer that holds up all calls of a node until
    they are refused."""
    made = _deployment()
    made.world.drop_gossip = lost_share
    share = _load(made, BURST_RATIO, duration_ms=2_000.0)
    made.world.run(300.0)
    admitted = sum(map(len, made.admitted.values()))
    assert admitted >= SERVED_BELOW * sum(made.sent.values()), share


def test_a_repeat_that_is_answered_tells_the_round_trip() -> None:
    """Guards against a mean round trip that includes the time until a lost datagram was
    sent again, by which the next repeats would be later still."""
    made = _deployment(nodes=8, workspaces=20)
    made.world.drop_gossip = 0.1
    _load(made, 0.2, duration_ms=3_000.0)
    for node in made.world.nodes.values():
        assert node.state.caps.round_trip_ms <= 4.0


def test_an_allocator_that_is_slow_but_answers_is_kept() -> None:
    """Guards against timeouts below the round trip of an allocator with a queue, since
    each change of allocator has most calls refused for some seconds."""
    made = _deployment()
    made.world.datagram_cost = _datagram_cost(3.0)
    _load(made, 1.0, duration_ms=2_000.0)
    nodes = made.world.nodes.values()
    before = sum(node.state.caps.allocator_changes for node in nodes)
    _load(made, BURST_RATIO, duration_ms=2_000.0)
    _load(made, 1.0, duration_ms=1_000.0)
    assert sum(node.state.caps.allocator_changes for node in nodes) == before


def test_a_repeated_request_is_granted_once() -> None:
    """Guards against repeats of an unanswered request that use up a cap for calls which
    were granted tokens already."""
    cap = keyed.workspace("shop", rate=50.0, burst=50.0)
    made = capped.Deployment(cap, nodes=3)
    made.load("shop", made.names, rate=10.0, duration_ms=7_000.0)
    made.world.run(7_000.0)
    state = _allocator(made)
    asker = next(name for name in made.names if name != state.node)
    window = state.cap_allocator.windows["shop"]
    request = messages.CapRequest(
        number=1_000_000,
        stamp=state.now,
        demands=(messages.CapDemand("shop", 100, 0, 4, 0),),
    )
    before = sum(window.slices.values())
    first = cap_allocator.grant(state, ids.NodeId(asker), request)
    charged = sum(window.slices.values()) - before
    assert charged == first.leases[0].tokens == 4
    number = request.number + messages.CAP_REPEAT_STEP
    repeat = msgspec.structs.replace(request, number=number)
    answer = cap_allocator.grant(state, ids.NodeId(asker), repeat)
    assert answer == msgspec.structs.replace(first, number=number)
    assert sum(window.slices.values()) - before == charged


def test_a_call_that_arrives_shortly_after_a_request_waits_for_the_next_one() -> None:
    """Guards against calls that wait for a token until something else happens."""
    cap = keyed.workspace("shop", rate=50.0, burst=50.0)
    made = capped.Deployment(cap, nodes=4)
    allocator = _allocator(made).node
    name = next(name for name in made.names if name != allocator)
    for _ in range(20):
        made.world.run(made.random.uniform(400.0, 500.0))
        made.admitted["shop"].clear()
        made.send("shop", name)
        made.world.run(5.0)
        made.send("shop", name)
        made.world.run(caps.MIN_REQUEST_INTERVAL_MS + timers.TICK_MS + 5.0)
        assert len(made.admitted["shop"]) == 2


def test_a_node_that_was_late_does_not_take_its_allocator_for_silent() -> None:
    """Guards against timeouts that include the time in which a node did not read the
    answers in its socket."""
    cap = keyed.workspace("shop", rate=50.0, burst=50.0)
    made = capped.Deployment(cap, nodes=4)
    allocator = _allocator(made).node
    name = next(name for name in made.names if name != allocator)
    made.send("shop", name)
    node = made.world.nodes[name]
    state = node.state
    assert state.caps.pending_requests
    assert state.caps.waiting_calls
    late = state.now + cap_requests.ANSWER_TIMEOUT_MS + 400.0
    reducer.reduce(state, events.Tick(now=late))
    assert state.caps.allocator == allocator
    assert not state.caps.skipped_nodes
    assert state.caps.waiting_calls
    made.world.run(500.0)
    assert made.admitted["shop"]


def test_a_lease_counts_from_the_request_also_at_a_node_that_was_late() -> None:
    """Guards against a lease that outlasts its charge at the allocator by the time for
    which the node was late, in which the cap is leased to others."""
    cap = keyed.workspace("shop", rate=50.0, burst=50.0)
    made = capped.Deployment(cap, nodes=4)
    allocator = _allocator(made).node
    name = next(name for name in made.names if name != allocator)
    made.send("shop", name)
    state = made.world.nodes[name].state
    (pending,) = state.caps.pending_requests.values()
    sent_at = state.now
    reducer.reduce(state, events.Tick(now=sent_at + 800.0))
    answer = messages.CapAnswer(
        number=pending.message.number,
        stamp=sent_at,
        leases=(messages.CapLease("shop", 10_000, 1, short=False),),
    )
    caps.on_answer(state, allocator, answer, [])
    bucket = state.caps.buckets["shop"]
    assert bucket.rate_milli == 10_000
    assert bucket.lease_until == sent_at + cap_allocator.TERM_MS


def _operations_of_a_grant(nodes: int) -> int:
    """Return the lines of Python that a request takes, which is independent of time."""
    cap = keyed.workspace("shop", rate=400.0, burst=400.0)
    made = capped.Deployment(cap, nodes=nodes)
    made.load("shop", made.names, rate=5.0 * nodes, duration_ms=1_500.0)
    made.world.run(1_500.0)
    state = _allocator(made)
    demand = messages.CapDemand("shop", 5_000, 0, 1, 0)
    request = messages.CapRequest(number=1_000_000, stamp=state.now, demands=(demand,))
    lines = 0

    def trace(frame: types.FrameType, event: str, argument: object) -> object:
        nonlocal lines
        lines += event == "line"
        return trace

    tracer = sys.gettrace()
    sys.settrace(trace)
    try:
        cap_allocator.grant(state, ids.NodeId(made.names[1]), request)
    finally:
        sys.settrace(tracer)
    return lines


def test_the_work_of_a_request_does_not_grow_with_the_nodes() -> None:
    """Guards against a request that visits the records of all nodes."""
    assert _operations_of_a_grant(80) <= 1.2 * _operations_of_a_grant(8)
