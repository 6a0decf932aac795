"""Workspaces on real nodes: authentication, revocation, caps and secrecy of keys."""

import collections.abc
import pathlib
import time

import httpx
import pytest

from gingerturn_standins import platform_processes
from tests.nocover import test_on_platform

KEY = "marked-key-of-the-shop-7f3a"
OTHER = "marked-key-of-the-depot-91c2"
SHOP = {"name": "shop", "api_keys": [KEY], "priority": 1}
DEPOT = {"name": "depot", "api_keys": [OTHER], "rate_per_s": 4, "burst": 4}


@pytest.fixture
def platform(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start three machines with two workspaces in force."""
    with platform_processes.Platform(tmp_path) as made:
        made.configure(test_on_platform.ROUTE, workspaces=[SHOP, DEPOT])
        made.add("plans-1", service="plans")
        made.add("plans-2", service="plans")
        made.add("porting-1", service="porting")
        made.wait_ready()
        yield made


def _request(
    machine: platform_processes.Machine, number: str, key: str | None
) -> httpx.Response:
    headers = {
        "Host": "shop.example",
        "Request-Id": number,
        "Deadline-Ms": "2000",
        "Tenant-Id": "forged",
    }
    if key is not None:
        headers["Key"] = key
    with httpx.Client(trust_env=False, timeout=10.0) as client:
        return client.get(machine.entry + "/a/x", headers=headers)


def _all_output(platform: platform_processes.Platform) -> bytes:
    """Return the logs, recordings and metrics of all nodes."""
    out = b""
    for name, machine in platform.machines.items():
        out += platform.log_of(name).encode()
        out += platform.recording_path(name).read_bytes()
        out += machine.metrics().encode()
    return out


def test_requests_run_for_their_workspace_and_keys_are_never_output(
    platform: platform_processes.Platform,
) -> None:
    answers = b""
    for name, machine in platform.machines.items():
        assert _request(machine, f"w-{name}", KEY).status_code == 200
        for key in (None, "", "marked-key-that-never-was"):
            refused = _request(machine, f"x-{name}", key)
            assert refused.status_code == 401
            answers += refused.content + str(refused.headers).encode()
    seen = [machine.counts()["last"] for machine in platform.machines.values()]
    ran = [last for last in seen if last]
    assert ran
    for last in ran:
        assert last["tenant-id"] == "shop"
        assert "key" not in last
    assert b"marked-key" not in answers
    assert b"marked-key" not in _all_output(platform)


def test_a_revoked_key_is_refused_and_its_replacement_accepted(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["porting-1"]
    replaced = {**SHOP, "api_keys": ["marked-key-two"]}
    platform.configure(test_on_platform.ROUTE, workspaces=[replaced, DEPOT])
    platform.wait_until(lambda: _request(machine, "k1", KEY).status_code == 401)
    assert _request(machine, "k2", "marked-key-two").status_code == 200


def test_keys_are_refused_while_the_store_is_silent_and_accepted_afterwards(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    platform.fault(silent=True)
    begun = time.monotonic()
    platform.wait_until(lambda: _request(machine, "s1", KEY).status_code == 503)
    assert time.monotonic() - begun < platform_processes.REVOKE_MS / 1_000.0
    platform.fault(silent=False)
    platform.wait_until(lambda: _request(machine, "s2", KEY).status_code == 200)


def test_a_workspace_over_its_cap_gets_a_retry_delay(
    platform: platform_processes.Platform,
) -> None:
    machines = list(platform.machines.values())
    answers = [
        _request(machines[number % 3], f"c{number}", OTHER) for number in range(80)
    ]
    statuses = {answer.status_code for answer in answers}
    assert statuses == {200, 429}
    refused = [answer for answer in answers if answer.status_code == 429]
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)
    assert _request(machines[0], "other", KEY).status_code == 200
