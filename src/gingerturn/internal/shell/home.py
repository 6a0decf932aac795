"""Calls at the home node, for the backend server of this node."""

import asyncio
import typing

from gingerturn.internal import ids
from gingerturn.internal.core import decisions, effects, events, messages
from gingerturn.internal.shell import (
    backend_pool,
    clock,
    exchanges,
    links,
    supervision,
)
from gingerturn.internal.wire import frames

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


MAX_STORED_ANSWER_BYTES = 65_536

CHECK_CONNECT_TIMEOUT_S = 0.05
"""Timeout of a connection to the same instance. A backend server that does not answer
in this time has not crashed."""

CHECK_DELAYS_S = (0.01, 0.02, 0.04)
"""Delays after which a new connection must still be open. A process that ends may
accept connections, and close them again, until it closes its listening socket. The
entry nodes of failed calls wait for the result of the check."""


class HomeSide:
    """Exchanges with the backend server, and answers stored for repeats.

    :param node: this node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self.pool = backend_pool.Pool(node.dialect)
        self._exchanges: dict[ids.HostedId, exchanges.HostedExchange] = {}
        self._stored: dict[str, exchanges.StoredAnswer] = {}
        self.stalled_answers = 0

    def handlers(self) -> "nodes.Handlers":
        """Return the handlers of the effects on hosted calls."""
        return {
            effects.DispatchCall: self._dispatch,
            effects.CancelBackend: self._cancel_backend,
            effects.CheckBackend: self._check_backend,
            effects.SendAnswer: self._send_answer,
            effects.SendStoredAnswer: self._send_stored_answer,
            effects.StoreAnswer: self._store_answer,
            effects.DeleteStoredAnswer: self._delete_stored_answer,
            effects.SendRefusal: self._send_refusal,
        }

    def on_frame(self, channel: links.Channel, frame: frames.Frame) -> None:
        """Handle a frame from an entry node."""
        hosted = channel.hosted.get(frame.call)
        try:
            self._on_frame(channel, frame)
        except Exception as error:
            subject = f"{type(frame).__name__} from {channel.peer}"
            supervision.record("home", error, subject=subject)
            self._end(channel, frame.call, channel.hosted.get(frame.call, hosted))

    def _end(
        self, channel: links.Channel, call: int, hosted: ids.HostedId | None
    ) -> None:
        """End a call: after a lost piece, the later ones would make a body that looks
        complete."""
        exchange = None if hosted is None else self._exchanges.get(hosted)
        if hosted is None or exchange is None:
            channel.hosted.pop(call, None)
            channel.send(frames.Broken(call=call))
            return
        self.break_off(hosted)
        if hosted in self._exchanges:
            # What the backend server got may be incomplete.
            exchange.fail()

    def _on_frame(self, channel: links.Channel, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Open):
            self._on_open(channel, frame)
            return
        hosted = channel.hosted.get(frame.call)
        exchange = None if hosted is None else self._exchanges.get(hosted)
        if hosted is None or exchange is None:
            return
        if isinstance(frame, frames.Chunk):
            exchange.on_chunk(frame)
        elif isinstance(frame, frames.Credit):
            exchange.add_credit(frame.count)
        elif isinstance(frame, frames.Cancel | frames.Broken):
            channel.hosted.pop(frame.call, None)
            if isinstance(frame, frames.Broken):
                exchange.abandon()
            self.on_cancelled(hosted)

    def on_cancelled(self, hosted: ids.HostedId) -> None:
        """Cancel a call whose entry node cancelled it or was lost."""
        exchange = self._exchanges.get(hosted)
        if exchange is None:
            return
        exchange.detach()
        self._node.apply(
            events.CancelReceived(
                now=clock.now(), hosted=hosted, body_whole=exchange.body_whole
            )
        )

    def fail_dispatch(self, hosted: ids.HostedId) -> None:
        """Handle an error while a call was dispatched, a part of which may have been
        sent."""
        exchange = self._exchanges.get(hosted)
        if exchange is not None:
            exchange.fail()
            return
        self._node.apply(
            events.BackendFailed(now=clock.now(), hosted=hosted, dispatched=False)
        )

    def break_off(self, hosted: ids.HostedId) -> None:
        """End a call that cannot be answered; its entry node gets to know."""
        exchange = self._exchanges.get(hosted)
        if exchange is None:
            return
        exchange.break_off()
        self.on_cancelled(hosted)
        if hosted not in self._node.state.hosted:
            self.drop_exchange(hosted)

    def drop_exchange(self, hosted: ids.HostedId) -> None:
        """Remove an exchange that has ended."""
        exchange = self._exchanges.pop(hosted, None)
        if exchange is not None:
            exchange.channel.hosted.pop(exchange.call, None)

    def _on_open(self, channel: links.Channel, frame: frames.Open) -> None:
        hosted = ids.HostedId(self._node.next_number())
        channel.hosted[frame.call] = hosted
        self._exchanges[hosted] = exchanges.HostedExchange(
            self._node, channel, frame, hosted
        )
        self._node.apply(
            events.OpenReceived(
                now=clock.now(),
                hosted=hosted,
                sender=channel.peer,
                metadata=frame.terms,
            )
        )

    def _dispatch(self, effect: effects.DispatchCall) -> None:
        self._exchanges[effect.hosted].dispatch(effect)

    def _cancel_backend(self, effect: effects.CancelBackend) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is not None:
            exchange.abandon()
            self.drop_exchange(effect.hosted)

    def _check_backend(self, effect: effects.CheckBackend) -> None:
        def failed() -> None:
            # Inconclusive.
            self._node.apply(events.BackendChecked(now=clock.now(), refused=False))

        self._node.spawn(self._check(effect), part="backend check", failed=failed)

    async def _check(self, effect: effects.CheckBackend) -> None:
        self.pool.set_address(effect.host, effect.port)
        refused = False
        for delay_s in CHECK_DELAYS_S:
            still_open = False
            try:
                still_open = await self._stays_open(delay_s)
            except ConnectionRefusedError:
                refused = True
            except (OSError, TimeoutError):
                # Inconclusive: its backlog may be full, or the process paused.
                pass
            if still_open or refused:
                break
        self._node.apply(events.BackendChecked(now=clock.now(), refused=refused))

    async def _stays_open(self, delay_s: float) -> bool:
        """Whether a new connection is still open after a delay; it joins the pool.

        :raises OSError: if it cannot be opened.
        """
        connection = await self.pool.connect(CHECK_CONNECT_TIMEOUT_S)
        await asyncio.sleep(delay_s)
        if connection.usable:
            self.pool.put(connection)
        return connection.usable

    def _send_answer(self, effect: effects.SendAnswer) -> None:
        exchange = self._exchanges[effect.hosted]
        if effect.store_key:
            self._store(effect.store_key, exchange)
        exchange.send_answer(effect)

    def _send_stored_answer(self, effect: effects.SendStoredAnswer) -> None:
        exchange = self._exchanges[effect.hosted]
        stored = self._stored.get(effect.key)
        if stored is not None:
            exchange.send_stored(effect, stored)
        else:
            exchange.refuse(self._already_run_refusal(effect))
        self.drop_exchange(effect.hosted)

    def _already_run_refusal(
        self, effect: effects.SendStoredAnswer
    ) -> effects.SendRefusal:
        return effects.SendRefusal(
            hosted=effect.hosted,
            refusal=messages.Refusal(
                rule=int(decisions.Rule.ALREADY_RUN),
                outcome=messages.Outcome.ALREADY_RUN,
                retry_after_ms=0.0,
                decision=effect.decision,
            ),
            tokens=effect.tokens,
            report=effect.report,
        )

    def _store_answer(self, effect: effects.StoreAnswer) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is not None:
            self._store(effect.key, exchange)

    def _store(self, key: str, exchange: exchanges.HostedExchange) -> None:
        answer = exchange.stored_answer()
        if len(answer.body) <= MAX_STORED_ANSWER_BYTES:
            self._stored[key] = answer

    def _delete_stored_answer(self, effect: effects.DeleteStoredAnswer) -> None:
        self._stored.pop(effect.key, None)

    def _send_refusal(self, effect: effects.SendRefusal) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is None:
            return
        exchange.refuse(effect)
        if effect.hosted not in self._node.state.hosted:
            # No caller waits for the backend server any more.
            exchange.abandon()
            self.drop_exchange(effect.hosted)
