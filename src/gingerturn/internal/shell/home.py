"""The home side of the shell: calls for the backend server beside this node."""

import asyncio
import typing

from gingerturn.internal import ids
from gingerturn.internal.core import decisions, effects, events, messages
from gingerturn.internal.shell import backend_pool, clock, exchanges, links
from gingerturn.internal.wire import frames

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


MAX_KEPT_BYTES = 65_536

CHECK_TIMEOUT_S = 0.05
"""Nothing that listens on the same instance takes longer to accept a connection; what
hangs has not ended."""

CHECK_AGAIN_S = (0.01, 0.02, 0.04)
"""Pauses after which a new connection must still stand. A process that ends closes its
connections one by one and may close its address last: until then it takes one more,
and breaks that too. Entry nodes of broken calls wait as long, 10 ms where it stands."""


class HomeSide:
    """Exchanges with the backend server, and answers kept for repeats.

    :param node: the node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self.pool = backend_pool.Pool(node.dialect)
        self._exchanges: dict[ids.HostedId, exchanges.HostedExchange] = {}
        self._kept: dict[str, exchanges.KeptAnswer] = {}

    def handlers(self) -> "nodes.Handlers":
        """Return the effects that are carried out here."""
        return {
            effects.DispatchCall: self._hand_over,
            effects.CancelBackend: self._cancel_backend,
            effects.CheckBackend: self._check_backend,
            effects.SendAnswer: self._send_answer,
            effects.SendStoredAnswer: self._send_kept_answer,
            effects.StoreAnswer: self._keep_answer,
            effects.DeleteStoredAnswer: self._forget_answer,
            effects.SendRefusal: self._send_refusal,
        }

    def on_frame(self, channel: links.Channel, frame: frames.Frame) -> None:
        """Take a frame from an entry node."""
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
        """Take the entry node's word, or loss, that ends its interest."""
        exchange = self._exchanges.get(hosted)
        if exchange is None:
            return
        exchange.detach()
        self._node.apply(events.CancelReceived(now=clock.now(), hosted=hosted))

    def drop_exchange(self, hosted: ids.HostedId) -> None:
        """Forget an exchange that has ended."""
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

    def _hand_over(self, effect: effects.DispatchCall) -> None:
        self._exchanges[effect.hosted].hand_over(effect)

    def _cancel_backend(self, effect: effects.CancelBackend) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is not None:
            exchange.abandon()
            self.drop_exchange(effect.hosted)

    def _check_backend(self, effect: effects.CheckBackend) -> None:
        self._node.spawn(self._check(effect))

    async def _check(self, effect: effects.CheckBackend) -> None:
        self.pool.use(effect.host, effect.port)
        refused = False
        for pause_s in CHECK_AGAIN_S:
            stands = False
            try:
                stands = await self._opens(pause_s)
            except ConnectionRefusedError:
                refused = True
            except (OSError, TimeoutError):
                # Neither word: it may be full, or stand still.
                pass
            if stands or refused:
                break
        self._node.apply(events.BackendChecked(now=clock.now(), refused=refused))

    async def _opens(self, pause_s: float) -> bool:
        """Tell whether a new connection opens and stands; it serves the next call.

        :raises OSError: when it does not open.
        """
        connection = await self.pool.connect(CHECK_TIMEOUT_S)
        await asyncio.sleep(pause_s)
        if connection.usable:
            self.pool.put(connection)
        return connection.usable

    def _send_answer(self, effect: effects.SendAnswer) -> None:
        exchange = self._exchanges[effect.hosted]
        if effect.store_key:
            self._keep(effect.store_key, exchange)
        exchange.send_answer(effect)

    def _send_kept_answer(self, effect: effects.SendStoredAnswer) -> None:
        exchange = self._exchanges[effect.hosted]
        kept = self._kept.get(effect.key)
        if kept is not None:
            exchange.send_kept(effect, kept)
        else:
            exchange.refuse(self._too_long_to_keep(effect))
        self.drop_exchange(effect.hosted)

    def _too_long_to_keep(
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

    def _keep_answer(self, effect: effects.StoreAnswer) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is not None:
            self._keep(effect.key, exchange)

    def _keep(self, key: str, exchange: exchanges.HostedExchange) -> None:
        kept = exchange.kept_answer()
        if len(kept.body) <= MAX_KEPT_BYTES:
            self._kept[key] = kept

    def _forget_answer(self, effect: effects.DeleteStoredAnswer) -> None:
        self._kept.pop(effect.key, None)

    def _send_refusal(self, effect: effects.SendRefusal) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is None:
            return
        exchange.refuse(effect)
        if effect.hosted not in self._node.state.hosted:
            # Nobody waits for what the backend server may still be doing for it.
            exchange.abandon()
            self.drop_exchange(effect.hosted)
