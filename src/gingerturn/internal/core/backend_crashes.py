"""Whether the backend server beside this node ended, and which calls it was at.

A connection breaks for many reasons; the backend server has ended only if nothing
listens at its address any more. The calls that it was at then are remembered by what is
the same whenever they are sent, since one of them may be why it ended.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import effects, operator_log, quarantine, state as states

MAX_BROKEN = quarantine.MAX_REQUESTS
"""Broken calls remembered, those that broke first: as many as news of an end tells."""

TOGETHER_MS = 100.0
"""Answers that were on their way when a backend server ended are read among the
connections that break: one read this long after a break says nothing of it."""

TOLD = 16
"""Fingerprints named in the log line of an end."""

_AT_WORK = frozenset({states.HostedState.RUNNING, states.HostedState.STREAMING})


def record_broken_call(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> None:
    """Remember a call whose connection broke, and find out why it did."""
    backend = state.backend
    backend.broken_calls = _since_answered(backend)
    if len(backend.broken_calls) < MAX_BROKEN:
        call = states.BrokenCall(hosted.metadata.fingerprint, state.now)
        backend.broken_calls.append(call)
    if not backend.check_pending:
        backend.check_pending = True
        out.append(effects.CheckBackend(host=backend.host, port=backend.port))


def on_checked(state: states.State, *, refused: bool, out: states.Effects) -> bool:
    """Take in whether the backend server still listens.

    :return: whether it ended by itself.
    """
    backend = state.backend
    backend.check_pending = False
    if not refused or not backend.broken_calls:
        return False
    _note_end(state, out)
    return True


def on_restarted(state: states.State, out: states.Effects) -> None:
    """Take in that the backend server started anew under the calls that it was at.

    It tells of ends that no connection told: something between node and backend server
    still takes connections, or those of before fell silent. Calls that broke before the
    former start answered again were lost for another reason.
    """
    backend = state.backend
    backend.broken_calls = _since_answered(backend)
    if _under_way(state):
        _note_end(state, out)


def _since_answered(backend: states.Backend) -> list[states.BrokenCall]:
    """Return the broken calls after which the backend server answered no more.

    Those that broke later than the first ones stay behind them: where something in
    between takes connections for a backend server that is down, all calls break.
    """
    horizon = backend.answered_at - TOGETHER_MS
    return [call for call in backend.broken_calls if call.broken_at >= horizon]


def _note_end(state: states.State, out: states.Effects) -> None:
    """Hold an end against what was under way; a planned one is no fault of it."""
    backend = state.backend
    at_work = _under_way(state)
    backend.broken_calls = []
    backend.crash_count += 1
    told = " ".join(ids.fingerprint_text(request) for request in at_work[:TOLD])
    text = (
        f"{backend.service} {backend.instance} ended with {len(at_work)} requests"
        f" under way: {told}."
    )
    operator_log.warn(out, "backend", text)
    if not backend.leaving:
        quarantine.record_crash(state, at_work, out)


def _under_way(state: states.State) -> list[ids.Fingerprint]:
    """Return the requests that the backend server was at when it ended, each once."""
    fingerprints = [call.fingerprint for call in state.backend.broken_calls]
    fingerprints += [
        hosted.metadata.fingerprint
        for hosted in state.hosted.values()
        if hosted.state in _AT_WORK
    ]
    return [found for found in dict.fromkeys(fingerprints) if found]
