"""Conversion of the platform's formats, and errors for invalid input."""

import json
import pathlib

import pytest

from gingerturn import errors, log_service, routes
from gingerturn.internal.shell import process
from gingerturn_platform import beats, boot, configs, store

CONFIG = {
    "version": "0000001c",
    "routes": [
        {
            "name": "r-1",
            "hostname": "Shop.example",
            "path_prefix": "/a/",
            "route_type": "non_idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 1500,
            "priority": 0,
            "service_name": "plans",
            "max_attempts": 2,
        },
        {
            "name": "r-2",
            "hostname": "shop.example",
            "path_prefix": "/b/",
            "route_type": "download",
            "timeout_ms": 5000,
            "target_latency_ms": 1200,
            "priority": 2,
            "traffic_split": [
                {"service_name": "plans", "weight": 90},
                {"service_name": "other", "weight": 10},
            ],
            "max_attempts": 1,
        },
    ],
    "services": [{"name": "plans", "max_connections": 9}],
    "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "idle_timeout_ms": 3},
}

BEAT = {
    "address": "10.0.0.7:8080",
    "node_info": {"service_name": "plans", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining_ms": 120},
}

BOOT = {
    "node_id": "n-1",
    "ip": "10.0.0.7",
    "zone": "a",
    "region": "r",
    "listen": {
        "inbound": "10.0.0.7:1",
        "outbound": "10.0.0.7:2",
        "ready": "10.0.0.7:3",
        "control": "10.0.0.7:4",
    },
    "port_range": [7620, 7635],
    "bounds": {"grace_s": 6, "retry_budget_slack": 49},
    "service_name": "plans",
    "platform_config": {"address": "10.9.0.1:8309", "form": "log"},
    "a_new_field": [1, 2],
}


def test_a_configuration_becomes_a_table_by_hexadecimal_version() -> None:
    table = routes.check_table(configs.decode(json.dumps(CONFIG).encode()), origin="op")
    assert table.version == 28
    one, two = table.routes
    assert (one.host, one.type) == ("shop.example", routes.RouteType.UNREPEATABLE)
    assert one.shares == (routes.Share("plans", 1),)
    assert two.shares == (routes.Share("plans", 90), routes.Share("other", 10))
    assert table.limits.idle_timeout_ms == 3


@pytest.mark.parametrize(
    ("content", "named"),
    [
        (b"{", "no configuration"),
        (b'{"routes": []}', "version"),
        (b'{"version": "xyz", "routes": []}', "xyz"),
        (b'{"version": "01", "routes": [{"name": 5}]}', "routes"),
    ],
)
def test_a_bad_configuration_names_what_is_wrong(content: bytes, named: str) -> None:
    with pytest.raises(errors.InvalidDocument, match=named):
        configs.decode(content)


def test_a_bad_configuration_on_the_log_is_skipped() -> None:
    whole = json.dumps(CONFIG).encode()
    bad = store._converted("routes", log_service.Entry(b"config", b"{", offset=4))
    assert (bad.key, bad.value, bad.offset) == (b"config", b"", 4)
    assert "no configuration" in bad.problem
    other = store._converted("routes", log_service.Entry(b"else", whole))
    assert (other.value, other.problem) == (b"", "")
    good = store._converted("routes", log_service.Entry(b"config", whole))
    assert b'"version":28' in good.value
    assert not good.problem


def test_a_heartbeat_becomes_an_announcement() -> None:
    announced = beats.decode("i-1", json.dumps(BEAT).encode())
    assert (announced.instance, announced.sequence) == ("i-1", 4)
    assert (announced.host, announced.port, announced.slots) == ("10.0.0.7", 8080, 9)
    assert announced.cold
    assert not announced.leaving


def test_a_draining_heartbeat_is_leaving() -> None:
    status = {**BEAT["status"], "state": "draining"}  # type: ignore[dict-item]
    assert beats.decode("i-1", json.dumps({**BEAT, "status": status}).encode()).leaving


@pytest.mark.parametrize("missing", ["address", "node_info", "status"])
def test_a_heartbeat_without_a_field_names_it(missing: str) -> None:
    content = {key: value for key, value in BEAT.items() if key != missing}
    with pytest.raises(errors.InvalidArgument, match=missing):
        beats.decode("i-1", json.dumps(content).encode())


def test_the_settings_file_becomes_settings(tmp_path: pathlib.Path) -> None:
    chosen = boot.to_settings(boot.load(_written(tmp_path, BOOT)))
    assert chosen.node.calls_port == 2
    assert chosen.node.gossip_port == 7620
    assert chosen.log.url == "http://10.9.0.1:8309"
    assert chosen.log.keyed and chosen.routing.table
    assert chosen.retries.slack == 49.0


def test_the_metrics_port_is_the_one_that_the_deploy_file_names() -> None:
    text = (pathlib.Path(__file__).parents[2] / "deploy" / "system.toml").read_text()
    assert f'metrics = "{7620 + boot.METRICS_PORT_OFFSET}/metrics"' in text


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"ip": "host.example"}, "host is 'host.example'"),
        ({"node_id": "Bad Name"}, "id is 'Bad Name'"),
        ({"port_range": [0, 1]}, "gossip_port is 0"),
        ({"listen": {**BOOT["listen"], "ready": "x"}}, "port"),  # type: ignore[dict-item]
    ],
)
def test_a_bad_settings_file_names_field_and_value(
    change: dict[str, object], named: str, tmp_path: pathlib.Path
) -> None:
    content = {**BOOT, **change}
    if "listen" in change:
        # An address without a port disables the readiness probe.
        assert (
            boot.to_settings(boot.load(_written(tmp_path, content))).node.ready_port
            == 0
        )
        return
    with pytest.raises(errors.InvalidDocument, match=named):
        boot.to_settings(boot.load(_written(tmp_path, content)))


@pytest.mark.parametrize("value", ["x", "-1", "65536", ""])
def test_a_bad_advertised_port_names_variable_and_value(
    value: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(process.ADVERTISE_VARIABLE, value)
    with pytest.raises(errors.InvalidDocument, match=f"{value!r}; allowed is 0 to"):
        process.advertised_port()


def test_the_advertised_port_is_taken_from_its_variable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv(process.ADVERTISE_VARIABLE, "7001")
    assert process.advertised_port() == 7001
    monkeypatch.delenv(process.ADVERTISE_VARIABLE)
    assert process.advertised_port() == 0


def test_a_settings_file_without_a_field_names_it(tmp_path: pathlib.Path) -> None:
    content = {key: value for key, value in BOOT.items() if key != "listen"}
    with pytest.raises(errors.InvalidDocument, match="listen"):
        boot.load(_written(tmp_path, content))


def test_a_settings_file_that_is_not_there_is_named(tmp_path: pathlib.Path) -> None:
    with pytest.raises(errors.InvalidDocument, match="nowhere"):
        boot.load(tmp_path / "nowhere")


def _written(folder: pathlib.Path, content: dict[str, object]) -> pathlib.Path:
    path = folder / "boot.json"
    path.write_text(json.dumps(content))
    return path


def _with_workspaces(*workspaces: object) -> bytes:
    return json.dumps({**CONFIG, "tenants": list(workspaces)}).encode()


def test_workspaces_are_taken_with_digests_of_their_keys() -> None:
    content = _with_workspaces(
        {"name": "shop", "api_keys": ["k1", "k2"], "rate_per_s": 5, "burst": 9},
        {"name": "depot", "api_keys": [], "priority": 2, "burst": 4},
    )
    table = routes.check_table(configs.decode(content), origin="op")
    assert table.workspaces is not None
    shop, depot = table.workspaces
    assert shop.key_digests == (routes.key_digest(b"k1"), routes.key_digest(b"k2"))
    assert (shop.rate, shop.burst, shop.priority) == (5.0, 9.0, None)
    # On the platform a burst without a rate is ignored.
    assert (depot.rate, depot.burst, depot.priority) == (0.0, 0.0, 2)


def test_missing_workspaces_differ_from_an_empty_list() -> None:
    assert configs.decode(json.dumps(CONFIG).encode()).workspaces is None
    assert configs.decode(_with_workspaces()).workspaces == ()


@pytest.mark.parametrize(
    ("workspace", "named"),
    [
        ({"name": "shop", "api_keys": "k1"}, r"tenants\[0\].api_keys"),
        ({"name": "shop", "api_keys": [""]}, r"api_keys\[0\]"),
        ({"name": "shop", "api_keys": [5]}, r"api_keys\[0\]"),
        ({"api_keys": ["k1"]}, "name"),
        ({"name": "shop", "rate_per_s": "much"}, "rate_per_s"),
    ],
)
def test_a_bad_workspace_names_what_is_wrong(workspace: object, named: str) -> None:
    with pytest.raises(errors.InvalidDocument, match=named):
        configs.decode(_with_workspaces(workspace))


def test_five_thousand_workspaces_are_taken() -> None:
    workspaces = [
        {"name": f"w{n}", "api_keys": [f"k{n}", f"l{n}"]} for n in range(5_000)
    ]
    table = routes.check_table(
        configs.decode(_with_workspaces(*workspaces)), origin="op"
    )
    index = routes.RouteIndex(table)
    found = index.workspace_of(routes.key_digest(b"l4999"))
    assert found is not None
    assert found.name == "w4999"


def test_bounds_on_workspaces_come_from_the_settings(tmp_path: pathlib.Path) -> None:
    bounds = {
        "fail_closed": True,
        "revoke_ms": 5_000,
        "quota_window_s": 4,
        "quota_over": 0.2,
        "quota_slack": 7,
    }
    chosen = boot.to_settings(
        boot.load(_written(tmp_path, {**BOOT, "bounds": bounds}))
    ).workspaces
    assert chosen.revoke_ms == 5_000
    assert (chosen.cap_window_ms, chosen.cap_over, chosen.cap_slack) == (4_000, 0.2, 7)
    fail_open = {**bounds, "fail_closed": False}
    content = {**BOOT, "bounds": fail_open}
    assert (
        boot.to_settings(boot.load(_written(tmp_path, content))).workspaces.revoke_ms
        == 0
    )


@pytest.mark.parametrize(
    ("bounds", "named"),
    [
        ({"fail_closed": True, "revoke_ms": 900}, "revoke_ms is 900; allowed is 4000"),
        ({"quota_over": 3}, "cap_over is 3"),
        ({"quota_window_s": 0}, "cap_window_ms is 0"),
    ],
)
def test_a_bad_bound_on_workspaces_is_named(
    bounds: dict[str, object], named: str, tmp_path: pathlib.Path
) -> None:
    with pytest.raises(errors.InvalidDocument, match=named):
        boot.to_settings(boot.load(_written(tmp_path, {**BOOT, "bounds": bounds})))


# Guards against a bound of held memory that ignores what the machine has.
@pytest.mark.parametrize(
    ("limits", "memory_mb"),
    [({}, 0), ({"memory_mb": 300, "max_fds": 4_100, "link_mbps": 1000.0}, 300)],
)
def test_the_memory_of_the_machine_is_taken_from_the_settings(
    tmp_path: pathlib.Path, limits: dict[str, float], memory_mb: int
) -> None:
    loaded = boot.load(_written(tmp_path, {**BOOT, "limits": limits}))
    assert boot.to_settings(loaded).limits.memory_mb == memory_mb
