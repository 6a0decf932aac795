"""Types of identifiers and units."""

import typing

NodeId = typing.NewType("NodeId", str)
ServiceName = typing.NewType("ServiceName", str)
KindName = typing.NewType("KindName", str)
TeamName = typing.NewType("TeamName", str)
WorkspaceName = typing.NewType("WorkspaceName", str)

CallId = typing.NewType("CallId", int)
"""A call that an entry node accepted from a caller; unique within an incarnation."""

AttemptId = typing.NewType("AttemptId", int)
"""An attempt of a call at one upstream; unique within an incarnation."""

HostedId = typing.NewType("HostedId", int)
"""A call that a home node received for its backend server."""

RootHash = typing.NewType("RootHash", int)
"""64-bit hash of a root call, which is the same at every hop."""

Fingerprint = typing.NewType("Fingerprint", int)
"""48-bit hash of the content of a request, which is the same for each of its ids."""

FINGERPRINT_BYTES = 6
"""With 1,000 fingerprints stored, 530,000 calls a second collide with one of them by
chance once in six days."""

SpanId = typing.NewType("SpanId", str)
"""The 16 hexadecimal digits of a span in a W3C ``traceparent``."""

Key = typing.NewType("Key", str)
"""Value of ``Idempotency-Key``."""

ClaimId = typing.NewType("ClaimId", str)
Incarnation = typing.NewType("Incarnation", int)
Revision = typing.NewType("Revision", int)
"""Revision of the configuration; 0 is the state before the first one."""

LogEpoch = typing.NewType("LogEpoch", int)
"""Epoch of the log, which increases when it is restored from a backup; 0 if it reports
none."""

FIRST_LOG_EPOCH = LogEpoch(1)
"""Epoch of a log that was never restored from a backup."""

MAX_LOG_EPOCH = 0xFFFF_FFFF

Rank = typing.NewType("Rank", int)
"""The position of a call in the shedding order; see :mod:`.core.ranks`."""

RequestsPerSecond = float

Milliseconds = float
"""A duration, or a time since the Unix epoch, in milliseconds."""


def fingerprint_text(fingerprint: int) -> str:
    """Return a fingerprint in hexadecimal, as used in output and in keys of records."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"


class Address(typing.NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
