"""Odd entries of another writer in the topics of the store, and odd requests."""

import asyncio
import collections.abc
import json
import random
import time

from gingerturn_soak import raw_callers
from gingerturn_standins import platform_processes

MEMBERS = "keyed.gingerturn-members"
OPERATOR = "keyed.op"
CONFIG_KEY = b"config"
BATCHES = 3
"""Appends to the topic of members in one step."""

DEPTH = 100_000
ENTRIES = 6
"""Entries with a drawn value in one append."""

STRANGERS = 300
NOBODY_PORT = 9
MAX_INCARNATION = (1 << 63) - 1
SEND_TIMEOUT_S = 5.0

NESTED = ("[" * DEPTH + "]" * DEPTH, '{"a":' * DEPTH + "0" + "}" * DEPTH)
_NUMBERS = ("9" * 40, "9" * 6_000, "1e400", "-1", str(1 << 63), "0.5", "0")
_HOSTS = ("127.255.255.255", "0.0.0.0", "::", "ff01::1", "fe80::1%x", "240.0.0.1", "")
VALUES = (
    *NESTED,
    *_NUMBERS,
    *map(json.dumps, _HOSTS),
    *("null", "true", "[]", "{}", "70000", "NaN", "", '"'),
    json.dumps("n" * 300_000),
    *(r'"\ud800"', r'"\u0000"'),
)
"""Texts of values, by which fields of an entry are replaced."""

KEY_FORMS = ("replace", "raw", "escape")
"""How the store writes keys that are not UTF-8."""

_KEYS = (b"", b"\0", b"~" * 255, b"\xff", b"\xc3", b"\xed\xa0\x80", b"odd")

_Fields = dict[str, str]


def of_members(
    rng: random.Random, ports: collections.abc.Mapping[str, int], now_ms: float
) -> list[list[bytes]]:
    """Return the entries of each append to the topic of members.

    :param ports: ports for membership messages, by node.
    """
    node = rng.choice(list(ports))
    odd = [_keyed(f"odd{n}".encode(), _odd_member(rng, now_ms)) for n in range(ENTRIES)]
    odd += [_keyed(key, _odd_member(rng, now_ms)) for key in rng.sample(_KEYS, 2)]
    nested = _member("nested", now_ms) | {"odd": rng.choice(NESTED)}
    odd += [_keyed(b"nested", _text(nested)), bytes([200]) + b"short", b""]
    strangers = []
    for name in map("stranger{}".format, range(STRANGERS)):
        port = rng.choice([NOBODY_PORT] * 9 + list(ports.values()))
        at = now_ms + rng.uniform(0.0, 1_000.0)
        strangers.append(_keyed(name.encode(), _text(_member(name, at, port))))
    rival = _member(node, now_ms, ports[node]) | {"incarnation": str(MAX_INCARNATION)}
    overwritten = rng.choice((_odd_member(rng, now_ms), b"", _text(rival)))
    batches = [odd, strangers, [_keyed(node.encode(), overwritten)]]
    rng.shuffle(batches)
    return batches


def of_operator(
    rng: random.Random, version: int, routes: list[dict[str, object]], **more: object
) -> list[bytes]:
    """Return entries in the operator's topic, of which the last is a configuration.

    :param version: of the odd configuration.
    :param more: its further fields.
    """
    odd_route = {**routes[0], "name": "r-odd", "path_prefix": "/odd/"}
    fields = {
        "version": json.dumps(f"{version:08x}"),
        "routes": json.dumps(routes),
        "services": "[]",
        "limits": "{}",
        **{name: json.dumps(value) for name, value in more.items()},
    }
    route = {name: json.dumps(value) for name, value in odd_route.items()}
    route[rng.choice(list(route))] = rng.choice(VALUES)
    with_odd_route = json.dumps(routes)[:-1] + f",{_text(route).decode()}]"
    number = rng.choice(_NUMBERS[:2])
    changes = (
        *[{"odd": rng.choice(NESTED)}] * 2,
        {"version": rng.choice((json.dumps("f" * 6_000), *VALUES))},
        {"routes": with_odd_route},
        {"limits": f'{{"max_header_bytes":{number}}}'},
        {"services": rng.choice(VALUES)},
    )
    others = [_keyed(key, _text({"a": rng.choice(VALUES)})) for key in _KEYS]
    short = bytes([200]) + b"short"
    return [*others, short, _keyed(CONFIG_KEY, _text(fields | rng.choice(changes)))]


def requests(rng: random.Random, port: int) -> list[tuple[str, bytes]]:
    """Return requests with odd values, and the names of the ports that take them.

    :param port: of the backend server, which the heartbeats name.
    """
    slots = rng.choice(("4", "[" * 1_000 + "]" * 1_000, "9" * 1_000))
    odd_port = rng.choice(("9" * 2_000, "70000"))
    info = f'{{"service_name":"plans","slots":{slots}}}'
    beat = f'{{"address":"127.0.0.1:{odd_port if slots == "4" else port}",'
    beat += f'"node_info":{info},"status":{{"state":"ready","sequence":1}}}}'
    heads = (
        f"POST /a/odd HTTP/1.1\r\nContent-Length: {'0' * 5_000}2",
        f"GET /a/odd HTTP/1.1\r\nDeadline-Ms: {'9' * 5_000}",
        f"GET /a/odd HTTP/1.1\r\nDeadline-Ms: {rng.choice(_NUMBERS[2:])}",
        "GET /a/odd HTTP/1.1\r\nKey: \xff\xfe",
    )
    content = "POST /instances/i-odd/heartbeat HTTP/1.1\r\nHost: a\r\n"
    content += f"Content-Length: {len(beat)}\r\n\r\n{beat}"
    found = [("control", content.encode())]
    for head in heads:
        body = "{}" if head.startswith("POST") else ""
        head += f"\r\nHost: {raw_callers.HOST}\r\nRequest-Id: o{rng.randrange(1 << 60)}"
        found.append(("outbound", f"{head}\r\n\r\n{body}".encode("latin-1")))
    return found


async def send(
    machine: platform_processes.Machine, name: str, content: bytes
) -> raw_callers.Exchange:
    """Send a request to a port of a node and return how it ended."""
    found = raw_callers.Exchange("", f"odd-{name}", machine.name, time.time())
    found.title = content[:60].decode("latin-1")
    port = machine.ports[name]
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(content)
            found.ending = raw_callers.Ending.FIN
            if line := await reader.readline():
                found.ending = raw_callers.Ending.ANSWERED
                found.status = int(line.split()[1])
            writer.close()
    except TimeoutError:
        found.ending = raw_callers.Ending.TIMEOUT
    except OSError:
        found.ending = raw_callers.Ending.RESET
    found.ended = time.time()
    return found


def _odd_member(rng: random.Random, now_ms: float) -> bytes:
    """Return a record of a member with an odd value, without a field, or cut off."""
    fields = _member("odd", now_ms)
    name = rng.choice([*fields, "more"])
    value = rng.choice([*VALUES, None])
    if value is None:
        fields.pop(name, None)
        return _text(fields)[: rng.choice((None, -1))]
    return _text(fields | {name: value})


def _member(name: str, at: float, port: int = NOBODY_PORT) -> _Fields:
    fields = {"type": "join", "node": name, "incarnation": 1, "host": "127.0.0.1"}
    fields |= {"gossip_port": port, "zone": "a", "at": at}
    return {key: json.dumps(value) for key, value in fields.items()}


def _text(fields: _Fields) -> bytes:
    rows = ",".join(f'"{name}":{value}' for name, value in fields.items())
    return f"{{{rows}}}".encode()


def _keyed(key: bytes, value: bytes) -> bytes:
    return bytes([len(key)]) + key + value
