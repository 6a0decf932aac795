"""Targets in absolute form, as callers send them to a proxy."""

import pytest

from gingerturn.internal.shell import caller_requests


# An empty query was dropped, so that the target was changed.
@pytest.mark.parametrize(
    ("target", "expected"),
    [
        (b"http://shop.example/a?", b"/a?"),
        (b"http://shop.example/a?x=1", b"/a?x=1"),
        (b"http://shop.example/a?x=1?", b"/a?x=1?"),
        (b"http://shop.example/a", b"/a"),
        (b"http://shop.example?", b"/?"),
        (b"http://shop.example", b"/"),
        (b"http://shop.example/a#?", b"/a"),
    ],
)
def test_a_target_in_absolute_form_keeps_its_path_and_query(
    target: bytes, expected: bytes
) -> None:
    request = caller_requests.Request(None)  # type: ignore[arg-type]
    request.target = target
    service, path, found = caller_requests.destination(request)
    assert (service, found) == ("shop.example", expected)
    assert path.encode() == expected.partition(b"?")[0]
