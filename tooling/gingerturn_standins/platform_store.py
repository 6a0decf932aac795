"""A stand-in for the platform's metadata store: keyed topics and injected faults.

``POST /control`` sets faults; ``POST /operator`` writes the operator's configuration,
which is read-only for nodes, and ``POST /records`` appends to any topic.
``POST /copy`` makes a backup of all topics and
``POST /restore`` restores it: records written since are lost, and the epoch that is
sent with each answer rises.
"""

import asyncio
import base64
import collections
import contextlib
import copy
import dataclasses
import json
import struct
import time
import urllib.parse

import click

from gingerturn_standins import http_server

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
MAX_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
"""Limits of a page of the newest records."""

READ_ONLY = frozenset({"keyed.op", "keyed.servers"})


@dataclasses.dataclass
class Faults:
    """Faults that can be injected.

    :param down: refuse everything with 503.
    :param silent: accept requests and never answer.
    :param delay_ms: wait before each answer.
    :param drops: drop all records but the newest of each key.
    :param lose_answers: number of following appends that take effect unanswered.
    :param key_form: how keys that are not UTF-8 are written in JSON: with replacement
        characters (``replace``), as bytes (``raw``) or as surrogates (``escape``).
    :param paging: ``endless`` says that each page has more, ``stuck`` ignores the place
        after which a page is to begin.
    """

    down: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    drops: bool = False
    lose_answers: int = 0
    key_form: str = "replace"
    paging: str = ""


@dataclasses.dataclass
class Topic:
    """One partition: raw records from ``first`` on, and the newest of each key."""

    first: int = 0
    records: list[bytes] = dataclasses.field(default_factory=list)
    times: list[float] = dataclasses.field(default_factory=list)
    newest: dict[bytes, tuple[int, bytes]] = dataclasses.field(default_factory=dict)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """The offset after the newest record."""
        return self.first + len(self.records)

    def append(self, record: bytes, *, keyed: bool) -> None:
        """Append a record."""
        if keyed:
            size = record[0] if record else 0
            key = record[1 : 1 + size]
            value = record[1 + size :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (self.end, value)
        self.records.append(record)
        self.times.append(time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_before(self, horizon: float) -> None:
        """Drop records older than a time, but keep the newest of each key."""
        while self.times and self.times[0] < horizon:
            del self.times[0]
            del self.records[0]
            self.first += 1


class Store:
    """The store.

    :param retention_s: age after which records are dropped.
    """

    def __init__(self, *, retention_s: float = 300.0) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._topics: dict[str, Topic] = {}
        self._backup: dict[str, Topic] = {}
        self._epoch = 1
        self._retention_s = retention_s

    async def handle(self, request: http_server.Request) -> http_server.Response:
        """Serve a request and add the epoch to the response."""
        response = await self._serve(request)
        response.headers["Store-Era"] = str(self._epoch)
        return response

    async def _serve(self, request: http_server.Request) -> http_server.Response:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query, errors="surrogateescape"))
        if parts.path == "/control":
            return self._control(request)
        if parts.path == "/operator":
            self._topic("keyed.op").append(b"\x06config" + request.body, keyed=True)
            return http_server.Response(200, b"{}")
        if parts.path == "/records":
            return self._append(query, self._topic(query["topic"]), request.body)
        if parts.path == "/copy":
            self._backup = _copy_topics(self._topics)
            return http_server.Response(200, b"{}")
        if parts.path == "/restore":
            return self._restore()
        self.calls[parts.path] += 1
        if self.faults.down:
            return http_server.Response(503, b"{}")
        if self.faults.silent:
            await asyncio.sleep(3_600)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000.0)
        topic = self._topic(query["topic"])
        retention_s = 0.0 if self.faults.drops else self._retention_s
        topic.drop_before(time.monotonic() - retention_s)
        if parts.path == "/log-append":
            return self._append_of_node(query, topic, request.body)
        if parts.path == "/log-read":
            return await self._read(query, topic)
        if parts.path == "/log-newest":
            return self._newest(query, topic)
        return http_server.Response(404, b"{}")

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    def _restore(self) -> http_server.Response:
        before, self._topics = self._topics, _copy_topics(self._backup)
        self._epoch += 1
        for topic in before.values():
            # End the open long polls.
            topic.changed.set()
        return http_server.Response(200, b"{}")

    def _control(self, request: http_server.Request) -> http_server.Response:
        if request.method == "POST":
            for name, value in json.loads(request.body).items():
                if name == "keep_s":
                    self._retention_s = value
                else:
                    setattr(self.faults, name, value)
        reply = {**dataclasses.asdict(self.faults), "calls": self.calls}
        return http_server.Response(200, json.dumps(reply).encode())

    def _append_of_node(
        self, query: dict[str, str], topic: Topic, body: bytes
    ) -> http_server.Response:
        if query["topic"] in READ_ONLY:
            return http_server.Response(403, b"{}")
        response = self._append(query, topic, body)
        if response.status == 200 and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise http_server.NoAnswer
        return response

    def _append(
        self, query: dict[str, str], topic: Topic, body: bytes
    ) -> http_server.Response:
        name = query["topic"]
        expected = query.get("expected_end")
        if expected is not None and int(expected) != topic.end:
            return _json(412, {"end_offset": topic.end})
        offset = topic.end
        position = 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            record = body[position : position + length]
            topic.append(record, keyed=name.startswith("keyed."))
            position += length
        return _json(200, {"offset": offset, "end_offset": topic.end})

    async def _read(self, query: dict[str, str], topic: Topic) -> http_server.Response:
        start = int(query["from"])
        if not topic.first <= start <= topic.end:
            return _json(410, {"first_offset": topic.first})
        if start >= topic.end and int(query.get("wait_ms", 0)):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait_ms"]) / 1000.0):
                    await topic.changed.wait()
        if topic is not self._topics.get(query["topic"]):
            raise http_server.NoAnswer
        if self.faults.down:
            return http_server.Response(503, b"{}")
        records = topic.records[max(0, start - topic.first) :]
        content = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        return http_server.Response(
            200, _OFFSETS.pack(topic.end, topic.first) + content
        )

    def _newest(self, query: dict[str, str], topic: Topic) -> http_server.Response:
        after = query.get("after", "").encode(errors="surrogateescape")
        if self.faults.paging == "stuck":
            after = b""
        keys = sorted(key for key in topic.newest if key > after)
        items: list[dict[str, object]] = []
        size = 0
        for key in keys[:MAX_ITEMS]:
            offset, value = topic.newest[key]
            size += len(value)
            if items and size > MAX_PAGE_BYTES:
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": self._text(key), "value": encoded, "offset": offset})
        has_more = len(keys) > len(items) or bool(self.faults.paging)
        reply = {"items": items, "has_more": has_more, "end_offset": topic.end}
        is_raw = self.faults.key_form == "raw"
        content = json.dumps(reply, ensure_ascii=not is_raw)
        return http_server.Response(200, content.encode(errors="surrogateescape"))

    def _text(self, key: bytes) -> str:
        is_replaced = self.faults.key_form == "replace"
        return key.decode(errors="replace" if is_replaced else "surrogateescape")


def _copy_topics(topics: dict[str, Topic]) -> dict[str, Topic]:
    """Return copies of topics, without their waiting reads."""
    return {
        name: Topic(
            first=topic.first,
            records=list(topic.records),
            times=list(topic.times),
            newest=copy.copy(topic.newest),
        )
        for name, topic in topics.items()
    }


def _json(status: int, reply: dict[str, object]) -> http_server.Response:
    return http_server.Response(status, json.dumps(reply).encode())


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Run the stand-in of the store."""

    async def run() -> None:
        server = await http_server.serve(Store().handle, "127.0.0.1", port)
        await server.serve_forever()

    asyncio.run(run())


if __name__ == "__main__":
    main()
