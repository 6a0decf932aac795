"""Answers whose status tells a caller that its request did not run, without proof."""

import asyncio

import pytest

from gingerturn.internal.core import messages
from gingerturn.internal.wire import frames
from tests.common import home_nodes

BUFFER = 256 * 1024


async def _answered(
    status: int, *, repeatable: bool = False, body: bytes = b""
) -> tuple[home_nodes.HomeNode, int]:
    home = home_nodes.HomeNode()
    call = await home.open(b"r1", repeatable=repeatable)
    (connection,) = home.connections
    content = home_nodes.answer(status, request_id=b"r1", body=body)
    for begin in range(0, len(content), 65_536):
        connection.data_received(content[begin : begin + 65_536])
    return home, call


# Guards against a caller that repeats an unrepeatable request since the status of a
# backend server that ran it says that it did not.
@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("body", [b"", b"x" * (BUFFER + 1)])
def test_an_unproven_refusal_of_an_unrepeatable_request_is_unknown(
    status: int, body: bytes
) -> None:
    async def play() -> None:
        home, call = await _answered(status, body=body)
        assert home.outcome_of(call) is messages.Outcome.UNKNOWN
        assert home.node.state.backend.running == 0
        assert not home.node.state.hosted

    asyncio.run(play())


@pytest.mark.parametrize(("status", "repeatable"), [(503, True), (500, False)])
def test_other_answers_are_relayed(status: int, *, repeatable: bool) -> None:
    async def play() -> None:
        home, call = await _answered(status, repeatable=repeatable)
        reply = home.reply_to(call)
        assert isinstance(reply, frames.Answer)
        assert reply.status == status

    asyncio.run(play())


# Guards against a rejection that is relayed as an answer, so that the request is not
# sent to another upstream, since its body is too long to be buffered.
@pytest.mark.parametrize("body", [b"", b"x" * (BUFFER + 1)])
def test_a_proven_refusal_is_relayed_as_not_run(body: bytes) -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        call = await home.open(b"r1")
        (connection,) = home.connections
        connection.data_received(
            home_nodes.answer(503, request_id=b"r1", executed=False, body=body)
        )
        assert home.outcome_of(call) is messages.Outcome.NOT_RUN

    asyncio.run(play())
