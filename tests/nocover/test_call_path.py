"""Calls through real nodes: bodies, framing, pipelining and malformed requests."""

import asyncio
import concurrent.futures
import re
import time

import httpx
import pytest

from gingerturn_standins import processes
from tests.common import builders, raw

PLANS = {"host": "plans"}


def _call(node: processes.NodeProcess, path: str, **options: object) -> httpx.Response:
    method = str(options.pop("method", "GET"))
    headers = {**PLANS, **options.pop("headers", {})}  # type: ignore[dict-item]
    with httpx.Client(trust_env=False, timeout=20.0) as client:
        return client.request(method, node.entry + path, headers=headers, **options)


def test_a_call_is_served_through_any_node(cluster: processes.Cluster) -> None:
    for node in cluster.nodes.values():
        reply = _call(node, "/status")
        assert reply.status_code == 200
        assert reply.json()["service"] == "plans"
        assert reply.headers["gingerturn-decision"]


@pytest.mark.parametrize("size", [0, 1, 65_536, 262_144, 262_145, 3_000_000])
@pytest.mark.parametrize("how", ["", "/chunked"])
def test_an_answer_of_any_size_arrives_whole(
    cluster: processes.Cluster, size: int, how: str
) -> None:
    reply = _call(cluster.nodes["porting-1"], f"/bytes/{size}{how}")
    assert reply.status_code == 200
    assert reply.content == b"x" * size


@pytest.mark.parametrize("size", [0, 1, 262_144, 262_145, 3_000_000])
def test_a_request_body_of_any_size_arrives_whole(
    cluster: processes.Cluster, size: int
) -> None:
    body = bytes(index % 251 for index in range(1000)) * (size // 1000 + 1)
    reply = _call(
        cluster.nodes["porting-1"], "/echo", method="PUT", content=body[:size]
    )
    assert reply.status_code == 200
    assert reply.content == body[:size]


def test_a_chunked_request_body_arrives_whole(cluster: processes.Cluster) -> None:
    def pieces():
        for _ in range(40):
            yield b"y" * 20_000

    reply = _call(cluster.nodes["porting-1"], "/echo", method="PUT", content=pieces())
    assert reply.content == b"y" * 800_000


def test_an_answer_of_100_mb_is_relayed_in_bounded_memory(
    cluster: processes.Cluster,
) -> None:
    entry = cluster.nodes["porting-1"]
    before = _rss_mb(entry.node.pid)
    total = 0
    with httpx.stream(
        "GET",
        entry.entry + "/bytes/100000000/chunked",
        headers=PLANS,
        timeout=60.0,
        trust_env=False,
    ) as reply:
        for piece in reply.iter_raw():
            total += len(piece)
    assert total == 100_000_000
    assert _rss_mb(entry.node.pid) - before < 16


def _rss_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def test_a_truncated_answer_is_never_relayed_as_complete(
    cluster: processes.Cluster,
) -> None:
    entry = cluster.nodes["porting-1"]
    truncated = _call(entry, "/bytes/1000/cut")
    assert truncated.status_code == 502
    assert truncated.headers["gingerturn-outcome"] == "unknown"
    with pytest.raises(httpx.RemoteProtocolError):
        _call(entry, "/bytes/1000000/cut")


def test_head_has_the_length_and_no_body(cluster: processes.Cluster) -> None:
    reply = _call(cluster.nodes["porting-1"], "/bytes/777", method="HEAD")
    assert reply.status_code == 200
    assert reply.headers["content-length"] == "777"
    assert reply.content == b""


def test_expect_100_is_answered(cluster: processes.Cluster) -> None:
    node = cluster.nodes["porting-1"]
    received = raw.exchange(
        node.calls_port,
        b"PUT /echo HTTP/1.1\r\nhost: plans\r\nexpect: 100-continue\r\n"
        b"content-length: 3\r\nconnection: close\r\n\r\n",
        b"abc",
    )
    assert received.startswith(b"HTTP/1.1 100 ")
    assert received.endswith(b"abc")


def test_pipelined_requests_are_answered_in_order(cluster: processes.Cluster) -> None:
    node = cluster.nodes["porting-1"]
    requests = b"".join(
        b"PUT /echo HTTP/1.1\r\nhost: plans\r\ncontent-length: 2\r\n%b\r\n%02d"
        % (b"connection: close\r\n" if number == 19 else b"", number)
        for number in range(20)
    )
    received = raw.exchange(node.calls_port, requests)
    bodies = [
        part.split(b"\r\n\r\n", 1)[1] for part in received.split(b"HTTP/1.1 200")[1:]
    ]
    assert bodies == [b"%02d" % number for number in range(20)]


def test_concurrent_callers_get_their_own_answers(cluster: processes.Cluster) -> None:
    async def one(client: httpx.AsyncClient, entry: str, number: int) -> bool:
        body = f"answer {number}".encode() * (1 + number % 50)
        reply = await client.put(entry + "/echo", headers=PLANS, content=body)
        return reply.content == body

    async def all_of_them() -> list[bool]:
        entries = [node.entry for node in cluster.nodes.values()]
        async with httpx.AsyncClient(trust_env=False, timeout=30.0) as client:
            # The two backend servers have eight slots together.
            gate = asyncio.Semaphore(8)

            async def gated(number: int) -> bool:
                async with gate:
                    return await one(client, entries[number % 3], number)

            return await asyncio.gather(*[gated(n) for n in range(600)])

    assert all(asyncio.run(all_of_them()))


def test_a_deeper_call_is_tied_to_its_parent(cluster: processes.Cluster) -> None:
    key = builders.key_at(time.time() * 1000)
    reply = httpx.post(
        cluster.nodes["plans-1"].entry + "/ports",
        headers={"host": "porting", "idempotency-key": key},
        trust_env=False,
        timeout=10.0,
    )
    assert reply.status_code == 200
    explanation = httpx.get(
        f"{cluster.nodes['plans-2'].admin}/why/{reply.headers['gingerturn-decision']}",
        trust_env=False,
    ).json()
    assert explanation["words"] == "Dispatched to the backend server."
    assert explanation["kind"] == "port-request"


def test_copies_of_one_key_at_the_same_moment_run_once(
    cluster: processes.Cluster,
) -> None:
    key = builders.key_at(time.time() * 1000)

    def send(node: processes.NodeProcess) -> httpx.Response:
        return httpx.post(
            node.entry + "/ports",
            headers={"host": "porting", "idempotency-key": key},
            trust_env=False,
            timeout=10.0,
        )

    with concurrent.futures.ThreadPoolExecutor(9) as pool:
        replies = list(pool.map(send, list(cluster.nodes.values()) * 3))
    assert [reply.status_code for reply in replies] == [200] * 9
    assert len({reply.content for reply in replies}) == 1
    backend = cluster.nodes["porting-1"].backend_url
    counts = httpx.get(f"{backend}/counts", trust_env=False).json()
    assert counts["executions"][key] == 1


BAD = {
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nhost: plans\r\nhost: porting\r\n\r\n",
    "two lengths": b"PUT / HTTP/1.1\r\nhost: plans\r\ncontent-length: 1\r\n"
    b"content-length: 2\r\n\r\nab",
    "length and chunked": b"PUT / HTTP/1.1\r\nhost: plans\r\ncontent-length: 4\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "other coding": b"PUT / HTTP/1.1\r\nhost: plans\r\n"
    b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "old version": b"GET / HTTP/1.0\r\nhost: plans\r\n\r\n",
    "not http": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n",
    "bad chunk": b"PUT / HTTP/1.1\r\nhost: plans\r\ntransfer-encoding: chunked\r\n\r\n"
    b"zz\r\n",
    "space in name": b"GET / HTTP/1.1\r\nhost: plans\r\nx y: 1\r\n\r\n",
}


@pytest.mark.parametrize("name", sorted(BAD))
def test_bad_input_gets_a_clear_answer_and_ends_the_connection(
    cluster: processes.Cluster, name: str
) -> None:
    node = cluster.nodes["plans-1"]
    received = raw.exchange(node.calls_port, BAD[name])
    assert received.startswith(b"HTTP/1.1 400 "), received
    assert b"application/problem+json" in received
    assert len(re.findall(rb"HTTP/1\.1 \d", received)) == 1
    assert _call(node, "/status").status_code == 200


def test_a_head_that_is_too_large_is_refused(cluster: processes.Cluster) -> None:
    node = cluster.nodes["plans-1"]
    lines = b"".join(b"x-%d: %b\r\n" % (n, b"v" * 900) for n in range(60))
    received = raw.exchange(
        node.calls_port, b"GET / HTTP/1.1\r\nhost: plans\r\n" + lines + b"\r\n"
    )
    assert received.startswith(b"HTTP/1.1 431 ")


def test_a_call_of_an_unknown_service_is_answered_with_404(
    cluster: processes.Cluster,
) -> None:
    reply = _call(cluster.nodes["plans-1"], "/", headers={"host": "nobody"})
    assert reply.status_code == 404
    assert reply.headers["gingerturn-outcome"] == "not-run"
    assert "nobody" in reply.json()["title"]


def test_forged_gingerturn_headers_do_not_reach_the_backend_server(
    cluster: processes.Cluster,
) -> None:
    reply = _call(
        cluster.nodes["plans-1"],
        "/headers",
        headers={
            "gingerturn-deadline-ms": "1",
            "gingerturn-decision": "forged",
            "x-mine": "1",
        },
    )
    seen = reply.json()
    assert seen["x-mine"] == "1"
    assert "gingerturn-decision" not in seen
    assert int(seen["gingerturn-deadline-ms"]) > 1000


def test_unauthenticated_bytes_get_no_answer_on_the_peers_port(
    cluster: processes.Cluster,
) -> None:
    node = cluster.nodes["plans-1"]
    for content in (
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00\x00\x00\x08abcdefgh",
        b"\xff" * 64,
    ):
        received = raw.exchange(node.admin_port and _peers_port(cluster, node), content)
        assert received == b""
    assert _call(node, "/status").status_code == 200


def _peers_port(cluster: processes.Cluster, node: processes.NodeProcess) -> int:
    status = httpx.get(f"{node.admin}/status", trust_env=False).json()
    row = next(m for m in status["members"] if m["node"] == node.name)
    return int(row["address"].rpartition(":")[2])
