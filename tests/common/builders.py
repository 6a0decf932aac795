"""Builders of node states, events and messages for tests."""

import os
import typing
import uuid

from gingerturn import configuration, settings as settings_module
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    reducer,
    startup_waits,
    state as states,
)

E = typing.TypeVar("E", bound=effects.Effect)

START = 1_800_000_000_000.0
"""Initial time of the clocks in tests, in ms since the Unix epoch."""

DOCUMENT = """
[[importance]]
name = "lookup"

[[importance]]
name = "protected"
above = ["lookup"]

[[service]]
name = "plans"

[[service]]
name = "porting"

[[kind]]
name = "plan-status"
service = "plans"
importance = "lookup"
retry_allowance = 2
timeout_ms = 5000

[[kind]]
name = "port-request"
service = "porting"
methods = ["POST"]
importance = "protected"
repeatable = false
timeout_ms = 10000
"""


def service_document(service: str) -> str:
    """Return a document that declares a service."""
    return f'[[service]]\nname = "{service}"\n'


def configured() -> configuration.Configuration:
    """Return the configuration of :data:`DOCUMENT`."""
    return configuration.Configuration({"shop": DOCUMENT})


def settings(name: str = "n1", *, zone: str = "bne-a") -> settings_module.Settings:
    """Return settings for a node that the test does not start."""
    return settings_module.Settings(
        node=settings_module.Node(
            id=name,
            zone=zone,
            host="127.0.0.1",
            calls_port=1,
            peers_port=2,
            gossip_port=2,
            admin_port=3,
        ),
        log=settings_module.Log(url="http://127.0.0.1:1"),
        secret=settings_module.Secret(current="a secret of the tests"),
    )


def started(name: str = "n1", *, seed: int = 1, now: float = START) -> events.Started:
    """Return the start event of a node."""
    return events.Started(
        now=now,
        seed=seed,
        node=ids.NodeId(name),
        incarnation=ids.Incarnation(int(now)),
        host="127.0.0.1",
        peers_port=9000,
        gossip_port=9000,
        zone="bne-a",
        region="queensland",
        decisions=1024,
    )


def node_state(
    name: str = "n1", *, service: str = "", slots: int = 4, now: float = START
) -> states.State:
    """Return a node with the configuration in force and its startup period over."""
    state = reducer.new_state(started(name, now=now))
    reducer.reduce(state, started(name, now=now))
    state.started_at = now - startup_waits.STARTUP_MS
    state.configuration = configured()
    if service:
        reducer.reduce(state, announced(service, slots=slots, now=now))
        reducer.reduce(state, log_read(f"claims.{service}", now=now))
    return state


def announced(
    service: str, *, slots: int = 4, now: float = START, cold: bool = False
) -> events.BackendAnnounced:
    """Return an announcement of a backend server."""
    return events.BackendAnnounced(
        now=now,
        service=ids.ServiceName(service),
        host="127.0.0.1",
        port=9100,
        slots=slots,
        connections=slots * 7,
        cold=cold,
        ttl_ms=1e9,
    )


def member(name: str, service: str, *, zone: str = "bne-a") -> messages.Member:
    """Return a live member that offers a service."""
    return messages.Member(
        node=ids.NodeId(name),
        incarnation=ids.Incarnation(1),
        version=1,
        state=messages.MemberState.ALIVE,
        host="127.0.0.1",
        peers_port=9001,
        gossip_port=9001,
        zone=zone,
        service=ids.ServiceName(service),
        slots=10,
    )


def add_members(state: states.State, *members: messages.Member) -> None:
    """Deliver members to a node by gossip."""
    message = gossip(members=members)
    reducer.reduce(state, datagram(members[0].node, message, now=state.now))


def gossip(
    *, route_version: int = 0, members: tuple[messages.Member, ...] = ()
) -> messages.Gossip:
    """Return an acknowledgement with piggybacked member updates."""
    return messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=0,
        revision=ids.Revision(0),
        members=members,
        route_version=route_version,
    )


def datagram(
    sender: str, message: messages.Gossip, *, now: float = START
) -> events.DatagramReceived:
    """Return the arrival of a membership message."""
    return events.DatagramReceived(
        now=now,
        sender=ids.NodeId(sender),
        host="127.0.0.1",
        port=9001,
        message=message,
    )


def log_read(
    stream: str, *records: object, first: int = 0, now: float = START
) -> events.LogRead:
    """Return a read of a stream up to its end."""
    return events.LogRead(
        now=now,
        stream=stream,
        first=first,
        records=tuple(messages.encode_record(record) for record in records),
        oldest=0,
        end=first + len(records),
    )


def call_metadata(**changes: object) -> messages.CallMetadata:
    """Return the metadata of a repeatable lookup without a key."""
    fields: dict[str, object] = {
        "service": "plans",
        "kind": "plan-status",
        "importance": 0,
        "depth": 0,
        "root": 1 << 63,
        "trace": "a" * 32,
        "deadline_ms": 5_000.0,
        "tokens": 0,
        "repeatable": True,
    }
    fields.update(changes)
    return messages.CallMetadata(**fields)  # type: ignore[arg-type]


def opened(
    hosted: int, metadata: messages.CallMetadata | None = None, *, now: float = START
) -> events.OpenReceived:
    """Return the arrival of a call at its home node."""
    return events.OpenReceived(
        now=now,
        hosted=ids.HostedId(hosted),
        sender=ids.NodeId("entry"),
        metadata=metadata or call_metadata(),
    )


def arrived(
    call: int,
    *,
    service: str = "plans",
    method: str = "GET",
    path: str = "/",
    span: str = "",
    key: str = "",
    sending: int = 0,
    now: float = START,
) -> events.CallArrived:
    """Return the arrival of a caller's request."""
    return events.CallArrived(
        now=now,
        call=ids.CallId(call),
        service=ids.ServiceName(service),
        method=method,
        path=path,
        trace=f"{call:032x}",
        span=ids.SpanId(span or f"{call:016x}"),
        key=key,
        sending=sending,
    )


def answered(
    attempt: int,
    *,
    status: int = 200,
    tokens: int = 0,
    level: int = 0,
    tree_level: int = 0,
    load_report: messages.LoadReport | None = None,
    size: int = 0,
    now: float = START,
) -> events.AttemptAnswered:
    """Return an upstream's answer to an attempt."""
    return events.AttemptAnswered(
        now=now,
        attempt=ids.AttemptId(attempt),
        status=status,
        tokens=tokens,
        report=load_report or report(level=level, tree_level=tree_level),
        size=size,
    )


def report(
    *,
    level: int = 0,
    tree_level: int = 0,
    load: int = 1,
    limit: int = 10,
    bottleneck: str = "",
    bottleneck_slot_ms: float = 0.0,
) -> messages.LoadReport:
    """Return a load report."""
    return messages.LoadReport(
        level=ids.Rank(level),
        tree_level=ids.Rank(tree_level),
        load=load,
        limit=limit,
        bottleneck=ids.ServiceName(bottleneck),
        bottleneck_slot_ms=bottleneck_slot_ms,
    )


def key_at(now: float, *, number: int | None = None) -> str:
    """Return a UUIDv7 issued at a time.

    :param number: the random bits of the key; they are drawn where it is None.
    """
    low = int.from_bytes(os.urandom(7)) if number is None else number
    return str(uuid.UUID(int=(int(now) << 80) | (7 << 76) | (2 << 62) | low))


def only(out: list[effects.Effect], kind: type[E]) -> E:
    """Return the one effect of a type."""
    found = [effect for effect in out if isinstance(effect, kind)]
    assert len(found) == 1, out
    return found[0]


def all_of(out: list[effects.Effect], kind: type[E]) -> list[E]:
    """Return every effect of a type."""
    return [effect for effect in out if isinstance(effect, kind)]


def advance(state: states.State, duration: float) -> list[effects.Effect]:
    """Advance time in ticks of 10 ms and return every effect."""
    out: list[effects.Effect] = []
    end = state.now + duration
    while state.now < end:
        out += reducer.reduce(state, events.Tick(now=state.now + 10.0))
    return out
