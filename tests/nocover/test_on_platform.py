"""Real nodes on the stand-in of the platform: requests, faults and restarts."""

import collections.abc
import concurrent.futures
import contextlib
import itertools
import json
import pathlib
import signal
import time

import httpx
import pytest
from click import testing

from gingerturn import explain
from gingerturn.cli import main
from gingerturn.internal.core import trace
from gingerturn_standins import platform_processes

ROUTE = {
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
PORT = {
    **ROUTE,
    "name": "r-port",
    "path_prefix": "/p/",
    "route_type": "non_idempotent",
    "service_name": "porting",
    "priority": 0,
}


@pytest.fixture
def platform(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start three machines with two routes in force."""
    with platform_processes.Platform(tmp_path) as made:
        made.configure(ROUTE, PORT)
        made.add("plans-1", service="plans")
        made.add("plans-2", service="plans")
        made.add("porting-1", service="porting")
        made.wait_ready()
        yield made


def _request(
    machine: platform_processes.Machine,
    number: str,
    *,
    path: str = "/a/x?y=1",
    method: str = "GET",
    content: bytes = b"",
    key: str = "",
) -> httpx.Response:
    headers = {
        "Host": "shop.example",
        "Request-Id": number,
        "Deadline-Ms": "2000",
        "Caller-Service": "forged",
        "Expected-Instance": "forged",
    }
    if key:
        headers["Idempotency-Key"] = key
    with httpx.Client(trust_env=False, timeout=10.0) as client:
        return client.request(
            method, machine.entry + path, headers=headers, content=content
        )


def _runs(made: platform_processes.Platform, number: str) -> int:
    return sum(m.counts()["runs"].get(number, 0) for m in made.machines.values())


def test_a_request_is_served_from_end_to_end(
    platform: platform_processes.Platform,
) -> None:
    reply = _request(platform.machines["porting-1"], "q1")
    assert reply.status_code == 200
    assert reply.content == b"plans /a/x?y=1"
    assert reply.headers["Response-Signature"] == "signed.q1"
    assert reply.headers["Request-Id"] == "q1"
    (server,) = [m for m in platform.machines.values() if m.counts()["runs"].get("q1")]
    last = server.counts()["last"]
    assert last["caller-service"] == "porting"
    assert last["expected-instance"] == f"i-{server.name}"
    assert 0 < int(last["deadline-ms"]) <= 2000


def test_a_body_and_its_answer_pass_unchanged(
    platform: platform_processes.Platform,
) -> None:
    body = bytes(range(256)) * 50
    reply = _request(
        platform.machines["plans-1"], "q2", path="/p/", method="POST", content=body
    )
    assert reply.content == body, reply.text
    assert _runs(platform, "q2") == 1


# Guards against a key that is claimed where nothing serves claims: the request failed.
def test_an_idempotency_key_is_forwarded_like_other_headers(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["plans-1"]
    key = "019af9a8-7c1e-7b6a-9d51-3f2c4b5a6d7e"
    reply = _request(entry, "q3", path="/p/", method="POST", content=b"x", key=key)
    assert reply.status_code == 200, reply.text
    last = platform.machines["porting-1"].counts()["last"]
    assert last["idempotency-key"] == key  # type: ignore[comparison-overlap]


def test_a_change_of_the_configuration_is_in_force_everywhere(
    platform: platform_processes.Platform,
) -> None:
    moved = {**ROUTE, "service_name": "porting"}
    platform.configure(moved, {**ROUTE, "name": "r-new", "path_prefix": "/n/"})
    for machine in platform.machines.values():
        platform.wait_until(lambda m=machine: _request(m, "n1", path="/n/").is_success)
        assert _request(machine, "n2").content.startswith(b"porting")
        # 503 while the node has had no news of the log for too long.
        assert _request(machine, "n3", path="/p/").status_code in {404, 503}
        platform.wait_until(
            lambda m=machine: _request(m, "n4", path="/p/").status_code == 404
        )


def test_a_leaving_upstream_gets_no_new_work(
    platform: platform_processes.Platform,
) -> None:
    leaving = platform.machines["plans-1"]
    leaving.tell_upstream(state="draining")
    platform.wait_until(
        lambda: "draining" in leaving.counts()["acknowledged"]  # type: ignore[operator]
    )
    before = sum(leaving.counts()["runs"].values())
    for number in range(20):
        for machine in platform.machines.values():
            assert _request(machine, f"d{number}.{machine.name}").status_code == 200
    assert sum(leaving.counts()["runs"].values()) == before


# Guards against a reported rate limit that no node applies.
def test_a_rate_limit_in_answers_bounds_what_an_upstream_gets(
    platform: platform_processes.Platform,
) -> None:
    limited, other = platform.machines["plans-1"], platform.machines["plans-2"]
    limited.tell_upstream(limit="1.5")
    entry = platform.machines["porting-1"]
    _serve_until(platform, entry, limited, "limited")
    assert "reports a rate limit of 1.5" in platform.log_of("plans-1")
    before = sum(limited.counts()["runs"].values())
    began = time.monotonic()
    for number in range(60):
        assert _request(entry, f"rl{number}").status_code == 200
    elapsed = time.monotonic() - began
    assert sum(limited.counts()["runs"].values()) - before <= 1.5 * elapsed + 2
    assert sum(other.counts()["runs"].values()) >= 40
    assert "gingerturn_backend_rate_limit 1.5" in limited.metrics()


# Guards against a node that forgets the limit of its upstream when it restarts.
def test_a_restarted_node_is_told_of_the_rate_limit(
    platform: platform_processes.Platform,
) -> None:
    limited, entry = platform.machines["plans-1"], platform.machines["porting-1"]
    limited.tell_upstream(limit="0")
    _serve_until(platform, entry, limited, "told")
    _kill(limited)
    limited.node = platform.start_node("plans-1")
    platform.wait_ready()
    before = sum(limited.counts()["runs"].values())
    began = time.monotonic()
    for number in range(60):
        assert _request(entry, f"rt{number}").status_code == 200
    # A call in four seconds is still sent, so that the end of the limit is seen.
    elapsed = time.monotonic() - began
    assert sum(limited.counts()["runs"].values()) - before <= 0.25 * elapsed + 2


# Guards against an upstream that leaves without a heartbeat and still gets calls.
def test_an_upstream_that_reports_leaving_in_answers_gets_no_new_work(
    platform: platform_processes.Platform,
) -> None:
    leaving, entry = platform.machines["plans-1"], platform.machines["porting-1"]
    leaving.tell_upstream(leaving=True)
    _serve_until(platform, entry, leaving, "leaving")
    before = sum(leaving.counts()["runs"].values())
    for number in range(20):
        for machine in platform.machines.values():
            assert _request(machine, f"lv{number}.{machine.name}").status_code == 200
    assert sum(leaving.counts()["runs"].values()) == before
    assert "is leaving" in platform.log_of("plans-1")


def _serve_until(
    made: platform_processes.Platform,
    entry: platform_processes.Machine,
    wanted: platform_processes.Machine,
    prefix: str,
) -> None:
    """Send requests until an upstream has answered one."""
    numbers = itertools.count()
    made.wait_until(
        lambda: (
            _request(entry, f"{prefix}{next(numbers)}").headers.get("Instance-Id")
            == f"i-{wanted.name}"
        )
    )


def test_another_instance_at_the_address_runs_nothing(
    platform: platform_processes.Platform,
) -> None:
    platform.machines["porting-1"].tell_upstream(instance="i-other", silent=True)
    reply = _request(platform.machines["plans-1"], "m1", path="/p/", method="POST")
    assert reply.status_code == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert _runs(platform, "m1") == 0


def test_a_full_upstream_is_avoided_and_nothing_runs_twice(
    platform: platform_processes.Platform,
) -> None:
    platform.machines["plans-1"].tell_upstream(refuse=True)
    answers = [_request(platform.machines["porting-1"], f"f{n}") for n in range(8)]
    assert all(reply.status_code in {200, 503} for reply in answers)
    assert any(reply.status_code == 200 for reply in answers)
    for number, reply in enumerate(answers):
        assert _runs(platform, f"f{number}") == (reply.status_code == 200)


def test_a_planned_stop_under_load_cuts_nothing(
    platform: platform_processes.Platform,
) -> None:
    stopping = platform.machines["plans-1"]
    stopping.tell_upstream(work_ms=300)
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        pending = [pool.submit(_request, stopping, f"s{number}") for number in range(8)]
        platform.wait_until(
            lambda: sum(_runs(platform, f"s{number}") for number in range(8)) >= 4
        )
        stopping.node.send_signal(signal.SIGTERM)
        platform.wait_until(lambda: not stopping.ready())
        late = _request(stopping, "s-late")
        assert [reply.result().status_code for reply in pending] == [200] * 8
    assert late.status_code == 200
    assert stopping.node.wait(timeout=10) == 0


def test_sighup_and_bad_settings_leave_the_process_serving(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    path = platform.folder / "plans-1.json"
    good = path.read_text()
    path.write_text("{")
    machine.node.send_signal(signal.SIGHUP)
    platform.wait_until(lambda: "Settings refused" in platform.log_of("plans-1"))
    path.write_text(good)
    machine.node.send_signal(signal.SIGHUP)
    platform.wait_until(lambda: "Settings read again" in platform.log_of("plans-1"))
    assert _request(machine, "h1").status_code == 200


def test_settings_that_change_without_a_signal_are_noticed(
    platform: platform_processes.Platform,
) -> None:
    path = platform.folder / "plans-1.json"
    boot = json.loads(path.read_text())
    path.write_text("{")
    platform.wait_until(lambda: "Settings refused" in platform.log_of("plans-1"))
    boot["bounds"]["retry_budget_slack"] = 7
    path.write_text(json.dumps(boot))
    platform.wait_until(lambda: "Settings read again" in platform.log_of("plans-1"))
    assert _request(platform.machines["plans-1"], "h2").status_code == 200


def _why(made: platform_processes.Platform, request: str) -> explain.Explanation:
    """Explain a request from the logs of all nodes once they contain its end."""

    def story() -> explain.Explanation:
        paths = [made.folder / f"{name}.log" for name in made.machines]
        with contextlib.ExitStack() as stack:
            files = [stack.enter_context(path.open("rb")) for path in paths]
            return explain.explain(explain.read(files), request)

    made.wait_until(lambda: story().end is not None)
    return story()


def test_a_failed_request_is_explained_by_the_logs_alone(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["plans-1"]
    upstream = platform.machines["porting-1"]

    def fail(number: str) -> tuple[int, explain.Line]:
        reply = _request(entry, number, path="/p/", method="POST")
        by_id = _why(platform, number)
        assert by_id == _why(platform, reply.headers["Gingerturn-Decision"])
        assert by_id.cause is not None
        return reply.status_code, by_id.cause

    upstream.tell_upstream(refuse=True)
    status, cause = fail("e-refused")
    assert (status, cause.rule, cause.node) == (503, "backend_refused", "porting-1")
    upstream.tell_upstream(refuse=False, cut=True)
    status, cause = fail("e-unclear")
    assert (status, cause.rule, cause.node) == (502, "outcome_unknown", "porting-1")
    upstream.tell_upstream(cut=False, work_ms=60_000)
    status, cause = fail("e-late")
    assert (status, cause.rule, cause.node) == (504, "deadline_passed", "porting-1")


def test_the_command_line_summarizes_the_metrics(
    platform: platform_processes.Platform, tmp_path: pathlib.Path
) -> None:
    machine = platform.machines["plans-1"]
    assert _request(machine, "st1").status_code == 200
    saved = tmp_path / "page"
    saved.write_text(machine.metrics())
    result = testing.CliRunner().invoke(
        main.cli,
        ["status", "--metrics", machine.metrics_url, "--metrics", str(saved)],
    )
    assert result.exit_code == 0, result.output
    assert result.output.count("ready, routes version 3, 3 members, 3 upstreams") == 2
    assert "answered 1," in result.output


def test_a_recorded_node_replays_to_the_same_effects(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    for number in range(5):
        _request(machine, f"r{number}")
    machine.node.send_signal(signal.SIGTERM)
    assert machine.node.wait(timeout=10) == 0
    with platform.recording_path("plans-1").open("rb") as source:
        replayed = trace.digest(trace.replay(trace.read(source)))
    assert f"digest {replayed}." in platform.log_of("plans-1")


# Guards against readers that poll forever for an offset beyond a restored store.
def test_a_store_that_is_restored_is_followed_and_joined_again(
    platform: platform_processes.Platform,
) -> None:
    platform.back_up_store()
    for _ in range(3):
        lost = platform.configure(ROUTE, PORT)
        _wait_version(platform, lost)
    platform.restore_store()
    # With one new record, the store still ends two records before the readers.
    moved = {**ROUTE, "service_name": "porting"}
    _wait_version(platform, platform.configure(moved, PORT))
    for machine in platform.machines.values():
        assert _request(machine, f"r-{machine.name}").content.startswith(b"porting")
        assert "gingerturn_log_epoch 2\n" in machine.metrics()
    platform.add("plans-3", service="plans")
    platform.wait_ready()


def _wait_version(platform: platform_processes.Platform, version: int) -> None:
    line = f"gingerturn_route_version {version}\n"
    machines = platform.machines.values()
    platform.wait_until(lambda: all(line in m.metrics() for m in machines))


def test_a_store_outage_affects_no_request_and_updates_follow_later(
    platform: platform_processes.Platform,
) -> None:
    platform.fault(down=True)
    for machine in platform.machines.values():
        assert _request(machine, f"o.{machine.name}").status_code == 200
    platform.configure(ROUTE, PORT, {**ROUTE, "name": "r-n", "path_prefix": "/n/"})
    platform.fault(down=False)
    for machine in platform.machines.values():
        platform.wait_until(lambda m=machine: _request(m, "o1", path="/n/").is_success)


def _kill(machine: platform_processes.Machine) -> None:
    machine.node.kill()
    machine.node.wait(timeout=10)


def test_nodes_started_during_a_store_outage_are_not_ready_and_join_later(
    platform: platform_processes.Platform,
) -> None:
    # All nodes restart: a running node would give its state to the others.
    for machine in platform.machines.values():
        _kill(machine)
    platform.fault(down=True)
    for name, machine in platform.machines.items():
        machine.node = platform.start_node(name)
    for name, machine in platform.machines.items():
        # Both starts write to the same log file.
        platform.wait_until(lambda n=name: platform.log_of(n).count("is up") == 2)
        reply = _request(machine, f"w1.{name}")
        assert reply.status_code == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert not machine.ready()
    platform.fault(down=False)
    platform.wait_ready()
    assert _request(platform.machines["plans-1"], "w2").status_code == 200


def test_a_node_started_during_a_store_outage_serves_with_state_of_its_peers(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    _kill(machine)
    platform.fault(down=True)
    # By then the peers no longer piggyback their own records on pings.
    platform.wait_until(lambda: "plans-1 is gone" in platform.log_of("plans-2"))
    machine.node = platform.start_node("plans-1")
    platform.wait_until(lambda: _answers(machine, 200))
    platform.fault(down=False)
    platform.wait_ready()


def test_a_lost_acknowledgement_of_the_own_record_does_no_harm(
    platform: platform_processes.Platform,
) -> None:
    platform.fault(lose_answers=1)
    platform.add("plans-3", service="plans")
    platform.wait_ready()
    assert _request(platform.machines["plans-3"], "l1").status_code == 200


def _answers(machine: platform_processes.Machine, status: int) -> bool:
    try:
        return _request(machine, "probe").status_code == status
    except httpx.HTTPError:
        return False
