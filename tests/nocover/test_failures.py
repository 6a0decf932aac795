"""Kills, process pauses, log outages and planned stops on real processes."""

import asyncio
import signal
import time

import httpx
import pytest

from gingerturn_standins import processes
from tests.common import builders

LOOKUP = {"host": "plans"}


def _port(node: processes.NodeProcess, key: str, sending: int = 1) -> httpx.Response:
    return httpx.post(
        node.entry + "/ports",
        headers={
            "host": "porting",
            "idempotency-key": key,
            "gingerturn-sending": str(sending),
        },
        trust_env=False,
        timeout=15.0,
    )


def _executions(cluster: processes.Cluster, key: str) -> int:
    backend = cluster.nodes["porting-1"].backend_url
    counts = httpx.get(f"{backend}/counts", trust_env=False).json()
    return int(counts["executions"].get(key, 0))


def _new_key() -> str:
    return builders.key_at(time.time() * 1000)


async def _load(
    cluster: processes.Cluster, entries: list[str], stop: asyncio.Event
) -> list[httpx.Response]:
    """Send lookups from eight concurrent callers until the event is set."""
    replies: list[httpx.Response] = []

    async def caller(number: int, client: httpx.AsyncClient) -> None:
        while not stop.is_set():
            entry = entries[number % len(entries)]
            replies.append(await client.get(entry + "/status", headers=LOOKUP))

    async with httpx.AsyncClient(trust_env=False, timeout=10.0) as client:
        await asyncio.gather(*[caller(n, client) for n in range(8)])
    return replies


def test_a_planned_stop_under_load_cuts_nothing(fresh: processes.Cluster) -> None:
    leaving = fresh.nodes["plans-2"]
    entries = [n.entry for name, n in fresh.nodes.items() if name != "plans-2"]

    async def play() -> list[httpx.Response]:
        stop = asyncio.Event()
        load = asyncio.create_task(_load(fresh, entries, stop))
        await asyncio.sleep(1.0)
        leaving.node.send_signal(signal.SIGTERM)
        while leaving.node.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        stop.set()
        return await load

    replies = asyncio.run(play())
    assert leaving.node.returncode == 0
    assert len(replies) > 100
    assert {reply.status_code for reply in replies} == {200}


def test_a_second_planned_stop_does_not_end_the_first(
    fresh: processes.Cluster,
) -> None:
    # Guards against a second SIGTERM that ends a process without a drain.
    node = fresh.nodes["plans-1"].node
    for _ in range(3):
        node.send_signal(signal.SIGTERM)
        time.sleep(0.3)
    assert node.wait(timeout=10) == 0


def test_an_interrupt_during_a_stop_ends_it_at_once(fresh: processes.Cluster) -> None:
    node = fresh.nodes["plans-1"].node
    node.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    node.send_signal(signal.SIGINT)
    assert node.wait(timeout=5) == 3


# Guards against a process that never ends: a stop that began over the administration
# API was not waited for, and SIGTERM found it in progress.
@pytest.mark.parametrize("and_terminate", [False, True])
def test_a_stop_that_the_administration_began_ends_the_process(
    fresh: processes.Cluster, *, and_terminate: bool
) -> None:
    node = fresh.nodes["plans-1"]
    url = f"http://127.0.0.1:{node.admin_port}/drain"
    assert httpx.post(url, trust_env=False).is_success
    if and_terminate:
        node.node.send_signal(signal.SIGTERM)
    assert node.node.wait(timeout=10) == 0


def test_a_backend_server_that_leaves_gets_no_new_work(
    fresh: processes.Cluster,
) -> None:
    leaving = fresh.nodes["plans-2"]
    assert leaving.backend is not None
    leaving.backend.send_signal(signal.SIGTERM)
    assert leaving.backend.wait(timeout=10) == 0
    for node in fresh.nodes.values():
        for _ in range(20):
            reply = httpx.get(node.entry + "/status", headers=LOOKUP, trust_env=False)
            assert reply.status_code == 200


def test_a_killed_node_is_avoided(fresh: processes.Cluster) -> None:
    fresh.nodes["plans-2"].node.kill()
    entry = fresh.nodes["porting-1"]
    replies = [
        httpx.get(entry.entry + "/status", headers=LOOKUP, trust_env=False)
        for _ in range(60)
    ]
    assert {reply.status_code for reply in replies} == {200}


def test_a_paused_node_fails_no_calls_of_others(fresh: processes.Cluster) -> None:
    paused = fresh.nodes["plans-2"]
    paused.node.send_signal(signal.SIGSTOP)
    entry = fresh.nodes["porting-1"]
    _wait_not_alive(entry, "plans-2")
    replies = [
        httpx.get(entry.entry + "/status", headers=LOOKUP, trust_env=False, timeout=20)
        for _ in range(40)
    ]
    # The node is suspected; a call sent to it would fail with 504 at its deadline.
    assert {reply.status_code for reply in replies} == {200}
    paused.node.send_signal(signal.SIGCONT)


def _wait_not_alive(node: processes.NodeProcess, name: str) -> None:
    deadline = time.monotonic() + 30
    while True:
        status = httpx.get(f"{node.admin}/status", trust_env=False).json()
        states = {m["node"]: m["state"] for m in status["members"]}
        if states[name] != "alive":
            return
        assert time.monotonic() < deadline
        time.sleep(0.1)


def test_the_log_down_refuses_keyed_calls_and_nothing_else(
    fresh: processes.Cluster,
) -> None:
    entry = fresh.nodes["plans-1"]
    fresh.fault(down=True)
    key = _new_key()
    refused = _port(entry, key)
    assert refused.status_code == 503
    assert refused.headers["gingerturn-outcome"] == "not-run"
    assert int(refused.headers["retry-after"]) >= 1
    assert _port(entry, key, sending=2).headers["gingerturn-outcome"] == "unknown"
    lookup = httpx.get(entry.entry + "/status", headers=LOOKUP, trust_env=False)
    assert lookup.status_code == 200
    fresh.fault(down=False)
    deadline = time.monotonic() + 20
    while _port(entry, key, sending=3).status_code != 200:
        assert time.monotonic() < deadline
        time.sleep(0.3)
    assert _executions(fresh, key) == 1


def test_tickets_go_on_while_the_log_is_down(fresh: processes.Cluster) -> None:
    entry = fresh.nodes["plans-1"]
    fresh.fault(down=True)
    minted = httpx.post(
        entry.entry + "/tickets/porting",
        headers={"host": "gingerturn"},
        trust_env=False,
    )
    assert minted.status_code == 201
    key = minted.json()["key"]
    replies = [_port(node, key, sending=2) for node in fresh.nodes.values()]
    assert [reply.status_code for reply in replies] == [200] * 3
    assert _executions(fresh, key) == 1
    forged = _port(entry, key[:-1] + ("0" if key[-1] != "0" else "1"))
    assert forged.status_code == 400
    assert "not authentic" in forged.text
    wrong = httpx.post(
        entry.entry + "/tickets/nobody", headers={"host": "gingerturn"}, trust_env=False
    )
    assert wrong.status_code == 404


def test_a_lost_acknowledgement_runs_the_call_once(fresh: processes.Cluster) -> None:
    entry = fresh.nodes["plans-1"]
    keys = [_new_key() for _ in range(5)]
    for key in keys:
        fresh.fault(lose_acks=1)
        sending = 1
        while _port(entry, key, sending).status_code != 200:
            sending += 1
            assert sending < 20
            time.sleep(0.2)
    assert [_executions(fresh, key) for key in keys] == [1] * 5


def test_a_key_whose_holder_died_is_unknown_and_never_run_again(
    fresh: processes.Cluster,
) -> None:
    other = fresh.add("porting-2", service="porting", zone="bne-a")
    fresh.wait_ready(members=4)
    processes.wait_for(f"{other.admin}/status")
    fresh.wait_revision(1)
    time.sleep(1.5)
    entry = fresh.nodes["plans-1"]
    keys = [_new_key() for _ in range(12)]
    for key in keys:
        assert _port(entry, key).status_code == 200
    fresh.nodes["porting-1"].node.kill()
    time.sleep(0.2)
    for key in keys:
        reply = _port(entry, key, sending=2)
        assert reply.status_code in {200, 502}
        if reply.status_code == 502:
            assert reply.headers["gingerturn-outcome"] == "unknown"
    total = {
        key: _executions(fresh, key) + _count(other.backend_url, key) for key in keys
    }
    assert set(total.values()) == {1}


def _count(backend: str, key: str) -> int:
    counts = httpx.get(f"{backend}/counts", trust_env=False).json()
    return int(counts["executions"].get(key, 0))


def test_a_node_started_while_the_log_is_down_gets_its_state_from_peers(
    fresh: processes.Cluster,
) -> None:
    peers = [
        member["address"]
        for member in httpx.get(
            f"{fresh.nodes['plans-1'].admin}/status", trust_env=False
        ).json()["members"]
    ]
    fresh.fault(down=True)
    listed = ", ".join(f'"{address}"' for address in peers)
    late = fresh.add("plans-3", service="plans", zone="tsv", peers=f"[{listed}]")
    fresh.wait_revision(1)
    fresh.wait_ready(members=4)
    reply = httpx.get(late.entry + "/status", headers=LOOKUP, trust_env=False)
    assert reply.status_code == 200
