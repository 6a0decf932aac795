"""What a node says of its readiness and of the reads of its streams."""

import math

import msgspec
import pytest

from gingerturn.internal.core import events, readiness, reducer, streams
from gingerturn.internal.shell import node as nodes, probes, side_http
from tests.common import routed, scripted_logs


def test_each_reason_for_not_being_ready_is_named(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    running = scripted_logs.RunningNode(monkeypatch)
    node, state = running.node, running.state
    reducer.reduce(state, node._started)
    request = side_http.Request("GET", "/readyz", b"")
    handler = probes.ready_handler(node)

    def check(reason: readiness.Unready) -> None:
        reply = handler(request)
        assert reply.status == 503
        assert msgspec.json.decode(reply.body) == {"reason": reason.value}
        metric = f'gingerturn_unready{{reason="{reason.value}"}} 1'
        assert metric in probes.metrics(node).decode().splitlines()
        assert readiness.description(state, reason).startswith(reason.value)

    check(readiness.Unready.NO_CONFIGURATION)
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=routed.table()))
    check(readiness.Unready.MEMBERS_NOT_LISTED)
    state.membership.members_listed = True
    assert handler(request).status == 200
    reducer.reduce(state, events.StopRequested(now=state.now))
    check(readiness.Unready.STOPPING)


def test_a_node_that_stays_not_ready_says_why_at_intervals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        nodes.logs, "write", lambda level, part, text, **fields: lines.append(text)
    )
    running = scripted_logs.RunningNode(monkeypatch)
    reducer.reduce(running.state, running.node._started)
    for _ in range(200):
        running.now += 100.0
        running.node._log_readiness_change(running.now)
    named = [line for line in lines if "no_configuration" in line]
    assert len(named) == math.floor(20_000.0 / nodes.UNREADY_LINE_INTERVAL_MS)
    assert streams.ROUTES in named[-1]


def test_the_reads_of_each_stream_are_shown(monkeypatch: pytest.MonkeyPatch) -> None:
    running = scripted_logs.RunningNode(monkeypatch)
    state = running.state
    reducer.reduce(state, running.node._started)
    state.now += 4_000.0

    def shown(name: str) -> str:
        page = probes.metrics(running.node).decode().splitlines()
        (line,) = [n for n in page if n.startswith(f'{name}{{stream="routes"}}')]
        return line.rpartition(" ")[2]

    assert shown("gingerturn_stream_read_pending_ms") == "4000"
    assert shown("gingerturn_stream_read_age_ms") == "-1"
    reducer.reduce(state, events.LogReadFailed(now=state.now, stream=streams.ROUTES))
    assert shown("gingerturn_stream_read_failures") == "1"
    assert shown("gingerturn_stream_followed") == "0"
