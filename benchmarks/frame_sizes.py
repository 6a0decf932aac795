"""Bytes and time of frames between availability zones, plain and compressed."""

import collections.abc
import random
import time

from gingerturn.internal import ids
from gingerturn.internal.core import messages
from gingerturn.internal.wire import compression, frames

COUNT = 4_000
_HOSTS = ("plans.example", "porting.example", "provisioning.example")
_PATHS = ("plans", "ports", "sims", "profiles/latest")


def requests(count: int) -> list[frames.Frame]:
    """Return frames as an entry node sends them, with random variable fields."""
    rng = random.Random(1)
    return [_request(number, rng) for number in range(count)]


def answers(count: int) -> list[frames.Frame]:
    """Return frames as a home node sends them, with short random bodies."""
    rng = random.Random(2)
    return [_answer(number, rng) for number in range(count)]


def _request_id(rng: random.Random) -> str:
    return f"{rng.getrandbits(64):016x}.{rng.getrandbits(32):08x}"


def _request(number: int, rng: random.Random) -> frames.Frame:
    name = _request_id(rng)
    head = (
        f"GET /{rng.choice(_PATHS)}/{rng.getrandbits(16):x} HTTP/1.1\r\n"
        f"host: {rng.choice(_HOSTS)}\r\nrequest-id: {name}\r\naccept: */*\r\n"
        "user-agent: shop/1\r\naccept-encoding: identity\r\ncaller-service: plans\r\n"
    )
    terms = messages.CallMetadata(
        service=ids.ServiceName("provisioning"),
        kind=ids.KindName("stock"),
        importance=3,
        depth=2,
        root=ids.RootHash(rng.getrandbits(64)),
        trace=name,
        deadline_ms=rng.random() * 700.0,
        tokens=1,
        repeatable=True,
    )
    return frames.Open(
        call=number, terms=terms, head=head.encode(), body=b"", whole=True
    )


def _answer(number: int, rng: random.Random) -> frames.Frame:
    head = (
        f"HTTP/1.1 200 OK\r\nrequest-id: {_request_id(rng)}\r\n"
        f"response-signature: {rng.getrandbits(48):x}\r\n"
        "content-type: application/octet-stream\r\n"
    )
    return frames.Answer(
        call=number,
        status=200,
        tokens=0,
        report=messages.LoadReport(
            level=ids.Rank(rng.getrandbits(20)),
            tree_level=ids.Rank(0),
            load=rng.randrange(30),
            limit=20,
        ),
        decision=f"provisioning-2:{number * 17:x}",
        head=head.encode(),
        body=rng.randbytes(100),
        whole=True,
    )


def _report(name: str, sent: collections.abc.Sequence[frames.Frame]) -> None:
    deflater, inflater = compression.Deflater(), compression.Inflater()
    plain = sum(len(frames.encode(frame)) for frame in sent)
    begun = time.perf_counter()
    packed = [frames.encode(frame, deflater) for frame in sent]
    between = time.perf_counter()
    for content in packed:
        frames.decode(content[frames.LENGTH_BYTES :], inflater)
    ended = time.perf_counter()
    print(
        f"{name}: {plain / len(sent):.0f} bytes plain,"
        f" {sum(map(len, packed)) / len(sent):.0f} compressed;"
        f" {(between - begun) / len(sent) * 1e6:.1f} us to encode,"
        f" {(ended - between) / len(sent) * 1e6:.1f} us to decode"
    )


if __name__ == "__main__":
    _report("requests", requests(COUNT))
    _report("answers", answers(COUNT))
