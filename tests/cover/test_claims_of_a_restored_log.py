"""Keys of unrepeatable calls after the log was restored without their claims.

A claim is a right by order in the log. The log gives the same right again to another
node once it has lost the record, so what was claimed before that runs no more.
"""

import pytest

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    keys,
    messages,
    reducer,
    state as states,
)
from gingerturn_fakes import parts, world
from tests.common import builders, small


def _send(made: world.World, key: str, *, number: int) -> parts.Root:
    root = parts.Root(
        id=number, kind=small.KINDS["port-request"], sent=made.now, key=key
    )
    made.send(root, entry="provisioning-1")
    made.run(1_500.0)
    return root


def _homes(made: world.World) -> list[str]:
    return [name for name in made.nodes if name.startswith("porting")]


# Guards against a key that runs again at a node which knows nothing but what the log
# still holds.
@pytest.mark.parametrize("started_anew", ["before", "after"])
def test_a_key_whose_claim_was_lost_does_not_run_at_a_node_that_started_anew(
    started_anew: str,
) -> None:
    made = small.new_world(gossip=True)
    truth = small.Truth(made)
    copy = made.log.copy()
    key = small.key_of(made, 1)
    assert _send(made, key, number=10).answer == "ok"
    if started_anew == "before":
        made.log.restore(copy)
    for name in _homes(made):
        made.kill(name)
        made.restart(name)
    if started_anew == "after":
        made.run(200.0)
        made.log.restore(copy)
    made.run(3_000.0)
    assert _send(made, key, number=11).answer != "ok"
    assert truth.twice == []
    # What is new runs as ever.
    assert _send(made, small.key_of(made, 2), number=20).answer == "ok"


def _home() -> states.State:
    """Return a home whose claims were read from a log that was never restored."""
    state = builders.node_state("n1")
    reducer.reduce(state, builders.announced("porting", slots=4, now=state.now))
    _claims_read(state, epoch=1)
    return state


def _open(
    state: states.State, hosted: int, key: str, *, derived: bool = False
) -> list[effects.Effect]:
    terms = builders.call_terms(
        service="porting",
        kind="port-request",
        repeatable=False,
        key=key,
        key_derived=derived,
    )
    return reducer.reduce(state, builders.opened(hosted, terms, now=state.now))


def _hear_epoch(state: states.State, epoch: int) -> list[effects.Effect]:
    message = messages.Gossip(
        kind=messages.GossipKind.PING,
        sequence=1,
        revision=ids.Revision(0),
        log_epoch=ids.LogEpoch(epoch),
    )
    return reducer.reduce(state, builders.datagram("n2", message, now=state.now))


def _claims_read(
    state: states.State, *claimed: messages.ClaimRecord, epoch: int
) -> list[effects.Effect]:
    stream = keys.stream_name(state.backend.service)
    batches = [messages.ClaimBatch(claims=(claim,)) for claim in claimed]
    return reducer.reduce(
        state,
        events.LogRead(
            now=state.now,
            stream=stream,
            first=0,
            records=tuple(messages.encode_record(batch) for batch in batches),
            oldest=0,
            end=len(batches),
            generation=state.streams[stream].generation,
            epoch=ids.LogEpoch(epoch),
        ),
    )


# Guards against a key that runs at the second of two nodes which claimed it, since the
# log lost the claim of the first and took that of the second afterwards.
def test_a_claim_under_way_when_the_log_was_restored_wins_nothing() -> None:
    state = _home()
    key = builders.key_at(state.now)
    _open(state, 1, key)
    own = messages.ClaimRecord(
        key=key, claim=state.keys[key].claim, node=keys.own_name(state)
    )
    out = _hear_epoch(state, 2)
    assert builders.all_of(out, effects.SendRefusal)
    out = _claims_read(state, own, epoch=2)
    out += _open(state, 2, key)
    assert not builders.all_of(out, effects.DispatchCall)


def test_a_derived_key_is_claimed_again_once_no_request_of_before_can_be_left() -> None:
    state = _home()
    _hear_epoch(state, 2)
    _claims_read(state, epoch=2)
    _open(state, 1, "derived-1", derived=True)
    assert "derived-1" not in state.keys
    state.now += 10_000.0
    _claims_read(state, epoch=2)
    _open(state, 2, "derived-1", derived=True)
    assert state.keys["derived-1"].phase is states.KeyPhase.CLAIMING


def test_on_a_log_that_was_never_restored_derived_keys_are_claimed_at_once() -> None:
    state = _home()
    _open(state, 1, "derived-1", derived=True)
    assert state.keys["derived-1"].phase is states.KeyPhase.CLAIMING
