"""Settings, documents, recordings, logs and metrics with odd values.

Guards against a file that ends a start, a reload, a publication or a command with an
error that is not one of ours.
"""

import io
import json
import pathlib
import typing

import msgspec
import pytest
from litestar import testing

from gingerturn import configuration, errors, explain, metrics_text, settings
from gingerturn.internal.core import decisions, trace
from gingerturn.internal.shell import admin, daemon, node as nodes
from gingerturn_platform import boot
from tests.common import builders

SETTINGS = """
[node]
id = "n1"
zone = "a"
host = "127.0.0.1"
calls_port = 8100
peers_port = 8101
gossip_port = 8101
admin_port = 0
[log]
url = "http://127.0.0.1:7000"
[secret]
current = "a secret of the tests only"
"""
NESTED = {
    "arrays": f"{'[' * 3_000}{']' * 3_000}",
    "tables": f"{'{a=' * 3_000}1{'}' * 3_000}",
}


def _load(tmp_path: pathlib.Path, text: str) -> settings.Settings:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return settings.load(path)


def test_the_settings_of_these_tests_are_valid(tmp_path: pathlib.Path) -> None:
    assert _load(tmp_path, SETTINGS).node.calls_port == 8_100


@pytest.mark.parametrize("nested", NESTED.values(), ids=NESTED)
def test_deeply_nested_settings_are_refused(
    tmp_path: pathlib.Path, nested: str
) -> None:
    with pytest.raises(errors.InvalidDocument, match="nested too deeply"):
        _load(tmp_path, f"x = {nested}\n{SETTINGS}")


@pytest.mark.parametrize("number", ["1" * 5_000, "1" * 4_000, "-1", "1e400", "nan"])
def test_a_number_out_of_range_in_settings_is_refused(
    tmp_path: pathlib.Path, number: str
) -> None:
    with pytest.raises(errors.InvalidDocument) as raised:
        _load(tmp_path, SETTINGS.replace("8100", number))
    assert len(str(raised.value)) < 1_000


@pytest.mark.parametrize(
    "url",
    ["http://[::1", "http://127.0.0.1:99999", "http://127.0.0.1:x", "x://a", "http://"],
)
def test_an_odd_url_in_settings_is_refused(tmp_path: pathlib.Path, url: str) -> None:
    with pytest.raises(errors.InvalidDocument, match="url is"):
        _load(tmp_path, SETTINGS.replace("http://127.0.0.1:7000", url))


@pytest.mark.parametrize("port", ["²", "٣", "1" * 5_000, "0", "70000", ""])
def test_an_odd_port_of_a_peer_in_settings_is_refused(
    tmp_path: pathlib.Path, port: str
) -> None:
    with pytest.raises(errors.InvalidDocument, match="peers is"):
        _load(tmp_path, f'peers = ["10.0.0.1:{port}"]\n{SETTINGS}')


def test_a_reload_of_odd_settings_leaves_the_previous_ones_in_effect(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    node = nodes.Node(builders.settings())
    node._begun = True
    source = daemon.Source(path, settings.load)
    before = node.settings
    path.write_text(f"x = {NESTED['arrays']}")
    daemon._reload(node, source)
    assert node.settings is before


BOOT: dict[str, typing.Any] = {
    "node_id": "n1",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "r",
    "listen": {
        "inbound": "127.0.0.1:1",
        "outbound": "127.0.0.1:2",
        "ready": "127.0.0.1:3",
        "control": "127.0.0.1:4",
    },
    "port_range": [7_000, 7_010],
    "service_name": "plans",
    "platform_config": {"address": "127.0.0.1:9"},
    "bounds": {},
}


def _boot(tmp_path: pathlib.Path, **fields: object) -> settings.Settings:
    path = tmp_path / "boot.json"
    path.write_text(json.dumps({**BOOT, **fields}))
    return boot.to_settings(boot.load(path))


@pytest.mark.parametrize(
    "fields",
    [
        {"platform_config": {"address": "[::1"}},
        {"platform_config": {"address": "127.0.0.1:99999"}},
        {"port_range": [10**40, 2]},
        {"port_range": [-1, 2]},
        {"listen": {**BOOT["listen"], "inbound": f"127.0.0.1:{'1' * 5_000}"}},
        {"bounds": {"grace_s": 1e306}},
        {"bounds": {"grace_s": "9" * 400}},
        {"bounds": {"grace_s": "nan"}},
        {"bounds": {"retry_window_s": -1e306}},
        {"bounds": {"fail_closed": True, "revoke_ms": 1e306}},
        {"bounds": {"config_apply_ms": "-inf"}},
        {"node_id": "n" * 60_000},
    ],
    ids=lambda fields: str(fields)[:40],
)
def test_an_odd_value_in_the_settings_of_the_platform_is_refused(
    tmp_path: pathlib.Path, fields: dict[str, object]
) -> None:
    with pytest.raises(errors.InvalidDocument) as raised:
        _boot(tmp_path, **fields)
    assert len(str(raised.value)) < 1_000


def test_deeply_nested_settings_of_the_platform_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "boot.json"
    nested = f"{'[' * 100_000}{']' * 100_000}"
    path.write_text(f'{json.dumps(BOOT)[:-1]}, "x": {nested}}}')
    with pytest.raises(errors.InvalidDocument, match="nested too deeply"):
        boot.load(path)


def test_a_whole_number_too_large_for_a_float_is_skipped() -> None:
    found = settings.numeric_values({"a": 10**400, "b": "7"}, origin="bounds")
    assert found == {"b": 7.0}


@pytest.mark.parametrize(
    "text",
    [
        f"x = {NESTED['arrays']}",
        f"x = {NESTED['tables']}",
        f"x = {'1' * 5_000}",
        f'[[service]]\nname = "a"\nslots = {"1" * 4_000}',
        '[[service]]\nname = "a"\nretry_share = nan',
        '[[service]]\nname = "a"\nretry_share = inf',
        "x = 1979-99-27",
    ],
    ids=lambda text: text[:30],
)
def test_an_odd_document_is_refused(text: str) -> None:
    with pytest.raises(errors.InvalidDocument) as raised:
        configuration.parse(text, "plans.toml")
    assert len(str(raised.value)) < 1_000


def _framed(content: bytes) -> bytes:
    return len(content).to_bytes(4, "big") + content


def _started() -> bytes:
    return msgspec.msgpack.encode(builders.started("n1"))


@pytest.mark.parametrize(
    "content",
    [
        _framed(b"\x92\xa4Tick" + b"\x91" * 100_000 + b"\x01"),
        _framed(b"\x93\xa4Tick\x01" + b"\x91" * 100_000 + b"\x01"),
        _framed(b"\x93\xa4Tick\x01" + b"\x81\xa1a" * 100_000 + b"\x01"),
        _framed(b"\xc1"),
        _framed(b""),
        _framed(_started()[:-1]),
    ],
    ids=lambda content: repr(content[:12]),
)
def test_an_event_that_cannot_be_decoded_ends_a_replay_with_an_error(
    content: bytes,
) -> None:
    with pytest.raises(errors.InvalidArgument, match="no event of this version"):
        list(trace.read(io.BytesIO(content)))


def test_no_more_of_an_event_is_read_than_its_limit() -> None:
    sizes: list[int] = []

    class Source(io.BytesIO):
        def read(self, size: int | None = -1, /) -> bytes:
            sizes.append(size or 0)
            return super().read(size)

    assert list(trace.read(Source(b"\xff" * 8))) == []
    assert max(sizes) == trace.MAX_EVENT


LINE = {"time": "t", "node": "n1", "part": "entry", "text": "x", "request": "r1"}


@pytest.mark.parametrize(
    "odd",
    [
        b'{"x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"request": "r2", "status": ' + b"9" * 5_000 + b"}",
        b'{"request": "\xff"}',
        b'{"facts": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b"\x00",
    ],
    ids=lambda odd: repr(odd[:20]),
)
def test_an_odd_line_of_a_log_is_skipped(odd: bytes) -> None:
    log = odd + b"\n" + json.dumps(LINE).encode() + b"\n"
    assert [line.request for line in explain.read([io.BytesIO(log)])] == ["r1"]


def test_an_odd_quantile_of_a_metric_is_skipped() -> None:
    text = (
        "gingerturn_ready 1\n"
        'gingerturn_answer_seconds{quantile="x"} 1\n'
        'gingerturn_answer_seconds{quantile="0.5"} 0.25\n'
    )
    found = metrics_text.parse(text, origin="n1")
    assert "p50 250 ms" in " ".join(metrics_text.summary(found))


@pytest.mark.parametrize("digits", ["x", "", "-1", "0", "1_0", "+1", "f" * 5_000, "²"])
def test_an_odd_id_of_a_decision_is_held_by_no_node(digits: str) -> None:
    log = decisions.DecisionLog(node=builders.started("n1").node, size=4)
    assert log.find(f"n1:{digits}") is None


BODIES = {
    ("POST", "/config/plans"): {"author": "a", "base": 0, "text": ""},
    ("PUT", "/backend"): {"service": "plans", "host": "::1", "port": 1, "slots": 1},
}


@pytest.mark.parametrize("depth", [2_000, 100_000])
@pytest.mark.parametrize(("method", "path"), BODIES)
def test_a_deeply_nested_body_of_the_administration_is_refused(
    method: str, path: str, depth: int
) -> None:
    node = nodes.Node(builders.settings())
    body = json.dumps(BODIES[method, path])[:-1]
    content = f'{body}, "x": {"[" * depth}{"]" * depth}}}'
    application = admin.Administration(node).application()
    with testing.TestClient(application) as client:
        answer = client.request(method, path, content=content)
    assert answer.status_code == 400
    assert answer.json()["title"] == "the body is nested too deeply"


@pytest.mark.parametrize("number", ["9" * 40, "9" * 6_000, "1e400", "NaN"])
@pytest.mark.parametrize(
    ("method", "path", "field"),
    [("POST", "/config/plans", "base"), ("PUT", "/backend", "slots")],
)
def test_a_number_out_of_range_in_a_body_of_the_administration_is_refused(
    method: str, path: str, field: str, number: str
) -> None:
    node = nodes.Node(builders.settings())
    body = json.dumps({**BODIES[method, path], field: "HERE"}).replace('"HERE"', number)
    application = admin.Administration(node).application()
    with testing.TestClient(application) as client:
        assert client.request(method, path, content=body).status_code == 400
