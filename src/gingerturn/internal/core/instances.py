"""Which start of the backend server is meant, and whose word is late.

A backend server may start again under the id that it had. The time of its start tells
the starts of one id apart, and that alone: its sequence begins anew.

Invariant: a start that left is never believed again, and neither is an earlier start of
an instance than the latest that was heard of. An instance that was only replaced may
be: its successor may have been a late word of an older one.
"""

import typing

from gingerturn.internal.core import admission, state as states

_T = typing.TypeVar("_T")

MAX_PAST_INSTANCES = 64
"""Past instances remembered, to tell their late announcements: more than follow one
another on an instance within any delay."""


def is_outdated(
    state: states.State, instance: str, sequence: int, started_ms: int = 0
) -> bool:
    """Tell whether an announcement was overtaken by a later one, by the instance's
    own leaving, by a later start of it, or by its successor.

    :param started_ms: when it had started; 0 where it tells none.
    """
    backend = state.backend
    if not instance:
        return False
    if instance in backend.departed_instances:
        return not started_ms or started_ms <= backend.departed_instances[instance]
    if instance == backend.instance:
        if _differ(started_ms, backend.started_ms):
            return started_ms < backend.started_ms
        return 0 < sequence <= backend.sequence
    if instance not in backend.replaced_instances:
        return False
    before = backend.replaced_instances[instance]
    if _differ(started_ms, before.started_ms):
        return started_ms < before.started_ms
    # Which of two is alive no announcement tells for certain: after a restart of this
    # node a late word of an instance long gone looks like a new start. The later one
    # is believed until a call finds another at its address, or it falls silent.
    return backend.present or sequence <= before.sequence


def _differ(started_ms: int, other_ms: int) -> bool:
    return bool(started_ms and other_ms) and started_ms != other_ms


def is_new_start(backend: states.Backend, instance: str, started_ms: int) -> bool:
    """Tell whether an announcement that is not late is of another start than the
    present one."""
    if not instance:
        return False
    if instance != backend.instance or instance in backend.departed_instances:
        return True
    return _differ(started_ms, backend.started_ms)


def is_of_earlier_start(
    backend: states.Backend, instance: str, started_ms: int
) -> bool:
    """Tell whether the word of an instance is one of a start before its present one."""
    return instance == backend.instance and 0 < started_ms < backend.started_ms


def record_departure(state: states.State, instance: str, started_ms: int = 0) -> None:
    """Take in that an instance takes no more work; that start is never heard again.

    :param started_ms: when it had started; 0 where it tells none.
    """
    backend = state.backend
    if not instance:
        return
    if not started_ms and instance == backend.instance:
        started_ms = backend.started_ms
    # Of an instance that told no start only what starts from now on is another.
    _store(backend.departed_instances, instance, started_ms or int(state.now))


def _store(table: dict[str, _T], instance: str, what: _T) -> None:
    table[instance] = what
    if len(table) > MAX_PAST_INSTANCES:
        del table[next(iter(table))]


def begin_instance(state: states.State, instance: str) -> None:
    """Start afresh for a new start of the backend server: nothing measured of the
    one before holds for it."""
    backend = state.backend
    if backend.instance and backend.instance != instance:
        heard = states.InstanceAnnouncement(backend.started_ms, backend.sequence)
        _store(backend.replaced_instances, backend.instance, heard)
    backend.departed_instances.pop(instance, None)
    backend.instance = instance
    backend.sequence = 0
    backend.started_ms = 0
    backend.present = False
    backend.times.clear()
    backend.saturation = states.Saturation()
    backend.unreachable_until = 0.0
    admission.reset_measurements(state)
