"""The ways to other nodes and back: frames, questions and their answers."""

import asyncio
import typing

import msgspec

from gingerturn import errors, routes
from gingerturn.internal import ids, logs
from gingerturn.internal.core import decisions, effects, events, messages, revisions
from gingerturn.internal.shell import clock, peers
from gingerturn.internal.wire import frames

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


ASK_TIMEOUT_S = 2.0
_ASK_BASE = 1 << 62
"""Questions share the frames' call ids with attempts; theirs begin here."""


class Carrier(typing.Protocol):
    """The way to a home node."""

    def send(self, frame: frames.Frame) -> None:
        """Send a frame."""

    def forget(self, call: int) -> None:
        """Forget a call that has ended."""


class LocalCarrier:
    """The way from a node to itself, without a connection or a codec."""

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._channel = LocalChannel(node)

    def send(self, frame: frames.Frame) -> None:
        """Hand a frame to the hosting side."""
        self._node.links.on_accepted_frame(self._channel, frame)

    def forget(self, call: int) -> None:
        """Nothing is kept."""


class LocalChannel:
    """The way back from a node to itself."""

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self.hosted: dict[int, ids.HostedId] = {}
        self.peer = ids.NodeId(node.name)

    def send(self, frame: frames.Frame) -> None:
        """Hand a frame to the entry side."""
        self._node.links.on_link_frame(frame)


Channel = peers.Accepted | LocalChannel
"""The way back to an entry node."""


class Links:
    """All connections of a node to others, and the questions on them.

    :param node: the node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._links: dict[ids.Address, peers.Link] = {}
        self._local = LocalCarrier(node)
        self._asks: dict[int, asyncio.Future[bytes]] = {}
        self._level_asks: dict[int, tuple[ids.NodeId, ids.KindName, ids.Address]] = {}
        self._level_questions: dict[int, tuple[Channel, int]] = {}

    def handlers(self) -> "nodes.Handlers":
        """Return the effects that are carried out here."""
        return {
            effects.RequestLevel: self._ask_level,
            effects.ReportLevel: self._tell_level,
            effects.FetchSnapshot: self._fetch_snapshot,
            effects.FetchRoutes: self._fetch_routes,
        }

    def close(self) -> None:
        """Close every connection that this node dialled."""
        for link in self._links.values():
            link.close()

    def on_link_frame(self, frame: frames.Frame) -> None:
        """Take a frame from a home node."""
        if isinstance(frame, frames.Reply):
            self._on_reply(frame)
        elif isinstance(frame, frames.TellLevel):
            self._on_level_told(frame)
        else:
            self._node.entry.on_frame(frame)

    def on_link_lost(self, call: int, *, reached: bool) -> None:
        """Take the loss of the connection that carried a call or a question."""
        self._level_asks.pop(call, None)
        ask = self._asks.pop(call, None)
        if ask is not None and not ask.done():
            ask.set_exception(ConnectionError("the peer cannot be reached"))
        self._node.entry.on_lost(call, reached=reached)

    def on_accepted_frame(self, channel: Channel, frame: frames.Frame) -> None:
        """Take a frame from an entry node."""
        if isinstance(frame, frames.AskLevel):
            self._on_level_asked(channel, frame)
        elif isinstance(frame, frames.Ask):
            channel.send(frames.Reply(frame.call, self._answer_question(frame)))
        else:
            self._node.home.on_frame(channel, frame)

    def carrier(self, node: ids.NodeId, address: ids.Address) -> Carrier:
        """Return the way to a node."""
        return self._local if node == self._node.name else self._link(address)

    async def why(self, decision_id: str) -> decisions.Decision | None:
        """Return a decision of this node or of the one that its id names.

        :raises GingerturnError: when that node cannot be asked.
        """
        name = decision_id.rpartition(":")[0]
        if name == self._node.name:
            return self._node.state.decisions.find(decision_id)
        member = self._node.state.membership.members.get(name)
        if member is None:
            raise errors.GingerturnError(
                f"node {name!r} is not known (any more)", step="why", peer=name
            )
        question = frames.Ask(call=self._next_ask(), decision=decision_id)
        address = ids.Address(member.host, member.peers_port)
        content = await self._ask(address, question)
        if not content:
            return None
        return msgspec.json.decode(content, type=decisions.Decision)

    def _ask_level(self, effect: effects.RequestLevel) -> None:
        address = ids.Address(effect.host, effect.port)
        number = self._next_ask()
        self._level_asks[number] = (effect.node, effect.kind, address)
        self.carrier(effect.node, address).send(
            frames.AskLevel(call=number, kind=effect.kind)
        )

    def _on_level_asked(self, channel: Channel, frame: frames.AskLevel) -> None:
        question = self._next_ask()
        self._level_questions[question] = (channel, frame.call)
        self._node.apply(
            events.LevelRequested(
                now=clock.now(), request=question, kind=ids.KindName(frame.kind)
            )
        )

    def _tell_level(self, effect: effects.ReportLevel) -> None:
        channel, call = self._level_questions.pop(effect.request)
        channel.send(frames.TellLevel(call=call, report=effect.report))

    def _on_level_told(self, frame: frames.TellLevel) -> None:
        known = self._level_asks.pop(frame.call, None)
        if known is None:
            return
        node, kind, address = known
        self.carrier(node, address).forget(frame.call)
        self._node.apply(
            events.LevelReported(
                now=clock.now(), node=node, kind=kind, report=frame.report
            )
        )

    def _fetch_routes(self, effect: effects.FetchRoutes) -> None:
        self._node.spawn(self._fetch_table(effect))

    async def _fetch_table(self, effect: effects.FetchRoutes) -> None:
        question = frames.Ask(call=self._next_ask(), routes=True)
        try:
            content = await self._ask(ids.Address(effect.host, effect.port), question)
            table = msgspec.json.decode(content, type=routes.RouteTable)
        except (errors.GingerturnError, msgspec.MsgspecError) as error:
            logs.write("WARNING", "routes", f"No table from {effect.node}: {error}.")
            return
        self._node.apply(events.RoutesReceived(now=clock.now(), table=table))

    def _fetch_snapshot(self, effect: effects.FetchSnapshot) -> None:
        self._node.spawn(self._fetch(effect))

    async def _fetch(self, effect: effects.FetchSnapshot) -> None:
        question = frames.Ask(call=self._next_ask(), since=effect.since)
        try:
            content = await self._ask(ids.Address(effect.host, effect.port), question)
            snapshot = msgspec.json.decode(content, type=messages.ConfigSnapshot)
        except (errors.GingerturnError, msgspec.MsgspecError) as error:
            logs.write(
                "WARNING", "config", f"No configuration from {effect.node}: {error}."
            )
            return
        self._node.apply(events.SnapshotReceived(now=clock.now(), snapshot=snapshot))

    async def _ask(self, address: ids.Address, question: frames.Ask) -> bytes:
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._asks[question.call] = future
        self._link(address).send(question)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await future
        except (TimeoutError, ConnectionError) as error:
            raise errors.GingerturnError(
                f"no answer: {error}", step="ask a peer", peer=str(address)
            ) from None
        finally:
            self._asks.pop(question.call, None)
            self._link(address).forget(question.call)

    def _on_reply(self, frame: frames.Reply) -> None:
        future = self._asks.get(frame.call)
        if future is not None and not future.done():
            future.set_result(frame.content)

    def _answer_question(self, question: frames.Ask) -> bytes:
        if question.routes:
            index = self._node.state.routes
            return b"" if index is None else messages.encode_record(index.table)
        if question.decision:
            found = self._node.state.decisions.find(question.decision)
            return b"" if found is None else msgspec.json.encode(found)
        return messages.encode_record(
            revisions.snapshot(self._node.state, since=question.since)
        )

    def _next_ask(self) -> int:
        return _ASK_BASE + self._node.next_number()

    def _link(self, address: ids.Address) -> peers.Link:
        link = self._links.get(address)
        if link is None:
            link = peers.Link(self._node, address)
            self._links[address] = link
        return link
