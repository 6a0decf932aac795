"""Throughput of the reducer on one core by kind of event, without I/O."""

import gc
import statistics
import time

import msgspec

from benchmarks import control
from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    member_table,
    messages,
    ranks,
    reducer,
    routing,
    state as states,
    timers,
    upstreams,
)

CALLS = 20_000
UPSTREAMS = 38
"""Upstreams of an average service at the design size: 4,200 over 110."""

SIZES = (4, 19, 38, 60, 95, 400, 4_200)
SIZED_CALLS = 250
BLOCKS = 30
"""Blocks of :data:`SIZED_CALLS` calls of each size. They alternate, and the least one
counts: other load of the machine only lengthens a block. Sizes are compared by the
median over the rounds of blocks, since that load may last for several of them."""

BOUND_US = 30.0
BOUND_RATIO = 1.3
BOUNDED_SIZES = (4, 60, 95, 4_200)
"""Sizes at which a decision takes at most :data:`BOUND_US`, and at most
:data:`BOUND_RATIO` times as long at one as at another."""

CHOICES = 2_000
ROUNDS = 15
"""Rounds of choices of which the fastest counts, for the same reason."""

MID_CLASS_LEVEL = ranks.BAND // 2
"""Level in the middle of the lowest importance class."""

REPORT = messages.LoadReport(
    level=ids.Rank(0), tree_level=ids.Rank(0), load=3, limit=100
)


def _entry_state() -> states.State:
    state = control.node_with_members(4_200)
    state.configuration = configuration.Configuration(control.documents())
    return state


def _arrival(number: int, now: float) -> events.CallArrived:
    return events.CallArrived(
        now=now,
        call=ids.CallId(number),
        service=ids.ServiceName("service-7"),
        method="GET",
        path="/path/3",
        trace=f"{number:032x}",
        span=ids.SpanId(f"{number:016x}"),
    )


def entry_rate() -> dict[str, float]:
    """Return events a second for a call at its entry node."""
    state = _entry_state()
    spent = {"CallArrived": 0.0, "AttemptAnswered": 0.0}
    now = control.START
    for number in range(1, CALLS + 1):
        arrival = _arrival(number, now)
        begun = time.perf_counter()
        out = reducer.reduce(state, arrival)
        spent["CallArrived"] += time.perf_counter() - begun
        opened = next(e for e in out if isinstance(e, effects.OpenAttempt))
        answer = events.AttemptAnswered(
            now=now, attempt=opened.attempt, status=200, tokens=0, report=REPORT
        )
        begun = time.perf_counter()
        reducer.reduce(state, answer)
        spent["AttemptAnswered"] += time.perf_counter() - begun
        # A real node removes deadlines as they pass.
        state.deadlines.clear()
    return {name: CALLS / seconds for name, seconds in spent.items()}


def home_rate() -> dict[str, float]:
    """Return events a second for a call at its home node."""
    state = _entry_state()
    announced = events.BackendAnnounced(
        now=control.START,
        service=ids.ServiceName("service-7"),
        host="127.0.0.1",
        port=1,
        slots=100,
        connections=700,
        ttl_ms=1e12,
    )
    reducer.reduce(state, announced)
    terms = messages.CallMetadata(
        service=ids.ServiceName("service-7"),
        kind=ids.KindName("kind-7-3"),
        importance=0,
        depth=0,
        root=ids.RootHash(1 << 63),
        trace="a" * 32,
        deadline_ms=1_000.0,
        tokens=1,
        repeatable=True,
    )
    spent = {"OpenReceived": 0.0, "BackendAnswered": 0.0}
    now = control.START
    for number in range(1, CALLS + 1):
        hosted = ids.HostedId(number)
        opened = events.OpenReceived(
            now=now, hosted=hosted, sender=ids.NodeId("e"), metadata=terms
        )
        begun = time.perf_counter()
        reducer.reduce(state, opened)
        spent["OpenReceived"] += time.perf_counter() - begun
        answered = events.BackendAnswered(now=now, hosted=hosted, status=200)
        begun = time.perf_counter()
        reducer.reduce(state, answered)
        spent["BackendAnswered"] += time.perf_counter() - begun
        state.deadlines.clear()
        state.backend.windows[-1].ranks.clear()
    return {name: CALLS / seconds for name, seconds in spent.items()}


def refusal_rate() -> dict[str, float]:
    """Return arrivals a second that are refused by the reported level."""
    state = _entry_state()
    high = messages.LoadReport(
        level=ids.Rank(1 << 19), tree_level=ids.Rank(0), load=100, limit=100
    )
    for node in upstreams.candidates(state, ids.ServiceName("service-7")):
        routing.on_load_report(state, node, "kind-7-3", high)
    begun = time.perf_counter()
    for number in range(1, CALLS + 1):
        reducer.reduce(state, _arrival(number, control.START))
        state.deadlines.clear()
    spent = time.perf_counter() - begun
    return {"CallArrived, refused by level": CALLS / spent}


def tick_rate() -> dict[str, float]:
    """Return ticks a second of a node with 4,200 members in its table."""
    state = _entry_state()
    count = 3_000
    begun = time.perf_counter()
    for number in range(count):
        now = control.START + number * timers.TICK_MS
        reducer.reduce(state, events.Tick(now=now))
    return {"Tick": count / (time.perf_counter() - begun)}


def upstream_bytes(count: int = 60_000) -> float:
    """Return the bytes of state kept for one upstream that was called."""
    state = _entry_state()
    gc.collect()
    before = control.rss_mb()
    for index in range(count):
        node = ids.NodeId(f"service-{index % 110}-node-{index}")
        routing.on_load_report(state, node, "kind-7-3", REPORT)
    gc.collect()
    return (control.rss_mb() - before) * 1e6 / count


def _entry_with_upstreams(count: int, *, level: int, suspected: bool) -> states.State:
    """Return the state of an entry node whose upstreams all reported a level."""
    state = control.node_with_members(4)
    state.configuration = configuration.Configuration(control.documents())
    members = [
        messages.Member(
            node=ids.NodeId(f"u{number}"),
            incarnation=ids.Incarnation(1),
            version=1,
            state=messages.MemberState.SUSPECT
            if suspected and number == 1
            else messages.MemberState.ALIVE,
            host="127.0.0.1",
            peers_port=1,
            gossip_port=1,
            zone=f"z{number % 5}",
            service=ids.ServiceName("service-7"),
            slots=100,
        )
        for number in range(count)
    ]
    for member in members:
        member_table.update(state, member, [])
        report = msgspec.structs.replace(REPORT, level=ids.Rank(level))
        routing.on_load_report(state, member.node, "kind-7-3", report)
    return state


class SizedService:
    """An entry node with calls to one service.

    :param level: reported level; ``MID_CLASS_LEVEL`` admits half of the kind.
    """

    def __init__(self, count: int, *, level: int, suspected: bool) -> None:
        self._state = _entry_with_upstreams(count, level=level, suspected=suspected)
        self._report = msgspec.structs.replace(REPORT, level=ids.Rank(level))
        self._number = 0
        self.block_us: list[float] = []

    def run_block(self) -> None:
        """Run a block of calls, and keep the mean time of an arrival."""
        state = self._state
        spent = 0.0
        for _ in range(SIZED_CALLS):
            self._number += 1
            arrival = _arrival(self._number, state.now)
            begun = time.perf_counter()
            out = reducer.reduce(state, arrival)
            spent += time.perf_counter() - begun
            for opened in out:
                if isinstance(opened, effects.OpenAttempt):
                    answer = events.AttemptAnswered(
                        now=state.now,
                        attempt=opened.attempt,
                        status=200,
                        tokens=0,
                        report=self._report,
                    )
                    reducer.reduce(state, answer)
            state.deadlines.clear()
        self.block_us.append(1e6 * spent / SIZED_CALLS)


def _relative(services: list[SizedService]) -> float:
    """Return the longest time of services relative to the shortest."""
    first = services[0].block_us
    ratios = [
        statistics.median(b / a for a, b in zip(first, s.block_us, strict=True))
        for s in services
    ]
    return max(ratios) / min(ratios)


def print_sizes() -> None:
    """Print the time of a call's arrival by number of upstreams of its service."""
    print("us a CallArrived, by upstreams of the service")
    print(f"{'':>10} {'calm':>8} {'level':>8} {'suspect':>8} {'both':>8}")
    services = {
        count: [
            SizedService(count, level=level, suspected=suspected)
            for suspected in (False, True)
            for level in (0, MID_CLASS_LEVEL)
        ]
        for count in SIZES
    }
    for _ in range(BLOCKS):
        for row in services.values():
            for service in row:
                service.run_block()
    for count, row in services.items():
        print(f"{count:>10} " + " ".join(f"{min(s.block_us):>8.1f}" for s in row))
    bounded = [services[count] for count in BOUNDED_SIZES]
    columns = [list(column) for column in zip(*bounded, strict=True)]
    ratios = " ".join(f"{_relative(column):>8.2f}" for column in columns)
    print(f"{'ratio':>10} {ratios}  (bound {BOUND_RATIO})")
    most = max(min(s.block_us) for row in bounded for s in row)
    print(f"most at {BOUNDED_SIZES}: {most:.1f} us (bound {BOUND_US:.0f})")


def choice_us(count: int, *, pace: int) -> float:
    """Return the CPU time of the choice of an upstream in microseconds.

    :param pace: that each second upstream reported; 0 for none.
    """
    state = _entry_with_upstreams(count, level=0, suspected=False)
    service = ids.ServiceName("service-7")
    nodes = upstreams.candidates(state, service)
    for number, node in enumerate(nodes):
        reported = pace if number % 2 else min(pace, 100)
        report = msgspec.structs.replace(REPORT, pace=reported)
        routing.on_load_report(state, node, "kind-7-3", report)
    best = float("inf")
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(CHOICES):
            nodes = upstreams.candidates(state, service)
            routing.choose(state, nodes, "kind-7-3", ranks.HIGHEST)
        best = min(best, time.process_time() - begun)
    return 1e6 * best / CHOICES


def print_choices() -> None:
    """Print the time of a choice by number of upstreams, without and with a pace."""
    print("us a choice of an upstream, by upstreams of the service")
    print(f"{'':>10} {'no pace':>8} {'pace':>8}")
    for count in SIZES:
        figures = (choice_us(count, pace=0), choice_us(count, pace=250))
        print(f"{count:>10} " + " ".join(f"{cell:>8.1f}" for cell in figures))


def measure() -> dict[str, float]:
    """Return events a second by kind."""
    return {**entry_rate(), **home_rate(), **refusal_rate(), **tick_rate()}


if __name__ == "__main__":
    for name, rate in measure().items():
        print(f"{name:<32} {rate:>10.0f} /s")
    print(f"one upstream called before: {upstream_bytes():.0f} B")
    print_sizes()
    print_choices()
