"""Everything that the core can say is carried out; every frame has a codec."""

import typing

from gingerturn.internal.core import effects, events, reducer
from gingerturn.internal.shell import node as nodes
from gingerturn_fakes import world
from tests.common import builders


def test_every_event_has_a_handler() -> None:
    wanted = set(typing.get_args(events.AnyEvent))
    assert wanted == set(reducer._HANDLERS)
    assert wanted == set(events.Event.__subclasses__())


def test_every_effect_is_carried_out_by_the_shell() -> None:
    # AskLevel once had no handler: the node broke the peer's connection instead.
    settings = builders.settings()
    handled = set(nodes.Node(settings)._handlers)
    assert handled == set(typing.get_args(effects.AnyEffect))


def test_the_fakes_pass_over_only_what_they_say() -> None:
    passed_over = {
        effects.StoreAnswer,
        effects.DeleteStoredAnswer,
        effects.FetchSnapshot,
        effects.PublishEnded,
        effects.WriteLog,
        effects.LogDecision,
        effects.Stopped,
    }
    known = set(world._HANDLERS) | passed_over
    assert known == set(typing.get_args(effects.AnyEffect))
