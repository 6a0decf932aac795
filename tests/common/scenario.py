"""Language of the scenarios: load, faults and expectations.

Each line is one statement; times are in seconds of the fake clock. Examples are in
``tests/scenarios``.
"""

import collections.abc
import dataclasses
import operator
import pathlib

import lark

from gingerturn.internal.core import effects, events
from gingerturn_fakes import parts, world
from tests.common import small

GRAMMAR = r"""
start: _NL* (statement _NL+)*
statement: "load" NAME NUMBER "/s"                         -> load
    | "surge" NAME NUMBER "/s" "from" NUMBER "to" NUMBER   -> surge
    | "retry" NUMBER                                       -> retry
    | "gossip" ["dropping" NUMBER]                         -> gossip
    | "at" NUMBER action                                   -> at
    | "run" NUMBER                                         -> run
    | "expect" measure COMPARE NUMBER                      -> expect
action: "slow" NAME NUMBER                                 -> slow
    | "kill" NAME                                          -> kill
    | "restart" NAME                                       -> restart
    | "pause" NAME "for" NUMBER                            -> pause
    | "outage"                                             -> outage
    | "restore"                                            -> restore
    | "lose-acks" NUMBER                                   -> lose_acks
    | "cut" NAME NAME                                      -> cut
    | "heal"                                               -> heal
    | "drain" NAME                                         -> drain
    | "withdraw" NAME                                      -> withdraw
measure: "complete" NAME ["from" NUMBER "to" NUMBER]       -> complete
    | "executed-twice"                                     -> twice
    | "false-not-run"                                      -> false_not_run
    | "lost" NAME                                          -> lost
    | "cut" NAME                                           -> cut
    | "late" NAME "over" NUMBER                            -> late
    | "new-work" NAME "after" NUMBER                       -> new_work
    | "opened-to" NAME "after" NUMBER                      -> opened_to
    | "refusals-slower-than" NUMBER                        -> slow_refusals
COMPARE: ">=" | "<=" | "="
NAME: /[a-z][a-z0-9-]*/
NUMBER: /[0-9]+(\.[0-9]+)?/
COMMENT: /#[^\n]*/
_NL: /(\r?\n[ \t]*)+/
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""

_PARSER = lark.Lark(GRAMMAR, parser="lalr")
_COMPARE = {">=": operator.ge, "<=": operator.le, "=": operator.eq}


@dataclasses.dataclass
class Sent:
    """A root request, the time of its first sending in seconds, and its answers."""

    kind: str
    at: float
    complete: bool = False
    took_ms: float = 0.0
    answers: list[str] = dataclasses.field(default_factory=list)
    waits_ms: list[float] = dataclasses.field(default_factory=list)


class Player:
    """Runs one scenario on the fakes and checks its expectations.

    :param path: path of the scenario.
    """

    def __init__(self, path: pathlib.Path) -> None:
        text = path.read_text()
        self._tree = _PARSER.parse(text + "\n")
        self._path = path
        statements = list(self._tree.children)
        gossip = [s for s in statements if s.data == "gossip"]
        self.world = small.new_world(seed=7, gossip=bool(gossip))
        if gossip and gossip[0].children[0] is not None:
            self.world.drop_gossip = float(gossip[0].children[0])
        self.truth = small.Truth(self.world)
        self._check_root_end = self.world.on_root_end
        self.world.on_root_end = self._on_end
        self.world.on_effect = self._on_effect
        self._sent: dict[int, Sent] = {}
        self._last_sent_at: dict[int, float] = {}
        self._dispatched: list[tuple[float, str]] = []
        self._opened: list[tuple[float, str]] = []
        self._retry = 1
        self._number = 0

    def play(self) -> list[str]:
        """Run the scenario and return the expectations that were not met."""
        failures = []
        for statement in self._tree.children:
            arguments = list(statement.children)
            if statement.data == "expect":
                failure = self._check(*arguments)
                if failure:
                    failures.append(f"{self._path.name}: {failure}")
                continue
            getattr(self, f"_do_{statement.data}")(*arguments)
        return failures

    @property
    def _seconds(self) -> float:
        return (self.world.now - world.START) / 1000.0

    # Statements.

    def _do_gossip(self, *arguments: object) -> None:
        """Do nothing: the statement is evaluated before the start."""

    def _do_load(self, kind: str, rate: str) -> None:
        self._offer(str(kind), float(rate), 0.0, float("inf"))

    def _do_surge(self, kind: str, rate: str, begin: str, end: str) -> None:
        self.world.at(
            float(begin) * 1000.0,
            lambda: self._offer(str(kind), float(rate), float(begin), float(end)),
        )

    def _do_retry(self, count: str) -> None:
        self._retry = int(count)

    def _do_at(self, when: str, action: lark.Tree) -> None:
        names = [str(child) for child in action.children]
        act: collections.abc.Callable[..., None] = getattr(self, f"_act_{action.data}")
        self.world.at(float(when) * 1000.0, lambda: act(*names))

    def _do_run(self, seconds: str) -> None:
        self.world.run(float(seconds) * 1000.0)

    def _offer(self, kind: str, rate: float, begin: float, end: float) -> None:
        if self._seconds >= end:
            return
        delay = self.world.random.expovariate(rate) * 1000.0
        self.world.at(delay, lambda: self._offer(kind, rate, begin, end))
        self._number += 1
        spec = small.KINDS[kind]
        key = small.key_of(self.world, self._number) if spec.keyed else ""
        root = parts.Root(id=self._number, kind=spec, sent=self.world.now, key=key)
        self._sent[root.id] = Sent(kind=kind, at=self._seconds)
        self._send(root)

    def _send(self, root: parts.Root) -> None:
        self._last_sent_at[root.id] = self.world.now
        self.world.send(root)

    # Actions.

    def _act_slow(self, service: str, factor: str) -> None:
        for node in self._nodes(service):
            node.backend.slow = float(factor)

    def _act_kill(self, name: str) -> None:
        self.world.kill(name)

    def _act_restart(self, name: str) -> None:
        self.world.restart(name)

    def _act_pause(self, name: str, seconds: str) -> None:
        self.world.pause(name, float(seconds) * 1000.0)

    def _act_outage(self) -> None:
        self.world.log.down = True

    def _act_restore(self) -> None:
        self.world.log.down = False

    def _act_lose_acks(self, count: str) -> None:
        self.world.log.lose_acks = int(count)

    def _act_cut(self, one: str, other: str) -> None:
        self.world.cut |= {(one, other), (other, one)}

    def _act_heal(self) -> None:
        self.world.cut.clear()

    def _act_drain(self, name: str) -> None:
        self.world.apply(name, events.StopRequested(now=self.world.now))

    def _act_withdraw(self, name: str) -> None:
        self.world.apply(name, events.BackendWithdrawn(now=self.world.now))

    def _nodes(self, service: str) -> list[parts.FakeNode]:
        return [n for n in self.world.nodes.values() if n.backend.spec.name == service]

    # Observations.

    def _on_end(self, root: parts.Root) -> None:
        self._check_root_end(root)
        sent = self._sent[root.id]
        sent.answers.append(root.answer)
        if root.answer == "not-run":
            sent.waits_ms.append(self.world.now - self._last_sent_at[root.id])
        if root.answer == "ok":
            sent.complete = True
            sent.took_ms = self.world.now - root.sent
        elif root.tries < self._retry:
            self._send(root)

    def _on_effect(self, node: parts.FakeNode, effect: effects.Effect) -> None:
        if isinstance(effect, effects.DispatchCall):
            self._dispatched.append((self._seconds, node.name))
        elif isinstance(effect, effects.OpenAttempt):
            self._opened.append((self._seconds, str(effect.node)))
        elif isinstance(effect, effects.Stopped):
            # The process exits even if messages to it or work in it are in progress.
            self.world.at(0.0, lambda: self.world.kill(node.name))

    # Expectations.

    def _check(self, measure: lark.Tree, compare: str, expected: str) -> str:
        arguments = [None if a is None else str(a) for a in measure.children]
        value: float = getattr(self, f"_get_{measure.data}")(*arguments)
        if _COMPARE[str(compare)](value, float(expected)):
            return ""
        name = " ".join([measure.data, *[a for a in arguments if a]])
        return f"{name} is {value:.4f}, expected {compare} {expected}"

    def _get_complete(
        self, kind: str, begin: str | None = None, end: str | None = None
    ) -> float:
        low = float(begin) if begin else 0.0
        high = float(end) if end else self._seconds - 5.0
        cohort = [
            s for s in self._sent.values() if s.kind == kind and low <= s.at < high
        ]
        return sum(s.complete for s in cohort) / max(1, len(cohort))

    def _get_lost(self, kind: str) -> float:
        return sum(
            1
            for s in self._sent.values()
            if s.kind == kind
            and s.at < self._seconds - 5.0
            and not s.complete
            and "unknown" in s.answers
        )

    def _get_cut(self, kind: str) -> float:
        return sum(
            1
            for s in self._sent.values()
            if s.kind == kind and {"lost", "unknown"} & set(s.answers)
        )

    def _get_late(self, kind: str, bound_ms: str) -> float:
        cohort = [s for s in self._sent.values() if s.kind == kind and s.complete]
        late = sum(1 for s in cohort if s.took_ms > float(bound_ms))
        return late / max(1, len(cohort))

    def _get_twice(self) -> float:
        return len(self.truth.twice)

    def _get_false_not_run(self) -> float:
        return len(self.truth.false_not_run)

    def _get_new_work(self, name: str, after: str) -> float:
        return sum(
            1 for at, node in self._dispatched if node == name and at > float(after)
        )

    def _get_opened_to(self, name: str, after: str) -> float:
        return sum(1 for at, node in self._opened if node == name and at > float(after))

    def _get_slow_refusals(self, bound_ms: str) -> float:
        return sum(
            1
            for s in self._sent.values()
            for wait in s.waits_ms
            if wait > float(bound_ms)
        )


def play(path: pathlib.Path) -> list[str]:
    """Run a scenario and return the expectations that were not met."""
    return Player(path).play()
