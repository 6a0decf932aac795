"""Enforcement of workspace caps at the entry node.

A request takes a token from a local bucket, which leases from the cap allocator
refill, so steady demand needs no round trip. When demand rises, the node requests
leases at once and the request waits a few milliseconds for the answer.

Splitting each cap equally would refuse most requests of callers that use few nodes.
Counting each request at the allocator would add a round trip to all of them.
"""

import collections
import collections.abc
import heapq

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    cap_allocator,
    cap_buckets,
    cap_reports,
    cap_requests,
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

RENEW_INTERVAL_MS = 400.0
"""Leases are renewed twice within their term, so that one datagram may be lost."""

MIN_REQUEST_INTERVAL_MS = 10.0
"""Interval between two requests on behalf of waiting calls. It exceeds the usual round
trip, so that calls which arrive meanwhile share one request."""

SELF_ELECTION_DELAY_MS = 10_000.0
"""For this long after its start, a node becomes the allocator only if it has no other
candidate or another node chose it."""

BAD_REDIRECT_SKIP_MS = 500.0
"""A node that redirected to an unusable allocator is skipped for this long."""

SHORT_MS = 100.0
"""A report that the allocator had no tokens left counts for this long. After a longer
time, tokens that have become available since would go to no one."""

MAX_WAIT_MS = 300.0
"""Longest wait of a call for a token. It is short, so that a refused caller can retry
within its deadline."""

MAX_STARTUP_WAIT_MS = 1_000.0
"""The same right after a start, while nodes agree on an allocator. A retry would take
as long."""

MEMBER_CONTACT_TIMEOUT_MS = 500.0
"""Longest time after a start to wait for contact with the members listed on the log.
Without it the node would choose itself and delegate its share to itself for a term."""

MAX_WAITING_CALLS = 256
"""Calls that may wait at one node, which bounds the memory that a flood takes."""

MAX_COUNTED_WORKSPACES = 200
"""Workspaces with counters of their own; the first ones that a node sees."""

OTHER_WORKSPACES = states.OTHER_WORKSPACES
"""Label of the counters shared by all other workspaces."""

USAGES_PER_PAGE = 16
"""Workspaces in one page of a handover, about 60 bytes each."""

MIN_REFUND = 0.001
"""Unused tokens that are worth a refund; smaller numbers are not encoded."""

DEMANDS_PER_REQUEST = 40
"""Workspaces in one request, which fit into one packet of about 1,000 bytes."""


def admit(state: states.State, call: states.Call, out: states.Effects) -> bool:
    """Whether a call may begin now; otherwise it waits or is refused."""
    cap = _cap_of(state, call)
    if cap is None:
        if call.workspace:
            _usage_of(state, call.workspace).admitted += 1
        return True
    bucket = cap_buckets.bucket_of(state, cap.name)
    bucket.request_count += 1
    bucket.last_request_at = state.now
    if _take_token(state, call, cap):
        return True
    short_until = min(bucket.lease_until, bucket.short_reported_at + SHORT_MS)
    is_short = bucket.short and state.now < short_until
    if is_short or len(state.caps.waiting_calls) >= MAX_WAITING_CALLS:
        _refuse(state, call, cap, out)
        return False
    wait = MAX_STARTUP_WAIT_MS if startup_waits.is_starting_up(state) else MAX_WAIT_MS
    state.caps.waiting_calls[call.id] = state.now + wait
    cap_requests.repeat_unanswered(state, out)
    _request_if_due(state, out)
    return False


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Renew the delegation and leases, and end waits that have expired."""
    if not _has_caps(state) or not _knows_members(state):
        return
    cap_requests.extend_timeouts(state)
    if state.stopping:
        _hand_over(state, out)
    cap_requests.skip_silent_allocator(state)
    cap_requests.repeat_unanswered(state, out)
    _request_if_due(state, out)
    admit_waiting(state, out)
    cap_reports.write(state, out)


def request_leases(state: states.State, names: list[str], out: states.Effects) -> None:
    """Report demand to the allocator, and delegate this node's share to it.

    Only one request is in flight, unless it has several pages. Demand that arises
    meanwhile is in the next one, so an allocator that is late gets fewer requests.

    :param names: the workspaces to request leases for.
    """
    caps = state.caps
    _choose_allocator(state, out)
    if caps.pending_requests:
        return
    if len(names) == len(caps.buckets):
        caps.renewed_at = state.now
    caps.requested_at = state.now
    caps.unanswered_since = caps.unanswered_since or state.now
    demands = _demands(state, names)
    for start in range(0, max(1, len(demands)), DEMANDS_PER_REQUEST):
        # An empty request still renews the delegation.
        _request_page(state, tuple(demands[start : start + DEMANDS_PER_REQUEST]), out)


def _request_page(
    state: states.State,
    demands: tuple[messages.CapDemand, ...],
    out: states.Effects,
) -> None:
    caps = state.caps
    allocator = caps.allocator
    delegates = caps.stamp > 0.0 and _may_delegate(state)
    if delegates:
        caps.delegated_to = allocator
        caps.delegated_until = state.now + cap_allocator.TERM_MS
    caps.request_number = max(caps.request_number + 1, int(state.started_at))
    message = messages.CapRequest(
        number=caps.request_number,
        stamp=caps.stamp if delegates else 0.0,
        demands=demands,
    )
    caps.pending_requests[message.number] = states.PendingCapRequest(
        message, sent_at=state.now
    )
    if allocator == state.node:
        _apply_answer(state, cap_allocator.grant(state, allocator, message))
    else:
        cap_requests.send_first(state, message, out)


def _choose_allocator(state: states.State, out: states.Effects) -> None:
    """Replace the allocator if it is skipped or no longer alive.

    Each change reduces admission for some seconds, so one that answers is kept.
    """
    caps = state.caps
    skipped = _skipped_nodes(state)
    current = caps.allocator
    if not current or current in skipped or not member_order.is_live(state, current):
        if state.stopping or state.now - state.started_at < SELF_ELECTION_DELAY_MS:
            # Other nodes may redirect this one to their allocator.
            skipped |= {state.node}
        _set_allocator(
            state, member_order.cap_allocator(state, passed_over=skipped), out
        )
    if caps.allocator == state.node:
        caps.stamp = state.now


def _set_allocator(
    state: states.State, allocator: ids.NodeId, out: states.Effects
) -> None:
    caps = state.caps
    if allocator == caps.allocator:
        return
    replaced = f" instead of {caps.allocator}" if caps.allocator else ""
    operator_log.info(out, "caps", f"{allocator} is the cap allocator{replaced}.")
    caps.allocator = allocator
    caps.allocator_changes += 1
    caps.stamp = 0.0
    caps.unanswered_since = 0.0
    caps.pending_requests.clear()


def _request_if_due(state: states.State, out: states.Effects) -> None:
    """Renew all leases if that is due, else request tokens for waiting calls."""
    caps = state.caps
    if caps.pending_requests or not _knows_members(state):
        return
    if state.now - caps.renewed_at >= RENEW_INTERVAL_MS:
        _drop_idle_buckets(state)
        cap_allocator.prune(state, state.now)
        request_leases(state, list(caps.buckets), out)
        admit_waiting(state, out)
    elif (
        caps.waiting_calls and state.now - caps.requested_at >= MIN_REQUEST_INTERVAL_MS
    ):
        waiting = {
            state.calls[call].workspace
            for call in caps.waiting_calls
            if call in state.calls
        }
        request_leases(state, sorted(waiting), out)
        admit_waiting(state, out)
    elif caps.waiting_calls and caps.due_number != caps.request_number:
        caps.due_number = caps.request_number
        due = caps.requested_at + MIN_REQUEST_INTERVAL_MS
        entry = (due, states.Deadline.CAP_REQUEST, caps.request_number)
        heapq.heappush(state.deadlines, entry)


def on_request_due(state: states.State, number: int, out: states.Effects) -> None:
    """Request tokens for calls that arrived shortly after a request.

    :param number: of that request.
    """
    if is_request_due(state, number):
        # Another one is scheduled if the clock is short of the interval by rounding.
        state.caps.due_number = 0
        _request_if_due(state, out)


def is_request_due(state: states.State, number: int) -> bool:
    """Whether calls still wait for the request that follows one."""
    caps = state.caps
    return number == caps.request_number and bool(caps.waiting_calls)


def on_request(
    state: states.State,
    sender: ids.NodeId,
    host: str,
    port: int,
    message: messages.CapRequest,
    out: states.Effects,
) -> None:
    """Answer a node that considers this one the allocator."""
    caps = state.caps
    timed_out = (
        caps.unanswered_since
        and state.now - caps.unanswered_since > cap_requests.FIRST_ANSWER_TIMEOUT_MS
    )
    if timed_out and caps.allocator != state.node:
        # The sender may have detected earlier that this allocator is silent.
        caps.skipped_nodes[caps.allocator] = state.now + cap_requests.SILENT_SKIP_MS
    _choose_allocator(state, out)
    if caps.allocator == state.node:
        answer = cap_allocator.grant(state, sender, message)
    else:
        answer = messages.CapAnswer(
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
        caps=answer,
    )
    out.append(effects.SendGossip(host=host, port=port, message=gossip))


def on_answer(
    state: states.State,
    sender: ids.NodeId,
    message: messages.CapAnswer,
    out: states.Effects,
) -> None:
    """Apply the leases in an answer, and admit calls that waited for them."""
    caps = state.caps
    number = message.number % messages.CAP_REPEAT_STEP
    if sender != caps.allocator or number not in caps.pending_requests:
        return
    if message.allocator:
        del caps.pending_requests[number]
        _on_redirect(state, message, out)
        return
    first_answer = caps.stamp == 0.0
    _apply_answer(state, message)
    if first_answer and _may_delegate(state):
        # The share can be delegated only now that the stamp is known.
        request_leases(state, list(caps.buckets), out)
    admit_waiting(state, out)
    # Calls that arrived after the request are not covered by this answer.
    _request_if_due(state, out)


def _on_redirect(
    state: states.State, message: messages.CapAnswer, out: states.Effects
) -> None:
    """Follow a redirect to another allocator, if that one is usable."""
    caps = state.caps
    allocator = ids.NodeId(message.allocator)
    if message.released and caps.delegated_to == caps.allocator:
        caps.delegated_until = 0.0
    is_self_stopping = allocator == state.node and state.stopping
    if (
        is_self_stopping
        or allocator in _skipped_nodes(state)
        or not member_order.is_live(state, allocator)
    ):
        # Skip the redirecting node as well, since its target is unusable.
        caps.skipped_nodes[caps.allocator] = state.now + BAD_REDIRECT_SKIP_MS
        caps.allocator = ids.NodeId("")
        caps.renewed_at = 0.0
        return
    _set_allocator(state, allocator, out)
    if state.now - caps.requested_at >= MIN_REQUEST_INTERVAL_MS:
        # Limits the rate of requests if two nodes redirect to each other.
        request_leases(state, list(caps.buckets), out)


def on_handover(
    state: states.State,
    sender: ids.NodeId,
    message: messages.CapHandover,
    out: states.Effects,
) -> None:
    """Take over as the allocator from a node that stops."""
    if state.stopping:
        # The sender did not know that this node stops; forward it to the next one.
        excluded = _skipped_nodes(state) | {state.node, sender}
        successor = member_order.cap_allocator(state, passed_over=excluded)
        if successor != state.node:
            cap_requests.send(state, successor, message, out)
        return
    cap_allocator.import_handover(state, message)
    _set_allocator(state, state.node, out)


def _hand_over(state: states.State, out: states.Effects) -> None:
    """Hand over to the next allocator before this node stops."""
    caps = state.caps
    if caps.handed_over or not state.cap_allocator.delegations:
        return
    excluded = _skipped_nodes(state) | {state.node}
    successor = member_order.cap_allocator(state, passed_over=excluded)
    if successor == state.node:
        return
    caps.handed_over = True
    handover = cap_allocator.export_handover(state)
    for start in range(0, max(1, len(handover.used)), USAGES_PER_PAGE):
        page = handover.used[start : start + USAGES_PER_PAGE]
        share, delegations = (
            (handover.share, handover.delegations) if not start else (0.0, ())
        )
        message = messages.CapHandover(share, delegations, page)
        cap_requests.send(state, successor, message, out)
    _set_allocator(state, successor, out)


def admit_waiting(state: states.State, out: states.Effects) -> None:
    """Begin waiting calls for which there is a token, and refuse expired ones."""
    waiting = state.caps.waiting_calls
    for call_id, expires_at in list(waiting.items()):
        call = state.calls.get(call_id)
        cap = None if call is None else _cap_of(state, call)
        if call is None:
            del waiting[call_id]
        elif cap is None or _take_token(state, call, cap):
            del waiting[call_id]
            sending.begin(state, call, out)
        elif state.now >= expires_at or _is_short(state, call, cap):
            del waiting[call_id]
            _refuse(state, call, cap, out)


def _take_token(state: states.State, call: states.Call, cap: routes.Workspace) -> bool:
    """Take a token for a call; return whether there was one."""
    if not cap_buckets.take_token(state, cap):
        return False
    call.took_cap_token = True
    _usage_of(state, cap.name).admitted += 1
    return True


def _usage_of(state: states.State, workspace: str) -> states.WorkspaceUsage:
    """Return the counters of a workspace, or those shared beyond the bound."""
    usage = state.caps.usage
    if workspace not in usage and len(usage) >= MAX_COUNTED_WORKSPACES:
        workspace = OTHER_WORKSPACES
    return usage.setdefault(workspace, states.WorkspaceUsage())


def _apply_answer(state: states.State, message: messages.CapAnswer) -> None:
    caps = state.caps
    repeat, number = divmod(message.number, messages.CAP_REPEAT_STEP)
    request = caps.pending_requests.pop(number)
    requested_at = request.sent_at
    cap_requests.record_round_trip(state, request, repeat)
    caps.answered_at = state.now
    caps.unanswered_since = state.now if caps.pending_requests else 0.0
    caps.stamp = message.stamp
    for lease in message.leases:
        cap = None if state.routes is None else state.routes.workspace(lease.workspace)
        if cap is None:
            continue
        bucket = cap_buckets.bucket_of(state, cap.name)
        bucket.short = lease.short
        bucket.short_reported_at = state.now
        cap_buckets.apply_lease(
            state,
            bucket,
            cap,
            rate_milli=lease.rate_milli,
            tokens=lease.tokens,
            until=requested_at + cap_allocator.TERM_MS,
        )


def _may_delegate(state: states.State) -> bool:
    caps = state.caps
    return caps.delegated_to == caps.allocator or caps.delegated_until <= state.now


def _demands(state: states.State, names: list[str]) -> list[messages.CapDemand]:
    waiting_calls = (state.calls.get(call_id) for call_id in state.caps.waiting_calls)
    waiting_counts = collections.Counter(
        call.workspace for call in waiting_calls if call is not None
    )
    demands = []
    for name in names:
        cap = None if state.routes is None else state.routes.workspace(name)
        bucket = state.caps.buckets.get(name)
        if cap is None or bucket is None:
            continue
        cap_buckets.refill(state, bucket, cap)
        rate = cap_buckets.record_demand(state, bucket)
        leased_milli = bucket.rate_milli if bucket.lease_until > state.now else 0
        waiting = waiting_counts[ids.WorkspaceName(name)]
        if not (waiting or _needs_renewal(bucket, rate, leased_milli)):
            continue
        overflowed_milli = int(1_000.0 * bucket.overflowed)
        bucket.overflowed -= overflowed_milli / 1_000.0
        rate_milli = int(1_000.0 * rate)
        demand = messages.CapDemand(
            name, rate_milli, leased_milli, waiting, overflowed_milli
        )
        demands.append(demand)
    return demands


def _needs_renewal(bucket: states.Bucket, rate: float, leased_milli: int) -> bool:
    """Whether an answer could change the lease of a bucket or refund its tokens."""
    has_lease = leased_milli > 0 or rate >= cap_allocator.MIN_LEASED_DEMAND
    has_unused = bucket.tokens > 0.0 or bucket.overflowed >= MIN_REFUND
    return has_lease or has_unused


def _skipped_nodes(state: states.State) -> frozenset[ids.NodeId]:
    skipped = state.caps.skipped_nodes
    for node in [node for node, until in skipped.items() if until <= state.now]:
        del skipped[node]
    return frozenset(skipped)


def _drop_idle_buckets(state: states.State) -> None:
    buckets = state.caps.buckets
    index = state.routes
    for name, bucket in list(buckets.items()):
        idle = state.now - bucket.last_request_at > cap_buckets.IDLE_MS
        if idle or index is None or index.workspace(name) is None:
            del buckets[name]


def _is_short(state: states.State, call: states.Call, cap: routes.Workspace) -> bool:
    """Whether an answer since the call arrived reported that no tokens are left."""
    bucket = cap_buckets.bucket_of(state, cap.name)
    return bucket.short and bucket.short_reported_at >= call.arrived_at


def _knows_members(state: states.State) -> bool:
    membership = state.membership
    all_contacted = membership.members_listed and not membership.uncontacted
    return all_contacted or state.now - state.started_at > MEMBER_CONTACT_TIMEOUT_MS


def _has_caps(state: states.State) -> bool:
    return state.routes is not None and state.routes.has_caps


def _cap_of(state: states.State, call: states.Call) -> routes.Workspace | None:
    """Return the workspace of a call if it has a cap."""
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
    usage = _usage_of(state, cap.name)
    usage.refused += 1
    bucket = cap_buckets.bucket_of(state, cap.name)
    wait = cap_buckets.retry_after_ms(state, cap)
    rule = decisions.Rule.OVER_CAP
    figures = (bucket.tokens, bucket.rate_milli / 1_000.0, cap.rate, wait)
    if not bucket.short or bucket.lease_until <= state.now:
        usage.refused_unanswered += 1
        rule = decisions.Rule.CAP_UNANSWERED
        caps = state.caps
        silent_ms = state.now - max(caps.answered_at, state.started_at)
        figures = (silent_ms, float(len(caps.waiting_calls)), cap.rate, wait)
    refusals.refuse(state, call, rule, out, retry_after=wait, figures=figures)
