"""Dispatch of frames between nodes, and queries to other nodes."""

import asyncio
import collections.abc
import typing

import msgspec

from gingerturn import errors, routes
from gingerturn.internal import decoding, ids, logs
from gingerturn.internal.core import decisions, effects, events, messages, revisions
from gingerturn.internal.shell import clock, peers, supervision
from gingerturn.internal.wire import frames

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


QUERY_TIMEOUT_S = 2.0
SILENCE_S = 0.3
"""Time after which a connection on which nothing arrives is replaced for a query. TCP
reports the loss of a silent connection after some seconds only."""

_QUERY_ID_BASE = 1 << 62
"""First call id of queries, which share the id space of frames with attempts."""


class Carrier(typing.Protocol):
    """The sending side to a home node."""

    def send(self, frame: frames.Frame) -> None:
        """Send a frame."""

    def forget(self, call: int) -> None:
        """Stop tracking a call that has ended."""


class LocalCarrier:
    """The sending side of a node to itself, without a connection or encoding."""

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._channel = LocalChannel(node)

    def send(self, frame: frames.Frame) -> None:
        """Dispatch a frame to the home side."""
        self._node.links.on_accepted_frame(self._channel, frame)

    def forget(self, call: int) -> None:
        """Do nothing: local calls are not tracked."""


class LocalChannel:
    """The reply channel of a node to itself."""

    is_backed_up = False

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self.hosted: dict[int, ids.HostedId] = {}
        self.peer = ids.NodeId(node.name)

    def send(self, frame: frames.Frame) -> None:
        """Dispatch a frame to the entry side."""
        self._node.links.on_link_frame(frame)

    def when_writable(self, function: collections.abc.Callable[[], None]) -> None:
        """Call a function at once."""
        function()


Channel = peers.Accepted | LocalChannel
"""The reply channel to an entry node."""


class Links:
    """The connections of a node to its peers, and the queries sent over them.

    :param node: the node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._links: dict[ids.Address, peers.Link] = {}
        self._local = LocalCarrier(node)
        self._queries: dict[int, asyncio.Future[bytes]] = {}
        self._sent_level_requests: dict[
            int, tuple[ids.NodeId, ids.KindName, ids.Address]
        ] = {}
        self._received_level_requests: dict[int, tuple[Channel, int]] = {}
        self._next_check: asyncio.TimerHandle | None = None

    def handlers(self) -> "nodes.Handlers":
        """Return the handlers of link effects."""
        return {
            effects.RequestLevel: self._send_level_request,
            effects.ReportLevel: self._send_level_report,
            effects.FetchSnapshot: self._fetch_snapshot,
            effects.FetchRoutes: self._fetch_routes,
        }

    def close(self) -> None:
        """Close every connection that this node dialled."""
        if self._next_check is not None:
            self._next_check.cancel()
        for link in self._links.values():
            link.close()

    def on_link_frame(self, frame: frames.Frame) -> None:
        """Handle a frame of a home node."""
        if isinstance(frame, frames.QueryReply):
            self._on_reply(frame)
        elif isinstance(frame, frames.LevelReport):
            self._on_level_report(frame)
        else:
            self._node.entry.on_frame(frame)

    def on_link_lost(self, call: int, *, reached: bool) -> None:
        """Handle the loss of the connection that carried a call or a query."""
        self._sent_level_requests.pop(call, None)
        reply = self._queries.pop(call, None)
        if reply is not None and not reply.done():
            reply.set_exception(ConnectionError("the peer cannot be reached"))
        self._node.entry.on_lost(call, reached=reached)

    def on_link_silent(self, calls: list[int]) -> None:
        """Handle calls whose connection fell silent and was replaced."""
        for call in calls:
            # The core requests levels again when it needs them.
            sent = self._sent_level_requests.pop(call, None)
            if sent is not None:
                self._link(sent[2]).forget(call)
        self._node.entry.on_silent(calls)

    def start_checks(self) -> None:
        """Check connections from now on, until no call waits on any.

        One timer serves all connections. It does not depend on the ticks of the core,
        whose interval is that of the core's parts.
        """
        if self._next_check is None:
            self._next_check = supervision.call_later(
                peers.CHECK_INTERVAL_S, self._check, part="links"
            )

    def _check(self) -> None:
        # Cleared first, so that an error below does not end the checks for good.
        self._next_check = None
        now = clock.now()
        for address, link in list(self._links.items()):
            with supervision.contained("links", subject=str(address)):
                link.check(now)
        if any(link.is_waiting for link in self._links.values()):
            self.start_checks()

    def on_accepted_frame(self, channel: Channel, frame: frames.Frame) -> None:
        """Handle a frame of an entry node."""
        if isinstance(frame, frames.LevelRequest):
            self._on_level_request(channel, frame)
        elif isinstance(frame, frames.Query):
            channel.send(frames.QueryReply(frame.call, self._query_result(frame)))
        elif isinstance(frame, frames.Ping):
            channel.send(frames.Pong())
        else:
            self._node.home.on_frame(channel, frame)

    def carrier(self, node: ids.NodeId, address: ids.Address) -> Carrier:
        """Return the sending side to a node."""
        return self._local if node == self._node.name else self._link(address)

    async def why(self, decision_id: str) -> decisions.Decision | None:
        """Return a decision by id, queried from the node that the id names.

        :raises GingerturnError: when that node cannot be queried.
        """
        name = decision_id.rpartition(":")[0]
        if name == self._node.name:
            return self._node.state.decisions.find(decision_id)
        member = self._node.state.membership.members.get(name)
        if member is None:
            raise errors.GingerturnError(
                f"node {name!r} is not known (any more)", step="why", peer=name
            )
        query = frames.Query(call=self._next_query_id(), decision=decision_id)
        address = ids.Address(member.host, member.peers_port)
        content = await self._query(address, query)
        if not content:
            return None
        return decisions.decode_decision(content)

    def _send_level_request(self, effect: effects.RequestLevel) -> None:
        address = ids.Address(effect.host, effect.port)
        number = self._next_query_id()
        self._sent_level_requests[number] = (effect.node, effect.kind, address)
        self.carrier(effect.node, address).send(
            frames.LevelRequest(call=number, kind=effect.kind)
        )

    def _on_level_request(self, channel: Channel, frame: frames.LevelRequest) -> None:
        request = self._next_query_id()
        self._received_level_requests[request] = (channel, frame.call)
        self._node.apply(
            events.LevelRequested(
                now=clock.now(), request=request, kind=ids.KindName(frame.kind)
            )
        )

    def _send_level_report(self, effect: effects.ReportLevel) -> None:
        channel, call = self._received_level_requests.pop(effect.request)
        channel.send(frames.LevelReport(call=call, report=effect.report))

    def _on_level_report(self, frame: frames.LevelReport) -> None:
        sent = self._sent_level_requests.pop(frame.call, None)
        if sent is None:
            return
        node, kind, address = sent
        self.carrier(node, address).forget(frame.call)
        self._node.apply(
            events.LevelReported(
                now=clock.now(), node=node, kind=kind, report=frame.report
            )
        )

    def _fetch_routes(self, effect: effects.FetchRoutes) -> None:
        self._node.spawn(
            self._request_routes(effect), part="queries", subject=effect.node
        )

    async def _request_routes(self, effect: effects.FetchRoutes) -> None:
        query = frames.Query(call=self._next_query_id(), routes=True)
        try:
            content = await self._query(ids.Address(effect.host, effect.port), query)
            table = decoding.json_decoder(routes.RouteTable)(content)
        except errors.GingerturnError as error:
            logs.write(
                "WARNING", "routes", f"No route table from {effect.node}: {error}."
            )
            return
        self._node.apply(
            events.RoutesReceived(now=clock.now(), table=table, source=effect.node)
        )

    def _fetch_snapshot(self, effect: effects.FetchSnapshot) -> None:
        self._node.spawn(
            self._request_snapshot(effect), part="queries", subject=effect.node
        )

    async def _request_snapshot(self, effect: effects.FetchSnapshot) -> None:
        query = frames.Query(call=self._next_query_id(), since=effect.since)
        try:
            content = await self._query(ids.Address(effect.host, effect.port), query)
            snapshot = decoding.json_decoder(messages.ConfigSnapshot)(content)
        except errors.GingerturnError as error:
            logs.write(
                "WARNING", "config", f"No configuration from {effect.node}: {error}."
            )
            return
        self._node.apply(events.SnapshotReceived(now=clock.now(), snapshot=snapshot))

    async def _query(self, address: ids.Address, query: frames.Query) -> bytes:
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._queries[query.call] = future
        sent_at = clock.now()
        self._link(address).send(query)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                await asyncio.wait([future], timeout=SILENCE_S)
                if not future.done():
                    self._link(address).resend_if_silent(query, sent_at)
                return await future
        except (TimeoutError, ConnectionError) as error:
            raise errors.GingerturnError(
                f"no answer: {error}", step="ask a peer", peer=str(address)
            ) from None
        finally:
            self._queries.pop(query.call, None)
            self._link(address).forget(query.call)

    def _on_reply(self, frame: frames.QueryReply) -> None:
        future = self._queries.get(frame.call)
        if future is not None and not future.done():
            future.set_result(frame.content)

    def _query_result(self, query: frames.Query) -> bytes:
        if query.routes:
            index = self._node.state.routes
            return b"" if index is None else messages.encode_record(index.table)
        if query.decision:
            found = self._node.state.decisions.find(query.decision)
            return b"" if found is None else msgspec.json.encode(found)
        return messages.encode_record(
            revisions.snapshot(self._node.state, since=query.since)
        )

    def _next_query_id(self) -> int:
        return _QUERY_ID_BASE + self._node.next_number()

    def _link(self, address: ids.Address) -> peers.Link:
        link = self._links.get(address)
        if link is None:
            link = peers.Link(self._node, address)
            self._links[address] = link
        return link
