"""Detection of crashes of the local backend server.

A connection may break for many reasons. The backend server has crashed only if its
address refuses connections or it has restarted. The calls that were in progress are
reported by fingerprint, as one of them may be the cause.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import effects, operator_log, quarantine, state as states

MAX_BROKEN_CALLS = quarantine.MAX_REQUESTS
"""Broken calls that are kept, the earliest first; a crash report holds no more."""

IN_FLIGHT_ANSWER_MS = 100.0
"""Answers that were in flight at a crash may be read this long after the first broken
connection. They do not show that the backend server is still running."""

MAX_LOGGED_FINGERPRINTS = 16
"""Fingerprints in the log line of a crash."""

_IN_PROGRESS = frozenset({states.HostedState.RUNNING, states.HostedState.STREAMING})


def record_broken_call(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> None:
    """Record a call whose connection broke, and check the backend server."""
    backend = state.backend
    backend.broken_calls = _broken_since_answer(backend)
    if len(backend.broken_calls) < MAX_BROKEN_CALLS:
        call = states.BrokenCall(hosted.metadata.fingerprint, state.now)
        backend.broken_calls.append(call)
    if not backend.check_pending:
        backend.check_pending = True
        out.append(effects.CheckBackend(host=backend.host, port=backend.port))


def on_checked(state: states.State, *, refused: bool, out: states.Effects) -> bool:
    """Apply the result of a check of the backend server.

    :param refused: its address refused the connection.
    :return: whether it crashed.
    """
    backend = state.backend
    backend.check_pending = False
    if not refused or not backend.broken_calls:
        return False
    _record_crash(state, out)
    return True


def on_restarted(state: states.State, out: states.Effects) -> None:
    """Record a crash if the backend server restarted with calls in progress.

    This detects crashes that no check shows, for example if a proxy in between still
    accepts connections. Calls that broke before the previous process answered again
    were lost for another reason.
    """
    backend = state.backend
    backend.broken_calls = _broken_since_answer(backend)
    if _requests_in_progress(state):
        _record_crash(state, out)


def _broken_since_answer(backend: states.Backend) -> list[states.BrokenCall]:
    """Return the calls that broke since the backend server's last answer.

    Calls that broke later stay behind earlier ones, since a proxy in between may accept
    connections for a backend server that is down, and then all calls break.
    """
    horizon = backend.answered_at - IN_FLIGHT_ANSWER_MS
    return [call for call in backend.broken_calls if call.broken_at >= horizon]


def _record_crash(state: states.State, out: states.Effects) -> None:
    """Log a crash and record its requests, unless a planned stop was announced."""
    backend = state.backend
    in_progress = _requests_in_progress(state)
    backend.broken_calls = []
    backend.crash_count += 1
    fingerprints = " ".join(
        ids.fingerprint_text(request)
        for request in in_progress[:MAX_LOGGED_FINGERPRINTS]
    )
    text = (
        f"{backend.service} {backend.instance} crashed with {len(in_progress)} requests"
        f" in progress: {fingerprints}."
    )
    operator_log.warn(out, "backend", text)
    if not backend.leaving:
        quarantine.record_crash(state, in_progress, out)


def _requests_in_progress(state: states.State) -> list[ids.Fingerprint]:
    """Return the requests that were in progress at the crash, without duplicates."""
    fingerprints = [call.fingerprint for call in state.backend.broken_calls]
    fingerprints += [
        hosted.metadata.fingerprint
        for hosted in state.hosted.values()
        if hosted.state in _IN_PROGRESS
    ]
    return [fingerprint for fingerprint in dict.fromkeys(fingerprints) if fingerprint]
