"""Streamed answers at a stopping node, see ``claim.txt``; run by ``run.sh``."""

import asyncio
import collections
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.0
BUDGET_MS = 6_000
PIECES = 40
PIECE = b"p" * 20_000
SENDING_S = float(os.environ.get("SENDING_S", "4.2"))
OFFSETS_S = (-0.4, -0.2, 0.0, 0.1, 0.2, 0.3, 0.4)
"""When downloads are sent, from the SIGTERM on."""

ROUTE = {
    "name": "r-pack",
    "hostname": "shop.example",
    "path_prefix": "/pack/",
    "route_type": "download",
    "timeout_ms": BUDGET_MS,
    "target_latency_ms": 5_000,
    "priority": 0,
    "service_name": "packs",
    "max_attempts": 2,
}


class Upstream(standins.Upstream):
    """An upstream that hands out a large document as it makes it."""

    async def answer(
        self, message: standins.Message, writer: asyncio.StreamWriter
    ) -> bytes:
        """Write the answer in pieces, and return the last one."""
        number = message.headers.get("request-id", "")
        if message.headers.get("expected-instance", self.instance) != self.instance:
            return standins.response(421, Request_Id=number, Instance_Id=self.instance)
        self.runs[number] += 1
        self.record.write(self.name, "run", id=number)
        head = standins.response(
            200,
            Request_Id=number,
            Response_Signature=f"signed.{number}",
            Instance_Load=self.load(),
        )
        length = b"Content-Length: %d" % (PIECES * len(PIECE))
        writer.write(head.replace(b"Content-Length: 0", length))
        for _ in range(PIECES - 1):
            writer.write(PIECE)
            await writer.drain()
            await asyncio.sleep(SENDING_S / PIECES)
        self.record.write(self.name, "ran", id=number)
        return PIECE


async def run(folder: pathlib.Path) -> int:
    """Play the case and return its exit status."""
    record = standins.Record(FOLDER / "record.txt")
    store = standins.Store()
    await store.start()
    store.configure([ROUTE])
    nodes = [
        standins.Node(f"{service}-{number}", service, zone, folder, store.port)
        for service, count in (("packs", 3), ("front", 2))
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
        entry = next(node for node in nodes if node.service == "front")
        return await _play(entry, record)
    finally:
        for node in nodes:
            await node.end()
        for server in (store, *upstreams):
            server.stop()
        record.close()


async def _play(entry: standins.Node, record: standins.Record) -> int:
    stop_at = time.monotonic() + 1.0

    async def download(number: int, offset_s: float) -> str:
        client = standins.Client(f"client-{number}", entry.ports["outbound"], record)
        await asyncio.sleep(stop_at + offset_s - time.monotonic())
        _, answer = await client.send(
            "GET", f"/pack/{number}", host="shop.example", deadline_ms=BUDGET_MS
        )
        ended_s = time.monotonic() - stop_at
        client.close()
        if answer is None:
            return f"broken off {ended_s:.2f} s after the SIGTERM"
        whole = len(answer.body) == PIECES * len(PIECE)
        return f"{answer.status}, {'whole' if whole else 'not whole'}"

    tasks = [
        asyncio.create_task(download(number, offset_s))
        for number, offset_s in enumerate(OFFSETS_S)
    ]
    await asyncio.sleep(stop_at - time.monotonic())
    if TROUBLE:
        record.write("platform", "SIGTERM", node=entry.name)
        entry.send_signal(signal.SIGTERM)
    results = await asyncio.gather(*tasks)
    for number, result in enumerate(results):
        record.write("check", "result", client=number, result=result.replace(" ", "-"))
    for result, count in sorted(collections.Counter(results).items()):
        print(f"{count} x {result}")
    served = sum(result == "200, whole" for result in results)
    if not TROUBLE and served < len(results):
        return 2
    return 1 if any(result.startswith("broken") for result in results) else 0


if __name__ == "__main__":
    sys.exit(standins.play(run))
