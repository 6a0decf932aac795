"""Departures of backend servers that were confirmed before their node restarts."""

import asyncio
import itertools

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from gingerturn.internal.core import departures, effects, events, messages
from gingerturn.internal.shell import departure_waits, lingering, side_http
from tests.common import builders, cluster, routed, transports

BORN_MS = int(builders.START) - 60_000


def _announcement(
    made: cluster.Cluster,
    *,
    sequence: int = 1,
    instance: str = "i-1",
    started_ms: int = 0,
) -> events.BackendAnnounced:
    event = routed.announced(instance=instance, sequence=sequence, now=made.now)
    return msgspec.structs.replace(event, started_ms=started_ms)


def _leaving(made: cluster.Cluster, instance: str = "i-1") -> events.BackendWithdrawn:
    return events.BackendWithdrawn(now=made.now, instance=instance)


def _running_cluster(*, started_ms: int = 0) -> cluster.Cluster:
    """Return nodes of which ``n1`` has a backend server that gets calls."""
    made = cluster.Cluster("n1", "n2", "n3")
    made.advance(3_000.0)
    made.apply("n1", _announcement(made, sequence=7, started_ms=started_ms))
    assert _gets_calls(made)
    made.advance(1_000.0)
    return made


_numbers = itertools.count(1)


def _gets_calls(made: cluster.Cluster) -> bool:
    """Whether a call at ``n1`` is dispatched."""
    number = next(_numbers)
    before = len(made.dispatched)
    made.apply("n1", builders.opened(number, now=made.now))
    if len(made.dispatched) == before:
        return False
    answer = events.BackendAnswered(
        now=made.now, hosted=made.dispatched[-1][1].hosted, status=200
    )
    made.apply("n1", answer)
    return True


# A node that restarted forgot a confirmed departure, and a late announcement undid it.
@pytest.mark.parametrize("killed", [("n1",), ("n1", "n2", "n3")], ids=["one", "all"])
def test_a_late_announcement_after_a_restart_gets_no_calls(
    killed: tuple[str, ...],
) -> None:
    made = _running_cluster()
    late = _announcement(made, sequence=8)
    made.apply("n1", _leaving(made))
    for name in killed:
        made.kill(name)
    made.advance(1_000.0)
    for name in killed:
        made.start(name)
    made.advance(1_000.0)
    made.apply("n1", late)
    made.advance(2_000.0)
    assert not _gets_calls(made)


# The members keep the departure where the log is not available.
def test_it_holds_without_the_log() -> None:
    made = _running_cluster()
    made.log_works = False
    made.apply("n1", _leaving(made))
    made.kill("n1")
    made.advance(1_000.0)
    made.start("n1")
    made.apply("n1", _announcement(made, sequence=8))
    made.advance(3_000.0)
    assert not _gets_calls(made)


def test_it_holds_across_two_restarts() -> None:
    made = _running_cluster()
    made.apply("n1", _leaving(made))
    for _ in range(2):
        made.kill("n1")
        made.advance(500.0)
        made.start("n1")
        made.advance(500.0)
    made.apply("n1", _announcement(made, sequence=8))
    made.advance(2_000.0)
    assert not _gets_calls(made)


# A departure that is confirmed before the restarted node has heard of its instance.
def test_it_holds_for_a_departure_right_after_a_restart() -> None:
    made = _running_cluster()
    made.kill("n1")
    made.start("n1")
    made.apply("n1", _leaving(made))
    made.kill("n1")
    made.start("n1")
    made.advance(1_000.0)
    made.apply("n1", _announcement(made, sequence=8))
    made.advance(2_000.0)
    assert not _gets_calls(made)


# Each departure that a started node learned was put by itself, so that the log held a
# part of them meanwhile.
@pytest.mark.parametrize(("listed", "put_count"), [(True, 0), (False, 1)])
def test_departures_that_are_learned_are_put_once_unless_the_log_has_them(
    *, listed: bool, put_count: int
) -> None:
    made = _running_cluster()
    for instance in ("i-1", "i-2", "i-3"):
        made.apply("n1", _leaving(made, instance))
    # Changes within 250 ms of each other reach the members with a later message.
    made.advance(1_000.0)
    if not listed:
        del made.log["departure/n1"]
    made.kill("n1")
    made.advance(500.0)
    made.puts.clear()
    made.start("n1")
    made.advance(1_000.0)
    put = [effect for effect in made.puts if effect.key == "departure/n1"]
    assert len(put) == put_count
    record = messages.decode_record(made.log["departure/n1"])
    assert isinstance(record, messages.DepartureRecord)
    kept = [start.instance for start in record.departed]
    assert kept == ["i-1", "i-2", "i-3"]


@pytest.mark.parametrize("instance", ["i-1", "i-2"])
def test_a_new_start_gets_calls_at_once(instance: str) -> None:
    made = _running_cluster(started_ms=BORN_MS)
    made.apply("n1", _leaving(made))
    made.kill("n1")
    made.advance(1_000.0)
    made.start("n1")
    made.advance(100.0)
    born = int(made.now)
    made.apply("n1", _announcement(made, instance=instance, started_ms=born))
    assert _gets_calls(made)


def test_an_announcement_is_held_until_departures_are_known() -> None:
    made = cluster.Cluster("n1", log_works=False)
    state = made.nodes["n1"]
    state.membership.members_listed = False
    state.streams.clear()
    made.apply("n1", _announcement(made))
    assert not state.backend.present
    assert state.departures.held_count == 1
    made.advance(departures.HOLD_MS)
    assert state.backend.present


def test_held_announcements_are_bounded() -> None:
    made = cluster.Cluster("n1", log_works=False)
    state = made.nodes["n1"]
    state.streams.clear()
    for sequence in range(1, 30):
        made.apply("n1", _announcement(made, sequence=sequence))
    assert len(state.departures.held) == departures.MAX_HELD
    made.advance(departures.HOLD_MS)
    assert state.backend.sequence == 29


def test_a_node_that_is_alone_takes_announcements_once_the_log_is_read() -> None:
    made = cluster.Cluster("n1")
    made.apply("n1", _announcement(made))
    assert made.nodes["n1"].backend.present


# A 421 is no departure that was confirmed, and may come of a faulty backend server.
def test_an_instance_that_a_call_found_missing_is_not_kept_on_the_log() -> None:
    made = _running_cluster()
    made.apply("n1", builders.opened(next(_numbers), now=made.now))
    misdirected = events.BackendAnswered(
        now=made.now,
        hosted=made.dispatched[-1][1].hosted,
        status=messages.MISDIRECTED,
        executed=False,
    )
    made.apply("n1", misdirected)
    assert not _gets_calls(made)
    assert "departure/n1" not in made.log


def test_a_departure_is_put_again_until_it_is_saved() -> None:
    made = _running_cluster()
    made.log_works = False
    made.apply("n1", _leaving(made))
    assert "departure/n1" not in made.log
    made.log_works = True
    made.advance(4_000.0)
    record = messages.decode_record(made.log["departure/n1"])
    assert isinstance(record, messages.DepartureRecord)
    assert [start.instance for start in record.departed] == ["i-1"]


def test_old_departures_of_other_nodes_are_deleted_from_the_log() -> None:
    made = cluster.Cluster("n1")
    for name, age in (("gone", departures.RETENTION_MS + 1.0), ("recent", 1_000.0)):
        made.log[f"departure/{name}"] = messages.encode_record(
            messages.DepartureRecord(
                node=name,
                departed=(messages.DepartedStart("i-9", 1),),
                at=made.now - age,
            )
        )
    made.kill("n1")
    made.advance(100.0)
    made.start("n1")
    made.advance(100.0)
    assert "departure/gone" not in made.log
    assert "departure/recent" in made.log


# A confirmation could be given before the departure was known to anything but the node.
def test_a_confirmation_waits_for_the_save() -> None:
    async def play() -> list[bytes]:
        waits = departure_waits.DepartureWaits()
        reply = side_http.Reply(200, b"{}")
        written: list[bytes] = []

        def handle(request: side_http.Request) -> side_http.DelayedReply:
            return side_http.DelayedReply(reply, waits.begin())

        connection = side_http.Connection(
            handle, lingering.Lingering(), side_http.Connections()
        )
        transport = transports.Transport()
        connection.connection_made(transport)  # type: ignore[arg-type]
        connection.data_received(b"POST /x HTTP/1.1\r\nhost: n\r\n\r\n")
        await asyncio.sleep(0)
        written.append(bytes(transport.written))
        waits.on_saved(effects.DeparturesSaved())
        await asyncio.sleep(0)
        written.append(bytes(transport.written))
        return written

    before, after = asyncio.run(play())
    assert before == b""
    assert after.startswith(b"HTTP/1.1 200 ")


INSTANCES = ("i-1", "i-2")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("report"), st.sampled_from(INSTANCES), st.booleans()),
        st.tuples(st.just("late")),
        st.tuples(st.just("leave"), st.sampled_from(INSTANCES)),
        st.tuples(st.just("restart"), st.sampled_from(["n1", "n2", "all"])),
        st.tuples(st.just("time"), st.sampled_from([100.0, 700.0, 2_000.0])),
    ),
    min_size=10,
    max_size=30,
)


# Reports on time and late, departures, restarts and calls in any order.
@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
@hypothesis.given(STEPS)
def test_no_call_reaches_an_instance_whose_departure_was_confirmed(
    steps: list[tuple[object, ...]],
) -> None:
    made = cluster.Cluster("n1", "n2")
    made.advance(100.0)
    delayed: list[events.BackendAnnounced] = []
    departed: set[str] = set()
    for sequence, (step, *drawn) in enumerate(steps, start=1):
        if step == "report":
            instance = str(drawn[0])
            report = _announcement(made, sequence=sequence, instance=instance)
            if instance in departed:
                continue
            if drawn[1]:
                delayed.append(report)
            else:
                made.apply("n1", report)
        elif step == "late" and delayed:
            made.apply("n1", msgspec.structs.replace(delayed.pop(0), now=made.now))
        elif step == "leave":
            instance = str(drawn[0])
            made.apply("n1", _leaving(made, instance))
            departed.add(instance)
        elif step == "restart":
            names = ["n1", "n2"] if drawn[0] == "all" else [str(drawn[0])]
            for name in names:
                made.kill(name)
            made.advance(50.0)
            for name in names:
                made.start(name)
        elif step == "time":
            made.advance(float(str(drawn[0])))
        if _gets_calls(made):
            assert made.dispatched[-1][1].instance not in departed
