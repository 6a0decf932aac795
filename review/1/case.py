"""Late extra answers of rejections, see ``claim.txt``; run by ``run.sh``."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time
import typing

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
UPSTREAMS = 3
PER_S = 150.0
CLIENTS = 24
ROUNDS = 8
ROUND_S = 10.0
SHED_X = 0.25
"""Part of the requests that each upstream rejects; at most 0.55 in the site file."""

SHED_S = 8.5
EXTRA_SHARE = 0.6
EXTRA_X = 0.03
"""Part of the answers that are followed by an extra one, at a share of the upstreams;
both as in the site file."""

EXTRA_S = 5.0
EXTRA_GAP_S = 0.002
ROUTE = {
    "name": "r-booking",
    "hostname": "shop.example",
    "path_prefix": "/book/",
    "route_type": "non_idempotent",
    "timeout_ms": 1_000,
    "target_latency_ms": 1_500,
    "priority": 0,
    "service_name": "booking",
    "max_attempts": 1,
}


class Upstream(standins.Upstream):
    """An upstream that rejects some requests, and repeats some answers late."""

    sheds = 0.0
    extra = 0.0

    def __init__(self, *arguments: typing.Any, **options: typing.Any) -> None:
        super().__init__(*arguments, **options)
        self._extras: dict[asyncio.StreamWriter, bytes] = {}

    async def before_answer(self, writer: asyncio.StreamWriter) -> None:
        """Write an extra answer where the next one is expected."""
        extra = self._extras.pop(writer, b"")
        if extra:
            self.record.write(self.name, "extra", repeats=_summary(extra))
            writer.write(extra)
            await writer.drain()
            await asyncio.sleep(EXTRA_GAP_S)

    def after_answer(self, writer: asyncio.StreamWriter, content: bytes) -> None:
        """Keep some answers, to be sent once more."""
        if random.random() < self.extra:
            self._extras[writer] = content

    def refuse(self, number: str, message: standins.Message) -> bytes:
        """Reject a part of the requests, as an upstream that sheds does."""
        if random.random() < self.sheds:
            return self.rejection(number)
        return super().refuse(number, message)


def _summary(content: bytes) -> str:
    lines = content.decode("latin-1").split("\r\n")
    return f"{lines[0].split()[1]}/{lines[1].partition(': ')[2]}"


async def run(folder: pathlib.Path) -> int:
    """Play the case and return its exit status."""
    record = standins.Record(FOLDER / "record.txt")
    store = standins.Store()
    await store.start()
    store.configure([ROUTE])
    nodes = [
        standins.Node(f"{service}-{number}", service, zone, folder, store.port)
        for service, count in (("booking", UPSTREAMS), ("front", 2))
        for number, zone in zip(range(count), "abc", strict=False)
    ]
    upstreams = []
    try:
        for node in nodes:
            await node.start()
            upstream = Upstream(
                node.name, node.service, record, control=node.ports["control"], slots=60
            )
            await upstream.start()
            upstreams.append(upstream)
        for node in nodes:
            await standins.wait_until(node.ready)
        await asyncio.sleep(5.0)
        answers: dict[str, int] = {}
        await _load(nodes, record, answers, upstreams)
        await asyncio.sleep(2.0)
        return _judge(record, upstreams, answers)
    finally:
        for node in nodes:
            await node.end()
        for server in (store, *upstreams):
            server.stop()
        record.close()


def _set(upstreams: list[Upstream], **values: float) -> None:
    for upstream in upstreams:
        for name, value in values.items():
            setattr(upstream, name, value)


async def _load(nodes, record, answers, upstreams) -> None:
    until = time.monotonic() + ROUNDS * ROUND_S
    booking = [u for u in upstreams if u.service == "booking"]
    garbled = booking[: int(EXTRA_SHARE * len(booking) + 0.5)]

    async def one(client: standins.Client) -> None:
        while time.monotonic() < until:
            number, answer = await client.send(
                "POST", "/book/1", host="shop.example", deadline_ms=6_000, body=b"one"
            )
            if answer is not None:
                answers[number] = answer.status
            await asyncio.sleep(random.expovariate(PER_S / CLIENTS))

    async def trouble() -> None:
        for _ in range(ROUNDS):
            await asyncio.sleep(ROUND_S - SHED_S)
            _set(booking, sheds=SHED_X)
            _set(garbled, extra=EXTRA_X)
            await asyncio.sleep(EXTRA_S)
            _set(garbled, extra=0.0)
            await asyncio.sleep(SHED_S - EXTRA_S)
            _set(booking, sheds=0.0)

    clients = [
        standins.Client(f"client-{n}", nodes[n % len(nodes)].ports["outbound"], record)
        for n in range(CLIENTS)
    ]
    tasks = [asyncio.create_task(one(client)) for client in clients]
    if TROUBLE:
        tasks.append(asyncio.create_task(trouble()))
    await asyncio.gather(*tasks)
    for client in clients:
        client.close()


def _judge(record, upstreams, answers) -> int:
    runs = collections.Counter()
    for upstream in upstreams:
        runs.update(upstream.runs)
    twice = [n for n, count in runs.items() if count > 1]
    refused = [n for n, s in answers.items() if s in (408, 421, 429, 503) and runs[n]]
    statuses = collections.Counter(answers.values())
    record.write("check", "result", answers=dict(statuses), ran=len(runs))
    for number in twice:
        record.write("check", "TWICE", id=number, runs=runs[number])
    for number in refused:
        record.write("check", "REFUSED", id=number, status=answers[number])
    print(f"answers {dict(statuses)}, ran {len(runs)}")
    print(f"TWICE {len(twice)}, REFUSED {len(refused)}")
    if not statuses[200]:
        return 2
    return 1 if twice or refused else 0


if __name__ == "__main__":
    sys.exit(standins.play(run))
