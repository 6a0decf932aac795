"""Real nodes on the stand-in of the platform: the whole path and its faults."""

import collections.abc
import concurrent.futures
import contextlib
import json
import pathlib
import signal

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
    """Three machines, with two routes in force."""
    with platform_processes.Platform(tmp_path) as made:
        made.configure(ROUTE, PORT)
        made.add("plans-1", service="plans")
        made.add("plans-2", service="plans")
        made.add("porting-1", service="porting")
        made.wait_ready()
        yield made


def _ask(
    machine: platform_processes.Machine,
    number: str,
    *,
    path: str = "/a/x?y=1",
    method: str = "GET",
    content: bytes = b"",
) -> httpx.Response:
    headers = {
        "Host": "shop.example",
        "Request-Id": number,
        "Deadline-Ms": "2000",
        "Caller-Service": "forged",
        "Expected-Instance": "forged",
    }
    with httpx.Client(trust_env=False, timeout=10.0) as client:
        return client.request(
            method, machine.entry + path, headers=headers, content=content
        )


def _runs(made: platform_processes.Platform, number: str) -> int:
    return sum(m.counts()["runs"].get(number, 0) for m in made.machines.values())


def test_a_request_is_served_from_end_to_end(
    platform: platform_processes.Platform,
) -> None:
    reply = _ask(platform.machines["porting-1"], "q1")
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
    reply = _ask(
        platform.machines["plans-1"], "q2", path="/p/", method="POST", content=body
    )
    assert reply.content == body, reply.text
    assert _runs(platform, "q2") == 1


def test_a_change_of_the_configuration_is_in_force_everywhere(
    platform: platform_processes.Platform,
) -> None:
    moved = {**ROUTE, "service_name": "porting"}
    platform.configure(moved, {**ROUTE, "name": "r-new", "path_prefix": "/n/"})
    for machine in platform.machines.values():
        platform.wait_until(lambda m=machine: _ask(m, "n1", path="/n/").is_success)
        assert _ask(machine, "n2").content.startswith(b"porting")
        assert _ask(machine, "n3", path="/p/").status_code == 404


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
            assert _ask(machine, f"d{number}.{machine.name}").status_code == 200
    assert sum(leaving.counts()["runs"].values()) == before


def test_another_instance_at_the_address_runs_nothing(
    platform: platform_processes.Platform,
) -> None:
    platform.machines["porting-1"].tell_upstream(instance="i-other", silent=True)
    reply = _ask(platform.machines["plans-1"], "m1", path="/p/", method="POST")
    assert reply.status_code == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert _runs(platform, "m1") == 0


def test_a_full_upstream_is_passed_over_and_nothing_runs_twice(
    platform: platform_processes.Platform,
) -> None:
    platform.machines["plans-1"].tell_upstream(refuse=True)
    answers = [_ask(platform.machines["porting-1"], f"f{n}") for n in range(8)]
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
        asked = [pool.submit(_ask, stopping, f"s{number}") for number in range(8)]
        platform.wait_until(
            lambda: sum(_runs(platform, f"s{number}") for number in range(8)) >= 4
        )
        stopping.node.send_signal(signal.SIGTERM)
        platform.wait_until(lambda: not stopping.ready())
        late = _ask(stopping, "s-late")
        assert [reply.result().status_code for reply in asked] == [200] * 8
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
    assert _ask(machine, "h1").status_code == 200


def test_settings_that_change_without_a_signal_are_noticed(
    platform: platform_processes.Platform,
) -> None:
    path = platform.folder / "plans-1.json"
    told = json.loads(path.read_text())
    path.write_text("{")
    platform.wait_until(lambda: "Settings refused" in platform.log_of("plans-1"))
    told["bounds"]["retry_budget_slack"] = 7
    path.write_text(json.dumps(told))
    platform.wait_until(lambda: "Settings read again" in platform.log_of("plans-1"))
    assert _ask(platform.machines["plans-1"], "h2").status_code == 200


def _why(made: platform_processes.Platform, wanted: str) -> explain.Story:
    """Explain a request from the logs of all nodes, once they tell how it ended."""

    def story() -> explain.Story:
        paths = [made.folder / f"{name}.log" for name in made.machines]
        with contextlib.ExitStack() as stack:
            files = [stack.enter_context(path.open("rb")) for path in paths]
            return explain.explain(explain.read(files), wanted)

    made.wait_until(lambda: story().end is not None)
    return story()


def test_a_failed_request_is_explained_by_the_logs_alone(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["plans-1"]
    upstream = platform.machines["porting-1"]

    def ask(number: str) -> tuple[int, explain.Line]:
        reply = _ask(entry, number, path="/p/", method="POST")
        by_id = _why(platform, number)
        assert by_id == _why(platform, reply.headers["Gingerturn-Decision"])
        assert by_id.cause is not None
        return reply.status_code, by_id.cause

    upstream.tell_upstream(refuse=True)
    status, cause = ask("e-refused")
    assert (status, cause.rule, cause.node) == (503, "backend_refused", "porting-1")
    upstream.tell_upstream(refuse=False, cut=True)
    status, cause = ask("e-unclear")
    assert (status, cause.rule, cause.node) == (502, "outcome_unknown", "porting-1")
    upstream.tell_upstream(cut=False, work_ms=60_000)
    status, cause = ask("e-late")
    assert (status, cause.rule, cause.node) == (504, "deadline_passed", "porting-1")


def test_the_command_line_tells_what_the_metrics_say(
    platform: platform_processes.Platform, tmp_path: pathlib.Path
) -> None:
    machine = platform.machines["plans-1"]
    assert _ask(machine, "st1").status_code == 200
    saved = tmp_path / "page"
    saved.write_text(machine.metrics())
    told = testing.CliRunner().invoke(
        main.cli,
        ["status", "--metrics", machine.metrics_url, "--metrics", str(saved)],
    )
    assert told.exit_code == 0, told.output
    assert told.output.count("ready, routes version 3, 3 members, 3 upstreams") == 2
    assert "answered 1," in told.output


def test_a_recorded_node_replays_to_the_same_effects(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    for number in range(5):
        _ask(machine, f"r{number}")
    machine.node.send_signal(signal.SIGTERM)
    assert machine.node.wait(timeout=10) == 0
    with platform.recording_path("plans-1").open("rb") as source:
        replayed = trace.digest(trace.replay(trace.read(source)))
    assert f"digest {replayed}." in platform.log_of("plans-1")


# Guards against readers that ask for ever for an offset which a restored store lacks.
def test_a_store_that_is_restored_is_followed_and_joined_again(
    platform: platform_processes.Platform,
) -> None:
    platform.back_up_store()
    for _ in range(3):
        lost = platform.configure(ROUTE, PORT)
        _wait_version(platform, lost)
    platform.restore_store()
    # The store is shorter than before by two records.
    moved = {**ROUTE, "service_name": "porting"}
    _wait_version(platform, platform.configure(moved, PORT))
    for machine in platform.machines.values():
        assert _ask(machine, f"r-{machine.name}").content.startswith(b"porting")
        assert "gingerturn_log_epoch 2\n" in machine.metrics()
    platform.add("plans-3", service="plans")
    platform.wait_ready()


def _wait_version(platform: platform_processes.Platform, version: int) -> None:
    line = f"gingerturn_route_version {version}\n"
    machines = platform.machines.values()
    platform.wait_until(lambda: all(line in m.metrics() for m in machines))


def test_the_store_away_changes_nothing_for_requests_and_is_caught_up_later(
    platform: platform_processes.Platform,
) -> None:
    platform.fault(down=True)
    for machine in platform.machines.values():
        assert _ask(machine, f"o.{machine.name}").status_code == 200
    platform.configure(ROUTE, PORT, {**ROUTE, "name": "r-n", "path_prefix": "/n/"})
    platform.fault(down=False)
    for machine in platform.machines.values():
        platform.wait_until(lambda m=machine: _ask(m, "o1", path="/n/").is_success)


def _kill(machine: platform_processes.Machine) -> None:
    machine.node.kill()
    machine.node.wait(timeout=10)


def test_nodes_started_while_the_store_is_away_say_so_and_join_later(
    platform: platform_processes.Platform,
) -> None:
    # All of them: from a node that was left running the others hear all they need.
    for machine in platform.machines.values():
        _kill(machine)
    platform.fault(down=True)
    for name, machine in platform.machines.items():
        machine.node = platform.start_node(name)
    for name, machine in platform.machines.items():
        # The log goes on in the same file: the second start is what is waited for.
        platform.wait_until(lambda n=name: platform.log_of(n).count("is up") == 2)
        reply = _ask(machine, f"w1.{name}")
        assert reply.status_code == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert not machine.ready()
    platform.fault(down=False)
    platform.wait_ready()
    assert _ask(platform.machines["plans-1"], "w2").status_code == 200


def test_a_node_started_while_the_store_is_away_serves_by_what_its_peers_tell(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    _kill(machine)
    platform.fault(down=True)
    # By then the peers' own records have long ceased to ride along with their pings.
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
    assert _ask(platform.machines["plans-3"], "l1").status_code == 200


def _answers(machine: platform_processes.Machine, status: int) -> bool:
    try:
        return _ask(machine, "probe").status_code == status
    except httpx.HTTPError:
        return False
