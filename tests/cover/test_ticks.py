"""Scheduling of ticks: rare on an idle node, on time for deadlines and reads."""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    pollers,
    reducer,
    state as states,
    streams,
    timers,
)
from tests.common import builders, routed

MAX_IDLE_TICKS_PER_S = 20


def _tick(state: states.State, *, until: float) -> tuple[int, list[effects.Effect]]:
    """Tick whenever the core is due; return the number of ticks and every effect."""
    ticks = 0
    out: list[effects.Effect] = []
    while (due := reducer.next_tick(state)) <= until:
        ticks += 1
        out += reducer.reduce(state, events.Tick(now=due))
    return ticks, out


def test_an_idle_node_ticks_rarely() -> None:
    # Guards against ticks at the minimum interval with nothing due.
    state = routed.node_state(service="plans")
    ticks, _ = _tick(state, until=state.now + 10_000.0)
    assert 10 * 5 < ticks <= 10 * MAX_IDLE_TICKS_PER_S


def test_calls_that_have_ended_cost_no_ticks() -> None:
    state = routed.node_state(service="plans", slots=500)
    for number in range(1, 400):
        now = state.now + 20.0
        reducer.reduce(state, builders.opened(number, now=now))
        answer = events.BackendAnswered(
            now=now, hosted=ids.HostedId(number), status=200, executed=True
        )
        reducer.reduce(state, answer)
    ticks, _ = _tick(state, until=state.now + 10_000.0)
    assert ticks <= 10 * MAX_IDLE_TICKS_PER_S


def test_a_deadline_is_met_within_ten_milliseconds() -> None:
    state = routed.node_state(service="plans", slots=1)
    deadline = state.now + 733.0
    metadata = builders.call_metadata(service="plans", deadline_ms=733.0)
    reducer.reduce(state, builders.opened(1, metadata))
    out: list[effects.Effect] = []
    while not builders.all_of(out, effects.SendRefusal):
        _, out = _tick(state, until=reducer.next_tick(state))
    assert deadline <= state.now <= deadline + timers.TICK_MS


def test_a_polling_node_reads_the_next_offset_at_once() -> None:
    state = routed.node_state()
    # No member could notify it of a change, so it polls the log.
    pollers.check(state, state.now, [])
    record = messages.encode_record(routed.table(version=3))
    newest = events.NewestRead(
        now=state.now, stream=streams.ROUTES, records=(record,), end=7
    )
    reducer.reduce(state, newest)
    read = events.LogRead(
        now=state.now, stream=streams.ROUTES, first=7, records=(), oldest=0, end=7
    )
    following = builders.only(reducer.reduce(state, read), effects.ReadLog)
    assert following.stream == streams.ROUTES


def test_a_failed_read_is_retried_after_its_delay() -> None:
    state = routed.node_state()
    reducer.reduce(state, events.LogReadFailed(now=state.now, stream=streams.ROUTES))
    retry_at = state.streams[streams.ROUTES].retry_at
    _, out = _tick(state, until=retry_at + timers.TICK_MS)
    read = [e.stream for e in builders.all_of(out, effects.ReadNewest)]
    assert streams.ROUTES in read
