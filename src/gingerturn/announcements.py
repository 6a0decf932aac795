"""What a backend server tells the node beside it."""

import msgspec

from gingerturn.internal import checks

MAX_SLOTS = 100_000
MIN_TTL_MS = 100
MAX_TTL_MS = 3_600_000


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The backend server announces or renews itself, or says that it leaves.

    :param slots: requests that it works on at once.
    :param connections: connections that it accepts; 0 when it does not say.
    :param instance: id of this start of it; empty when it tells none.
    :param sequence: grows with each announcement of one instance, so that a late
        one is told; 0 when it tells none.
    :param started_ms: Unix time of this start, which tells it from an earlier one of
        the same id; 0 when it tells none.
    :param cold: it has just started and is slow for some time.
    :param load: requests that it holds; -1 when it does not say.
    :param ttl_ms: time after which it counts as gone unless renewed.
    """

    service: str
    host: str
    port: int
    slots: int
    connections: int = 0
    instance: str = ""
    sequence: int = 0
    started_ms: int = 0
    cold: bool = False
    load: int = -1
    ttl_ms: float = 10_000
    leaving: bool = False


def check_announcement(announcement: Announcement) -> Announcement:
    """Return an announcement whose values are all allowed.

    :raises InvalidArgument: naming field, value and what is allowed.
    """
    checks.check_name("service", announcement.service)
    checks.check_ip("host", announcement.host)
    checks.check_port("port", announcement.port)
    checks.check_range("slots", announcement.slots, 1, MAX_SLOTS)
    checks.check_range("sequence", announcement.sequence, 0, 1 << 62)
    checks.check_range("started_ms", announcement.started_ms, 0, 1 << 62)
    checks.check_range("ttl_ms", announcement.ttl_ms, MIN_TTL_MS, MAX_TTL_MS)
    return announcement
