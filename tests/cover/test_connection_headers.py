"""Headers that concern one connection only, which are not forwarded."""

from gingerturn.internal.shell import heads


# Only the first Connection header named headers that were dropped.
def test_headers_named_by_any_connection_header_are_dropped() -> None:
    headers = [
        (b"connection", b"X-First, keep-alive"),
        (b"x-first", b"1"),
        (b"connection", b"x-second ,X-Third"),
        (b"x-second", b"2"),
        (b"x-third", b"3"),
        (b"x-fourth", b"4"),
    ]
    assert heads.forwarded_lines(headers) == b"x-fourth: 4\r\n"
