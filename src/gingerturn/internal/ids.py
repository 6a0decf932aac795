"""The typed identifiers and units used through the whole program."""

import typing

NodeId = typing.NewType("NodeId", str)
ServiceName = typing.NewType("ServiceName", str)
KindName = typing.NewType("KindName", str)
TeamName = typing.NewType("TeamName", str)
WorkspaceName = typing.NewType("WorkspaceName", str)

CallId = typing.NewType("CallId", int)
"""A call that a node accepted from a caller; unique within one incarnation."""

AttemptId = typing.NewType("AttemptId", int)
"""One sending of a call to one upstream; unique within one incarnation."""

HostedId = typing.NewType("HostedId", int)
"""A call that a node holds for its own backend server."""

RootHash = typing.NewType("RootHash", int)
"""64 bits that are the same at every hop of one whole request."""

Fingerprint = typing.NewType("Fingerprint", int)
"""48 bits that are the same whenever a request is sent, under whatever id."""

FINGERPRINT_BYTES = 6
"""Of a thousand fingerprints remembered, 530,000 calls a second meet one by chance once
in six days."""

SpanId = typing.NewType("SpanId", str)
"""The 16 hexadecimal digits of a span in a W3C ``traceparent``."""

Key = typing.NewType("Key", str)
"""What a caller sends in ``Idempotency-Key``."""

ClaimId = typing.NewType("ClaimId", str)
Incarnation = typing.NewType("Incarnation", int)
Revision = typing.NewType("Revision", int)
"""Revision of the configuration; 0 is the state before the first one."""

LogEpoch = typing.NewType("LogEpoch", int)
"""How often the log was restored from a backup, by its own count; 0 where
it tells none."""

FIRST_LOG_EPOCH = LogEpoch(1)
"""That of a log that was never restored from a backup."""

MAX_LOG_EPOCH = 0xFFFF_FFFF

Rank = typing.NewType("Rank", int)
"""The place of a call in the shedding order; see :mod:`.core.ranks`."""

Milliseconds = float
"""Times and durations: milliseconds, since the Unix epoch for points in time."""


def fingerprint_text(fingerprint: int) -> str:
    """Return a fingerprint as people read it and as keys hold it."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"


class Address(typing.NamedTuple):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
