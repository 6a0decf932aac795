"""What workspaces may use over all nodes, at the node that a caller sends to.

A request takes a token from the node's own bucket, so that none waits for another node
as long as demand goes on as before. Where demand begins the node asks the keeper at
once, and the request waits for that answer, some milliseconds.

Not chosen: equal parts of a cap at each node refuse most of what callers at few nodes
may use; counting each request at the keeper adds its round trip to every request.
"""

import collections
import collections.abc

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    cap_allocator,
    cap_buckets,
    decisions,
    effects,
    member_order,
    messages,
    operator_log,
    refusals,
    sending,
    startup_waits,
    state as states,
)

CHECK_MS = 100.0

ASK_EVERY_MS = 400.0
"""Twice within a term, so that one datagram may be lost."""

ASK_AGAIN_MS = 100.0
"""Pause until a question without an answer is put again. A keeper that is busy answers
late; asked more often for it, it would answer later still."""

ASK_AT_ONCE_MS = 10.0
"""Pause between two questions for requests that wait: longer than an answer takes, so
that those which come meanwhile are asked for together."""

SILENT_MS = 400.0
"""A keeper that has not answered for so long is passed over: not one that is busy for a
moment, since each change costs some seconds in which less is let pass."""

NEVER_HEARD_MS = 190.0
"""So is one sooner that has not answered the first: where a network is parted, half of
those that could keep the caps are on the other side."""

OPEN_MS = 900.0
"""An answer that takes longer is of no use: its leases have ended nearly."""

YOUNG_MS = 10_000.0
"""A node that has just started takes itself for the keeper only if others do."""

LED_ASTRAY_MS = 500.0
"""A node is not asked again for this long that led to one which does not answer."""

PASSED_OVER_MS = 3_000.0
"""A node that did not answer is not asked as keeper for this long."""

HOLD_MS = 300.0
"""A request waits at most so long for a token; callers wait for seconds, but one that
is refused soon can come back in time."""

HOLD_SETTLING_MS = 1_000.0
"""The same right after a start, while nodes agree on a keeper: told to come back, a
caller would wait as long."""

MEET_MS = 500.0
"""A node that has just started waits so long to hear from the members that the log
lists. It would take itself for the keeper, and be bound to that for a term."""

MAX_HELD = 256
"""Requests that wait at one node; there is no queue for a workspace that floods."""

MAX_COUNTED = 200
"""Workspaces that are counted one by one for the metrics, of a node's first ones."""

OTHERS = "(others)"
"""Stands for all others; no name of a workspace, since these are sent in headers."""

USES = 16
"""Workspaces in one page of what a keeper leaves to the next, some 60 bytes each."""

ENTRIES = 40
"""Workspaces in one question: about 1,000 bytes, one packet."""


def admit(state: states.State, call: states.Call, out: states.Effects) -> bool:
    """Tell whether a whole request may begin now; if not, it waits or is refused."""
    cap = _cap_of(state, call)
    if cap is None:
        if call.workspace:
            _use_of(state, call.workspace).admitted += 1
        return True
    bucket = cap_buckets.bucket_of(state, cap.name)
    bucket.request_count += 1
    bucket.last_request_at = state.now
    if _draw(state, call, cap):
        return True
    leased = bucket.lease_until > state.now
    if (leased and bucket.short) or len(state.caps.waiting_calls) >= MAX_HELD:
        _refuse(state, call, cap, out)
        return False
    wait = HOLD_SETTLING_MS if startup_waits.is_starting_up(state) else HOLD_MS
    state.caps.waiting_calls[call.id] = state.now + wait
    _ask_for_held(state, out)
    return False


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Renew loan and leases, and end waits that are over."""
    if not _has_caps(state) or not _knows_members(state):
        return
    caps = state.caps
    if state.stopping:
        _hand_over(state, out)
    _give_up_silent(state)
    pause = ASK_AGAIN_MS if caps.unanswered_since else ASK_EVERY_MS
    if now - caps.renewed_at >= pause:
        _drop_idle(state)
        cap_allocator.prune(state, now)
        request_leases(state, list(caps.buckets), out)
    admit_waiting(state, out)
    _ask_for_held(state, out)


def request_leases(state: states.State, names: list[str], out: states.Effects) -> None:
    """Tell the keeper what is wanted here, and lend it the own parts.

    :param names: the workspaces to ask for.
    """
    caps = state.caps
    _choose_keeper(state, out)
    if len(names) == len(caps.buckets):
        caps.renewed_at = state.now
    caps.requested_at = state.now
    caps.unanswered_since = caps.unanswered_since or state.now
    demands = _demands(state, names)
    for first in range(0, max(1, len(demands)), ENTRIES):
        # One goes out in any case, for the loan.
        _ask_page(state, tuple(demands[first : first + ENTRIES]), out)


def _ask_page(
    state: states.State,
    demands: tuple[messages.CapDemand, ...],
    out: states.Effects,
) -> None:
    caps = state.caps
    keeper = caps.allocator
    lends = caps.stamp > 0.0 and _may_lend(state)
    if lends:
        caps.delegated_to = keeper
        caps.delegated_until = state.now + cap_allocator.TERM_MS
    caps.request_number += 1
    caps.pending_requests[caps.request_number] = state.now
    message = messages.CapRequest(
        number=caps.request_number,
        stamp=caps.stamp if lends else 0.0,
        demands=demands,
    )
    if keeper == state.node:
        _take_answer(state, cap_allocator.grant(state, keeper, message))
    else:
        _send(state, keeper, message, out)


def _choose_keeper(state: states.State, out: states.Effects) -> None:
    """Stay with a keeper as long as it answers; each change costs some seconds in which
    less is let pass."""
    caps = state.caps
    passed_over = _passed_over(state)
    known = caps.allocator
    if not known or known in passed_over or not member_order.is_live(state, known):
        if state.stopping or state.now - state.started_at < YOUNG_MS:
            # The others may have a keeper already, and lead this node to it.
            passed_over |= {state.node}
        _follow(state, member_order.cap_allocator(state, passed_over=passed_over), out)
    if caps.allocator == state.node:
        caps.stamp = state.now


def _follow(state: states.State, keeper: ids.NodeId, out: states.Effects) -> None:
    caps = state.caps
    if keeper == caps.allocator:
        return
    before = f", no longer {caps.allocator}" if caps.allocator else ""
    operator_log.info(out, "caps", f"{keeper} keeps the caps of workspaces{before}.")
    caps.allocator = keeper
    caps.stamp = 0.0
    caps.unanswered_since = 0.0
    caps.pending_requests.clear()


def _ask_for_held(state: states.State, out: states.Effects) -> None:
    """Ask at once for the workspaces whose requests wait."""
    caps = state.caps
    if not _knows_members(state):
        return
    pause = ASK_AGAIN_MS if caps.unanswered_since else ASK_AT_ONCE_MS
    if not caps.waiting_calls or state.now - caps.requested_at < pause:
        return
    waiting = {
        state.calls[call].workspace
        for call in caps.waiting_calls
        if call in state.calls
    }
    request_leases(state, sorted(waiting), out)
    admit_waiting(state, out)


def on_request(
    state: states.State,
    sender: ids.NodeId,
    host: str,
    port: int,
    message: messages.CapRequest,
    out: states.Effects,
) -> None:
    """Answer a node that takes this one for the keeper."""
    caps = state.caps
    silent = (
        caps.unanswered_since and state.now - caps.unanswered_since > NEVER_HEARD_MS
    )
    if silent and caps.allocator != state.node:
        # Whoever asks may have found out before that it does not answer.
        caps.skipped_nodes[caps.allocator] = state.now + PASSED_OVER_MS
    _choose_keeper(state, out)
    if caps.allocator == state.node:
        told = cap_allocator.grant(state, sender, message)
    else:
        told = messages.CapAnswer(
            number=message.number,
            stamp=0.0,
            leases=(),
            allocator=caps.allocator,
            released=caps.handed_over,
        )
    gossip = messages.Gossip(
        kind=messages.GossipKind.CAPS,
        sequence=0,
        revision=state.revisions.revision,
        caps=told,
    )
    out.append(effects.SendGossip(host=host, port=port, message=gossip))


def on_answer(
    state: states.State,
    sender: ids.NodeId,
    message: messages.CapAnswer,
    out: states.Effects,
) -> None:
    """Take in the keeper's leases; requests that waited for them begin."""
    caps = state.caps
    if sender != caps.allocator or message.number not in caps.pending_requests:
        return
    if message.allocator:
        _on_led_on(state, message, out)
        return
    first = caps.stamp == 0.0
    _take_answer(state, message)
    if first and _may_lend(state):
        # The stamp is known now: without the loan there is nothing to be leased yet.
        request_leases(state, list(caps.buckets), out)
    admit_waiting(state, out)
    # Some may have come after the question, and are not refused by its answer.
    _ask_for_held(state, out)


def _on_led_on(
    state: states.State, message: messages.CapAnswer, out: states.Effects
) -> None:
    """Ask another node, as the one asked tells that it does not keep the caps."""
    caps = state.caps
    keeper = ids.NodeId(message.allocator)
    if message.released and caps.delegated_to == caps.allocator:
        caps.delegated_until = 0.0
    unfit = keeper == state.node and state.stopping
    if (
        unfit
        or keeper in _passed_over(state)
        or not member_order.is_live(state, keeper)
    ):
        # It is known here for one that does not answer; so is who leads to it.
        caps.skipped_nodes[caps.allocator] = state.now + LED_ASTRAY_MS
        caps.allocator = ids.NodeId("")
        return
    _follow(state, keeper, out)
    if state.now - caps.requested_at >= ASK_AT_ONCE_MS:
        # Two that lead to one another would be asked in turn as fast as they answer.
        request_leases(state, list(caps.buckets), out)


def on_handover(
    state: states.State,
    sender: ids.NodeId,
    message: messages.CapHandover,
    out: states.Effects,
) -> None:
    """Keep the caps from now on, where another node did that stops."""
    if state.stopping:
        # The sender could not know. Who comes next can go on as well.
        passed_over = _passed_over(state) | {state.node, sender}
        successor = member_order.cap_allocator(state, passed_over=passed_over)
        if successor != state.node:
            _send(state, successor, message, out)
        return
    cap_allocator.import_handover(state, message)
    _follow(state, state.node, out)


def _hand_over(state: states.State, out: states.Effects) -> None:
    """Leave the caps to the next node, before this one stops."""
    caps = state.caps
    if caps.handed_over or not state.cap_allocator.delegations:
        return
    passed_over = _passed_over(state) | {state.node}
    successor = member_order.cap_allocator(state, passed_over=passed_over)
    if successor == state.node:
        return
    caps.handed_over = True
    whole = cap_allocator.export_handover(state)
    for first in range(0, max(1, len(whole.used)), USES):
        page = whole.used[first : first + USES]
        share, loans = (whole.share, whole.delegations) if not first else (0.0, ())
        message = messages.CapHandover(share, loans, page)
        _send(state, successor, message, out)
    _follow(state, successor, out)


def admit_waiting(state: states.State, out: states.Effects) -> None:
    """Let requests begin that waited for a token, or refuse them."""
    held = state.caps.waiting_calls
    for call_id, until in list(held.items()):
        call = state.calls.get(call_id)
        cap = None if call is None else _cap_of(state, call)
        if call is None:
            del held[call_id]
        elif cap is None or _draw(state, call, cap):
            del held[call_id]
            sending.begin(state, call, out)
        elif state.now >= until or _is_short(state, call, cap):
            del held[call_id]
            _refuse(state, call, cap, out)


def _draw(state: states.State, call: states.Call, cap: routes.Workspace) -> bool:
    """Take a token for a call, if there is one."""
    if not cap_buckets.take_token(state, cap):
        return False
    call.took_cap_token = True
    _use_of(state, cap.name).admitted += 1
    return True


def _use_of(state: states.State, workspace: str) -> states.WorkspaceUsage:
    """Return what is counted of a workspace; of those beyond the bound, together."""
    use = state.caps.usage
    if workspace not in use and len(use) >= MAX_COUNTED:
        workspace = OTHERS
    return use.setdefault(workspace, states.WorkspaceUsage())


def _take_answer(state: states.State, message: messages.CapAnswer) -> None:
    caps = state.caps
    asked = caps.pending_requests.pop(message.number)
    caps.unanswered_since = 0.0
    caps.stamp = message.stamp
    for leased in message.leases:
        cap = None if state.routes is None else state.routes.workspace(leased.workspace)
        if cap is None:
            continue
        bucket = cap_buckets.bucket_of(state, cap.name)
        bucket.short = leased.short
        bucket.short_reported_at = state.now
        cap_buckets.apply_lease(
            state,
            bucket,
            cap,
            rate_milli=leased.rate_milli,
            tokens=leased.tokens,
            until=asked + cap_allocator.TERM_MS,
        )


def _may_lend(state: states.State) -> bool:
    caps = state.caps
    return caps.delegated_to == caps.allocator or caps.delegated_until <= state.now


def _demands(state: states.State, names: list[str]) -> list[messages.CapDemand]:
    held = (state.calls.get(call_id) for call_id in state.caps.waiting_calls)
    needs = collections.Counter(call.workspace for call in held if call is not None)
    found = []
    for name in names:
        cap = None if state.routes is None else state.routes.workspace(name)
        bucket = state.caps.buckets.get(name)
        if cap is None or bucket is None:
            continue
        cap_buckets.refill(state, bucket, cap)
        rate = cap_buckets.record_demand(state, bucket)
        lease = bucket.rate_milli if bucket.lease_until > state.now else 0
        # Where callers are refused at once none wait, though there may be tokens.
        need = max(
            needs[ids.WorkspaceName(name)], int(bucket.short and bucket.tokens < 1.0)
        )
        spilled = int(1_000.0 * bucket.overflowed)
        bucket.overflowed -= spilled / 1_000.0
        rate_milli = int(1_000.0 * rate)
        demand = messages.CapDemand(name, rate_milli, lease, need, spilled)
        found.append(demand)
    return found


def _send(
    state: states.State,
    node: ids.NodeId,
    message: messages.CapMessage,
    out: states.Effects,
) -> None:
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


def _give_up_silent(state: states.State) -> None:
    """Pass a keeper over that does not answer."""
    caps = state.caps
    for number in [
        n for n, at in caps.pending_requests.items() if state.now - at > OPEN_MS
    ]:
        del caps.pending_requests[number]
    patience = SILENT_MS if caps.stamp else NEVER_HEARD_MS
    silent = caps.unanswered_since and state.now - caps.unanswered_since >= patience
    if silent and caps.allocator != state.node:
        caps.skipped_nodes[caps.allocator] = state.now + PASSED_OVER_MS


def _passed_over(state: states.State) -> frozenset[ids.NodeId]:
    known = state.caps.skipped_nodes
    for node in [node for node, until in known.items() if until <= state.now]:
        del known[node]
    return frozenset(known)


def _drop_idle(state: states.State) -> None:
    buckets = state.caps.buckets
    index = state.routes
    for name, bucket in list(buckets.items()):
        idle = state.now - bucket.last_request_at > cap_buckets.IDLE_MS
        if idle or index is None or index.workspace(name) is None:
            del buckets[name]


def _is_short(state: states.State, call: states.Call, cap: routes.Workspace) -> bool:
    """Tell whether an answer since a call came left no hope for a token soon."""
    bucket = cap_buckets.bucket_of(state, cap.name)
    return bucket.short and bucket.short_reported_at >= call.arrived_at


def _knows_members(state: states.State) -> bool:
    view = state.membership
    met = view.members_listed and not view.uncontacted
    return met or state.now - state.started_at > MEET_MS


def _has_caps(state: states.State) -> bool:
    return state.routes is not None and state.routes.has_caps


def _cap_of(state: states.State, call: states.Call) -> routes.Workspace | None:
    """Return the workspace of a call, if there is a cap on it."""
    if not call.workspace or state.routes is None:
        return None
    workspace = state.routes.workspace(call.workspace)
    return workspace if workspace is not None and workspace.rate > 0.0 else None


def _refuse(
    state: states.State,
    call: states.Call,
    cap: routes.Workspace,
    out: states.Effects,
) -> None:
    _use_of(state, cap.name).refused += 1
    bucket = cap_buckets.bucket_of(state, cap.name)
    wait = cap_buckets.retry_after_ms(state, cap)
    refusals.refuse(
        state,
        call,
        decisions.Rule.OVER_CAP,
        out,
        retry_after=wait,
        figures=(bucket.tokens, bucket.rate_milli / 1_000.0, cap.rate, wait),
    )
