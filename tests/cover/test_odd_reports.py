"""Heartbeats and deregistrations with odd values.

Guards against values that end a handler with an error of its own, and against values
that pass and cannot be encoded for other nodes.
"""

import json
import typing

import pytest

from gingerturn import announcements, errors
from gingerturn.internal import checks
from gingerturn.internal.shell import node as nodes, process, side_http
from gingerturn_platform import beats
from tests.common import builders

LONG = "1" * 5_000
NESTED = [f"{'[' * depth}{']' * depth}" for depth in (2_000, 100_000)]


def _beat(**fields: object) -> str:
    beat = {
        "address": "10.0.0.7:8080",
        "node_info": {"service_name": "plans", "slots": 9},
        "status": {"state": "ready", "sequence": 4},
    }
    return json.dumps({**beat, **fields})


def _reply(body: str, *, path: str = "heartbeat", name: str = "i-9") -> tuple[int, str]:
    handle = beats.handler(nodes.Node(builders.settings()))
    request = side_http.Request("POST", f"/instances/{name}/{path}", body.encode())
    reply = handle(request)
    return reply.status, reply.body.decode()


def test_a_port_of_many_digits_is_refused_with_the_name_of_its_field() -> None:
    status, text = _reply(_beat(address=f"10.0.0.7:{LONG}"))
    assert (status, "address is '10.0.0.7:1" in text) == (400, True)
    assert len(text) < 1_000


@pytest.mark.parametrize("nested", NESTED, ids=len)
@pytest.mark.parametrize("path", ["heartbeat", "deregister"])
def test_a_deeply_nested_report_is_refused(nested: str, path: str) -> None:
    beat = _beat().replace("{", f'{{"x": {nested}, ', 1)
    status, text = _reply(beat, path=path)
    assert (status, "nested too deeply" in text) == (400, True)


@pytest.mark.parametrize("number", ["9" * 40, "9" * 4_000, "9" * 6_000, "1e400", "-1"])
@pytest.mark.parametrize("field", ["slots", "sequence", "born", "cold_remaining_ms"])
def test_a_number_out_of_range_is_refused(number: str, field: str) -> None:
    beat = _beat(
        born=0,
        node_info={"service_name": "plans", "slots": 9},
        status={"state": "ready", "sequence": 4, "cold_remaining_ms": 0},
    )
    body = json.loads(beat)
    for part in (body, body["node_info"], body["status"]):
        if field in part:
            part[field] = "HERE"
    status, text = _reply(json.dumps(body).replace('"HERE"', number))
    if field == "cold_remaining_ms" and number == "-1":
        assert status == 200
        return
    names = {field, "started_ms"} if field == "born" else {field}
    assert status == 400
    assert any(name in text for name in names)
    assert len(text) < 1_000


@pytest.mark.parametrize("number", ["9" * 40, "-1", str(1 << 63)])
def test_a_start_time_out_of_range_in_a_deregistration_is_refused(number: str) -> None:
    status, text = _reply(f'{{"born": {number}}}', path="deregister")
    assert (status, "born" in text) == (400, True)


@pytest.mark.parametrize("path", ["heartbeat", "deregister"])
def test_a_long_id_of_an_instance_is_refused(path: str) -> None:
    body = _beat() if path == "heartbeat" else "{}"
    status, text = _reply(body, path=path, name="i" * 60_000)
    assert (status, "instance is 'iii" in text) == (400, True)
    assert len(text) < 1_000


def test_an_error_shows_the_beginning_of_a_long_value() -> None:
    status, text = _reply(_beat(node_info={"service_name": "p" * 60_000, "slots": 1}))
    assert (status, "service is 'ppp" in text, len(text) < 1_000) == (400, True, True)


class _Sink:
    def write(self, content: bytes) -> int:
        return len(content)


@pytest.mark.parametrize("field", ["connections", "load", "sequence", "started_ms"])
@pytest.mark.parametrize("value", [1 << 64, 10**40, -(1 << 64)])
def test_no_number_of_an_announcement_passes_that_cannot_be_recorded(
    field: str, value: int
) -> None:
    sink = typing.cast(typing.BinaryIO, _Sink())
    node = nodes.Node(builders.settings(), record=sink)
    announcement = announcements.Announcement(
        service="plans",
        host="10.0.0.7",
        port=80,
        slots=9,
        **{field: value},  # type: ignore[arg-type]
    )
    with pytest.raises(errors.InvalidArgument, match=field):
        node.announce(announcement)


def test_the_largest_numbers_of_an_announcement_can_be_recorded() -> None:
    sink = typing.cast(typing.BinaryIO, _Sink())
    node = nodes.Node(builders.settings(), record=sink)
    node.announce(
        announcements.Announcement(
            service="plans",
            host="10.0.0.7",
            port=checks.MAX_PORT,
            slots=announcements.MAX_SLOTS,
            connections=announcements.MAX_REPORTED,
            load=announcements.MAX_REPORTED,
            sequence=announcements.MAX_SEQUENCE,
            started_ms=announcements.MAX_TIME_MS,
        )
    )
    assert node.state.backend.present


@pytest.mark.parametrize("value", ["²", "٣", LONG, "-1", "65536", "x", ""])
def test_an_odd_port_in_the_environment_is_refused(
    value: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(process.ADVERTISE_VARIABLE, value)
    with pytest.raises(errors.InvalidDocument, match=process.ADVERTISE_VARIABLE):
        process.advertised_port()
