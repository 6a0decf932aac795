"""What members pass on of one another, and how often.

The pattern: 194 nodes start at once, each learns of all, and for minutes afterwards the
few that change have to be told before the many that everybody knows.
"""

import hypothesis
from hypothesis import strategies as st

from gingerturn.internal import ids
from gingerturn.internal.core import gossip_queue, member_table, messages, reducer
from tests.common import builders


def test_what_was_told_least_often_goes_first() -> None:
    waiting = gossip_queue.GossipQueue()
    for node in ("a", "b", "c"):
        waiting.put(node, 3)
    assert waiting.take(2) == ["a", "b"]
    assert waiting.take(2) == ["c", "a"]
    waiting.put("new", 4)
    assert waiting.take(1) == ["new"]


def test_each_is_told_as_often_as_was_said() -> None:
    waiting = gossip_queue.GossipQueue()
    waiting.put("a", 2)
    waiting.put("b", 1)
    told = waiting.take(5) + waiting.take(5) + waiting.take(5)
    assert sorted(told) == ["a", "a", "b"]
    assert len(waiting) == 0


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.integers(-1, 4)) | st.integers(0, 3),
        max_size=30,
    )
)
def test_buckets_and_counts_agree(steps: list[tuple[str, int] | int]) -> None:
    waiting = gossip_queue.GossipQueue()
    for step in steps:
        if isinstance(step, int):
            taken = waiting.take(step)
            assert len(taken) == len(set(taken)) <= step
        elif step[1] < 0:
            waiting.drop(step[0])
        else:
            waiting.put(*step)
        left = waiting.dump()
        assert all(times > 0 for times in left.values())
        assert sum(map(len, waiting._buckets.values())) == len(left)


def _times_told(kind: messages.GossipKind) -> int:
    state = builders.node_state("n1")
    members = tuple(builders.member(f"m{n}", "plans") for n in range(190))
    fields = {"sequence": 0, "revision": ids.Revision(0), "members": members}
    message = messages.Gossip(kind=kind, **fields)  # type: ignore[arg-type]
    reducer.reduce(state, builders.datagram(ids.NodeId("m0"), message, now=state.now))
    return (
        sum(state.membership.pending_updates.dump()[f"m{n}"] for n in range(1, 190))
        // 189
    )


def test_a_list_of_all_members_is_passed_on_less_often_than_news() -> None:
    news = _times_told(messages.GossipKind.ACK)
    listed = _times_told(messages.GossipKind.SYNC_PAGE)
    assert news > 15
    assert listed == news // member_table.SYNC_UPDATE_DIVISOR
