"""Conversion of callers' requests to calls: roots, and children of hosted calls."""

import hashlib

from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    allowance,
    events,
    ranks,
    slot_costs,
    state as states,
    workspace_shares,
)

NO_WORKSPACE = ids.WorkspaceName("")

PROTECTED_SHARE = 1.0 / 8
"""Share of the requests of every kind that gets the first priority on routes, so that
no kind is starved under overload."""

PROTECTED_FROM = int((1.0 - PROTECTED_SHARE) * 2**64)
"""Least root hash of the protected share, which is last in the order of shedding."""


def find_parent(state: states.State, event: events.CallArrived) -> states.Hosted | None:
    """Return the hosted call on whose behalf a request is made, if any.

    A request with an API key is a root, whatever its request id says.
    """
    if event.key_digest:
        return None
    hosted = state.hosted_by_span.get(event.span)
    return None if hosted is None else state.hosted.get(hosted)


def root_call(
    state: states.State,
    event: events.CallArrived,
    rule: configuration.KindRule,
    workspace: ids.WorkspaceName = NO_WORKSPACE,
) -> states.Call:
    """Return the call of a whole request."""
    identity = event.key or f"{event.trace}-{event.span}"
    root = root_hash(identity)
    factor = workspace_shares.factor_of(
        state, rule.name, rule.service or event.service, workspace
    )
    protected = state.routed and root >= _protected_from(factor)
    timeout = float(rule.timeout_ms)
    if event.timeout_ms > 0:
        timeout = min(timeout, event.timeout_ms)
    importance = rule.importance
    if protected:
        importance = configuration.IMPORTANCE_CLASSES - 1
    elif state.routed:
        root = slot_costs.shedding_hash(state.costs, rule.name, importance, root)
        root = workspace_shares.shedding_hash(root, factor)
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
        unproven=int(_may_have_run(event) and not rule.repeatable),
        holder="" if rule.repeatable else event.holder,
        fingerprint=event.fingerprint,
        workspace=workspace,
        share_factor=factor,
        tried_upstreams=[],
    )


def _protected_from(factor: float) -> int:
    """Return the least hash of the protected share of a workspace.

    :param factor: of the workspace, which divides the share.
    """
    if factor <= 1.0:
        return PROTECTED_FROM
    return 2**64 - int((2**64 - PROTECTED_FROM) / factor)


def _may_have_run(event: events.CallArrived) -> bool:
    """Whether an earlier sending by the caller, with the same key, may have run."""
    return bool(event.key) and event.sending != 1


def child_call(
    state: states.State,
    event: events.CallArrived,
    rule: configuration.KindRule,
    parent: states.Hosted,
) -> states.Call:
    """Return the call of a request that a hosted call makes."""
    metadata = parent.metadata
    importance = metadata.importance
    if not state.routed:
        importance = max(importance, rule.importance)
    # A route's priority orders only its callers' requests. If it raised a child call
    # above its root, a full service would report a level that sheds every request of
    # the lower class instead of a part of them.
    if state.routed:
        # The route sets the attempts of each call, and the retry budget bounds their
        # sum. A share of the parent's few tokens would leave most children none.
        tokens = rule.retry_allowance
    else:
        tokens = allowance.tokens_for_child(parent.tokens)
        parent.tokens -= tokens
    child_kinds = state.child_kinds.setdefault(metadata.kind, {})
    service = rule.service or event.service
    child_kinds[(service, rule.name)] = event.now
    slot_costs.record_child_call(state.costs, metadata.kind, service, rule.name)
    timeout = float(rule.timeout_ms)
    if event.timeout_ms > 0:
        timeout = min(timeout, event.timeout_ms)
    key = "" if rule.repeatable else event.key
    derived = False
    if not rule.repeatable and not key and metadata.repeatable:
        # The parent may be sent again and would repeat this call. The calls of a
        # parent that runs at most once need no claim.
        key = _derived_key(event, parent)
        derived = True
    return states.Call(
        id=event.call,
        rule=rule,
        service=rule.service or event.service,
        importance=importance,
        depth=metadata.depth + 1,
        root=metadata.root,
        rank=ranks.rank_of(
            importance=importance, depth=metadata.depth + 1, root=metadata.root
        ),
        deadline=min(parent.deadline, event.now + timeout),
        tokens=tokens,
        repeat=metadata.repeat,
        trace=event.trace if state.lineage else metadata.trace,
        key=key,
        key_derived=derived,
        replayable=event.replayable,
        arrived_at=event.now,
        parent=parent.id,
        unproven=int(not metadata.never_ran or _may_have_run(event)),
        holder="" if rule.repeatable else event.holder,
        fingerprint=event.fingerprint,
        tried_upstreams=[],
    )


def root_hash(identity: str) -> ids.RootHash:
    """Return a 64-bit hash that identifies a whole request at every hop."""
    digest = hashlib.blake2b(identity.encode(), digest_size=8).digest()
    return ids.RootHash(int.from_bytes(digest))


def _derived_key(event: events.CallArrived, parent: states.Hosted) -> str:
    """Return a key that is the same when the parent is sent again.

    Equal calls of one parent are distinguished by their ordinal.
    """
    signature = f"{event.service} {event.method} {event.path} {event.body_digest}"
    ordinal = parent.children.get(signature, 0)
    parent.children[signature] = ordinal + 1
    identity = f"{parent.metadata.root:016x} {signature} {ordinal}"
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
"""Placeholder for the kind of a request without a route."""
