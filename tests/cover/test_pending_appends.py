"""Appends of claims end, and do not keep later ones from being sent."""

import asyncio
import typing

import pytest

from gingerturn.internal.core import (
    claims,
    effects,
    events,
    messages,
    quarantine,
    state as states,
    streams,
)
from tests.common import builders, scripted_logs

KEY = "k"


def _claiming() -> states.State:
    state = builders.node_state()
    _claim(state, KEY)
    return state


def _claim(state: states.State, key: str) -> None:
    state.keys[key] = states.KeyEntry(
        key=key, phase=states.KeyPhase.CLAIMING, since=state.now, claim=key
    )
    state.claim_batch.append(messages.ClaimRecord(key=key, claim=key, node="n1/1"))


def _flushed(state: states.State) -> list[effects.Append]:
    out: list[effects.Effect] = []
    state.next_claim = 0.0
    claims.flush(state, out)
    return builders.all_of(out, effects.Append)


# Guards against a home that refuses all new keys, as one append has no outcome.
def test_claims_are_appended_again_after_an_append_without_an_outcome() -> None:
    state = _claiming()
    assert _flushed(state)
    _claim(state, "later")
    assert not _flushed(state)
    state.now += streams.MAX_PENDING_MS
    claims.check_timeouts(state, state.now, [])
    assert state.appends
    state.now += 1.0
    claims.check_timeouts(state, state.now, [])
    assert not state.appends
    assert _flushed(state)


# Guards against a pending append that was never sent.
def test_claims_that_cannot_be_encoded_are_not_pending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = _claiming()
    with monkeypatch.context() as failing:
        failing.setattr(messages, "encode_record", _raise)
        with pytest.raises(MemoryError):
            _flushed(state)
    assert not state.appends
    assert not state.keys
    _claim(state, "later")
    assert _flushed(state)


# Guards against an append that is pending for ever, after an error in its outcome.
@pytest.mark.unhandled_errors
@pytest.mark.parametrize("is_done", [True, False])
def test_an_append_whose_outcome_cannot_be_applied_is_not_pending(
    monkeypatch: pytest.MonkeyPatch, is_done: bool
) -> None:
    async def run() -> None:
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        await running.advance(500.0)
        running.state.appends[77] = [KEY]
        calls = 0
        original = quarantine.on_saved

        def on_saved(*arguments: typing.Any, **options: typing.Any) -> bool:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise MemoryError
            return original(*arguments, **options)

        monkeypatch.setattr(quarantine, "on_saved", on_saved)
        now = running.now
        if is_done:
            running.node.apply(events.AppendDone(now=now, append=77, offset=1))
        else:
            running.node.apply(events.AppendFailed(now=now, append=77, certain=True))
        assert calls == 2
        assert not running.state.appends
        await running.close()

    asyncio.run(run())


# Guards against an outcome that always fails and is applied without end.
@pytest.mark.unhandled_errors
def test_an_outcome_that_cannot_be_applied_is_applied_twice_at_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        await running.advance(500.0)
        calls: list[object] = []

        def on_saved(*arguments: typing.Any, **options: typing.Any) -> bool:
            calls.append(arguments)
            raise MemoryError

        monkeypatch.setattr(quarantine, "on_saved", on_saved)
        running.node.apply(
            events.AppendFailed(now=running.now, append=77, certain=True)
        )
        assert len(calls) == 2
        await running.close()

    asyncio.run(run())


def _raise(*arguments: typing.Any, **options: typing.Any) -> typing.NoReturn:
    raise MemoryError
