"""Calls that wait while the address of their backend server gets another service."""

import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn.internal import ids
from gingerturn.internal.core import (
    decisions,
    effects,
    events,
    messages,
    reducer,
    state as states,
)
from tests.common import builders, routed

SERVICES = ("plans", "booking")


def _full_node(*, running: int = 2) -> states.State:
    """Return a home node of ``plans`` whose slots are occupied."""
    state = routed.node_state(service="plans", slots=running)
    for hosted in range(1, running + 1):
        out = reducer.reduce(state, builders.opened(hosted))
        assert builders.all_of(out, effects.DispatchCall)
    return state


# Queued calls ran at the service that got the address of their backend server.
@pytest.mark.parametrize("instance", ["i-1", "i-2"])
def test_queued_calls_do_not_run_at_a_service_that_gets_the_address(
    instance: str,
) -> None:
    state = _full_node()
    for hosted in (11, 12, 13):
        assert not builders.all_of(
            reducer.reduce(state, builders.opened(hosted)), effects.DispatchCall
        )
    event = routed.announced("booking", instance=instance, sequence=2, slots=8)
    out = reducer.reduce(state, event)
    assert not builders.all_of(out, effects.DispatchCall)
    refused = builders.all_of(out, effects.SendRefusal)
    assert sorted(effect.hosted for effect in refused) == [11, 12, 13]
    assert {effect.refusal.outcome for effect in refused} == {messages.Outcome.NOT_RUN}
    assert {effect.refusal.rule for effect in refused} == {decisions.Rule.NO_BACKEND}
    assert not state.backend.queue


def test_queued_calls_run_at_the_next_instance_of_their_service() -> None:
    state = _full_node()
    reducer.reduce(state, builders.opened(11))
    out = reducer.reduce(state, routed.announced(instance="i-2", slots=8))
    assert builders.only(out, effects.DispatchCall).instance == "i-2"


def _claimed_call(hosted: int, key: str, *, now: float) -> events.OpenReceived:
    metadata = builders.call_metadata(
        service="porting", kind="port-request", repeatable=False, key=key
    )
    return builders.opened(hosted, metadata, now=now)


# A call whose key was claimed could run at a service that got the address meanwhile.
def test_a_claimed_call_does_not_run_at_a_service_that_gets_the_address() -> None:
    state = builders.node_state(service="porting")
    key = builders.key_at(builders.START)
    out = reducer.reduce(state, _claimed_call(1, key, now=state.now))
    claimed = builders.only(out, effects.Append).record
    assert claimed is not None
    reducer.reduce(state, builders.announced("plans"))
    read = builders.log_read("claims.porting", messages.decode_record(claimed))
    out = reducer.reduce(state, read)
    assert not builders.all_of(out, effects.DispatchCall)
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.NOT_RUN
    assert state.backend.running == 0


# Claims of other nodes that were read while another service was announced were lost, so
# a key could run twice.
def test_claims_count_while_another_service_is_announced() -> None:
    state = builders.node_state(service="porting")
    key = builders.key_at(builders.START)
    reducer.reduce(state, builders.announced("plans"))
    claim = messages.ClaimRecord(key=key, claim="other", node="n2/1")
    foreign = messages.ClaimBatch(claims=(claim,))
    reducer.reduce(state, builders.log_read("claims.porting", foreign))
    reducer.reduce(state, builders.announced("porting"))
    out = reducer.reduce(state, _claimed_call(1, key, now=state.now))
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.rule == decisions.Rule.CLAIM_LOST


ARRIVAL = st.tuples(st.just("arrival"), st.sampled_from(SERVICES))
ANNOUNCEMENT = st.tuples(
    st.just("announcement"),
    st.sampled_from(SERVICES),
    st.integers(1, 3),
    st.integers(1, 3),
)
STEPS = st.lists(
    st.one_of(
        ARRIVAL,
        ARRIVAL,
        ANNOUNCEMENT,
        st.tuples(st.just("answer")),
        st.tuples(st.just("leaving"), st.integers(1, 3)),
        st.tuples(st.just("time"), st.sampled_from([10.0, 400.0, 4_000.0])),
    ),
    max_size=40,
)


# Arrivals, announcements, departures and answers in any order.
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(STEPS)
def test_every_call_is_dispatched_to_an_instance_of_its_service(
    steps: list[tuple[object, ...]],
) -> None:
    state = routed.node_state(service="plans", slots=1)
    services = {"i-1": "plans"}
    wanted: dict[ids.HostedId, str] = {}
    running: list[ids.HostedId] = []
    for number, (step, *drawn) in enumerate(steps, start=2):
        now = state.now
        if step == "arrival":
            service = str(drawn[0])
            metadata = builders.call_metadata(service=service, repeatable=False)
            event: events.Event = builders.opened(number, metadata, now=now)
            wanted[ids.HostedId(number)] = service
        elif step == "announcement":
            service, start, slots = drawn
            event = routed.announced(
                str(service),
                instance=f"i-{start}",
                sequence=number,
                slots=int(str(slots)),
                now=now,
            )
        elif step == "answer":
            if not running:
                continue
            event = events.BackendAnswered(now=now, hosted=running.pop(0), status=200)
        elif step == "leaving":
            event = events.BackendWithdrawn(now=now, instance=f"i-{drawn[0]}")
        else:
            event = events.Tick(now=now + float(str(drawn[0])))
        out = reducer.reduce(state, event)
        if step == "announcement" and state.backend.sequence == number:
            services[state.backend.instance] = str(drawn[0])
        for effect in out:
            if isinstance(effect, effects.DispatchCall):
                assert services[effect.instance] == wanted[effect.hosted]
                running.append(effect.hosted)
