"""The queue of member updates for gossip: order and number of transmissions."""

import hypothesis
from hypothesis import strategies as st

from gingerturn.internal import ids
from gingerturn.internal.core import gossip_queue, member_table, messages, reducer
from tests.common import builders


def test_updates_sent_least_often_go_first() -> None:
    queue = gossip_queue.GossipQueue()
    for node in ("a", "b", "c"):
        queue.put(node, 3)
    assert queue.take(2) == ["a", "b"]
    assert queue.take(2) == ["c", "a"]
    queue.put("new", 4)
    assert queue.take(1) == ["new"]


def test_an_update_is_sent_the_queued_number_of_times() -> None:
    queue = gossip_queue.GossipQueue()
    queue.put("a", 2)
    queue.put("b", 1)
    taken = queue.take(5) + queue.take(5) + queue.take(5)
    assert sorted(taken) == ["a", "a", "b"]
    assert len(queue) == 0


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.integers(-1, 4)) | st.integers(0, 3),
        max_size=30,
    )
)
def test_buckets_and_counts_agree(steps: list[tuple[str, int] | int]) -> None:
    queue = gossip_queue.GossipQueue()
    for step in steps:
        if isinstance(step, int):
            taken = queue.take(step)
            assert len(taken) == len(set(taken)) <= step
        elif step[1] < 0:
            queue.drop(step[0])
        else:
            queue.put(*step)
        left = queue.dump()
        assert all(times > 0 for times in left.values())
        assert sum(map(len, queue._buckets.values())) == len(left)


def _mean_transmissions(kind: messages.GossipKind) -> int:
    state = builders.node_state("n1")
    members = tuple(builders.member(f"m{n}", "plans") for n in range(190))
    fields = {"sequence": 0, "revision": ids.Revision(0), "members": members}
    message = messages.Gossip(kind=kind, **fields)  # type: ignore[arg-type]
    reducer.reduce(state, builders.datagram(ids.NodeId("m0"), message, now=state.now))
    return (
        sum(state.membership.pending_updates.dump()[f"m{n}"] for n in range(1, 190))
        // 189
    )


def test_updates_of_a_full_sync_are_sent_less_often() -> None:
    regular = _mean_transmissions(messages.GossipKind.ACK)
    listed = _mean_transmissions(messages.GossipKind.SYNC_PAGE)
    assert regular > 15
    assert listed == regular // member_table.SYNC_UPDATE_DIVISOR
