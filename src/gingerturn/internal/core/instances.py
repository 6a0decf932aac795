"""Which start of the backend server is meant, and whose word is late.

Invariant: an instance that left is never believed again. One that was only replaced may
be: its successor may have been a late word of an older one.
"""

import typing

from gingerturn.internal.core import state as states

_T = typing.TypeVar("_T")

INSTANCES_KEPT = 64
"""Past instances remembered, to tell their late announcements: more than follow one
another on an instance within any delay."""


def is_late(state: states.State, instance: str, sequence: int) -> bool:
    """Tell whether an announcement was overtaken by a later one, by the instance's
    own leaving, or by its successor."""
    backend = state.backend
    if not instance:
        return False
    if instance in backend.left:
        return True
    if instance == backend.instance:
        return 0 < sequence <= backend.sequence
    if instance not in backend.replaced:
        return False
    # Which of two is alive no announcement tells for certain: after a restart of this
    # node a late word of an instance long gone looks like a new start. The later one
    # is believed until a call finds another at its address, or it falls silent.
    return backend.present or sequence <= backend.replaced[instance]


def note_left(backend: states.Backend, instance: str) -> None:
    """Take in that an instance takes no more work; it is never heard again."""
    if instance:
        _remember(backend.left, instance, True)


def _remember(table: dict[str, _T], instance: str, what: _T) -> None:
    table[instance] = what
    if len(table) > INSTANCES_KEPT:
        del table[next(iter(table))]


def begin(backend: states.Backend, instance: str) -> None:
    """Start afresh for a new start of the backend server: nothing measured of the
    one before holds for it."""
    if backend.instance:
        _remember(backend.replaced, backend.instance, backend.sequence)
    backend.instance = instance
    backend.sequence = 0
    backend.present = False
    backend.times.clear()
    backend.knee = states.Knee()
    backend.unreachable_until = 0.0
