"""Quarantine of requests that crash backend servers, on real processes.

Covers what the fakes do not: broken connections of a crashed process, and refused
connections to its address.
"""

import collections.abc
import time

import httpx

from gingerturn_standins import backend, processes
from tests.nocover import test_command_line as command_line

WAIT_S = 20.0
DEADLY = f"{backend.DEADLY_PATH}/9c2f"


def _get(node: processes.NodeProcess, path: str) -> httpx.Response:
    headers = {"host": "plans"}
    return httpx.get(node.entry + path, headers=headers, trust_env=False, timeout=10.0)


def _wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def _upstreams(cluster: processes.Cluster) -> list[processes.NodeProcess]:
    return [n for name, n in cluster.nodes.items() if name.startswith("plans")]


def _crashed(node: processes.NodeProcess) -> bool:
    return node.backend is not None and node.backend.poll() is not None


def _quarantined(node: processes.NodeProcess) -> list[str]:
    rows = httpx.get(f"{node.admin}/quarantine", trust_env=False).json()
    return [row["request"] for row in rows]


def test_a_request_that_crashes_backend_servers_is_quarantined_until_cleared(
    fresh: processes.Cluster,
) -> None:
    fresh.add("plans-3", service="plans", zone="tsv", service_ms=5.0)
    fresh.wait_ready(members=4)
    entry = fresh.nodes["porting-1"]
    # The two repeats of the request go to the other upstreams.
    answer = _get(entry, DEADLY)
    assert answer.headers["gingerturn-outcome"] == "unknown"
    assert all(_crashed(node) for node in _upstreams(fresh))
    for node in _upstreams(fresh):
        fresh.start_backend(node)
    _wait_until(lambda: all(_quarantined(node) for node in fresh.nodes.values()))
    _wait_until(lambda: _get(entry, "/status").status_code == 200)

    refused = _get(entry, DEADLY)
    assert refused.status_code == 503
    assert refused.headers["gingerturn-outcome"] == "not-run"
    assert int(refused.headers["retry-after"]) > 1
    explanation = command_line._run(
        "why", refused.headers["gingerturn-decision"], "--admin", entry.admin
    )
    assert "Quarantined: " in explanation.stdout
    assert not any(_crashed(node) for node in _upstreams(fresh))

    (request,) = _quarantined(entry)
    shown = command_line._run("quarantine", "show", "--admin", entry.admin)
    assert f"{request}: 3 backend servers crashed" in shown.stdout
    other = command_line._run(
        "quarantine", "clear", "0" * 12, "--author", "me", "--admin", entry.admin
    )
    assert (other.returncode, "not kept out" in other.stderr) == (4, True)
    cleared = command_line._run(
        "quarantine", "clear", request, "--author", "me", "--admin", entry.admin
    )
    assert cleared.returncode == 0
    _wait_until(lambda: not any(_quarantined(node) for node in fresh.nodes.values()))


def test_a_killed_backend_server_quarantines_no_harmless_request(
    fresh: processes.Cluster,
) -> None:
    entry = fresh.nodes["porting-1"]
    for _ in range(3):
        for node in _upstreams(fresh):
            assert node.backend is not None
            node.backend.kill()
            node.backend.wait(timeout=WAIT_S)
            fresh.start_backend(node)
            _wait_until(lambda: _get(entry, "/status").status_code == 200)
    assert not any(_quarantined(node) for node in fresh.nodes.values())
