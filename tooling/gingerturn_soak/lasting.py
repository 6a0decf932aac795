"""Requests that last, and callers on raw sockets that send them."""

import asyncio
import random

from gingerturn_soak import raw_callers

TIMEOUT_MS = 7_000
"""Timeout of the routes of these requests, and the deadline that callers send."""

INTERVAL_S = 0.4
"""Shortest interval between requests of a caller."""

SLOW_RECEIVE_BYTES = 4_096
CALLERS = 2
"""Callers of each kind at a machine."""

WAVE_CALLERS = 24
SLOTS = 16
"""Requests that a backend server serves at once."""

PROBES = 6
"""Requests at once through each machine and to each service, once all is over."""

Shape = raw_callers.Shape

_DOWNLOAD = Shape(
    "download", path="/d/x?bytes=800000&over_ms=3500", lasts_s=3.5, answer=800_000
)

SHAPES = (
    _DOWNLOAD,
    _DOWNLOAD,
    _DOWNLOAD,
    Shape("work", path="/l/x?work_ms=900", lasts_s=0.9),
    Shape("upload", "POST", "/w/x", body=60_000, upload_s=1.5, answer=60_000),
    Shape("upload-large", "POST", "/w/x", body=400_000, upload_s=1.5, answer=400_000),
    Shape(
        "upload-chunked",
        "POST",
        "/w/x",
        body=300_000,
        upload_s=1.0,
        chunked=True,
        answer=300_000,
    ),
    Shape(
        "upload-unread",
        "POST",
        "/w/x?unread_ms=3800&bytes=10",
        body=8_000_000,
        lasts_s=3.8,
        answer=10,
    ),
    Shape("slow", path="/l/x?bytes=240000", read_s=0.03, answer=240_000),
    Shape("leave", path="/d/x?bytes=900000&over_ms=1500", leave_bytes=200_000),
    Shape("leave-early", "POST", "/w/x?work_ms=900", body=1_000, leave_s=0.2),
    Shape("head", "HEAD", "/l/x?bytes=30000", answer=0),
    Shape("empty", path="/l/x?status=204", answer=0),
    Shape("unchanged", path="/l/x?status=304", answer=0),
    Shape("pair", path="/l/x?work_ms=50&bytes=500", pair=True, answer=500),
    Shape(
        "calls",
        path="/l/x?work_ms=500&call_after_ms=100&call=/l/y%3Fwork_ms%3D300",
        lasts_s=0.8,
    ),
    Shape("keyed", "POST", "/w/x", body=2_000, keyed=True, answer=2_000),
)
"""What the callers send in turn."""

API_KEY = "a-key"
WORKSPACES = [{"name": "soak", "api_keys": [API_KEY]}]

WITH_API_KEY = (
    Shape("api-key", path="/k/x?work_ms=300", api_key=API_KEY, lasts_s=0.3),
    Shape("api-key-post", "POST", "/q/x", body=2_000, api_key=API_KEY, answer=2_000),
)
"""What they send as well where requests have API keys."""

LEAVING = frozenset(
    shape.name for shape in SHAPES if shape.leave_s or shape.leave_bytes
)

_WAVE = Shape("wave", "POST", "/w/x?work_ms=800", body=1_000, leave_s=0.3)
_PROBES = (
    Shape("probe-plans", path="/l/x?work_ms=900"),
    Shape("probe-porting", "POST", "/w/x?work_ms=900", body=1_000),
)


def routes(*, api_keys: bool) -> list[dict[str, object]]:
    """Return the routes of these requests.

    :param api_keys: whether there are routes whose requests have API keys.
    """
    common = {"hostname": raw_callers.HOST, "timeout_ms": TIMEOUT_MS}
    common |= {"target_latency_ms": 1_500, "priority": 1, "public": True}
    safe = {"service_name": "plans", "max_attempts": 2}
    found = [
        {**common, "name": "r-l", "path_prefix": "/l/", "route_type": "safe"} | safe,
        {**common, "name": "r-d", "path_prefix": "/d/", "route_type": "download"}
        | safe,
        {**common, "name": "r-w", "path_prefix": "/w/", "max_attempts": 1}
        | {"service_name": "porting", "route_type": "non_idempotent"},
    ]
    if api_keys:
        read, write = found[0], found[-1]
        found.append({**read, "name": "r-k", "path_prefix": "/k/", "public": False})
        found.append({**write, "name": "r-q", "path_prefix": "/q/", "public": False})
    return found


class Fleet:
    """The callers of one machine: with new connections, with kept ones, and with kept
    ones and a small receive buffer.

    :param port: where the node accepts callers.
    :param api_keys: whether some requests have API keys.
    """

    def __init__(self, name: str, port: int, *, api_keys: bool = False) -> None:
        self._more = WITH_API_KEY if api_keys else ()
        self._name = name
        self._port = port
        self._callers: list[raw_callers.Caller] = []
        for number in range(CALLERS):
            small = SLOW_RECEIVE_BYTES
            self._callers += [
                self._caller(f"new{number}", kept=False),
                self._caller(f"kept{number}", kept=True),
                self._caller(f"small{number}", kept=True, receive_bytes=small),
            ]
        self._waves = 0

    def _caller(
        self, label: str, *, kept: bool, receive_bytes: int = 0
    ) -> raw_callers.Caller:
        return raw_callers.Caller(
            f"{self._name}-{label}",
            self._name,
            self._port,
            kept=kept,
            receive_bytes=receive_bytes,
        )

    @property
    def exchanges(self) -> list[raw_callers.Exchange]:
        """All requests of the callers."""
        return [e for caller in self._callers for e in caller.exchanges]

    async def run(
        self, stop: asyncio.Event, rng: random.Random, interval_s: float
    ) -> None:
        """Send requests until stopped, and wait for the last answers."""
        async with asyncio.TaskGroup() as group:
            for caller in list(self._callers):
                shapes = list(SHAPES)
                rng.shuffle(shapes)
                # Behind the shuffle, which is the same without them.
                shapes[2:2] = self._more
                group.create_task(caller.run(stop, shapes, interval_s))

    async def send_wave(self) -> None:
        """Let many callers send a request and leave during its work."""
        self._waves += 1
        await self._send_all(f"wave{self._waves}", [_WAVE] * WAVE_CALLERS)

    async def probe(self) -> None:
        """Send some requests at once."""
        await self._send_all(
            "probe", [shape for shape in _PROBES for _ in range(PROBES)]
        )

    async def _send_all(self, label: str, shapes: list[raw_callers.Shape]) -> None:
        made = [
            self._caller(f"{label}-{number}", kept=False)
            for number in range(len(shapes))
        ]
        self._callers += made
        await asyncio.gather(
            *(caller.send(shape) for caller, shape in zip(made, shapes, strict=True))
        )
