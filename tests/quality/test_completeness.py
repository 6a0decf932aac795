"""Completeness: each event and each effect of the core has a handler."""

import typing

from gingerturn.internal.core import effects, events, reducer
from gingerturn.internal.shell import node as nodes
from gingerturn_fakes import world
from tests.common import builders


def test_every_event_has_a_handler() -> None:
    expected = set(typing.get_args(events.AnyEvent))
    assert expected == set(reducer._HANDLERS)
    assert expected == set(events.Event.__subclasses__())


def test_every_effect_is_carried_out_by_the_shell() -> None:
    # Guards against an effect without a handler, which breaks a peer's connection.
    settings = builders.settings()
    handled = set(nodes.Node(settings)._handlers)
    assert handled == set(typing.get_args(effects.AnyEffect))


def test_the_fakes_handle_all_but_the_listed_effects() -> None:
    ignored = {
        effects.StoreAnswer,
        effects.DeleteStoredAnswer,
        effects.DeparturesSaved,
        effects.FetchSnapshot,
        effects.PublishEnded,
        effects.WriteLog,
        effects.LogDecision,
        effects.Stopped,
    }
    accounted_for = set(world._HANDLERS) | ignored
    assert accounted_for == set(typing.get_args(effects.AnyEffect))
