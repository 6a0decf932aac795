"""Property-based tests of at-most-once execution under arbitrary faults."""

import hypothesis
from hypothesis import strategies as st

from gingerturn.internal import ids
from gingerturn.internal.core import events, routing
from gingerturn_fakes import fake_log, parts
from tests.common import small

NODES = ["porting-1", "porting-2", "provisioning-1", "plans-1"]
SECONDS = st.floats(0.2, 9.0)
FAULTS = st.one_of(
    st.tuples(st.just("kill"), SECONDS, st.sampled_from(NODES), st.floats(0.1, 4.0)),
    st.tuples(st.just("pause"), SECONDS, st.sampled_from(NODES), st.floats(0.1, 7.0)),
    st.tuples(st.just("outage"), SECONDS, st.just(""), st.floats(0.05, 6.0)),
    st.tuples(st.just("lose-acks"), SECONDS, st.just(""), st.integers(1, 20)),
    st.tuples(st.just("slow-log"), SECONDS, st.just(""), st.floats(0.1, 5.0)),
    st.tuples(st.just("cut"), SECONDS, st.sampled_from(NODES), st.floats(0.1, 4.0)),
    st.tuples(st.just("backend"), SECONDS, st.sampled_from(NODES), st.floats(0.1, 3.0)),
    st.tuples(st.just("drain"), SECONDS, st.sampled_from(NODES), st.just(0.0)),
)
RESTORES = st.tuples(st.just("restore"), SECONDS, st.just(""), st.floats(0.02, 4.0))
REQUESTS = st.lists(
    st.tuples(
        SECONDS,
        st.sampled_from(["porting", "provision"]),
        st.integers(1, 3),
        st.integers(1, 3),
        st.booleans(),
        st.booleans(),
    ),
    min_size=3,
    max_size=15,
)


class Play:
    """One run with faults and with repeated and duplicated requests."""

    def __init__(self, seed: int) -> None:
        self.world = small.new_world(seed=seed, gossip=True)
        self.truth = small.Truth(self.world)
        self._check_root_end = self.world.on_root_end
        self.world.on_root_end = self._on_end
        self._tries: dict[str, int] = {}
        self._honest: dict[str, bool] = {}
        self._numbers = 0

    def request(
        self,
        at: float,
        service: str,
        tries: int,
        copies: int,
        honest: bool,
        ticket: bool,
    ) -> None:
        """Send several concurrent copies of a keyed request.

        :param honest: whether the caller numbers its sendings, for a single copy.
        :param ticket: whether the key is a ticket instead of a key of the caller.
        """
        self._numbers += 1
        number = self._numbers
        kind = small.KINDS["port-request" if service == "porting" else "provision"]
        self.world.at(
            at * 1000.0,
            lambda: self._send(kind, number, tries, copies, honest, ticket),
        )

    def _send(
        self,
        kind: parts.KindSpec,
        number: int,
        tries: int,
        copies: int,
        honest: bool,
        ticket: bool,
    ) -> None:
        key = small.key_of(self.world, number)
        holder = ""
        if ticket:
            alive = next(n for n in self.world.nodes.values() if n.alive)
            service = ids.ServiceName(kind.service)
            holder = routing.ticket_holder(alive.state, service)
            if not holder:
                return
        self._tries[key] = tries
        for copy in range(copies):
            root = parts.Root(
                id=number * 10 + copy,
                kind=kind,
                sent=self.world.now,
                key=key,
                holder=holder,
            )
            if not (honest and copies == 1):
                root.tries = 1  # The next sending counts as a repeat.
            self.world.send(root)

    def _on_end(self, root: parts.Root) -> None:
        self._check_root_end(root)
        if root.answer != "ok" and root.tries < self._tries[root.key] + 1:
            self.world.send(root)

    def fault(self, kind: str, at: float, name: str, value: float) -> None:
        """Schedule a fault and its end."""
        made = self.world
        begin, end = at * 1000.0, (at + value) * 1000.0
        if kind == "kill":
            made.at(begin, lambda: made.nodes[name].alive and made.kill(name))
            made.at(end, lambda: made.nodes[name].alive or made.restart(name))
        elif kind == "pause":
            made.at(begin, lambda: made.pause(name, end - begin))
        elif kind == "outage":
            made.at(begin, lambda: setattr(made.log, "down", True))
            made.at(end, lambda: setattr(made.log, "down", False))
        elif kind == "lose-acks":
            made.at(begin, lambda: setattr(made.log, "lose_acks", int(value)))
        elif kind == "slow-log":
            made.at(begin, lambda: setattr(made.log, "delay_ms", 900.0))
            made.at(end, lambda: setattr(made.log, "delay_ms", 2.0))
        elif kind == "cut":
            others = [n for n in NODES if n != name]
            pairs = {(name, o) for o in others} | {(o, name) for o in others}
            made.at(begin, lambda: made.cut.update(pairs))
            made.at(end, lambda: made.cut.difference_update(pairs))
        elif kind == "backend":
            backend = made.nodes[name].backend
            made.at(begin, lambda: setattr(backend, "up", False))
            made.at(end, lambda: setattr(backend, "up", True))
        elif kind == "restore":
            copies: list[fake_log.Copy] = []
            made.at(begin, lambda: copies.append(made.log.copy()))
            made.at(end, lambda: made.log.restore(copies[0]))
        elif kind == "drain":
            made.at(begin, lambda: made.apply(name, events.StopRequested(now=made.now)))


@hypothesis.given(
    seed=st.integers(0, 1000),
    faults=st.lists(FAULTS, max_size=6),
    requests=REQUESTS,
)
@hypothesis.settings(
    max_examples=120,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
def test_no_key_runs_twice_and_not_run_is_true(
    seed: int, faults: list, requests: list
) -> None:
    play = Play(seed)
    for fault in faults:
        play.fault(*fault)
    for request in requests:
        play.request(*request)
    play.world.run(20_000.0)
    assert play.truth.twice == []
    assert play.truth.false_not_run == []


# Guards against a second execution of a key whose claim a restored log has lost.
@hypothesis.given(
    seed=st.integers(0, 1000),
    faults=st.lists(FAULTS, max_size=4),
    restores=st.lists(RESTORES, min_size=1, max_size=3),
    requests=REQUESTS,
)
@hypothesis.settings(
    max_examples=120,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
def test_no_key_runs_twice_though_the_log_is_restored(
    seed: int, faults: list, restores: list, requests: list
) -> None:
    play = Play(seed)
    for fault in [*faults, *restores]:
        play.fault(*fault)
    for request in requests:
        play.request(*request)
    play.world.run(20_000.0)
    assert play.truth.twice == []
    assert play.truth.false_not_run == []
