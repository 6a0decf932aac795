"""Real nodes that restart after they have confirmed a departure."""

import pathlib

import httpx
import pytest

from gingerturn_standins import platform_processes
from tests.nocover import test_on_platform

NODES = ("plans-1", "plans-2", "porting-1")


def _report(
    machine: platform_processes.Machine, call: str, *, state: str = "ready"
) -> int:
    """Send a report in the upstream's place, and return the status."""
    content = {
        "address": f"127.0.0.1:{machine.ports['app']}",
        "node_info": {
            "service_name": "plans",
            "version": "v1",
            "zone": "a",
            "slots": 8,
        },
        "status": {"state": state, "sequence": 1_000, "cold_remaining_ms": 0},
    }
    url = f"http://127.0.0.1:{machine.ports['control']}/instances/i-{machine.name}"
    with httpx.Client(trust_env=False, timeout=5.0) as client:
        return client.post(f"{url}/{call}", json=content).status_code


def _request(machine: platform_processes.Machine, number: str) -> int:
    headers = {"Host": "shop.example", "Request-Id": number, "Deadline-Ms": "2000"}
    with httpx.Client(trust_env=False, timeout=10.0) as client:
        return client.get(machine.entry + "/a/x", headers=headers).status_code


# A node that was killed forgot a confirmed departure, and a late report undid it.
@pytest.mark.parametrize("killed", [NODES[:1], NODES], ids=["one", "all"])
@pytest.mark.parametrize("how", ["deregister", "draining"])
def test_a_departed_upstream_gets_no_work_after_its_node_was_killed(
    tmp_path: pathlib.Path, how: str, killed: tuple[str, ...]
) -> None:
    with platform_processes.Platform(tmp_path) as made:
        made.configure(test_on_platform.ROUTE)
        for name in NODES:
            made.add(name, service=name.partition("-")[0])
        made.wait_ready()
        leaving = made.machines["plans-1"]
        leaving.tell_upstream(silent=True)
        if how == "deregister":
            assert _report(leaving, "deregister") == 200
        else:
            assert _report(leaving, "heartbeat", state="draining") == 200
        for name in killed:
            made.machines[name].node.kill()
        for name in killed:
            made.machines[name].node.wait(timeout=10.0)
        for name in killed:
            made.machines[name].node = made.start_node(name)
        made.wait_until(lambda: all(m.ready() for m in made.machines.values()))
        assert _report(leaving, "heartbeat") == 200
        other = made.machines["plans-2"]
        made.wait_until(lambda: _request(made.machines["porting-1"], "first") == 200)
        before = sum(leaving.counts()["runs"].values())
        for number in range(20):
            for machine in made.machines.values():
                assert _request(machine, f"q{number}.{machine.name}") == 200
        assert sum(leaving.counts()["runs"].values()) == before
        assert sum(other.counts()["runs"].values()) >= 20 * len(NODES)
        made.wait_until(lambda: "ignored: it has left" in made.log_of("plans-1"))
