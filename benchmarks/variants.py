"""Baselines, and ablations that disable one mechanism of the product each.

Each variant patches the core's functions inside the process of its run; the product has
no switches for this.
"""

import collections.abc
import typing

import msgspec

from gingerturn.internal.core import (
    admission,
    allowance,
    arrivals,
    calls,
    effects,
    hosting,
    level_control,
    queue_slack,
    ranks,
    rationing,
    retry_delay,
    routing,
    saturation,
    sending,
    slot_costs,
    upstream_costs,
    upstreams,
)

_PER_HOP_ATTEMPTS = 4
_ATTEMPT_DEADLINE_SHARE = 2 / 3


def nothing() -> None:
    """The product as it is."""


def pass_through() -> None:
    """A plain proxy: a random upstream, no limit, no shedding, no cancellation."""
    _no_admission()
    _random_choice()
    _no_retries()
    _no_cancellation()


def per_hop_retries() -> None:
    """A plain proxy that retries at every hop, three times each.

    Each attempt gets a share of the remaining time: without such a bound a proxy that
    admits every call would see no failure in time to retry it.
    """
    _no_admission()
    _random_choice()
    _no_cancellation()
    _set(sending, "retry", _retry_per_hop)
    _set(sending, "may_repeat", lambda call: call.rule.repeatable)
    _set(calls, "_DEADLINE_RULES", frozenset())
    original = sending._send

    def send(
        state: typing.Any, call: typing.Any, node: typing.Any, out: typing.Any
    ) -> None:
        original(state, call, node, out)
        opened = out[-1]
        left = opened.metadata.deadline_ms * _ATTEMPT_DEADLINE_SHARE
        metadata = msgspec.structs.replace(opened.metadata, deadline_ms=left)
        out[-1] = msgspec.structs.replace(opened, metadata=metadata)

    _set(sending, "_send", send)


def static_limits() -> None:
    """Concurrency limits at the slots, first come first served, nothing else."""
    no_levels()
    no_tree_levels()
    _random_choice()
    _no_retries()
    _set(hosting, "_worth_starting", lambda state, hosted, out: True)
    _set(ranks, "rank_of", lambda **fields: ranks.LOWEST)


def no_levels() -> None:
    """Without the reported levels of home nodes."""
    _set(level_control, "_raised", lambda backend, overage: ranks.LOWEST)


def no_tree_levels() -> None:
    """Without the levels of the services below."""
    _set(admission, "tree_level", lambda state, kind: ranks.LOWEST)


def no_deep_first() -> None:
    """Deeper calls get no precedence over new roots of their class."""
    original = ranks.rank_of
    _set(
        ranks,
        "rank_of",
        lambda *, importance, depth, root: original(
            importance=importance, depth=0, root=root
        ),
    )
    _set(ranks, "deep_rank", lambda rank: rank)


def no_common_order() -> None:
    """Each hop orders calls by its own hash instead of the root's."""
    original = ranks.rank_of

    def drawn(*, importance: int, depth: int, root: int) -> int:
        mixed = (root * 0x9E3779B97F4A7C15 * (depth + 3)) & ((1 << 64) - 1)
        return original(importance=importance, depth=depth, root=mixed)

    _set(ranks, "rank_of", drawn)


def no_classes() -> None:
    """Every kind has the same importance."""
    original = ranks.rank_of
    _set(
        ranks,
        "rank_of",
        lambda *, importance, depth, root: original(
            importance=0, depth=depth, root=root
        ),
    )


def no_queue() -> None:
    """Calls that find no free slot are refused."""
    _set(admission, "queue_bound", lambda state, kind: 0)


def leaf_roots_last() -> None:
    """Roots that call nobody wait behind every deeper call of their class."""
    _set(
        hosting,
        "_rank",
        lambda state, terms: ranks.rank_of(
            importance=terms.importance, depth=terms.depth, root=terms.root
        ),
    )


def no_redirects() -> None:
    """A refused call is not offered to another upstream."""
    _set(sending, "redirect", lambda state, call, out: False)


def no_retries() -> None:
    """Nothing is sent again."""
    _no_retries()


def no_budget() -> None:
    """Without the retry budget of a service."""
    _set(allowance, "spend", lambda budget: True)


def no_deadline_check() -> None:
    """Calls that cannot finish before their deadline are started."""
    _set(admission, "service_time", lambda state, kind: 0.0)


def no_load_choice() -> None:
    """A random upstream instead of the less busy of two."""
    _random_choice()


def no_cancellation() -> None:
    """Work continues after its caller has cancelled."""
    _no_cancellation()


def no_rationing() -> None:
    """A scarce retry budget is spent in order of arrival."""
    _set(rationing, "minimum_rank", lambda wants, supply, now: ranks.LOWEST)


def no_going_back() -> None:
    """A call is not sent again to an upstream that refused it with free slots."""
    _set(sending, "MAX_REJECTED_ATTEMPTS", 0)


def no_cost_order() -> None:
    """Within a priority calls are ordered by hash alone, without the cost of a kind."""
    _set(slot_costs, "shedding_hash", lambda costs, kind, importance, root: root)


def no_come_back_time() -> None:
    """Refusals have a constant retry delay."""
    _set(
        retry_delay,
        "for_call",
        lambda state, call, level=None: retry_delay.DEFAULT_DELAY_MS,
    )


def no_slow_penalty() -> None:
    """Upstreams are chosen without regard to their latency."""
    _set(upstream_costs, "SLOWNESS_PENALTY", 0.0)


def no_zone_preference() -> None:
    """Upstreams are chosen without regard to their availability zone."""
    _set(upstream_costs, "ZONE_PENALTY", 0.0)


def no_error_penalty() -> None:
    """Upstreams are chosen without regard to their errors."""
    _set(upstream_costs, "ERROR_PENALTY", 0.0)


def no_ejection() -> None:
    """Upstreams that lost calls are not ejected."""
    _set(upstreams, "eject", lambda state, upstream, duration: None)


def no_knee() -> None:
    """All slots are used, without regard to saturation."""
    _set(saturation, "usable_slots", lambda state: state.backend.slots)


def no_spared_share() -> None:
    """No share of a kind is protected."""
    _set(arrivals, "PROTECTED_FROM", 1 << 64)


def no_asking() -> None:
    """Outdated levels are not requested again."""
    _set(routing, "request_levels", lambda state, service, kind, out: None)


def no_queue_slack() -> None:
    """All kinds of a service have the same queueing time limits."""
    _set(queue_slack, "targets", lambda state: {})


VARIANTS: dict[str, collections.abc.Callable[[], None]] = {
    "gingerturn": nothing,
    "pass-through": pass_through,
    "per-hop-retries": per_hop_retries,
    "static-limits": static_limits,
    "no-levels": no_levels,
    "no-tree-levels": no_tree_levels,
    "no-deep-first": no_deep_first,
    "no-common-order": no_common_order,
    "no-classes": no_classes,
    "no-queue": no_queue,
    "leaf-roots-last": leaf_roots_last,
    "no-redirects": no_redirects,
    "no-retries": no_retries,
    "no-budget": no_budget,
    "no-deadline-check": no_deadline_check,
    "no-load-choice": no_load_choice,
    "no-cancellation": no_cancellation,
    "no-rationing": no_rationing,
    "no-going-back": no_going_back,
    "no-cost-order": no_cost_order,
    "no-come-back-time": no_come_back_time,
    "no-slow-penalty": no_slow_penalty,
    "no-zone-preference": no_zone_preference,
    "no-error-penalty": no_error_penalty,
    "no-ejection": no_ejection,
    "no-knee": no_knee,
    "no-spared-share": no_spared_share,
    "no-asking": no_asking,
    "no-queue-slack": no_queue_slack,
}
BASELINES = ("pass-through", "per-hop-retries", "static-limits")


def _set(module: typing.Any, name: str, replacement: object) -> None:
    if not hasattr(module, name):
        raise AttributeError(f"{module.__name__} has no {name} to take out")
    setattr(module, name, replacement)


def _no_admission() -> None:
    no_levels()
    no_tree_levels()
    _set(admission, "has_slot", lambda state: True)
    _set(hosting, "_worth_starting", lambda state, hosted, out: True)


def _random_choice() -> None:
    _set(
        upstream_costs,
        "cost_of",
        lambda state, node, other_zone_penalty: state.random.random(),
    )


def _no_retries() -> None:
    _set(
        sending,
        "retry",
        lambda state, call, out, *, may_have_run=True, had_free_slots=False: False,
    )


def _no_cancellation() -> None:
    _set(effects, "CancelBackend", _ignored)
    _set(effects, "CancelAttempt", _ignored)


class _Ignored(effects.Effect, frozen=True):
    """An effect that is ignored."""


def _ignored(**fields: object) -> _Ignored:
    return _Ignored()


def _retry_per_hop(
    state: typing.Any,
    call: typing.Any,
    out: typing.Any,
    *,
    may_have_run: bool = True,
    had_free_slots: bool = False,
) -> bool:
    if not call.rule.repeatable or state.now >= call.deadline:
        return False
    if call.attempts >= _PER_HOP_ATTEMPTS:
        return False
    nodes = upstreams.candidates(state, call.service)
    node = routing.choose(state, nodes, call.rule.name, call.rank)
    if node is None:
        return False
    sending._send(state, call, node, out)
    return True
