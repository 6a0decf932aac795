"""Real nodes beside entries of another writer in the topics that they read."""

import collections.abc
import itertools
import json
import pathlib
import re
import time

import pytest

from gingerturn_standins import platform_processes

ROUTE: dict[str, object] = {
    "name": "r-lookup",
    "hostname": "shop.example",
    "path_prefix": "/a/",
    "route_type": "safe",
    "timeout_ms": 2_000,
    "target_latency_ms": 500,
    "priority": 2,
    "service_name": "plans",
    "max_attempts": 2,
}
MEMBERS_TOPIC = "keyed.gingerturn-members"
CONFIGURATION_TOPIC = "keyed.op"
NESTED = b"[" * 100_000 + b"]" * 100_000

APPLY_S = 2.0
"""Time in which a version is to be in force at each node."""

SLACK_S = 2.0
READ_S = 1.0
"""Time in which nodes that follow a stream have read a new entry."""

NODES = ("plans-1", "plans-2", "plans-3")


def _member(number: int = 9, extra: bytes = b"1") -> bytes:
    """Return a valid record of a member, with one more field."""
    fields = {
        "type": "join",
        "node": f"x{number}",
        "incarnation": 5,
        "host": "127.0.0.1",
        "gossip_port": 9,
        "zone": "a",
        "at": 1.0,
    }
    return json.dumps(fields).encode()[:-1] + b', "extra": ' + extra + b"}"


@pytest.fixture
def platform(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start three machines with a route in force."""
    with platform_processes.Platform(tmp_path) as made:
        made.configure(ROUTE)
        for name in NODES:
            made.add(name, service="plans")
        made.wait_ready()
        yield made


def _sample(machine: platform_processes.Machine, name: str) -> float:
    pattern = rf"^gingerturn_{re.escape(name)} (\S+)$"
    found = re.search(pattern, machine.metrics(), re.MULTILINE)
    return float(found[1]) if found else 0.0


# Guards against a deployment that one odd entry keeps from starting: after a loss of
# power no node read the members, none was ready and each knew itself alone.
def test_all_nodes_start_again_beside_a_nested_record_of_a_member(
    platform: platform_processes.Platform,
) -> None:
    platform.write_entries(MEMBERS_TOPIC, (b"x9", _member(extra=NESTED)))
    _restart_all(platform)
    _wait_for_skipped(platform, 1)
    for machine in platform.machines.values():
        log = platform.log_of(machine.name)
        assert re.search(r"Entry of members 'x9' at offset \d+ skipped: ", log)
        assert "Unhandled error" not in log


# Guards against a reader that ends at a record: no later version was in force.
def test_a_version_after_a_nested_one_is_in_force_in_time(
    platform: platform_processes.Platform,
) -> None:
    odd = {"version": "00000005", "routes": [ROUTE], "services": [], "limits": {}}
    content = json.dumps(odd).encode()[:-1] + b', "extra": ' + NESTED + b"}"
    platform.write_configuration(content)
    time.sleep(READ_S)
    machines = platform.machines.values()
    version = platform.configure({**ROUTE, "timeout_ms": 1_999})
    platform.wait_until(
        lambda: all(_sample(m, "route_version") == version for m in machines),
        timeout=APPLY_S + SLACK_S,
    )
    skipped = 'log_entries_skipped_total{stream="routes"}'
    assert any(_sample(m, skipped) >= 1.0 for m in machines)


# Guards against a node that waits for ever, or takes memory without a bound, where
# thousands of entries of another writer are in the way.
def test_all_nodes_start_again_beside_many_and_large_entries(
    platform: platform_processes.Platform,
) -> None:
    many = [(b"a%05d" % n, b"no record") for n in range(3_000)]
    platform.write_entries(MEMBERS_TOPIC, *many)
    large = [(b"b%05d" % n, b"x" * 250_000) for n in range(40)]
    platform.write_entries(MEMBERS_TOPIC, *large)
    _restart_all(platform)
    _wait_for_skipped(platform, len(many) + len(large))


# Guards against a listing that ends at a key that is no text: members behind it were
# not found.
@pytest.mark.parametrize("key_form", ["raw", "replace", "escape"])
def test_all_nodes_start_again_beside_keys_that_are_no_text(
    platform: platform_processes.Platform, key_form: str
) -> None:
    keys = [bytes([first, 0xFF, last]) for first in range(1, 90) for last in range(9)]
    platform.write_entries(MEMBERS_TOPIC, *((key, _member()) for key in keys))
    platform.fault(key_form=key_form)
    _restart_all(platform)


# Guards against keys that look the same in a listing, more of them than a page holds:
# nodes had no configuration, or were ready while each knew itself alone.
@pytest.mark.parametrize("topic", [MEMBERS_TOPIC, CONFIGURATION_TOPIC])
def test_all_nodes_start_again_beside_keys_that_hide_those_behind_them(
    platform: platform_processes.Platform, topic: str
) -> None:
    endings = itertools.product(range(0x80, 0xC0), repeat=2)
    hidden = [b"a\xff" + bytes(ending) for ending in itertools.islice(endings, 1_100)]
    platform.write_entries(topic, *((key, b"no record") for key in hidden))
    _restart_all(platform)


# Guards against a node that pages through the members for ever.
@pytest.mark.parametrize("paging", ["stuck", "endless"])
def test_all_nodes_start_again_where_each_page_says_that_more_follow(
    platform: platform_processes.Platform, paging: str
) -> None:
    platform.fault(paging=paging)
    _restart_all(platform)
    _wait_for_skipped(platform, 1)


def _wait_for_skipped(platform: platform_processes.Platform, count: int) -> None:
    """Wait until every node has skipped so many entries of the members.

    A node that another one sent the members to is ready before its own listing ends.
    """
    skipped = 'log_entries_skipped_total{stream="members"}'
    machines = platform.machines.values()
    platform.wait_until(lambda: all(_sample(m, skipped) >= count for m in machines))


def _restart_all(platform: platform_processes.Platform) -> None:
    """Kill and start all nodes, and wait until they are ready and know one another."""
    platform.kill_nodes()
    platform.start_nodes()
    platform.wait_ready()
