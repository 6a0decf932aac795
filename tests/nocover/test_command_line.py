"""Output and exit statuses of the command line against real nodes."""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time

import httpx
import pytest

from gingerturn.internal import launch
from gingerturn_standins import processes
from tests.common import builders


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "gingerturn", *arguments],
        env={**os.environ, "PYTHONPATH": str(processes.ROOT / "src")},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_version_is_printed() -> None:
    assert _run("--version").stdout.startswith("gingerturn, version 0.")


def test_check_names_file_line_value_and_what_is_allowed(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "shop.toml"
    path.write_text(builders.DOCUMENT)
    assert _run("config", "check", str(path)).returncode == 0
    listed = json.loads(_run("config", "check", "--json", str(path)).stdout)
    assert listed["services"] == ["plans", "porting"]
    path.write_text(builders.DOCUMENT.replace("timeout_ms = 5000", "timeout_ms = 0"))
    refused = _run("config", "check", str(path))
    assert refused.returncode == 2
    line = builders.DOCUMENT[: builders.DOCUMENT.index("timeout_ms = 5000")].count("\n")
    assert f"shop.toml:{line + 1}: timeout_ms is 0; allowed is 1 to" in refused.stderr
    assert "Traceback" not in refused.stderr


def test_a_missing_file_and_an_unreachable_node_are_reported(
    tmp_path: pathlib.Path,
) -> None:
    missing = _run("config", "check", str(tmp_path / "none.toml"))
    assert (missing.returncode, "cannot be read" in missing.stderr) == (2, True)
    settings = _run("node", "--settings", str(tmp_path / "none.toml"))
    assert (settings.returncode, "cannot be read" in settings.stderr) == (2, True)
    unreachable = _run("status", "--admin", "http://127.0.0.1:9")
    assert unreachable.returncode == 6
    assert "is the node running" in unreachable.stderr


def test_publish_diff_show_history_and_audit(
    cluster: processes.Cluster, tmp_path: pathlib.Path
) -> None:
    admin = ("--admin", cluster.nodes["plans-1"].admin)
    path = tmp_path / "bulk.toml"
    path.write_text('[[service]]\nname = "bulk"\n')
    accepted = _run("config", "publish", "bulk", str(path), "--author", "ana", *admin)
    assert accepted.returncode == 0, accepted.stderr
    assert "Accepted as revision" in accepted.stdout
    path.write_text('[[service]]\nname = "bulk2"\n')
    assert '+name = "bulk2"' in _run("config", "diff", "bulk", str(path), *admin).stdout
    conflict = _run(
        *("config", "publish", "bulk", str(path), "--author", "bo", "--base", "0"),
        *admin,
    )
    assert conflict.returncode == 4
    assert "conflict" in conflict.stderr
    assert 'name = "bulk"' in _run("config", "show", "bulk", *admin).stdout
    history = json.loads(_run("config", "history", "--json", *admin).stdout)
    assert history[-1]["subject"] == "bulk"
    deadline = time.monotonic() + 5
    while "ana publish bulk: accepted" not in _run("audit", *admin).stdout:
        assert time.monotonic() < deadline


def test_status_and_why_from_any_node(cluster: processes.Cluster) -> None:
    first, second = cluster.nodes["plans-1"], cluster.nodes["porting-1"]
    status = _run("status", "--admin", first.admin)
    assert status.returncode == 0
    assert "porting-1" in status.stdout
    reply = httpx.get(
        second.entry + "/status", headers={"host": "plans"}, trust_env=False
    )
    decision = reply.headers["gingerturn-decision"]
    for node in cluster.nodes.values():
        result = _run("why", decision, "--admin", node.admin)
        assert "Dispatched to the backend server." in result.stdout
    gone = _run("why", "plans-1:ffffff", "--admin", second.admin)
    assert gone.returncode == 4
    assert "not held" in gone.stderr


def test_a_recorded_node_replays_to_the_same_digest(tmp_path: pathlib.Path) -> None:
    with processes.Cluster(tmp_path) as made:
        record = tmp_path / "trace"
        node = made.add(
            "plans-1", service="plans", zone="bne-a", options=("--record", str(record))
        )
        made.wait_ready(members=1)
        for _ in range(5):
            httpx.get(node.entry + "/", headers={"host": "plans"}, trust_env=False)
        node.node.send_signal(signal.SIGTERM)
        assert node.node.wait(timeout=15) == 0
    replayed = _run("replay", str(record)).stdout
    (digest,) = re.findall(r"digest (\w{32})", replayed)
    assert f"digest {digest}." in (tmp_path / "plans-1.log").read_text()


@pytest.mark.parametrize("content", [b"\x00\x00\x00\x05hello", b"\x00\x00\x00\x01\x90"])
def test_an_invalid_trace_is_reported(tmp_path: pathlib.Path, content: bytes) -> None:
    path = tmp_path / "trace"
    path.write_bytes(content)
    result = _run("replay", str(path))
    assert result.returncode == 2
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize("which", ["calls_port", "peers_port", "admin_port"])
def test_a_node_whose_address_is_in_use_reports_it_and_exits(
    which: str, tmp_path: pathlib.Path
) -> None:
    with socket.socket() as taken, processes.Cluster(tmp_path) as cluster:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        added = cluster.add("n1", service="plans", zone="a", wait=False, backend=False)
        added.node.kill()
        added.node.wait(timeout=10)
        path = tmp_path / "n1.toml"
        lines = path.read_text().splitlines()
        path.write_text(
            "\n".join(f"{which} = {port}" if which in line else line for line in lines)
        )
        again = cluster._spawn(
            "again", "-m", "gingerturn", "node", "--settings", str(path)
        )
        assert again.wait(timeout=20) == launch.EXIT_NOT_STARTED
        result = (tmp_path / "again.log").read_text()
        assert f"listen, 127.0.0.1:{port}: cannot listen" in result


def test_a_node_that_does_not_start_is_named(tmp_path: pathlib.Path) -> None:
    with processes.Cluster(tmp_path) as cluster:
        added = cluster.add("n1", service="plans", zone="a", wait=False, backend=False)
        added.node.kill()
        with pytest.raises(processes.NotStarted, match="n1 did not come up"):
            cluster.wait_up(added)
