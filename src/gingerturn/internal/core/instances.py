"""Identity of the backend server: its instance and start, and outdated announcements.

A backend server may restart under the same instance id. Only the start time tells its
starts apart, since the sequence begins again with each.

Invariant: announcements of a start that left, or of a start of an instance earlier than
its latest known one, are ignored. A replaced instance may return: the announcement of
its successor may have been a late one of an older instance.
"""

import typing

from gingerturn.internal.core import admission, pace, rate_limits, state as states

_T = typing.TypeVar("_T")

MAX_PAST_INSTANCES = 64
"""Past instances remembered to detect their late announcements."""


def is_outdated(
    state: states.State, instance: str, sequence: int, started_ms: int = 0
) -> bool:
    """Whether an announcement is obsolete: by a later one, by the departure of the
    instance, by a later start of it, or by its successor.

    :param started_ms: start time of the instance; 0 if not reported.
    """
    backend = state.backend
    if not instance:
        return False
    if instance in backend.departed_instances:
        return has_departed(state, instance, started_ms)
    if instance == backend.instance:
        if _differ(started_ms, backend.started_ms):
            return started_ms < backend.started_ms
        return 0 < sequence <= backend.sequence
    if instance not in backend.replaced_instances:
        return False
    last = backend.replaced_instances[instance]
    if _differ(started_ms, last.started_ms):
        return started_ms < last.started_ms
    # After a restart of this node, a late announcement of a former instance looks like
    # a new start. The instance announced last is used until a call finds another one
    # at its address, or its announcement expires.
    return backend.present or sequence <= last.sequence


def has_departed(state: states.State, instance: str, started_ms: int) -> bool:
    """Whether a start of an instance is known to have left.

    :param started_ms: start time of the instance; 0 if not reported.
    """
    departed_ms = state.backend.departed_instances.get(instance)
    if departed_ms is None:
        return False
    return not started_ms or started_ms <= departed_ms


def _differ(started_ms: int, other_ms: int) -> bool:
    return bool(started_ms and other_ms) and started_ms != other_ms


def is_new_start(backend: states.Backend, instance: str, started_ms: int) -> bool:
    """Whether an announcement that is not outdated comes from another start than the
    present one."""
    if not instance:
        return False
    if instance != backend.instance or instance in backend.departed_instances:
        return True
    return _differ(started_ms, backend.started_ms)


def is_of_earlier_start(
    backend: states.Backend, instance: str, started_ms: int
) -> bool:
    """Whether a report comes from an earlier start of the present instance."""
    return instance == backend.instance and 0 < started_ms < backend.started_ms


def record_departure(state: states.State, instance: str, started_ms: int = 0) -> None:
    """Record that an instance left; later announcements of that start are ignored.

    :param started_ms: start time of the instance; 0 if not reported.
    """
    backend = state.backend
    if not instance:
        return
    if not started_ms and instance == backend.instance:
        started_ms = backend.started_ms
    # Without a start time, only starts from now on count as new ones.
    _store(backend.departed_instances, instance, started_ms or int(state.now))


def _store(table: dict[str, _T], instance: str, value: _T) -> None:
    table[instance] = value
    if len(table) > MAX_PAST_INSTANCES:
        del table[next(iter(table))]


def begin_instance(state: states.State, instance: str) -> None:
    """Reset the state of the backend server for a new start; measurements of the former
    one do not apply."""
    backend = state.backend
    is_first = not backend.instance
    if backend.instance and backend.instance != instance:
        last = states.InstanceAnnouncement(backend.started_ms, backend.sequence)
        _store(backend.replaced_instances, backend.instance, last)
    backend.departed_instances.pop(instance, None)
    backend.instance = instance
    backend.sequence = 0
    backend.started_ms = 0
    backend.present = False
    backend.times.clear()
    backend.saturation = states.Saturation()
    backend.unreachable_until = 0.0
    backend.limiter = rate_limits.Limiter()
    backend.logged_limit = rate_limits.NO_LIMIT
    backend.pace_tracker = pace.Tracker(is_first=is_first)
    admission.reset_measurements(state)
