"""Property-based tests of the reducer: invariants after arbitrary events."""

import collections
import io

import hypothesis
from hypothesis import strategies as st

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    reducer,
    state as states,
    trace,
)
from tests.common import builders

SMALL = st.integers(1, 6)
KEYS = st.sampled_from(["", builders.key_at(builders.START, number=1), "not-a-uuid"])
REPORTS = st.builds(
    messages.LoadReport,
    level=st.integers(0, (1 << 20) - 1),
    tree_level=st.integers(0, (1 << 20) - 1),
    load=st.integers(0, 20),
    limit=st.integers(0, 10),
    leaving=st.booleans(),
    pace=st.sampled_from([0, 1, 100, 250, 10_000]),
    pace_age_ms=st.integers(-5, 2_000),
)
LOADS = st.none() | st.builds(
    messages.BackendLoad,
    running=st.integers(0, 40),
    waiting=st.integers(0, 40),
    slots=st.integers(1, 20),
    pace=st.sampled_from([0, 1, 100, 250, 10_000]),
)
METADATA = st.builds(
    builders.call_metadata,
    service=st.just("porting"),
    kind=st.sampled_from(["port-request", "unheard-of"]),
    importance=st.integers(0, 7),
    depth=st.integers(0, 9),
    root=st.integers(0, (1 << 64) - 1),
    deadline_ms=st.floats(0, 10_000),
    tokens=st.integers(0, 4),
    repeatable=st.booleans(),
    key=KEYS,
    never_ran=st.booleans(),
    fingerprint=st.integers(0, 3),
    knows_pace=st.booleans(),
)
REFUSALS = st.builds(
    messages.Refusal,
    rule=st.sampled_from([3, 13, 22, 24, 26, 29, 37, 38]),
    outcome=st.sampled_from(list(messages.Outcome)),
    retry_after_ms=st.floats(0, 5_000),
    decision=st.just("x:1"),
    holder=st.sampled_from(["", "n1/1800000000000", "n2/1"]),
)
MEMBERS = st.builds(
    messages.Member,
    node=st.sampled_from(["n1", "n2", "n3", "n4"]),
    incarnation=st.integers(1, 2),
    version=st.integers(1, 3),
    state=st.sampled_from(list(messages.MemberState)),
    host=st.just("127.0.0.1"),
    peers_port=st.just(9001),
    gossip_port=st.just(9001),
    zone=st.sampled_from(["bne-a", "tsv"]),
    service=st.sampled_from(["", "plans", "porting"]),
    slots=st.integers(0, 20),
)
QUARANTINE_GOSSIP = st.builds(
    messages.QuarantineGossip,
    crashes=st.lists(
        st.builds(
            messages.BackendCrash,
            node=st.sampled_from(["n2", "n3"]),
            incarnation=st.integers(1, 2),
            number=st.integers(1, 3),
            part=st.integers(0, 1),
            requests=st.lists(st.integers(1, 3), max_size=3).map(tuple),
            age_ms=st.integers(0, 100).map(float),
        ),
        max_size=2,
    ).map(tuple),
    updates=st.lists(
        st.builds(
            messages.QuarantineUpdate,
            request=st.integers(1, 3),
            crash_count=st.integers(0, 4),
            age_ms=st.integers(0, 100).map(float),
        ),
        max_size=2,
    ).map(tuple),
    digest=st.integers(0, 3),
)
GOSSIP = st.builds(
    messages.Gossip,
    kind=st.sampled_from(list(messages.GossipKind)),
    sequence=st.integers(0, 5),
    revision=st.integers(0, 3),
    members=st.lists(MEMBERS, max_size=3).map(tuple),
    target=st.sampled_from(["", "n2"]),
    cursor=st.sampled_from(["", "n1"]),
    quarantine=st.one_of(st.just(messages.NO_QUARANTINE_GOSSIP), QUARANTINE_GOSSIP),
)
RECORDS = st.one_of(
    st.binary(max_size=20),
    st.builds(
        messages.ClaimBatch,
        claims=st.lists(
            st.builds(
                messages.ClaimRecord,
                key=KEYS,
                claim=st.sampled_from(["own", "other"]),
                node=st.just("n2/1"),
            ),
            max_size=2,
        ).map(tuple),
    ).map(messages.encode_record),
    st.builds(
        messages.QuarantineRecord,
        request=st.integers(1, 3),
        ends=st.integers(0, 4),
        at=st.sampled_from([0.0, builders.START]),
    ).map(messages.encode_record),
    st.builds(
        messages.PublishRecord,
        id=st.sampled_from(["a", "b"]),
        team=st.just("shop"),
        author=st.just("me"),
        base=st.integers(0, 3),
        text=st.sampled_from([builders.DOCUMENT, "not = [toml"]),
        at=st.just(0.0),
    ).map(messages.encode_record),
)


def _event(kind: type[events.Event], **fields: object) -> st.SearchStrategy:
    return st.builds(
        lambda step, **values: (step, kind, values), step=st.floats(0, 800), **fields
    )


STEPS = st.one_of(
    _event(events.Tick),
    _event(
        events.CallArrived,
        call=SMALL,
        service=st.sampled_from(["plans", "porting", "nobody"]),
        method=st.sampled_from(["GET", "POST"]),
        path=st.just("/"),
        trace=st.just("a" * 32),
        span=st.sampled_from(["b" * 16, "parent"]),
        key=KEYS,
        replayable=st.booleans(),
        sending=st.integers(0, 2),
        fingerprint=st.integers(0, 3),
    ),
    _event(events.CallerGone, call=SMALL),
    _event(
        events.AttemptAnswered,
        attempt=st.integers(1, 40),
        status=st.sampled_from([200, 500, 503]),
        tokens=st.integers(0, 5),
        report=REPORTS,
    ),
    _event(
        events.AttemptRefused,
        attempt=st.integers(1, 40),
        refusal=REFUSALS,
        tokens=st.integers(0, 5),
        report=REPORTS,
    ),
    _event(events.AttemptLost, attempt=st.integers(1, 40), reached=st.booleans()),
    _event(
        events.AttemptsSilent,
        attempts=st.lists(st.integers(1, 40), max_size=5).map(tuple),
    ),
    _event(
        events.OpenReceived,
        hosted=st.integers(100, 110),
        sender=st.just("e"),
        metadata=METADATA,
    ),
    _event(events.CancelReceived, hosted=st.integers(100, 110)),
    _event(
        events.BackendAnswered,
        hosted=st.integers(100, 110),
        status=st.sampled_from([200, 429, 503]),
        whole=st.booleans(),
        load=LOADS,
    ),
    _event(
        events.UnprovenRefusal,
        hosted=st.integers(100, 110),
        status=st.sampled_from([408, 429, 503]),
    ),
    _event(events.BackendFinished, hosted=st.integers(100, 110)),
    _event(
        events.BackendFailed, hosted=st.integers(100, 110), dispatched=st.booleans()
    ),
    _event(events.BackendChecked, refused=st.booleans()),
    _event(
        events.BackendAnnounced,
        service=st.just("porting"),
        host=st.just("127.0.0.1"),
        port=st.just(1),
        slots=st.integers(1, 3),
        connections=st.just(9),
        cold=st.booleans(),
    ),
    _event(events.BackendWithdrawn),
    _event(
        events.LogRead,
        stream=st.sampled_from(["config", "members", "claims.porting"]),
        first=st.integers(0, 3),
        records=st.lists(RECORDS, max_size=3).map(tuple),
        oldest=st.integers(0, 1),
        end=st.integers(0, 6),
    ),
    _event(events.LogReadFailed, stream=st.sampled_from(["config", "claims.porting"])),
    _event(events.AppendDone, append=st.integers(1, 40), offset=st.integers(0, 5)),
    _event(events.AppendFailed, append=st.integers(1, 40), certain=st.booleans()),
    _event(
        events.DatagramReceived,
        sender=st.sampled_from(["n2", "n3"]),
        host=st.just("127.0.0.1"),
        port=st.just(9001),
        message=GOSSIP,
    ),
    _event(
        events.PublishRequested,
        request=st.just("r"),
        team=st.just("shop"),
        author=st.just("me"),
        base=st.integers(0, 2),
        text=st.sampled_from([builders.DOCUMENT, "x"]),
    ),
    _event(events.StopRequested),
)


def _play(steps: list) -> tuple[states.State, list[events.Event], list[list]]:
    """Apply steps, with unique ids where the shell guarantees them."""
    state = builders.node_state(service="porting", slots=2)
    now = builders.START
    played: list[events.Event] = []
    out: list[list[effects.Effect]] = []
    used: set[tuple[type, int]] = set()
    for step, kind, values in steps:
        now += step
        new_id = values.get("call") if kind is events.CallArrived else None
        new_id = values.get("hosted") if kind is events.OpenReceived else new_id
        if new_id is not None and (kind, new_id) in used:
            continue
        used.add((kind, new_id))
        event = kind(now=now, **values)
        played.append(event)
        out.append(reducer.reduce(state, event))
        _check_state(state)
    return state, played, out


SLOT_STATES = {
    states.HostedState.CLAIMING,
    states.HostedState.RUNNING,
    states.HostedState.STREAMING,
}


def _check_state(state: states.State) -> None:
    holding = [h for h in state.hosted.values() if h.state in SLOT_STATES]
    assert state.backend.running == len(holding)
    assert state.backend.queue == sorted(state.backend.queue)
    queued = {entry[2] for entry in state.backend.queue}
    waiting = {
        h.id for h in state.hosted.values() if h.state is states.HostedState.QUEUED
    }
    assert queued == waiting
    assert all(call.tokens >= 0 for call in state.calls.values())
    assert all(h.tokens >= 0 for h in state.hosted.values())
    assert all(u.outstanding >= 0 for u in state.upstreams.values())
    known = state.quarantine
    assert all(
        known.quarantined[r].last_crash_at > known.cleared_at.get(r, 0.0)
        for r in known.quarantined
    )
    for nodes in state.membership.by_service.values():
        assert len(nodes) == len(set(nodes))


@hypothesis.given(st.lists(STEPS, max_size=60))
@hypothesis.settings(max_examples=300)
def test_any_event_sequence_keeps_the_invariants(steps: list) -> None:
    _, _, out = _play(steps)
    counts: collections.Counter[tuple[type, int]] = collections.Counter()
    for effect in (effect for group in out for effect in group):
        if isinstance(effect, effects.RelayAnswer | effects.RefuseCall):
            counts[(effects.RefuseCall, effect.call)] += 1
        elif isinstance(effect, effects.DispatchCall):
            counts[(effects.DispatchCall, effect.hosted)] += 1
        elif isinstance(
            effect, effects.SendAnswer | effects.SendRefusal | effects.SendStoredAnswer
        ):
            counts[(effects.SendAnswer, effect.hosted)] += 1
    assert all(count == 1 for count in counts.values()), counts


@hypothesis.given(st.lists(STEPS, max_size=60))
@hypothesis.settings(max_examples=150)
def test_a_key_is_dispatched_at_most_once_unless_nothing_was_written(
    steps: list,
) -> None:
    _, played, out = _play(steps)
    keys = {
        event.hosted: event.metadata.key
        for event in played
        if isinstance(event, events.OpenReceived)
    }
    not_written = {
        event.hosted
        for event in played
        if isinstance(event, events.BackendFailed) and not event.dispatched
    }
    dispatched: collections.Counter[str] = collections.Counter(
        keys[effect.hosted]
        for group in out
        for effect in group
        if isinstance(effect, effects.DispatchCall)
        and effect.hosted not in not_written
        and keys[effect.hosted]
    )
    assert all(count == 1 for count in dispatched.values()), dispatched


@hypothesis.given(st.lists(STEPS, max_size=40))
@hypothesis.settings(max_examples=80)
def test_a_recorded_trace_replays_to_the_same_effects(steps: list) -> None:
    now = builders.START
    first = builders.started()
    state = reducer.new_state(first)
    target = io.BytesIO()
    recorder = trace.Recorder(target)
    expected = []
    for event in [first, *[kind(now=now + s, **v) for s, kind, v in steps]]:
        recorder.record(event)
        expected.append(trace.encode_effects(reducer.reduce(state, event)))
    target.seek(0)
    replayed = [
        trace.encode_effects(out) for _, out in trace.replay(trace.read(target))
    ]
    assert replayed == expected
    again = reducer.new_state(first)
    target.seek(0)
    for event in trace.read(target):
        reducer.reduce(again, event)
    assert again.dump() == state.dump()
    assert ids.Revision(0) <= state.revisions.revision
