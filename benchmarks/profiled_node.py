"""A node that measures its own processor time by part.

``python -m benchmarks.profiled_node node --settings FILE`` runs a node as the command
``gingerturn`` does, and writes what it measured to the file in ``PROFILE_TO`` at each
SIGUSR1. With ``PROFILE_MODE=functions`` it is profiled by :mod:`cProfile` instead, and
with ``PROFILE_MODE=none`` it runs unchanged.
"""

import collections.abc
import cProfile
import functools
import json
import os
import pathlib
import signal
import time
import typing

from gingerturn.cli import main
from gingerturn.internal.core import reducer
from gingerturn.internal.shell import (
    backend_http,
    exchanges,
    gossip,
    ingress,
    node as nodes,
    peers,
)
from gingerturn.internal.wire import frames

CALIBRATION_RUNS = 20_000

Function = collections.abc.Callable[..., typing.Any]

PARTS: dict[str, list[tuple[typing.Any, str]]] = {
    "HTTP of callers": [
        (ingress.CallerConnection, "data_received"),
        (ingress.CallerConnection, "_dispatch"),
        (ingress.CallerConnection, "send_whole"),
        (ingress.CallerConnection, "send_problem"),
    ],
    "frame codec": [(frames, "encode"), (frames, "decode"), (frames, "split")],
    "frame connections": [
        (peers.Dialled, "data_received"),
        (peers.Accepted, "data_received"),
        (peers.FrameProtocol, "send"),
    ],
    "reducer": [(reducer, "reduce")],
    "events": [(nodes.Node, "apply")],
    "HTTP of the backend server": [
        (backend_http.Connection, "data_received"),
        (backend_http.Connection, "begin"),
        (exchanges.HostedExchange, "on_head"),
    ],
    "gossip": [
        (gossip.GossipProtocol, "datagram_received"),
        (gossip.GossipProtocol, "send"),
    ],
    "ticks": [(nodes.Node, "_tick")],
}
"""Functions by the part that their own time counts for; calls of functions of another
part, or of this one, are excluded."""

LOG_HANDLERS = frozenset({"LogDecision", "WriteLog"})


class Counters:
    """Exclusive processor time by part, in nanoseconds."""

    def __init__(self) -> None:
        self.spent: dict[str, int] = {}
        self.calls: dict[str, int] = {}
        self.nested: dict[str, int] = {}
        """Calls of other counted functions, whose overhead the part contains."""
        self._inner = [0]
        self._parts = [""]

    def counted(self, part: str, function: Function) -> Function:
        """Return a function that counts its own time for a part."""
        spent, calls, nested = self.spent, self.calls, self.nested
        inner, parts = self._inner, self._parts
        clock = time.thread_time_ns
        for counts in (spent, calls, nested):
            counts.setdefault(part, 0)

        @functools.wraps(function)
        def wrapper(*arguments: typing.Any, **named: typing.Any) -> typing.Any:
            outer = parts[-1]
            if outer:
                nested[outer] += 1
            parts.append(part)
            inner.append(0)
            begun = clock()
            try:
                return function(*arguments, **named)
            finally:
                elapsed = clock() - begun
                parts.pop()
                spent[part] += elapsed - inner.pop()
                calls[part] += 1
                inner[-1] += elapsed

        return wrapper

    def clear(self) -> None:
        """Set all counts to zero."""
        for counts in (self.spent, self.calls, self.nested):
            for part in counts:
                counts[part] = 0


def calibrate() -> tuple[float, float]:
    """Return the nanoseconds that a counter adds to its own part and to its caller."""
    best_own = best_outer = float("inf")
    for _ in range(5):
        counters = Counters()
        empty = counters.counted("own", lambda: None)

        def caller(function: Function = empty) -> None:
            for _ in range(CALIBRATION_RUNS):
                function()

        counters.counted("outer", caller)()
        best_own = min(best_own, counters.spent["own"] / CALIBRATION_RUNS)
        best_outer = min(best_outer, counters.spent["outer"] / CALIBRATION_RUNS)
    return best_own, best_outer


def _install(counters: Counters) -> None:
    for part, functions in PARTS.items():
        for owner, name in functions:
            setattr(owner, name, counters.counted(part, getattr(owner, name)))
    original = nodes.Node.__init__

    @functools.wraps(original)
    def init(self: nodes.Node, *arguments: typing.Any, **named: typing.Any) -> None:
        original(self, *arguments, **named)
        for kind, handler in self._handlers.items():
            part = "logs" if kind.__name__ in LOG_HANDLERS else "effects"
            self._handlers[kind] = counters.counted(part, handler)

    nodes.Node.__init__ = init  # type: ignore[method-assign]


def _write(path: pathlib.Path, content: dict[str, typing.Any]) -> None:
    part = path.with_suffix(".part")
    part.write_text(json.dumps(content))
    part.rename(path)


def _measure_parts(path: pathlib.Path) -> None:
    own, outer = calibrate()
    counters = Counters()
    _install(counters)

    def dump(*_: object) -> None:
        usage = os.times()
        content = {
            "user": usage.user,
            "system": usage.system,
            "own_ns": own,
            "outer_ns": outer,
            "spent": dict(counters.spent),
            "calls": dict(counters.calls),
            "nested": dict(counters.nested),
        }
        _write(path, content)

    signal.signal(signal.SIGUSR1, dump)


def _measure_functions(path: pathlib.Path) -> None:
    profile = cProfile.Profile()
    running = False

    def toggle(*_: object) -> None:
        nonlocal running
        if running:
            profile.disable()
            profile.dump_stats(path)
        else:
            profile.enable()
        running = not running

    signal.signal(signal.SIGUSR1, toggle)


if __name__ == "__main__":
    mode = os.environ["PROFILE_MODE"]
    target = pathlib.Path(os.environ["PROFILE_TO"])
    if mode == "parts":
        _measure_parts(target)
    elif mode == "functions":
        _measure_functions(target)
    main.main()
