"""What the fake world is made of: services, nodes, backend servers, whole requests."""

import collections
import dataclasses
import math
import typing
import zlib

from gingerturn.internal import ids
from gingerturn.internal.core import events, messages, state as states


@dataclasses.dataclass
class ServiceSpec:
    """A service: how many upstreams, and what its calls take.

    :param service_ms: time of work at the backend server for each kind.
    :param calls: services that calls of a kind go on to, one after another, after
        the own work.
    :param crowded: factor on the time of work begun with nearly every slot taken.
    """

    name: str
    upstreams: int
    slots: int
    service_ms: dict[str, float]
    calls: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    crowded: float = 1.0


@dataclasses.dataclass
class KindSpec:
    """What a caller sends: where, how, and how often it repeats it."""

    name: str
    service: str
    method: str
    path: str
    keyed: bool = False


@dataclasses.dataclass
class Work:
    """One request being worked on at a fake backend server."""

    hosted: int
    kind: str
    key: str
    span: str
    path: str
    method: str
    steps: list[str]
    began: float
    root: int = 0
    waiting_child: int = 0
    started: bool = False
    cancelled: bool = False
    done: bool = False


@dataclasses.dataclass
class FakeBackend:
    """A backend server with slots; what it is given beyond them waits inside.

    :param slow: factor on the time of work.
    :param turned_away: share of the calls that it turns away though it has room.
    :param ends: how often it has ended by itself so far.
    """

    spec: ServiceSpec
    slow: float = 1.0
    turned_away: float = 0.0
    paused: bool = False
    up: bool = True
    refuse_beyond: bool = False
    running: int = 0
    busy_ms: float = 0.0
    waiting: collections.deque[Work] = dataclasses.field(
        default_factory=collections.deque
    )
    executions: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    executed: int = 0
    ends: int = 0


@dataclasses.dataclass
class Root:
    """A whole request as its caller sees it."""

    id: int
    kind: KindSpec
    sent: float
    key: str
    holder: str = ""
    tries: int = 0
    answer: str = ""
    answered: float = 0.0
    retry_after: float = 0.0


@dataclasses.dataclass
class FakeNode:
    """A node: the real reducer, and the fake backend server beside it."""

    name: str
    zone: str
    state: states.State
    backend: FakeBackend
    alive: bool = True
    paused_until: float = 0.0
    held: list[events.Event] = dataclasses.field(default_factory=list)
    works: dict[int, Work] = dataclasses.field(default_factory=dict)
    terms: dict[int, tuple[str, int, messages.CallMetadata]] = dataclasses.field(
        default_factory=dict
    )
    kept: dict[str, int] = dataclasses.field(default_factory=dict)
    callers: dict[int, typing.Any] = dataclasses.field(default_factory=dict)
    requests: dict[int, tuple[str, str]] = dataclasses.field(default_factory=dict)
    statuses: dict[int, int] = dataclasses.field(default_factory=dict)
    state_status: dict[int, int] = dataclasses.field(default_factory=dict)
    incarnation: int = 1
    tick_at: float = math.inf


def fingerprint(service: str, method: str, path: str) -> ids.Fingerprint:
    """Return what is the same whenever a request is sent."""
    return ids.Fingerprint(zlib.crc32(f"{service} {method} {path}".encode()))


def moved(event: events.Event, now: float) -> events.Event:
    """Return an event as it is seen later."""
    fields = {name: getattr(event, name) for name in event.__struct_fields__}
    fields["now"] = now
    return type(event)(**fields)
