"""A log that is restored from a backup.

Acknowledged records are lost, their offsets are assigned again, and reads of offsets
that the log lacks are refused. Versions published afterwards must be in force in time.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    joining,
    log_epochs,
    messages,
    pollers,
    reducer,
    state as states,
    streams,
    version_bound,
)
from gingerturn.internal.shell import http_calls
from gingerturn_fakes import fake_log, parts, world
from tests.common import builders, routed

ZONES = ["a", "b", "c"]
POLLERS = pollers.POLLERS_PER_ZONE * len(ZONES)
IN_FORCE_MS = 2_000.0
LONG_POLL_MS = version_bound.LONG_POLL_SHARE * IN_FORCE_MS
"""Time within which a change must be in force."""

AWAY_MS = 2_000.0


def _world(*, upstreams: int = 15, seed: int = 3) -> world.World:
    spec = parts.ServiceSpec("plans", upstreams, 4, {"lookup": 5.0})
    table = routed.table(routed.route())
    made = world.World(
        seed=seed, services=[spec], documents={}, zones=ZONES, table=table
    )
    made.gossip_on = True
    made.run(4_000.0)
    return made


def _publish(made: world.World, *versions: int) -> None:
    for version in versions:
        table = routes.RouteTable(version=version, routes=(routed.route(),))
        made.log.put(streams.ROUTES, "table", messages.encode_record(table))


def _versions(made: world.World) -> set[int]:
    return {node.state.version for node in made.nodes.values() if node.alive}


def _publish_and_lose(made: world.World, *versions: int) -> None:
    """Publish versions that come into force, and restore the log without them."""
    copy = made.log.copy()
    for version in versions:
        _publish(made, version)
        made.run(1_000.0)
    _restore(made, copy)


def _restore(
    made: world.World, copy: fake_log.Copy, *, then: tuple[int, ...] = ()
) -> None:
    """Restore the log from a copy, with an outage.

    :param then: versions appended before nodes can read it again.
    """
    made.log.down = True
    made.log.restore(copy)
    made.run(AWAY_MS)
    _publish(made, *then)
    made.log.down = False


# Guards against readers that keep reading at an offset which the restored log lacks.
def test_a_change_is_in_force_in_time_though_the_log_is_shorter_than_before() -> None:
    made = _world()
    _publish_and_lose(made, 2, 3, 4, 5)
    made.run(3_000.0)
    _publish(made, 6)
    made.run(IN_FORCE_MS)
    assert _versions(made) == {6}


# Guards against readers that wait at the end of a restored log and miss records before.
@pytest.mark.parametrize("then", [(6,), (6, 7), (6, 7, 8), (6, 7, 8, 9)])
def test_what_was_published_before_nodes_read_again_is_in_force_in_time(
    then: tuple[int, ...],
) -> None:
    made = _world()
    copy = made.log.copy()
    _publish(made, 2, 3)
    made.run(1_000.0)
    _restore(made, copy, then=then)
    made.run(IN_FORCE_MS)
    assert _versions(made) == {then[-1]}


def test_a_log_that_is_longer_by_records_of_others_hides_no_version() -> None:
    made = _world()
    copy = made.log.copy()
    _publish(made, 2)
    made.run(1_000.0)
    made.log.down = True
    made.log.restore(copy)
    _publish(made, 3)
    for key in ("quotas", "zones", "owners"):
        made.log.put(streams.ROUTES, key, b"{}")
    made.run(AWAY_MS)
    made.log.down = False
    made.run(IN_FORCE_MS)
    assert _versions(made) == {3}


@pytest.mark.parametrize("then", [(), (3,), (3, 4)])
def test_a_long_poll_across_a_restoration_does_not_hide_it(
    then: tuple[int, ...],
) -> None:
    made = _world()
    made.log.keeps_long_polls = True
    copy = made.log.copy()
    _publish(made, 2)
    made.run(1_000.0)
    made.log.restore(copy)
    _publish(made, *then)
    made.run(LONG_POLL_MS + IN_FORCE_MS)
    assert _versions(made) == {then[-1] if then else 2}
    assert {node.state.log.epoch for node in made.nodes.values()} == {2}


def test_where_nothing_was_lost_each_reader_makes_one_more_read_of_the_newest() -> None:
    made = _world()
    newest = 0

    def count(node: parts.FakeNode, effect: effects.Effect) -> None:
        nonlocal newest
        is_newest = isinstance(effect, effects.ReadNewest)
        newest += is_newest and effect.stream == streams.ROUTES

    made.on_effect = count
    made.log.restore(made.log.copy())
    made.run(5_000.0)
    assert newest == POLLERS
    assert _versions(made) == {1}


def test_a_log_that_lacks_offsets_is_not_read_in_a_busy_loop() -> None:
    made = _world()
    _publish_and_lose(made, 2, 3, 4, 5)
    reads = 0

    def count(node: parts.FakeNode, effect: effects.Effect) -> None:
        nonlocal reads
        is_read = isinstance(effect, effects.ReadLog | effects.ReadNewest)
        reads += is_read and effect.stream == streams.ROUTES

    made.on_effect = count
    made.run(3_000.0)
    # One that failed, one of the newest records, and one that waits; the first node's
    # reads wait for a short time only.
    assert reads <= 3 * POLLERS + 3_000.0 / LONG_POLL_MS


def test_a_log_that_loses_records_twice_in_a_row_is_followed_all_the_same() -> None:
    made = _world()
    copy = made.log.copy()
    _publish(made, 2)
    made.run(1_000.0)
    _restore(made, copy, then=(3,))
    made.run(500.0)
    _restore(made, copy, then=(4,))
    made.run(IN_FORCE_MS)
    assert _versions(made) == {4}
    assert {node.state.log.epoch for node in made.nodes.values()} == {3}


def test_a_version_that_the_log_lost_stays_in_force_also_at_a_node_started_since() -> (
    None
):
    made = _world()
    _publish_and_lose(made, 2)
    made.run(1_000.0)
    made.kill("plans-3")
    made.run(5_000.0)
    made.restart("plans-3")
    made.run(IN_FORCE_MS)
    assert _versions(made) == {2}


class _Reader:
    """A node that follows the route tables of a log, and the answers to its reads."""

    def __init__(self) -> None:
        begin = routed.started()
        self.state = reducer.new_state(begin)
        self.out = reducer.reduce(self.state, begin)
        self.state.started_at = begin.now - 10_000.0
        self.newest(1, end=4, epoch=5)
        self.state.streams[streams.ROUTES].followed = True
        streams.retry_due(self.state, self.out)

    @property
    def stream(self) -> states.Stream:
        return self.state.streams[streams.ROUTES]

    def handle(self, event: events.Event) -> list[effects.Effect]:
        self.out = reducer.reduce(self.state, event)
        return self.out

    def newest(self, version: int, *, end: int, epoch: int) -> list[effects.Effect]:
        table = routes.RouteTable(version=version, routes=(routed.route(),))
        return self.handle(
            events.NewestRead(
                now=self.state.now,
                stream=streams.ROUTES,
                records=(messages.encode_record(table),),
                end=end,
                requested_at=self.state.now,
                generation=self.stream.generation,
                epoch=ids.LogEpoch(epoch),
            )
        )

    def read(
        self, *versions: int, epoch: int, generation: int | None = None
    ) -> list[effects.Effect]:
        tables = [
            routes.RouteTable(version=version, routes=(routed.route(),))
            for version in versions
        ]
        first = self.stream.offset
        own = self.stream.generation
        return self.handle(
            events.LogRead(
                now=self.state.now,
                stream=streams.ROUTES,
                first=first,
                records=tuple(messages.encode_record(table) for table in tables),
                oldest=0,
                end=first + len(tables),
                requested_at=self.state.now,
                generation=own if generation is None else generation,
                epoch=ids.LogEpoch(epoch),
            )
        )

    def missing(self, *, epoch: int = 0, first: int = 0) -> list[effects.Effect]:
        return self.handle(
            events.LogRead(
                now=self.state.now,
                stream=streams.ROUTES,
                first=first,
                records=(),
                oldest=first,
                end=first,
                missing=True,
                requested_at=self.state.now,
                generation=self.stream.generation,
                epoch=ids.LogEpoch(epoch),
            )
        )

    def tick(self, after_ms: float = 0.0) -> list[effects.Effect]:
        self.state.now += after_ms
        return self.handle(events.Tick(now=self.state.now))

    def receive_epoch(self, epoch: int) -> list[effects.Effect]:
        message = messages.Gossip(
            kind=messages.GossipKind.PING,
            sequence=1,
            revision=ids.Revision(0),
            log_epoch=ids.LogEpoch(epoch),
        )
        return self.handle(builders.datagram("n2", message, now=self.state.now))


def _reads_newest(out: list[effects.Effect]) -> bool:
    found = builders.all_of(out, effects.ReadNewest)
    return any(effect.stream == streams.ROUTES for effect in found)


def test_a_higher_epoch_in_the_answer_to_a_read_lets_the_newest_be_read() -> None:
    node = _Reader()
    out = node.read(epoch=6)
    assert _reads_newest(out)
    node.newest(2, end=1, epoch=6)
    assert node.stream.offset == 1
    assert node.state.version == 2


def test_an_answer_that_brings_the_newest_and_a_higher_epoch_is_used_at_once() -> None:
    node = _Reader()
    streams.reread(node.state, streams.ROUTES)
    node.stream.read_pending = False
    node.tick()
    node.newest(2, end=1, epoch=6)
    assert node.state.version == 2
    assert not _reads_newest(node.out)
    assert builders.only(node.out, effects.ReadLog).offset == 1


def test_an_epoch_reported_by_a_member_ends_a_long_poll() -> None:
    node = _Reader()
    node.receive_epoch(6)
    assert _reads_newest(node.tick())


def test_the_highest_epoch_is_gossiped() -> None:
    node = _Reader()
    builders.add_members(node.state, builders.member("n2", "plans"))
    node.read(epoch=6)
    out = node.tick(600.0)
    epochs = {e.message.log_epoch for e in builders.all_of(out, effects.SendGossip)}
    assert epochs == {6}


@pytest.mark.parametrize(
    "event",
    [
        events.PutDone(now=0.0, put=9_999, epoch=ids.LogEpoch(6)),
        events.PutFailed(now=0.0, put=9_999, epoch=ids.LogEpoch(6)),
        events.AppendDone(now=0.0, append=9_999, offset=1, epoch=ids.LogEpoch(6)),
        events.AppendFailed(now=0.0, append=9_999, certain=True, epoch=ids.LogEpoch(6)),
        events.LogReadFailed(now=0.0, stream=streams.MEMBERS, epoch=ids.LogEpoch(6)),
    ],
    ids=lambda event: type(event).__name__,
)
def test_any_answer_may_be_the_first_to_report_the_epoch(event: events.Event) -> None:
    node = _Reader()
    out = reducer.reduce(node.state, event) + node.tick()
    assert node.state.log.epoch == 6
    assert _reads_newest(out)


def test_a_late_answer_to_a_read_of_before_changes_nothing() -> None:
    node = _Reader()
    before = node.stream.generation
    node.receive_epoch(6)
    node.tick()
    node.newest(2, end=1, epoch=6)
    node.read(9, epoch=5, generation=before)
    assert node.stream.offset == 1
    assert node.state.version == 2


def test_a_read_answered_in_an_earlier_epoch_is_repeated() -> None:
    node = _Reader()
    node.receive_epoch(6)
    node.tick()
    out = node.newest(2, end=7, epoch=5)
    assert node.state.version == 1
    lines = [effect.text for effect in builders.all_of(out, effects.WriteLog)]
    assert "Discarded an answer of epoch 5; the log is at epoch 6." in lines
    assert _reads_newest(node.tick(500.0))


def test_a_log_whose_epoch_went_back_is_followed_again_and_logged_once() -> None:
    node = _Reader()
    for _ in range(log_epochs.MAX_LOWER_EPOCH_ANSWERS):
        node.read(epoch=3)
        lines = [e.text for e in builders.all_of(node.out, effects.WriteLog)]
        node.tick(1_000.0)
    assert [text for text in lines if "count went back" in text]
    node.newest(2, end=1, epoch=3)
    assert node.state.version == 2
    # Members that still report the higher epoch do not cause another restart.
    node.receive_epoch(5)
    assert node.state.log.epoch == 3
    assert _reads_newest(node.read(epoch=4))


def test_a_restored_log_without_epochs_is_detected_by_its_offsets() -> None:
    node = _Reader()
    node.missing()
    assert _reads_newest(node.out)


def test_expired_records_are_not_taken_for_a_restoration() -> None:
    node = _Reader()
    node.missing(epoch=5, first=9)
    assert node.state.log.restores == 0
    assert _reads_newest(node.out)


def test_reads_of_a_contradictory_log_back_off() -> None:
    node = _Reader()
    reads = 0
    for _ in range(100):
        if _reads_newest(node.out):
            reads += 1
            node.newest(1, end=4, epoch=5)
        if builders.all_of(node.out, effects.ReadLog):
            node.missing(epoch=5)
        else:
            node.tick(100.0)
    # Ten seconds, with a backoff of at most a second.
    assert reads <= 30


def test_the_first_epoch_header_may_hide_a_restoration() -> None:
    node = _Reader()
    node.state.log = states.LogHistory(read_without_epoch=True)
    assert _reads_newest(node.read(epoch=7))


@pytest.mark.parametrize(
    ("headers", "epoch"),
    [
        ([(b"Store-Era", b"12")], 12),
        ([(b"store-era", b" 7 ")], 7),
        ([(b"Date", b"12")], 0),
        ([], 0),
        ([(b"Store-Era", b"")], 0),
        ([(b"Store-Era", b"-3")], 0),
        ([(b"Store-Era", b"0")], 0),
        ([(b"Store-Era", b"4.5")], 0),
        ([(b"Store-Era", b"seven")], 0),
        ([(b"Store-Era", b"4294967296")], 0),
        ([(b"Store-Era", b"9" * 5_000)], 0),
        ([(b"Store-Era", "²".encode())], 0),
    ],
)
def test_an_invalid_epoch_header_is_ignored(
    headers: list[tuple[bytes, bytes]], epoch: int
) -> None:
    peer = http_calls.Client("http://log", timeout_ms=1.0, epoch_header=b"store-era")
    assert peer._epoch(headers) == epoch


def _join_puts(out: list[effects.Effect]) -> list[effects.PutRecord]:
    return [e for e in builders.all_of(out, effects.PutRecord) if e.key == "n1"]


def _joined(*, members: int = 1) -> _Reader:
    """Return a node whose own record the log has acknowledged."""
    node = _Reader()
    put = node.state.membership.join_put_number
    others = [builders.member(f"m{n}", "plans") for n in range(members)]
    builders.add_members(node.state, *others)
    reducer.reduce(
        node.state, events.PutDone(now=node.state.now, put=put, epoch=ids.LogEpoch(5))
    )
    assert not _join_puts(builders.advance(node.state, 3_000.0))
    return node


# Guards against members that a node started afterwards cannot find on the log.
def test_the_own_record_is_written_again_when_the_log_was_restored() -> None:
    node = _joined()
    node.receive_epoch(6)
    (put,) = _join_puts(builders.advance(node.state, 2_500.0))
    node.handle(events.PutDone(now=node.state.now, put=put.put, epoch=ids.LogEpoch(6)))
    assert not _join_puts(builders.advance(node.state, 3_000.0))
    node.receive_epoch(7)
    assert _join_puts(builders.advance(node.state, 2_500.0))


def test_an_acknowledgement_of_an_earlier_epoch_does_not_count() -> None:
    node = _joined()
    node.receive_epoch(6)
    (put,) = _join_puts(builders.advance(node.state, 2_500.0))
    node.receive_epoch(7)
    node.handle(events.PutDone(now=node.state.now, put=put.put, epoch=ids.LogEpoch(6)))
    assert _join_puts(builders.advance(node.state, 2_500.0))


def test_many_nodes_write_their_records_again_over_a_longer_time() -> None:
    due = []
    for seed in range(30):
        node = _joined(members=1_000)
        node.state.random.seed(seed)
        node.receive_epoch(6)
        due.append(node.state.membership.join_retry_at - node.state.now)
    assert 5_000.0 < max(due) <= 1_001 * 1_000.0 / joining.REWRITES_PER_SECOND
    assert len({round(after) for after in due}) > 20


def test_a_departed_node_does_not_rewrite_its_join_record() -> None:
    node = _joined()
    node.handle(events.StopRequested(now=node.state.now))
    builders.advance(node.state, 2_000.0)
    assert node.state.departed
    node.receive_epoch(6)
    assert not _join_puts(builders.advance(node.state, 1_000.0))


def test_members_are_not_read_by_all_nodes_when_each_has_written_again() -> None:
    node = _joined()
    members = events.NewestRead(
        now=node.state.now, stream=streams.MEMBERS, records=(), end=1
    )
    node.handle(members)
    builders.add_members(node.state, builders.member("m0", "plans"))
    node.state.started_at -= joining.RECENT_START_MS
    node.receive_epoch(6)
    out = builders.advance(node.state, 2_500.0)
    (put,) = _join_puts(out)
    out += node.handle(
        events.PutDone(now=node.state.now, put=put.put, epoch=ids.LogEpoch(6))
    )
    read = [e.stream for e in builders.all_of(out, effects.ReadNewest)]
    assert streams.MEMBERS not in read


_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.integers(1, 3)),
        st.tuples(st.just("copy"), st.just(0)),
        st.tuples(st.just("restore"), st.integers(0, 1)),
        st.tuples(st.just("wait"), st.integers(1, 2_500)),
        st.tuples(st.just("kill"), st.integers(1, 6)),
    ),
    min_size=2,
    max_size=12,
)


@hypothesis.settings(max_examples=40)
@hypothesis.given(steps=_STEPS, seed=st.integers(0, 99))
def test_whatever_is_lost_no_node_goes_back_and_all_follow(
    steps: list[tuple[str, int]], seed: int
) -> None:
    made = _world(upstreams=6, seed=seed)
    copy = made.log.copy()
    version = 1
    seen: dict[tuple[str, int], int] = {}

    def watch(node: parts.FakeNode, effect: effects.Effect) -> None:
        start = (node.name, node.incarnation)
        assert node.state.version >= seen.get(start, 0)
        seen[start] = node.state.version

    made.on_effect = watch
    for step, value in steps:
        if step == "publish":
            for _ in range(value):
                version += 1
                _publish(made, version)
        elif step == "copy":
            copy = made.log.copy()
        elif step == "restore":
            made.log.keeps_long_polls = bool(value)
            made.log.restore(copy)
        elif step == "wait":
            made.run(float(value))
        else:
            made.kill(f"plans-{value}")
            made.restart(f"plans-{value}")
    version += 1
    _publish(made, version)
    made.run(LONG_POLL_MS + IN_FORCE_MS)
    assert _versions(made) == {version}
