"""Documents that teams publish on a log which is restored from a backup.

Revisions are derived from offsets, which a restored log assigns again. Accepted
documents stay in force, later publications get later revisions, and nodes converge.
"""

import dataclasses
import random

import pytest

from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    reducer,
    revisions,
    state as states,
    streams,
)
from tests.common import builders


def _record(
    name: str, team: str, base: int, service: str = ""
) -> messages.PublishRecord:
    return messages.PublishRecord(
        id=name,
        team=team,
        author="me",
        base=base,
        text=builders.service_document(service or f"{team}-{name}"),
        at=builders.START,
    )


@dataclasses.dataclass
class _Log:
    """The configuration stream and its epoch."""

    records: list[object] = dataclasses.field(default_factory=list)
    epoch: int = 1

    def restore(self, count: int) -> None:
        """Restore the log with only the first records."""
        del self.records[count:]
        self.epoch += 1

    def read_by(self, state: states.State) -> list[effects.Effect]:
        """Let a node read to the end, twice, as a new epoch restarts the stream."""
        out: list[effects.Effect] = []
        for _ in range(2):
            stream = state.streams[streams.CONFIG]
            first = stream.offset
            out += reducer.reduce(
                state,
                events.LogRead(
                    now=state.now,
                    stream=streams.CONFIG,
                    first=first,
                    records=tuple(map(messages.encode_record, self.records[first:])),
                    oldest=0,
                    end=len(self.records),
                    generation=stream.generation,
                    epoch=ids.LogEpoch(self.epoch),
                ),
            )
        return out


def _node(name: str = "n1") -> states.State:
    return builders.node_state(name)


def _publish(
    log: _Log, name: str, team: str, state: states.State, service: str = ""
) -> None:
    """Append a publication based on the documents in force at a node."""
    base = state.revisions.changed.get(team, 0)
    log.records.append(_record(name, team, base, service))


def _fetch(state: states.State, other: states.State) -> None:
    """Gossip the revision of another node, and let the node fetch what it lacks."""
    message = messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=0,
        revision=other.revisions.revision,
        log_epoch=other.log.highest,
        config_digest=revisions.config_digest(other),
    )
    state.now += revisions.FETCH_INTERVAL_MS
    sender = str(other.node)
    out = reducer.reduce(state, builders.datagram(sender, message, now=state.now))
    for effect in builders.all_of(out, effects.FetchSnapshot):
        snapshot = revisions.snapshot(other, since=effect.since)
        received = events.SnapshotReceived(now=state.now, snapshot=snapshot)
        reducer.reduce(state, received)


# Guards against publications that are ignored after the log was restored, since their
# offset is lower than the revision in force.
def test_what_is_published_afterwards_is_in_force_by_a_later_revision() -> None:
    log, node = _Log(), _node()
    for name in ("a", "b", "c"):
        _publish(log, name, "shop", node)
        log.read_by(node)
    assert node.revisions.revision == 3
    log.restore(1)
    _publish(log, "d", "shop", node)
    log.read_by(node)
    assert node.revisions.revision == 4
    assert node.revisions.documents == {"shop": builders.service_document("shop-d")}


def test_what_was_accepted_stays_in_force_and_is_written_again() -> None:
    log, node = _Log(), _node()
    for name in ("a", "b"):
        _publish(log, name, "shop", node)
        log.read_by(node)
    log.restore(1)
    out = log.read_by(node)
    assert node.revisions.documents == {"shop": builders.service_document("shop-b")}
    out += builders.advance(node, 1_500.0)
    written = [
        messages.decode_record(effect.record)
        for effect in builders.all_of(out, effects.Append)
        if effect.stream == streams.CONFIG
    ]
    assert [record.revision for record in written] == [2]
    # A node that starts now reads it from there.
    log.records += written
    started = _node("n2")
    log.read_by(started)
    assert started.revisions.documents == {"shop": builders.service_document("shop-b")}


def test_an_old_record_that_is_read_again_changes_nothing() -> None:
    log, node = _Log(), _node()
    for name in ("a", "b"):
        _publish(log, name, "shop", node)
        log.read_by(node)
    node.revisions.decided_ids.clear()
    log.restore(2)
    log.read_by(node)
    assert node.revisions.revision == 2
    assert node.revisions.documents == {"shop": builders.service_document("shop-b")}


def test_a_difference_that_does_not_fit_is_followed_by_the_whole() -> None:
    log, one, other = _Log(), _node("n1"), _node("n2")
    builders.add_members(one, builders.member("n2", "plans"))
    _publish(log, "a", "shop", other)
    log.read_by(one)
    log.read_by(other)
    # A publication that only the other node read is lost; the next reuses its offset.
    _publish(log, "b", "shop", other)
    log.read_by(other)
    log.restore(1)
    _publish(log, "c", "mill", other)
    log.read_by(one)
    log.read_by(other)
    for _ in range(3):
        _fetch(one, other)
    assert one.revisions.documents == other.revisions.documents
    assert one.revisions.revision == other.revisions.revision


def test_after_the_whole_set_differences_are_fetched_again() -> None:
    node = _node()
    builders.add_members(node, builders.member("n2", "plans"))

    def take(documents: dict[str, str], changed: dict[str, int]) -> None:
        snapshot = messages.ConfigSnapshot(
            revision=max(changed.values()),
            documents=documents,
            revisions=changed,
            digest=configuration.digest_of(
                {
                    "shop": builders.service_document("a"),
                    "mill": builders.service_document("b"),
                }
            ),
        )
        reducer.reduce(node, events.SnapshotReceived(now=node.now, snapshot=snapshot))

    take({"mill": builders.service_document("b")}, {"shop": 1, "mill": 2})
    assert _fetched_since(node, 2) == 0
    take(
        {
            "shop": builders.service_document("a"),
            "mill": builders.service_document("b"),
        },
        {"shop": 1, "mill": 2},
    )
    assert node.revisions.revision == 2
    assert _fetched_since(node, 3) == 2


def _fetched_since(state: states.State, revision: int) -> int:
    """Return the ``since`` of the fetch from a peer that has a later revision."""
    message = messages.Gossip(
        kind=messages.GossipKind.ACK, sequence=0, revision=ids.Revision(revision)
    )
    state.now += revisions.FETCH_INTERVAL_MS
    out = reducer.reduce(state, builders.datagram("n2", message, now=state.now))
    return builders.only(out, effects.FetchSnapshot).since


@pytest.mark.parametrize("services", [["one", "two"], []], ids=["clash", "apart"])
@pytest.mark.parametrize("seed", range(60))
def test_nodes_come_to_the_same_documents_whatever_the_log_loses(
    seed: int, services: list[str]
) -> None:
    """Documents that name the same service are invalid together."""
    rng = random.Random(seed)
    log = _Log()
    nodes = [_node(f"n{number}") for number in range(3)]
    for node in nodes:
        others = [n for n in nodes if n is not node]
        members = [builders.member(str(other.node), "plans") for other in others]
        builders.add_members(node, *members)
    for number in range(30):
        step = rng.random()
        node = rng.choice(nodes)
        if step < 0.4:
            service = rng.choice(services) if services else ""
            _publish(log, f"p{number}", rng.choice(["shop", "mill"]), node, service)
        elif step < 0.5:
            log.restore(rng.randint(0, len(log.records)))
        elif step < 0.7:
            _fetch(node, rng.choice([n for n in nodes if n is not node]))
        before = node.revisions.revision
        log.read_by(node)
        assert node.revisions.revision >= before
    for _ in range(4):
        for node in nodes:
            log.read_by(node)
            for other in nodes:
                if other is not node:
                    _fetch(node, other)
    revision = {node.revisions.revision for node in nodes}
    assert len(revision) == 1
    digests = {node.configuration.digest for node in nodes}
    assert len(digests) == 1
