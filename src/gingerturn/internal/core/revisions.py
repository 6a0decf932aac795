"""Revisions of the configuration, decided by the order of the log.

A publication names the revision at which its author saw the team's document last
change. The first one in offset order wins; a later one with the same base is a
conflict. Every reader decides this from the same records. The revision is the offset of
the accepted record plus one, so it never decreases.

After the log was restored from a backup, which assigns offsets again, it is at least
the present revision plus one. Nodes that had read different records may then assign one
revision to two sets of documents. They detect that by the digests, and each takes the
later document of each team.
"""

import math
import zlib

from gingerturn import configuration, errors
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    operator_log,
    state as states,
    streams,
)

NO_REVISION = ids.Revision(0)
MAX_HISTORY = 200
MAX_DECIDED_IDS = 1_000
PUBLISH_TIMEOUT_MS = 10_000.0
SNAPSHOT_INTERVAL_MS = 600_000.0
"""How often the accepted set is appended again, well within the log's retention."""

FETCH_INTERVAL_MS = 500.0


def publish(
    state: states.State, event: events.PublishRequested, out: states.Effects
) -> None:
    """Append a publication; its outcome is decided when it is read back."""
    base = state.revisions.changed.get(event.team, 0)
    if event.base != base:
        _finish(out, event.request, False, ids.Revision(base), _conflict(event, base))
        return
    problem = _problem(state, event.team, event.text)
    if problem:
        _finish(out, event.request, False, ids.Revision(base), problem)
        return
    record_id = f"{state.random.getrandbits(96):024x}"
    record = messages.PublishRecord(
        id=record_id,
        team=event.team,
        author=event.author,
        base=event.base,
        text=event.text,
        at=event.now,
    )
    state.revisions.pending[record_id] = states.Publication(
        request=event.request,
        id=record_id,
        team=event.team,
        author=event.author,
        base=event.base,
        since=event.now,
    )
    append = state.next_number()
    state.revisions.appends[append] = record_id
    out.append(
        effects.Append(
            append=append,
            stream=streams.CONFIG,
            record=messages.encode_record(record),
        )
    )


def on_append_failed(state: states.State, append: int, out: states.Effects) -> None:
    """Report a publication that was certainly not appended."""
    record_id = state.revisions.appends.pop(append, "")
    publication = state.revisions.pending.pop(record_id, None)
    if publication is None:
        return
    problem = "the log service refused the append or is down; nothing was published"
    _finish(out, publication.request, False, ids.Revision(0), problem)


def on_read(state: states.State, *, first: int, oldest: int, gap: bool) -> None:
    """Update whether the history of publications is complete, before new records."""
    revisions = state.revisions
    if gap:
        revisions.complete = False
    if oldest == 0 and first == 0:
        revisions.complete = True


def on_publish(
    state: states.State,
    offset: int,
    record: messages.PublishRecord,
    out: states.Effects,
) -> bool:
    """Decide a publication read from the log.

    :return: whether a new revision is in force.
    """
    revisions = state.revisions
    if not revisions.complete:
        revisions.undecided.append((offset, record))
        return False
    if record.id in revisions.decided_ids:
        return False
    _mark_decided(revisions, record.id)
    if revisions.revision > offset and not _is_new(state, record):
        _finish_superseded(state, offset, record, out)
        return False
    base = revisions.changed.get(record.team, 0)
    if _is_stale(record, base):
        problem = f"conflict: {record.team} changed at revision {base} meanwhile"
    else:
        problem = _problem(state, record.team, record.text)
    if problem:
        _record_outcome(state, record, "refused")
        _finish_pending(state, record.id, False, ids.Revision(base), problem, out)
        return False
    documents = dict(revisions.documents)
    documents[record.team] = record.text
    revision = ids.Revision(max(offset, revisions.revision) + 1)
    revisions.changed[record.team] = revision
    _put_in_force(state, documents, revision, out)
    _record_outcome(state, record, "accepted", revision)
    _finish_pending(state, record.id, True, revisions.revision, "", out)
    return True


def on_snapshot(
    state: states.State, snapshot: messages.ConfigSnapshot, out: states.Effects
) -> bool:
    """Handle a snapshot from the log, or the changed documents sent by a peer.

    :return: whether a new revision is in force.
    """
    revisions = state.revisions
    revisions.snapshot_at = state.now
    changed = False
    if _is_later(state, snapshot):
        changed = _adopt(state, snapshot, out)
        if not changed:
            return False
    revisions.complete = True
    undecided = list(revisions.undecided)
    revisions.undecided.clear()
    for offset, record in undecided:
        changed |= on_publish(state, offset, record, out)
    return changed


def snapshot(state: states.State, *, since: int) -> messages.ConfigSnapshot:
    """Return the documents changed after a revision, with the digest of all."""
    revisions = state.revisions
    documents = {
        team: text
        for team, text in revisions.documents.items()
        if revisions.changed.get(team, 0) > since
    }
    return messages.ConfigSnapshot(
        revision=revisions.revision,
        documents=documents,
        revisions=dict(revisions.changed),
        digest=state.configuration.digest,
    )


def config_digest(state: states.State) -> int:
    """Return a checksum of the documents; 0 if the revision alone identifies them."""
    if not state.log.was_restored:
        return 0
    return zlib.crc32(state.configuration.digest.encode())


def on_peer_revision(
    state: states.State,
    node: ids.NodeId,
    revision: ids.Revision,
    digest: int,
    out: states.Effects,
) -> None:
    """Fetch the configuration from a peer with a later revision, or with different
    documents of the same revision.

    :param digest: the peer's :func:`config_digest`.
    """
    revisions = state.revisions
    own = config_digest(state)
    differs = revision == revisions.revision and own and digest and own != digest
    if revision <= revisions.revision and not differs:
        return
    if state.now - revisions.fetched_at < FETCH_INTERVAL_MS:
        return
    member = state.membership.members.get(node)
    if member is None:
        return
    revisions.fetched_at = state.now
    out.append(
        effects.FetchSnapshot(
            node=node,
            host=member.host,
            port=member.peers_port,
            since=NO_REVISION
            if differs or revisions.fetch_whole
            else revisions.revision,
        )
    )


def check_timeouts(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Report publications that the log did not confirm in time."""
    for publication in list(state.revisions.pending.values()):
        if now - publication.since > PUBLISH_TIMEOUT_MS:
            del state.revisions.pending[publication.id]
            _forget_append(state, publication.id)
            problem = (
                "the log did not confirm the publication in time; it may still"
                " take effect: see `gingerturn config history`"
            )
            _finish(out, publication.request, None, ids.Revision(0), problem)


def renew_snapshot(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Append the accepted set again before retention drops it.

    The live member with the lowest id does so. If views of the membership differ,
    several may; further records have no effect.
    """
    revisions = state.revisions
    if not revisions.complete or revisions.revision == 0:
        return
    if now - revisions.snapshot_at < SNAPSHOT_INTERVAL_MS:
        return
    alive = [
        member.node
        for member in state.membership.members.values()
        if member.state is messages.MemberState.ALIVE
    ]
    if alive and min(alive) != state.node:
        return
    revisions.snapshot_at = now
    out.append(
        effects.Append(
            append=state.next_number(),
            stream=streams.CONFIG,
            record=messages.encode_record(snapshot(state, since=0)),
        )
    )


def on_log_restored(state: states.State) -> None:
    """Let the accepted set be appended again, as the log may have lost it."""
    state.revisions.snapshot_at = -math.inf


def _adopt(
    state: states.State, snapshot: messages.ConfigSnapshot, out: states.Effects
) -> bool:
    revisions = state.revisions
    is_whole = snapshot.documents.keys() == snapshot.revisions.keys()
    if state.log.was_restored and is_whole:
        return _merge(state, snapshot, out)
    documents = {
        team: text
        for team, text in revisions.documents.items()
        if team in snapshot.revisions
    }
    documents.update(snapshot.documents)
    if configuration.digest_of(documents) != snapshot.digest:
        operator_log.warn(
            out,
            "config",
            f"Digest of revision {snapshot.revision} does not match its documents.",
        )
        revisions.fetch_whole = True
        return False
    revisions.fetch_whole = False
    revisions.changed = dict(snapshot.revisions)
    _put_in_force(state, documents, ids.Revision(snapshot.revision), out)
    return True


def _is_later(state: states.State, snapshot: messages.ConfigSnapshot) -> bool:
    """Whether a snapshot is later, or has other documents of the same revision."""
    revisions = state.revisions
    if snapshot.revision != revisions.revision:
        return snapshot.revision > revisions.revision
    return state.log.was_restored and snapshot.digest != state.configuration.digest


def _merge(
    state: states.State, snapshot: messages.ConfigSnapshot, out: states.Effects
) -> bool:
    """Take the later document of each team; if the result is invalid, the later set."""
    revisions = state.revisions
    revisions.fetch_whole = False
    own, received = revisions.documents, snapshot.documents
    if configuration.digest_of(received) != snapshot.digest:
        operator_log.warn(
            out,
            "config",
            f"Digest of revision {snapshot.revision} does not match its documents.",
        )
        return False
    documents, changed = dict(own), dict(revisions.changed)
    for team, text in received.items():
        at = snapshot.revisions[team]
        if (at, text) > (changed.get(team, 0), own.get(team, "")):
            documents[team], changed[team] = text, at
    try:
        configuration.Configuration(documents)
    except errors.InvalidDocument:
        present = (revisions.revision, state.configuration.digest)
        if present > (snapshot.revision, snapshot.digest):
            return False
        documents, changed = dict(received), dict(snapshot.revisions)
    revision = ids.Revision(max(snapshot.revision, revisions.revision))
    if documents == own and revision == revisions.revision:
        return False
    revisions.changed = changed
    _put_in_force(state, documents, revision, out)
    return True


def _put_in_force(
    state: states.State,
    documents: dict[str, str],
    revision: ids.Revision,
    out: states.Effects,
) -> None:
    """Put a set of documents in force as a whole."""
    if revision < state.revisions.revision:
        raise AssertionError(
            f"revision {revision} is lower than {state.revisions.revision}, in force"
        )
    state.configuration = configuration.Configuration(documents)
    state.membership.version += 1
    state.revisions.documents = documents
    state.revisions.revision = revision
    operator_log.info(out, "config", f"Revision {revision} is in force.")


def _problem(state: states.State, team: str, text: str) -> str:
    documents = dict(state.revisions.documents)
    documents[team] = text
    try:
        configuration.Configuration(documents)
    except errors.InvalidDocument as error:
        return str(error)
    return ""


def _is_new(state: states.State, record: messages.PublishRecord) -> bool:
    """Whether a record at an offset below the revision was appended after the log was
    restored, and not decided before. A decided one has an outdated base."""
    if not state.log.was_restored:
        return False
    return record.base == state.revisions.changed.get(record.team, 0)


def _is_stale(record: messages.PublishRecord, base: int) -> bool:
    return record.base != base


def _conflict(event: events.PublishRequested, base: int) -> str:
    return (
        f"conflict: base is {event.base}, but {event.team} last changed at revision"
        f" {base}; read it, merge, and publish on base {base}"
    )


def _finish_superseded(
    state: states.State,
    offset: int,
    record: messages.PublishRecord,
    out: states.Effects,
) -> None:
    """Report a publication that the sender of a snapshot decided."""
    changed = state.revisions.changed.get(record.team, 0)
    if changed == offset + 1:
        _record_outcome(state, record, "accepted", ids.Revision(changed))
        _finish_pending(state, record.id, True, ids.Revision(changed), "", out)
        return
    problem = f"conflict or overtaken: {record.team} changed at revision {changed}"
    _finish_pending(state, record.id, None, ids.Revision(changed), problem, out)


def _finish_pending(
    state: states.State,
    record_id: str,
    accepted: bool | None,
    revision: ids.Revision,
    problem: str,
    out: states.Effects,
) -> None:
    publication = state.revisions.pending.pop(record_id, None)
    if publication is None:
        return
    _forget_append(state, record_id)
    _finish(out, publication.request, accepted, revision, problem)
    outcome = {True: "accepted", False: "refused", None: "unknown"}[accepted]
    record = messages.AuditRecord(
        at=state.now,
        who=publication.author,
        what="publish",
        subject=publication.team,
        outcome=outcome,
        base=publication.base,
        revision=revision,
    )
    streams.audit(state, record, out)


def _finish(
    out: states.Effects,
    request: str,
    accepted: bool | None,
    revision: ids.Revision,
    problem: str,
) -> None:
    out.append(
        effects.PublishEnded(
            request=request, accepted=accepted, revision=revision, problem=problem
        )
    )


def _forget_append(state: states.State, record_id: str) -> None:
    appends = state.revisions.appends
    for append in [number for number, known in appends.items() if known == record_id]:
        del appends[append]


def _record_outcome(
    state: states.State,
    record: messages.PublishRecord,
    outcome: str,
    revision: ids.Revision = NO_REVISION,
) -> None:
    history = state.revisions.history
    history.append(
        messages.AuditRecord(
            at=record.at,
            who=record.author,
            what="publish",
            subject=record.team,
            outcome=outcome,
            base=record.base,
            revision=revision,
        )
    )
    del history[:-MAX_HISTORY]


def _mark_decided(revisions: states.Revisions, record_id: str) -> None:
    revisions.decided_ids[record_id] = True
    if len(revisions.decided_ids) > MAX_DECIDED_IDS:
        del revisions.decided_ids[next(iter(revisions.decided_ids))]
