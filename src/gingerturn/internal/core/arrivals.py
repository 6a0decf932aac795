"""A caller's request as a call: a whole request, or part of one that runs here."""

import hashlib

from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    allowance,
    events,
    ranks,
    slot_costs,
    state as states,
)

PROTECTED_SHARE = 1.0 / 8
"""On routes this share of every kind of request goes with the first priority, so that
no kind is starved however little there is: users want each served at least a quarter as
often as all. An eighth keeps to that until half of everything is refused."""

PROTECTED_FROM = int((1.0 - PROTECTED_SHARE) * 2**64)
"""The roots that are spared: those whose hash goes last in the shedding order."""


def find_parent(state: states.State, event: events.CallArrived) -> states.Hosted | None:
    """Return the call that runs here on whose behalf a request comes, if any.

    A request with an API key is one of its own, whatever its id says.
    """
    if event.key_digest:
        return None
    hosted = state.hosted_by_span.get(event.span)
    return None if hosted is None else state.hosted.get(hosted)


def root_call(
    state: states.State, event: events.CallArrived, rule: configuration.KindRule
) -> states.Call:
    """Return a whole request as a call."""
    identity = event.key or f"{event.trace}-{event.span}"
    root = root_hash(identity)
    spared = state.routed and root >= PROTECTED_FROM
    timeout = float(rule.timeout_ms)
    if event.timeout_ms > 0:
        timeout = min(timeout, event.timeout_ms)
    importance = rule.importance
    if spared:
        importance = configuration.IMPORTANCE_CLASSES - 1
    elif state.routed:
        root = slot_costs.shedding_hash(state.costs, rule.name, importance, root)
    return states.Call(
        id=event.call,
        rule=rule,
        service=rule.service or event.service,
        importance=importance,
        depth=0,
        root=root,
        rank=ranks.rank_of(importance=importance, depth=0, root=root),
        deadline=event.now + timeout,
        tokens=rule.retry_allowance,
        trace=event.trace,
        key="" if rule.repeatable else event.key,
        key_derived=False,
        replayable=event.replayable,
        arrived_at=event.now,
        never_ran=not event.key or rule.repeatable or event.sending == 1,
        holder="" if rule.repeatable else event.holder,
        fingerprint=event.fingerprint,
        tried_upstreams=[],
    )


def child_call(
    state: states.State,
    event: events.CallArrived,
    rule: configuration.KindRule,
    parent: states.Hosted,
) -> states.Call:
    """Return a part of a request that runs here as a call."""
    terms = parent.metadata
    importance = terms.importance
    if not state.routed:
        importance = max(importance, rule.importance)
    # A route's priority ranks its callers' requests among each other. Were it to lift
    # a call above its request, a full service would tell a level that cuts off every
    # request of the lower class at once instead of a part of them.
    if state.routed:
        # The route says how often a call may be sent, and the budget bounds the sum
        # over the graph. A share of the parent's tokens, of which there is mostly
        # one, would leave a call in a tree without any.
        tokens = rule.retry_allowance
    else:
        tokens = allowance.tokens_for_child(parent.tokens)
        parent.tokens -= tokens
    seen = state.child_kinds.setdefault(terms.kind, {})
    service = rule.service or event.service
    seen[(service, rule.name)] = event.now
    slot_costs.record_child_call(state.costs, terms.kind, service, rule.name)
    timeout = float(rule.timeout_ms)
    if event.timeout_ms > 0:
        timeout = min(timeout, event.timeout_ms)
    key = "" if rule.repeatable else event.key
    derived = False
    if not rule.repeatable and not key and terms.repeatable:
        # The parent may be sent again and would call once more. A parent that
        # itself runs at most once needs no claim for what it calls.
        key = _derived_key(event, parent)
        derived = True
    return states.Call(
        id=event.call,
        rule=rule,
        service=rule.service or event.service,
        importance=importance,
        depth=terms.depth + 1,
        root=terms.root,
        rank=ranks.rank_of(
            importance=importance, depth=terms.depth + 1, root=terms.root
        ),
        deadline=min(parent.deadline, event.now + timeout),
        tokens=tokens,
        repeat=terms.repeat,
        trace=event.trace if state.lineage else terms.trace,
        key=key,
        key_derived=derived,
        replayable=event.replayable,
        arrived_at=event.now,
        parent=parent.id,
        never_ran=terms.never_ran and (not event.key or event.sending == 1),
        holder="" if rule.repeatable else event.holder,
        fingerprint=event.fingerprint,
        tried_upstreams=[],
    )


def root_hash(identity: str) -> ids.RootHash:
    """Return 64 bits that stand for a whole request at every hop."""
    digest = hashlib.blake2b(identity.encode(), digest_size=8).digest()
    return ids.RootHash(int.from_bytes(digest))


def _derived_key(event: events.CallArrived, parent: states.Hosted) -> str:
    """Return a key that is the same when the parent is sent again.

    Equal calls of one parent are told apart by their number, in order.
    """
    what = f"{event.service} {event.method} {event.path} {event.body_digest}"
    ordinal = parent.children.get(what, 0)
    parent.children[what] = ordinal + 1
    identity = f"{parent.metadata.root:016x} {what} {ordinal}"
    return hashlib.blake2b(identity.encode(), digest_size=16).hexdigest()


UNROUTED = configuration.KindRule(
    name=ids.KindName("unrouted"),
    service=ids.ServiceName(""),
    importance=0,
    path_prefix="/",
    methods=(),
    repeatable=True,
    retry_allowance=0,
    timeout_ms=configuration.DEFAULT_TIMEOUT_MS,
    key=configuration.KeyRule.GENERATED,
)
"""Stands in for the kind of a request that has no route."""
