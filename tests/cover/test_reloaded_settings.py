"""Settings that take effect while the process runs."""

import msgspec

from gingerturn import dialect, settings
from gingerturn.internal.shell import caller_requests, node as nodes
from tests.common import builders

DIALECT = dialect.Dialect(caller_service=b"caller-service")


def _head(node: nodes.Node) -> bytes:
    """Return the head of a request that begins at a node, for the backend server."""
    request = caller_requests.Request(None)  # type: ignore[arg-type]
    request.method = b"GET"
    request.complete = True
    return caller_requests.request_head(request, b"/a/x", node)


def _settings(service: str) -> settings.Settings:
    return msgspec.structs.replace(
        builders.settings(), backend=settings.Backend(service=service)
    )


# Calls named the service of before until the next start of the node.
def test_calls_name_the_service_of_the_reloaded_settings() -> None:
    node = nodes.Node(_settings("plans"), dialect=DIALECT)
    assert b"caller-service: plans\r\n" in _head(node)
    node.reload(_settings("booking"))
    head = _head(node)
    assert b"caller-service: booking\r\n" in head
    assert b"plans" not in head
