"""Revisions of the configuration: conflicts, and convergence of all nodes."""

import itertools

import hypothesis
from hypothesis import strategies as st

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    reducer,
    revisions,
    state as states,
)
from tests.common import builders


def _record(
    record_id: str, team: str, base: int, service: str
) -> messages.PublishRecord:
    return messages.PublishRecord(
        id=record_id,
        team=team,
        author="me",
        base=base,
        text=builders.service_document(service),
        at=builders.START,
    )


def _new_state(name: str = "n1") -> states.State:
    return builders.node_state(name)


def _read(state: states.State, *records: object, first: int = 0, **more: int) -> list:
    read = events.LogRead(
        now=state.now,
        stream="config",
        first=first,
        records=tuple(messages.encode_record(r) for r in records),
        oldest=more.get("oldest", 0),
        end=first + len(records),
    )
    return reducer.reduce(state, read)


def _request(state: states.State, team: str, base: int, text: str) -> list:
    return reducer.reduce(
        state,
        events.PublishRequested(
            now=state.now,
            request="r1",
            team=ids.TeamName(team),
            author="me",
            base=ids.Revision(base),
            text=text,
        ),
    )


def test_of_two_on_the_same_base_the_first_in_the_log_wins_everywhere() -> None:
    first = _record("a", "shop", 0, "one")
    second = _record("b", "shop", 0, "two")
    for state in (_new_state("n1"), _new_state("n2")):
        _read(state, first, second)
        assert state.revisions.revision == 1
        assert state.revisions.documents == {"shop": builders.service_document("one")}
        assert [h.outcome for h in state.revisions.history] == ["accepted", "refused"]


def test_the_author_of_a_conflicting_publication_is_notified() -> None:
    state = _new_state()
    append = builders.only(
        [
            e
            for e in _request(state, "shop", 0, builders.service_document("two"))
            if _on_config(e)
        ],
        effects.Append,
    )
    mine = messages.decode_record(append.record)
    out = _read(state, _record("other", "shop", 0, "one"), mine)
    ended = builders.only(out, effects.PublishEnded)
    assert ended.accepted is False
    assert ended.revision == 1
    assert "conflict" in ended.problem


def _on_config(effect: effects.Effect) -> bool:
    return isinstance(effect, effects.Append) and effect.stream == "config"


def test_a_lost_acknowledgement_is_found_out_by_reading_back() -> None:
    state = _new_state()
    append = builders.only(
        _request(state, "shop", 0, builders.service_document("one")), effects.Append
    )
    lost = events.AppendFailed(now=state.now, append=append.append, certain=False)
    assert reducer.reduce(state, lost) == []
    out = _read(state, messages.decode_record(append.record))
    assert builders.only(out, effects.PublishEnded).accepted is True


def test_a_record_that_stands_twice_counts_once() -> None:
    state = _new_state()
    record = _record("a", "shop", 0, "one")
    _read(state, record, record)
    assert state.revisions.revision == 1
    assert len(state.revisions.history) == 1


def test_an_append_that_certainly_failed_is_reported_at_once() -> None:
    state = _new_state()
    append = builders.only(
        _request(state, "shop", 0, builders.service_document("one")), effects.Append
    )
    failed = events.AppendFailed(now=state.now, append=append.append, certain=True)
    ended = builders.only(reducer.reduce(state, failed), effects.PublishEnded)
    assert ended.accepted is False
    assert state.revisions.pending == {}


def test_an_unconfirmed_publication_is_reported_as_unknown() -> None:
    state = _new_state()
    _request(state, "shop", 0, builders.service_document("one"))
    later = state.now + revisions.PUBLISH_TIMEOUT_MS + 2_000
    out = reducer.reduce(state, events.Tick(now=later))
    assert builders.only(out, effects.PublishEnded).accepted is None


def test_a_stale_base_and_a_bad_document_are_refused_before_the_log() -> None:
    state = _new_state()
    _read(state, _record("a", "shop", 0, "one"))
    for base, text in ((0, builders.service_document("two")), (1, "not toml [")):
        out = _request(state, "shop", base, text)
        assert builders.only(out, effects.PublishEnded).accepted is False
        assert not builders.all_of(out, effects.Append)


def test_a_snapshot_of_an_older_revision_changes_nothing() -> None:
    old = _new_state("old")
    _read(old, _record("a", "shop", 0, "one"))
    snapshot = revisions.snapshot(old, since=0)
    state = _new_state()
    _read(state, _record("a", "shop", 0, "one"), _record("b", "shop", 1, "two"))
    reducer.reduce(state, events.SnapshotReceived(now=state.now, snapshot=snapshot))
    assert state.revisions.revision == 2
    assert state.revisions.documents == {"shop": builders.service_document("two")}


def test_a_snapshot_with_a_wrong_digest_is_not_taken() -> None:
    snapshot = messages.ConfigSnapshot(
        revision=9,
        documents={"shop": builders.service_document("x")},
        revisions={"shop": 9},
        digest="no",
    )
    state = _new_state()
    reducer.reduce(state, events.SnapshotReceived(now=state.now, snapshot=snapshot))
    assert state.revisions.revision == 0


def test_a_reader_of_a_trimmed_log_decides_nothing_before_a_snapshot() -> None:
    whole = _new_state("whole")
    records = [
        _record("a", "shop", 0, "one"),
        _record("b", "bulk", 0, "two"),
        _record("c", "shop", 0, "conflict"),
        _record("d", "shop", 1, "three"),
    ]
    _read(whole, *records)
    late = _new_state("late")
    # Retention has dropped the first record, without which "c" looks acceptable.
    _read(late, *records[1:], first=1, oldest=1)
    assert late.revisions.revision == 0
    early = _new_state("early")
    _read(early, *records[:2])
    snapshot = revisions.snapshot(early, since=0)
    _read(late, snapshot, first=4, oldest=1)
    assert late.revisions.documents == whole.revisions.documents
    assert late.revisions.revision == whole.revisions.revision == 4


def test_the_accepted_set_is_appended_anew_before_retention_drops_it() -> None:
    state = _new_state()
    _read(state, _record("a", "shop", 0, "one"))
    later = state.now + revisions.SNAPSHOT_INTERVAL_MS + 2_000
    out = reducer.reduce(state, events.Tick(now=later))
    records = [
        messages.decode_record(e.record) for e in builders.all_of(out, effects.Append)
    ]
    kept = [r for r in records if isinstance(r, messages.ConfigSnapshot)]
    assert len(kept) == 1
    assert kept[0].documents == {"shop": builders.service_document("one")}


RECORDS = st.lists(
    st.builds(
        _record,
        st.sampled_from("abcdef"),
        st.sampled_from(["shop", "bulk"]),
        st.integers(0, 5),
        st.sampled_from(["one", "two", "three"]),
    ),
    min_size=1,
    max_size=8,
)


@hypothesis.given(RECORDS, st.lists(st.integers(1, 3), max_size=8), st.data())
def test_all_readers_agree_however_they_hear_and_never_go_back(
    records: list, sizes: list[int], data: st.DataObject
) -> None:
    whole = _new_state("whole")
    history = [revisions.snapshot(whole, since=0)]
    for index, record in enumerate(records):
        _read(whole, record, first=index)
        history.append(revisions.snapshot(whole, since=0))
    other = _new_state("other")
    position = 0
    seen = [0]
    for size in itertools.chain(sizes, itertools.repeat(1)):
        if position >= len(records):
            break
        if data.draw(st.booleans()):
            snapshot = data.draw(st.sampled_from(history))
            reducer.reduce(
                other, events.SnapshotReceived(now=other.now, snapshot=snapshot)
            )
        _read(other, *records[position : position + size], first=position)
        position += size
        seen.append(other.revisions.revision)
    assert seen == sorted(seen)
    assert other.revisions.revision == whole.revisions.revision
    assert other.revisions.documents == whole.revisions.documents
    assert other.configuration.digest == whole.configuration.digest


def test_history_names_a_publication_that_a_peer_told_of_first() -> None:
    """Guards against a history that lacks a publication whose snapshot a peer sent
    before the record was read."""
    peer = _new_state("n2")
    record = _record("a", "shop", 0, "one")
    _read(peer, record)
    state = _new_state("n1")
    received = events.SnapshotReceived(
        now=state.now, snapshot=revisions.snapshot(peer, since=0)
    )
    reducer.reduce(state, received)
    assert state.revisions.revision == 1
    _read(state, record)
    assert [(h.subject, h.outcome) for h in state.revisions.history] == [
        ("shop", "accepted")
    ]
