"""Fake backend servers with slots, an inner queue and calls to other services."""

import typing

from gingerturn.internal import ids
from gingerturn.internal.core import effects, events, pace
from gingerturn_fakes import parts

if typing.TYPE_CHECKING:
    from gingerturn_fakes import world as worlds

CONTENTION_SHARE = 0.95
"""Share of busy slots from which the contention factor of a service applies."""

LOCAL_MS = 0.1
"""One-way delay inside an availability zone."""

CRASH_AFTER_SHARE = 0.6
"""Part of its work after which a request crashes its backend server."""

RESTART_MS = 1_500.0
"""Time from a crash until the backend server runs again."""


def dispatch(
    world: "worlds.World", node: parts.FakeNode, effect: effects.DispatchCall
) -> None:
    """Accept a call that a node dispatches to its backend server."""
    known = node.hosted_calls.get(effect.hosted)
    terms = node.state.hosted[effect.hosted].metadata if known is None else known[2]
    method, path = node.requests.pop(-effect.hosted, ("GET", "/"))
    work = parts.Work(
        hosted=effect.hosted,
        kind=terms.kind,
        key=terms.key,
        span=effect.span,
        path=path,
        method=method,
        root=terms.root,
        steps=list(node.backend.spec.calls.get(terms.kind, [])),
        began=world.now,
    )
    if not node.backend.up:
        event = events.BackendFailed(
            now=world.now, hosted=effect.hosted, dispatched=False
        )
        world.at(
            LOCAL_MS, lambda: world.apply_to(node, parts.with_time(event, world.now))
        )
        return
    node.works[effect.hosted] = work
    world.at(LOCAL_MS, lambda: _begin(world, node, work))


def _begin(world: "worlds.World", node: parts.FakeNode, work: parts.Work) -> None:
    if work.cancelled or node.works.get(work.hosted) is not work:
        return
    backend = node.backend
    if backend.refused_share and world.random.random() < backend.refused_share:
        _finish(world, node, work, 503, had_slot=False, executed=False)
        return
    if backend.running >= backend.spec.slots:
        if backend.refuse_when_full:
            _finish(world, node, work, 503, had_slot=False)
            return
        if len(backend.waiting) >= backend.max_waiting:
            backend.unanswered += 1
            return
        backend.waiting.append(work)
        return
    backend.running += 1
    backend.executed += 1
    work.began = world.now
    work.started = True
    if work.key:
        backend.executions[work.key] += 1
    world.on_execution(node, work)
    mean = backend.spec.service_ms.get(work.kind, 10.0) * backend.slow
    mean *= backend.pace / pace.USUAL
    if work.path in world.deadly_paths:
        world.at(mean * CRASH_AFTER_SHARE, lambda: _crash_during(world, node, work))
        return
    if backend.running >= CONTENTION_SHARE * backend.spec.slots:
        mean *= backend.spec.contention_factor
    world.at(
        mean * world.random.uniform(0.7, 1.3), lambda: _next_step(world, node, work)
    )


def _crash_during(
    world: "worlds.World", node: parts.FakeNode, work: parts.Work
) -> None:
    """Crash the backend server if it still runs the request."""
    if not work.done and node.works.get(work.hosted) is work:
        crash(world, node)


def crash(world: "worlds.World", node: parts.FakeNode) -> None:
    """Crash a backend server with all its requests, and restart it later."""
    backend = node.backend
    backend.up = False
    backend.crashes += 1
    backend.running = 0
    backend.waiting.clear()
    for work in list(node.works.values()):
        work.done = work.cancelled = True
        if work.waiting_child:
            _cancel_child(world, node, work)
        _fail(world, node, work.hosted)
    node.works.clear()
    world.at(RESTART_MS, lambda: _restart(world, node))


def _fail(world: "worlds.World", node: parts.FakeNode, hosted: int) -> None:
    event = events.BackendFailed(
        now=world.now, hosted=ids.HostedId(hosted), dispatched=True
    )
    world.at(LOCAL_MS, lambda: world.apply_to(node, parts.with_time(event, world.now)))


def check(
    world: "worlds.World", node: parts.FakeNode, effect: effects.CheckBackend
) -> None:
    """Report to a node whether its backend server accepts a new connection."""
    refused = not node.backend.up
    event = events.BackendChecked(now=world.now, refused=refused)
    world.at(LOCAL_MS, lambda: world.apply_to(node, parts.with_time(event, world.now)))


def _restart(world: "worlds.World", node: parts.FakeNode) -> None:
    if node.alive:
        node.backend.up = True
        world.announce(node)


def _cancel_child(
    world: "worlds.World", node: parts.FakeNode, work: parts.Work
) -> None:
    """Cancel the call that a request waits for."""
    event = events.CallerGone(now=world.now, call=ids.CallId(work.waiting_child))
    node.callers.pop(work.waiting_child, None)
    world.at(LOCAL_MS, lambda: world.apply_to(node, parts.with_time(event, world.now)))


def _next_step(world: "worlds.World", node: parts.FakeNode, work: parts.Work) -> None:
    if work.done or node.works.get(work.hosted) is not work:
        return
    if not work.steps:
        _finish(world, node, work, 200)
        return
    service, _, rest = work.steps.pop(0).partition(" ")
    method, _, path = rest.partition(" ")
    call = world.next_number()
    node.callers[call] = work
    work.waiting_child = call
    world.call(node, call, service, method, path, work.span)


def child_ended(
    world: "worlds.World", node: parts.FakeNode, work: parts.Work, status: int
) -> None:
    """Continue a request whose own call has ended."""
    if work.done or node.works.get(work.hosted) is not work:
        return
    work.waiting_child = 0
    if status != 200:
        _finish(world, node, work, world.child_failed_status)
        return
    _next_step(world, node, work)


def _finish(
    world: "worlds.World",
    node: parts.FakeNode,
    work: parts.Work,
    status: int,
    *,
    had_slot: bool = True,
    executed: bool = True,
) -> None:
    work.done = True
    node.works.pop(work.hosted, None)
    node.statuses[work.hosted] = status
    _report(world, node, work)
    event = events.BackendAnswered(
        now=world.now,
        hosted=ids.HostedId(work.hosted),
        status=status,
        executed=executed,
        load=node.backend.load(),
    )
    world.at(LOCAL_MS, lambda: world.apply_to(node, parts.with_time(event, world.now)))
    if had_slot:
        _release_slot(world, node, work)


def _report(world: "worlds.World", node: parts.FakeNode, work: parts.Work) -> None:
    """Report the rate limit and leaving in the head of an answer."""
    backend = node.backend
    node.reports[work.hosted] = parts.BackendReport(
        world.instance_of(node), backend.rate_limit, backend.reports_leaving
    )
    event = events.BackendReported(
        now=world.now,
        hosted=ids.HostedId(work.hosted),
        rate_limit=backend.rate_limit,
        leaving=backend.reports_leaving,
    )
    world.at(LOCAL_MS, lambda: world.apply_to(node, parts.with_time(event, world.now)))


def _release_slot(
    world: "worlds.World", node: parts.FakeNode, work: parts.Work
) -> None:
    backend = node.backend
    backend.running -= 1
    backend.busy_ms += world.now - work.began
    world.on_work_end(node, work, world.now - work.began)
    while backend.waiting and backend.running < backend.spec.slots:
        following = backend.waiting.popleft()
        if not following.cancelled:
            _begin(world, node, following)


def cancel_backend(
    world: "worlds.World", node: parts.FakeNode, effect: effects.CancelBackend
) -> None:
    """Drop a call that its node has cancelled."""
    node.hosted_calls.pop(effect.hosted, None)
    work = node.works.pop(effect.hosted, None)
    if work is None:
        return
    work.cancelled = True
    work.done = True
    if not work.started:
        if work in node.backend.waiting:
            node.backend.waiting.remove(work)
        return
    if work.waiting_child:
        _cancel_child(world, node, work)
    _release_slot(world, node, work)
