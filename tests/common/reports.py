"""Checks of what backend servers report in answers: rate limits and leaving.

Both rules bind an entry node from the moment at which it relayed such an answer.
"""

import collections
import dataclasses

from gingerturn.internal.core import effects
from gingerturn_fakes import parts, world

WINDOW_MS = 4_000.0
SETTLE_MS = 3_000.0
"""Time from the first report of a limit until the limit is checked."""

KNOWN_MS = 500.0
"""Time from the relay of a report until the calls of that entry node count."""

EXCESS = 1.5
SLACK = 5.0
DRAIN_MS = 2_000.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A call that reached a backend server.

    :param counted: its entry node had relayed a report of a limit in time.
    """

    at: float
    entry: str
    counted: bool


class Reports:
    """Observes a world and checks the rules.

    :param made: the world; its effect hook is extended.
    """

    def __init__(self, made: world.World) -> None:
        self._world = made
        self._next_hook = made.on_effect
        self._began: dict[tuple[str, int], float] = {}
        self._limit_relayed: dict[tuple[str, str], float] = {}
        self._leaving_relayed: dict[tuple[str, str], float] = {}
        self._limits: dict[str, list[tuple[float, float]]] = collections.defaultdict(
            list
        )
        self.arrivals: dict[str, list[Arrival]] = collections.defaultdict(list)
        self.late_arrivals: list[str] = []
        made.on_effect = self._on_effect

    def limit(self, name: str, rate: float) -> None:
        """Let a backend server report a rate limit; a negative one ends it."""
        node = self._world.nodes[name]
        node.backend.rate_limit = rate
        self._limits[self._world.instance_of(node)].append((self._world.now, rate))

    def leave(self, name: str) -> None:
        """Let a backend server report that it is leaving."""
        self._world.nodes[name].backend.reports_leaving = True

    def excuse(self, entry: str) -> None:
        """Forget what an entry node relayed, since it restarted, paused or was cut."""
        for table in (self._limit_relayed, self._leaving_relayed):
            for key in [key for key in table if key[0] == entry]:
                del table[key]

    def violations(self) -> list[str]:
        """Return a sentence for each instance that got more than its limit allows, and
        for each call that reached a leaving one."""
        found = list(self.late_arrivals)
        for instance, changes in self._limits.items():
            found += self._excess_of(instance, changes)
        return found

    def rate(self, instance: str, start: float, end: float) -> float:
        """Return the calls a second that reached an instance."""
        inside = [a for a in self.arrivals[instance] if start <= a.at < end]
        return 1_000.0 * len(inside) / (end - start)

    def _excess_of(
        self, instance: str, changes: list[tuple[float, float]]
    ) -> list[str]:
        first = changes[0][0]
        times = [a.at for a in self.arrivals[instance] if a.counted]
        for end in times:
            start = end - WINDOW_MS
            if end < first + SETTLE_MS:
                continue
            allowed = self._allowed(changes, max(start, first), end)
            count = sum(start < at <= end for at in times)
            if allowed is not None and count > allowed:
                return [f"{instance} got {count} calls in 4 s, allowed {allowed:.1f}"]
        return []

    @staticmethod
    def _allowed(
        changes: list[tuple[float, float]], start: float, end: float
    ) -> float | None:
        """Return how many calls may arrive in a window; ``None`` if the limit ended.

        A limit that is lowered allows the former one for :data:`KNOWN_MS`.
        """
        total = 0.0
        at = start
        while at < end:
            rates = [rate for since, rate in changes if since <= at]
            rates = rates[-1:] + [
                rate
                for (_, rate), (until, _) in zip(changes, changes[1:], strict=False)
                if at - KNOWN_MS < until <= at
            ]
            if min(rates) < 0.0:
                return None
            total += max(rates) * 10.0 / 1_000.0
            at += 10.0
        whole = total * WINDOW_MS / max(10.0, end - start)
        return EXCESS * whole + SLACK

    def _on_effect(self, node: parts.FakeNode, effect: effects.Effect) -> None:
        if isinstance(effect, effects.OpenAttempt):
            call = node.state.calls[effect.call]
            self._began[(node.name, effect.attempt)] = call.arrived_at
        elif isinstance(effect, effects.DispatchCall):
            self._on_dispatch(node, effect)
        elif isinstance(effect, effects.RelayAnswer):
            report = node.attempt_reports.get(effect.attempt)
            if report is not None:
                self._on_relay(node.name, report)
        self._next_hook(node, effect)

    def _on_dispatch(self, node: parts.FakeNode, effect: effects.DispatchCall) -> None:
        sender, attempt, _ = node.hosted_calls[effect.hosted]
        instance = self._world.instance_of(node)
        now = self._world.now
        relayed = self._limit_relayed.get((sender, instance))
        counted = relayed is not None and relayed <= now - KNOWN_MS
        self.arrivals[instance].append(Arrival(now, sender, counted))
        leaving = self._leaving_relayed.get((sender, instance))
        began = self._began.get((sender, attempt), now)
        if leaving is not None and began > leaving + DRAIN_MS:
            late = began - leaving
            self.late_arrivals.append(
                f"{sender} sent a call to {instance} {late:.0f} ms after its leaving"
            )

    def _on_relay(self, entry: str, report: parts.BackendReport) -> None:
        key = (entry, report.instance)
        if report.rate_limit >= 0.0:
            self._limit_relayed.setdefault(key, self._world.now)
        if report.leaving:
            self._leaving_relayed.setdefault(key, self._world.now)
