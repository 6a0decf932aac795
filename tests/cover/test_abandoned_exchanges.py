"""Exchanges of a home node whose call is refused or abandoned.

Guards against work of a slow backend server for callers that already have an answer.
"""

import pytest

from gingerturn.internal.core import effects, events
from gingerturn.internal.shell import clock, exchanges, node as nodes
from gingerturn.internal.wire import frames
from tests.common import builders, home_nodes


class _Connection:
    """The backend connection of a running exchange."""

    def __init__(self) -> None:
        self.closed = False

    def abandon(self) -> None:
        self.closed = True

    def record_unanswered(self) -> None:
        """Do nothing: there are no idle connections."""


@pytest.fixture
def connection(monkeypatch: pytest.MonkeyPatch) -> _Connection:
    made = _Connection()

    def dispatch(
        exchange: exchanges.HostedExchange, effect: effects.DispatchCall
    ) -> None:
        exchange._connection = made  # type: ignore[assignment]

    monkeypatch.setattr(exchanges.HostedExchange, "dispatch", dispatch)
    return made


def _home_node_with_call(
    channel: home_nodes.Channel, *, repeatable: bool
) -> nodes.Node:
    node = nodes.Node(builders.settings("home"))
    node.apply(builders.announced("plans", now=clock.now()))
    terms = builders.call_metadata(deadline_ms=700.0, repeatable=repeatable)
    opened = frames.Open(
        call=7, terms=terms, head=b"GET / HTTP/1.1\r\n", body=b"", whole=True
    )
    node.home.on_frame(channel, opened)  # type: ignore[arg-type]
    return node


def test_a_repeatable_call_is_cancelled_at_its_deadline(
    connection: _Connection,
) -> None:
    channel = home_nodes.Channel()
    node = _home_node_with_call(channel, repeatable=True)
    node.apply(events.Tick(now=node.state.now + 701.0))
    assert [type(frame) for frame in channel.sent] == [frames.Refuse]
    assert connection.closed


def test_an_unrepeatable_call_is_left_to_finish_after_its_deadline(
    connection: _Connection,
) -> None:
    channel = home_nodes.Channel()
    node = _home_node_with_call(channel, repeatable=False)
    node.apply(events.Tick(now=node.state.now + 701.0))
    assert [type(frame) for frame in channel.sent] == [frames.Refuse]
    assert not connection.closed


def test_an_abandoned_stream_is_reported_as_broken(
    connection: _Connection,
) -> None:
    channel = home_nodes.Channel()
    node = _home_node_with_call(channel, repeatable=True)
    (exchange,) = node.home._exchanges.values()
    exchange._streaming = True
    exchange.abandon()
    assert channel.sent == [frames.Broken(call=7)]
    assert connection.closed
