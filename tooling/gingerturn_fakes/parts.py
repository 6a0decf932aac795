"""Parts of the fake world: services, nodes, backend servers and root requests."""

import collections
import dataclasses
import math
import typing
import zlib

from gingerturn.internal import ids
from gingerturn.internal.core import events, messages, state as states


@dataclasses.dataclass
class ServiceSpec:
    """A service: its upstreams and the service times of its calls.

    :param service_ms: mean service time of each kind.
    :param calls: services that a call of a kind calls in turn after its own work.
    :param contention_factor: factor on the service time while nearly every slot is
        busy.
    """

    name: str
    upstreams: int
    slots: int
    service_ms: dict[str, float]
    calls: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    contention_factor: float = 1.0


@dataclasses.dataclass
class KindSpec:
    """A kind of root request: its service, method and path."""

    name: str
    service: str
    method: str
    path: str
    keyed: bool = False


@dataclasses.dataclass
class Work:
    """One request at a fake backend server."""

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


@dataclasses.dataclass(frozen=True)
class BackendReport:
    """What an answer reports of its backend server."""

    instance: str
    rate_limit: float
    leaving: bool


@dataclasses.dataclass
class FakeBackend:
    """A backend server with slots; further requests wait in its queue.

    :param slow: factor on the service time.
    :param refused_share: share of the calls that it refuses although slots are free.
    :param rate_limit: requests a second that its answers report; negative for none.
    :param reports_leaving: its answers report that it is leaving.
    :param crashes: number of crashes so far.
    :param pace: time that work takes at present in percent of the usual time.
    :param load_figures: figures in the load that its answers report: 0 for no report,
        3 without the pace, 4 with it.
    :param max_waiting: requests that it queues; it never answers further ones.
    :param unanswered: requests that it has left unanswered for that.
    """

    spec: ServiceSpec
    slow: float = 1.0
    refused_share: float = 0.0
    rate_limit: float = -1.0
    reports_leaving: bool = False
    paused: bool = False
    up: bool = True
    refuse_when_full: bool = False
    running: int = 0
    busy_ms: float = 0.0
    waiting: collections.deque[Work] = dataclasses.field(
        default_factory=collections.deque
    )
    executions: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    executed: int = 0
    crashes: int = 0
    pace: int = 100
    load_figures: int = 0
    max_waiting: float = math.inf
    unanswered: int = 0

    def load(self) -> messages.BackendLoad | None:
        """Return the load that an answer reports at present."""
        if not self.load_figures:
            return None
        return messages.BackendLoad(
            running=self.running,
            waiting=len(self.waiting),
            slots=self.spec.slots,
            pace=self.pace if self.load_figures == 4 else 0,
        )


@dataclasses.dataclass
class Root:
    """A root request as its caller sees it.

    :param workspace: workspace that it belongs to, if any.
    :param key_digest: digest of its API key; empty if it has none.
    :param retries_at_once: times that its caller sends it again without waiting.
    """

    id: int
    kind: KindSpec
    sent: float
    key: str
    holder: str = ""
    tries: int = 0
    answer: str = ""
    answered: float = 0.0
    retry_after: float = 0.0
    workspace: str = ""
    key_digest: str = ""
    retries_at_once: int = 0


@dataclasses.dataclass
class FakeNode:
    """A node: the real reducer and its fake backend server.

    :param connection_silences: how often its open connections fell silent for good.
    :param stale_log_connections: idle connections to the log that fell silent.
    :param silent_links: peers to which the open connection is silent.
    :param busy_until: when it will have handled the datagrams received so far.
    :param unread_datagrams: datagrams received and not yet handled.
    :param datagram_ms: processor time spent on datagrams so far.
    """

    name: str
    zone: str
    state: states.State
    backend: FakeBackend
    alive: bool = True
    paused_until: float = 0.0
    delayed_events: list[events.Event] = dataclasses.field(default_factory=list)
    works: dict[int, Work] = dataclasses.field(default_factory=dict)
    hosted_calls: dict[int, tuple[str, int, messages.CallMetadata]] = dataclasses.field(
        default_factory=dict
    )
    stored_answers: dict[str, int] = dataclasses.field(default_factory=dict)
    callers: dict[int, typing.Any] = dataclasses.field(default_factory=dict)
    requests: dict[int, tuple[str, str]] = dataclasses.field(default_factory=dict)
    statuses: dict[int, int] = dataclasses.field(default_factory=dict)
    reports: dict[int, BackendReport] = dataclasses.field(default_factory=dict)
    attempt_reports: dict[int, BackendReport] = dataclasses.field(default_factory=dict)
    attempt_statuses: dict[int, int] = dataclasses.field(default_factory=dict)
    incarnation: int = 1
    connection_silences: int = 0
    stale_log_connections: int = 0
    silent_links: set[str] = dataclasses.field(default_factory=set)
    tick_at: float = math.inf
    busy_until: float = 0.0
    unread_datagrams: int = 0
    datagram_ms: float = 0.0


def fingerprint(service: str, method: str, path: str) -> ids.Fingerprint:
    """Return a fingerprint that is the same each time a request is sent."""
    return ids.Fingerprint(zlib.crc32(f"{service} {method} {path}".encode()))


def with_time(event: events.Event, now: float) -> events.Event:
    """Return a copy of an event with another time."""
    fields = {name: getattr(event, name) for name in event.__struct_fields__}
    fields["now"] = now
    return type(event)(**fields)
