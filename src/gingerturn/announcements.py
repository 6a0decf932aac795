"""Announcements that a backend server sends to the node beside it."""

import msgspec

from gingerturn import errors
from gingerturn.internal import checks, decoding

MAX_SLOTS = 100_000
MAX_REPORTED = 1_000_000
"""Largest number of connections, and of requests in progress, that is accepted."""

MAX_SEQUENCE = MAX_TIME_MS = 1 << 62
MAX_INSTANCE_LENGTH = 255
MIN_TTL_MS = 100
MAX_TTL_MS = 3_600_000


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A registration, renewal or withdrawal of the backend server.

    :param slots: requests that it serves concurrently.
    :param connections: connections that it accepts; 0 if not reported.
    :param instance: id of the instance; empty if not reported.
    :param sequence: increases with each announcement of an instance, so that late
        ones are recognised; 0 if not reported.
    :param started_ms: Unix time at which the instance started, which distinguishes
        it from an earlier one with the same id; 0 if not reported.
    :param cold: it started recently and is still slow.
    :param load: requests in progress; -1 if not reported.
    :param ttl_ms: time after which the registration expires unless renewed.
    :param leaving: it accepts no more requests.
    """

    service: str
    host: str
    port: decoding.Whole
    slots: decoding.Whole
    connections: decoding.Whole = 0
    instance: str = ""
    sequence: decoding.Whole = 0
    started_ms: decoding.Whole = 0
    cold: bool = False
    load: decoding.Integer = -1
    ttl_ms: decoding.Number = 10_000
    leaving: bool = False


def check_announcement(announcement: Announcement) -> Announcement:
    """Return the announcement if all of its values are allowed.

    :raises InvalidArgument: naming the field, its value and what is allowed.
    """
    checks.check_name("service", announcement.service)
    checks.check_ip("host", announcement.host)
    checks.check_port("port", announcement.port)
    checks.check_range("slots", announcement.slots, 1, MAX_SLOTS)
    checks.check_range("connections", announcement.connections, 0, MAX_REPORTED)
    checks.check_range("load", announcement.load, -1, MAX_REPORTED)
    checks.check_range("sequence", announcement.sequence, 0, MAX_SEQUENCE)
    check_start(announcement.instance, announcement.started_ms)
    checks.check_range("ttl_ms", announcement.ttl_ms, MIN_TTL_MS, MAX_TTL_MS)
    return announcement


def check_start(instance: str, started_ms: int) -> None:
    """Check what names one start of a backend server.

    :raises InvalidArgument: naming the field, its value and what is allowed.
    """
    if len(instance) > MAX_INSTANCE_LENGTH:
        raise errors.InvalidArgument(
            f"instance is {decoding.shown(instance)}; allowed are up to"
            f" {MAX_INSTANCE_LENGTH} characters"
        )
    checks.check_range("started_ms", started_ms, 0, MAX_TIME_MS)
