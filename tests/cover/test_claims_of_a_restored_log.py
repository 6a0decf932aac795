"""Keys of unrepeatable calls after the log was restored without their claims.

The log decides claims by their order. Once it has lost a claim, another node may win
the same key, so keys claimed before the restoration must not run.
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


def _home_nodes(made: world.World) -> list[str]:
    return [name for name in made.nodes if name.startswith("porting")]


# Guards against a key that runs again at a node which only knows the restored log.
@pytest.mark.parametrize("restarted", ["before", "after"])
def test_a_key_whose_claim_was_lost_does_not_run_at_a_node_that_started_anew(
    restarted: str,
) -> None:
    made = small.new_world(gossip=True)
    truth = small.Truth(made)
    copy = made.log.copy()
    key = small.key_of(made, 1)
    assert _send(made, key, number=10).answer == "ok"
    if restarted == "before":
        made.log.restore(copy)
    for name in _home_nodes(made):
        made.kill(name)
        made.restart(name)
    if restarted == "after":
        made.run(200.0)
        made.log.restore(copy)
    made.run(3_000.0)
    assert _send(made, key, number=11).answer != "ok"
    assert truth.twice == []
    # New keys run.
    assert _send(made, small.key_of(made, 2), number=20).answer == "ok"


def _home_node() -> states.State:
    """Return a home node that read the claims of a log which was never restored."""
    state = builders.node_state("n1")
    reducer.reduce(state, builders.announced("porting", slots=4, now=state.now))
    _claims_read(state, epoch=1)
    return state


def _open(
    state: states.State, hosted: int, key: str, *, derived: bool = False
) -> list[effects.Effect]:
    terms = builders.call_metadata(
        service="porting",
        kind="port-request",
        repeatable=False,
        key=key,
        key_derived=derived,
    )
    return reducer.reduce(state, builders.opened(hosted, terms, now=state.now))


def _report_epoch(state: states.State, epoch: int) -> list[effects.Effect]:
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


# Guards against a key that runs at two nodes, since the log lost the claim of the first
# one and accepted that of the second.
def test_a_claim_under_way_when_the_log_was_restored_wins_nothing() -> None:
    state = _home_node()
    key = builders.key_at(state.now)
    _open(state, 1, key)
    own = messages.ClaimRecord(
        key=key, claim=state.keys[key].claim, node=keys.own_name(state)
    )
    out = _report_epoch(state, 2)
    assert builders.all_of(out, effects.SendRefusal)
    out = _claims_read(state, own, epoch=2)
    out += _open(state, 2, key)
    assert not builders.all_of(out, effects.DispatchCall)


def test_a_derived_key_is_claimed_again_once_no_request_of_before_can_be_left() -> None:
    state = _home_node()
    _report_epoch(state, 2)
    _claims_read(state, epoch=2)
    _open(state, 1, "derived-1", derived=True)
    assert "derived-1" not in state.keys
    state.now += 10_000.0
    _claims_read(state, epoch=2)
    _open(state, 2, "derived-1", derived=True)
    assert state.keys["derived-1"].phase is states.KeyPhase.CLAIMING


def test_on_a_log_that_was_never_restored_derived_keys_are_claimed_at_once() -> None:
    state = _home_node()
    _open(state, 1, "derived-1", derived=True)
    assert state.keys["derived-1"].phase is states.KeyPhase.CLAIMING
