"""Presence of the backend server beside this node: announced, leaving or expired."""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    backend_crashes,
    decisions,
    departures,
    events,
    hosting,
    instances,
    membership,
    operator_log,
    replies,
    state as states,
)


def on_announced(
    state: states.State, event: events.BackendAnnounced, out: states.Effects
) -> None:
    """Handle an announcement of the backend server, or its renewal."""
    backend = state.backend
    declared = state.configuration.service(event.service).slots
    slots = event.slots if declared is None else min(declared, event.slots)
    if instances.is_new_start(backend, event.instance, event.started_ms):
        backend_crashes.on_restarted(state, out)
        if event.instance == backend.instance:
            text = f"{event.service} {event.instance} restarted."
            operator_log.info(out, "backend", text)
            hosting.fail_running(state, out)
        instances.begin_instance(state, event.instance)
    backend.started_ms = event.started_ms or backend.started_ms
    backend.sequence = max(backend.sequence, event.sequence)
    if backend.present and backend.service != event.service:
        operator_log.warn(out, "backend", f"Service changed to {event.service}.")
    admission.announce(state, event.now, slots=max(1, slots), cold=event.cold)
    if not backend.present:
        text = f"{event.service} announced, {slots} slots."
        operator_log.info(out, "backend", text)
    backend.service = event.service
    backend.host = event.host
    backend.port = event.port
    backend.present = True
    backend.leaving = False
    backend.expires_at = event.now + event.ttl_ms
    hosting.refuse_other_services(state, out)
    hosting.start_queued(state, out)


def on_withdrawn(
    state: states.State, event: events.BackendWithdrawn, out: states.Effects
) -> bool:
    """Stop dispatching calls to a backend server that is leaving.

    :return: whether it is the present one and was not leaving before.
    """
    backend = state.backend
    if instances.is_of_earlier_start(backend, event.instance, event.started_ms):
        return False
    is_news = departures.record(state, event.instance, event.started_ms, out)
    is_other = event.instance not in {"", backend.instance}
    if is_other or not backend.present or backend.leaving:
        if is_news:
            membership.push(state, out)
        return False
    backend.leaving = True
    operator_log.info(
        out, "backend", f"{backend.service} {backend.instance} is leaving."
    )
    replies.refuse_queue(state, decisions.Rule.LEAVING, out)
    return True


def expire(state: states.State, now: ids.Milliseconds, out: states.Effects) -> bool:
    """Withdraw the backend server if its announcement expired.

    :return: whether it did.
    """
    backend = state.backend
    if not backend.present or now < backend.expires_at:
        return False
    backend.present = False
    operator_log.warn(out, "backend", f"{backend.service} stopped renewing.")
    replies.refuse_queue(state, decisions.Rule.NO_BACKEND, out)
    return True
