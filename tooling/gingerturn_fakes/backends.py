"""The fake backend servers: slots, a queue inside, and the calls that they make."""

import typing

from gingerturn.internal import ids
from gingerturn.internal.core import effects, events
from gingerturn_fakes import parts

if typing.TYPE_CHECKING:
    from gingerturn_fakes import world as worlds

CROWDED_SHARE = 0.95
"""Share of the slots from which work takes longer where it does."""

LOCAL_MS = 0.1
"""One way inside a zone or an instance; the brief gives none, chosen small."""

DEADLY_SHARE = 0.6
"""A request that ends its backend server does so after this part of its work."""

RESTART_MS = 1_500.0
"""A backend server that ended by itself is back after this time."""


def hand_over(
    made: "worlds.World", node: parts.FakeNode, effect: effects.DispatchCall
) -> None:
    """Take a call that a node hands to its backend server."""
    known = node.terms.get(effect.hosted)
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
        began=made.now,
    )
    if not node.backend.up:
        event = events.BackendFailed(
            now=made.now, hosted=effect.hosted, dispatched=False
        )
        made.at(LOCAL_MS, lambda: made.apply_to(node, parts.moved(event, made.now)))
        return
    node.works[effect.hosted] = work
    made.at(LOCAL_MS, lambda: _begin(made, node, work))


def _begin(made: "worlds.World", node: parts.FakeNode, work: parts.Work) -> None:
    if work.cancelled or node.works.get(work.hosted) is not work:
        return
    backend = node.backend
    if backend.turned_away and made.random.random() < backend.turned_away:
        _end_work(made, node, work, 503, held=False, executed=False)
        return
    if backend.running >= backend.spec.slots:
        if backend.refuse_beyond:
            _end_work(made, node, work, 503, held=False)
            return
        backend.waiting.append(work)
        return
    backend.running += 1
    backend.executed += 1
    work.began = made.now
    work.started = True
    if work.key:
        backend.executions[work.key] += 1
    made.on_execution(node, work)
    mean = backend.spec.service_ms.get(work.kind, 10.0) * backend.slow
    if work.path in made.deadly_paths:
        made.at(mean * DEADLY_SHARE, lambda: _end_by(made, node, work))
        return
    if backend.running >= CROWDED_SHARE * backend.spec.slots:
        mean *= backend.spec.crowded
    made.at(mean * made.random.uniform(0.7, 1.3), lambda: _next_step(made, node, work))


def _end_by(made: "worlds.World", node: parts.FakeNode, work: parts.Work) -> None:
    """End the backend server that still works on a deadly request."""
    if not work.done and node.works.get(work.hosted) is work:
        end(made, node)


def end(made: "worlds.World", node: parts.FakeNode) -> None:
    """End a backend server with all that it holds, and start it anew later."""
    backend = node.backend
    backend.up = False
    backend.ends += 1
    backend.running = 0
    backend.waiting.clear()
    for work in list(node.works.values()):
        work.done = work.cancelled = True
        if work.waiting_child:
            _drop_child(made, node, work)
        _fail(made, node, work.hosted)
    node.works.clear()
    made.at(RESTART_MS, lambda: _start_anew(made, node))


def _fail(made: "worlds.World", node: parts.FakeNode, hosted: int) -> None:
    event = events.BackendFailed(
        now=made.now, hosted=ids.HostedId(hosted), dispatched=True
    )
    made.at(LOCAL_MS, lambda: made.apply_to(node, parts.moved(event, made.now)))


def check(
    made: "worlds.World", node: parts.FakeNode, effect: effects.CheckBackend
) -> None:
    """Tell a node whether its backend server takes a new connection."""
    refused = not node.backend.up
    event = events.BackendChecked(now=made.now, refused=refused)
    made.at(LOCAL_MS, lambda: made.apply_to(node, parts.moved(event, made.now)))


def _start_anew(made: "worlds.World", node: parts.FakeNode) -> None:
    if node.alive:
        node.backend.up = True
        made.announce(node)


def _drop_child(made: "worlds.World", node: parts.FakeNode, work: parts.Work) -> None:
    """Break off the call that a request waits for."""
    gone = events.CallerGone(now=made.now, call=ids.CallId(work.waiting_child))
    node.callers.pop(work.waiting_child, None)
    made.at(LOCAL_MS, lambda: made.apply_to(node, parts.moved(gone, made.now)))


def _next_step(made: "worlds.World", node: parts.FakeNode, work: parts.Work) -> None:
    if work.done or node.works.get(work.hosted) is not work:
        return
    if not work.steps:
        _end_work(made, node, work, 200)
        return
    service, _, rest = work.steps.pop(0).partition(" ")
    method, _, path = rest.partition(" ")
    call = made.next_number()
    node.callers[call] = work
    work.waiting_child = call
    made.call(node, call, service, method, path, work.span)


def child_ended(
    made: "worlds.World", node: parts.FakeNode, work: parts.Work, status: int
) -> None:
    """Go on with a request whose own call has ended."""
    if work.done or node.works.get(work.hosted) is not work:
        return
    work.waiting_child = 0
    if status != 200:
        _end_work(made, node, work, made.child_failed_status)
        return
    _next_step(made, node, work)


def _end_work(
    made: "worlds.World",
    node: parts.FakeNode,
    work: parts.Work,
    status: int,
    *,
    held: bool = True,
    executed: bool = True,
) -> None:
    work.done = True
    node.works.pop(work.hosted, None)
    node.statuses[work.hosted] = status
    event = events.BackendAnswered(
        now=made.now,
        hosted=ids.HostedId(work.hosted),
        status=status,
        executed=executed,
    )
    made.at(LOCAL_MS, lambda: made.apply_to(node, parts.moved(event, made.now)))
    if held:
        _free(made, node, work)


def _free(made: "worlds.World", node: parts.FakeNode, work: parts.Work) -> None:
    backend = node.backend
    backend.running -= 1
    backend.busy_ms += made.now - work.began
    made.on_work_end(node, work, made.now - work.began)
    while backend.waiting and backend.running < backend.spec.slots:
        following = backend.waiting.popleft()
        if not following.cancelled:
            _begin(made, node, following)


def cancel_backend(
    made: "worlds.World", node: parts.FakeNode, effect: effects.CancelBackend
) -> None:
    """Drop a call that its node has cancelled."""
    node.terms.pop(effect.hosted, None)
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
        _drop_child(made, node, work)
    _free(made, node, work)
