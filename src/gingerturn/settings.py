"""The settings of a node: its addresses, zone, log service and secret.

They are read from a TOML file::

    [node]
    id = "plans-1"
    zone = "bne-a"
    region = "queensland"
    host = "127.0.0.1"
    calls_port = 8100
    peers_port = 8101
    gossip_port = 8101
    admin_port = 8102

    [log]
    url = "http://127.0.0.1:7000"

    [secret]
    current = "a long random text"
"""

import collections.abc
import contextlib
import math
import pathlib
import urllib.parse

import msgspec

from gingerturn import errors
from gingerturn.internal import checks, decoding, toml_lines

MIN_SECRET_LENGTH = 16
"""A shorter secret could be found by an offline brute-force attack on one packet."""

MAX_BODY_BUFFER = 512 * 1024
"""Half of the maximal frame between nodes, so that a buffered body fits into one."""


class Node(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses and location of the node.

    :param admin_port: port of the administration API; 0 disables it.
    :param ready_port: port of the readiness probe; 0 disables it.
    :param metrics_port: port of the metrics endpoint; 0 disables it.
    :param advertised_peers_port: port that other nodes connect to, if addresses are
        translated in between; 0 for ``peers_port``.
    """

    id: str
    zone: str
    host: str
    calls_port: decoding.Integer
    peers_port: decoding.Integer
    gossip_port: decoding.Integer
    admin_port: decoding.Integer
    region: str = "default"
    drain_timeout_ms: decoding.Integer = 30_000
    ready_port: decoding.Integer = 0
    metrics_port: decoding.Integer = 0
    advertised_peers_port: decoding.Integer = 0


class Log(msgspec.Struct, forbid_unknown_fields=True):
    """The platform's log service.

    :param poll_ms: longest duration of a long poll.
    :param keyed: it retains the newest record of each key, from which a node reads
        members and routes when it starts.
    """

    url: str
    poll_ms: decoding.Integer = 1_000
    timeout_ms: decoding.Integer = 3_000
    keyed: bool = False


class Backend(msgspec.Struct, forbid_unknown_fields=True):
    """The backend server beside the node.

    :param service: service on whose behalf it calls others.
    """

    service: str = ""


class Routing(msgspec.Struct, forbid_unknown_fields=True):
    """How the service of a caller's request is determined.

    :param table: by the route table; otherwise ``Host`` names the service.
    :param apply_ms: time within which a confirmed route table is active at each node
        that reaches the log; 0 for no bound.
    """

    table: bool = False
    apply_ms: decoding.Integer = 2_000


class Retries(msgspec.Struct, forbid_unknown_fields=True):
    """Retry budget of a service over all nodes.

    In any window a service receives at most ``ratio`` retries for each first attempt,
    plus ``slack``.

    :param slack: ``None`` applies retry budgets to each node separately.
    """

    slack: decoding.Number | None = None
    ratio: decoding.Number = 0.2
    window_ms: decoding.Integer = 10_000


class Workspaces(msgspec.Struct, forbid_unknown_fields=True):
    """Revocation of API keys and tolerances of caps.

    :param revoke_ms: time within which every node, also an isolated one, refuses a
        revoked key; 0 lets an isolated node continue.
    :param cap_window_ms: length of the windows in which a cap applies.
    :param cap_over: share of the cap by which it may be exceeded.
    :param cap_slack: number of requests by which it may be exceeded in addition.
    """

    revoke_ms: decoding.Integer = 0
    cap_window_ms: decoding.Integer = 5_000
    cap_over: decoding.Number = 0.1
    cap_slack: decoding.Number = 20.0


class Secret(msgspec.Struct, forbid_unknown_fields=True):
    """The shared secret of the nodes; two are accepted during a rotation."""

    current: str
    previous: str = ""


class Limits(msgspec.Struct, forbid_unknown_fields=True):
    """Limits on memory and on requests of callers.

    The request limits of a route table take precedence over these.

    :param memory_mb: memory of the machine, from which the bound of what is held for
        callers follows; 0 if it is not known.
    :param body_buffer: largest body in bytes that is buffered for retries and
        checks; longer bodies are streamed.
    :param decisions: decision records retained for ``gingerturn why``, for admissions
        and refusals each; 64 bytes a record.
    :param head_bytes: size of the head of a caller's request.
    :param body_bytes: size of the body of a caller's request.
    :param head_timeout_ms: from the first to the last byte of a request head.
    :param body_timeout_ms: from the first byte of a request to the last one of a body
        that is buffered; at most as long as the caller says it waits.
    :param idle_timeout_ms: after which an idle connection of a caller is closed, or one
        whose body stopped; longer than the idle timeouts of load balancers and client
        libraries.
    """

    memory_mb: decoding.Integer = 0
    body_buffer: decoding.Integer = 262_144
    head_bytes: decoding.Integer = 32_768
    decisions: decoding.Integer = 32_768
    body_bytes: decoding.Integer = 1_073_741_824
    head_timeout_ms: decoding.Integer = 10_000
    body_timeout_ms: decoding.Integer = 300_000
    idle_timeout_ms: decoding.Integer = 120_000


RETRY_RANGES = {"ratio": (0.0, 1.0), "window_ms": (100, 3_600_000)}
"""Allowed range of each field of :class:`Retries` but ``slack``."""

WORKSPACE_RANGES = {
    "cap_window_ms": (1_000, 3_600_000),
    "cap_over": (0.0, 1.0),
    "cap_slack": (0.0, 1e6),
}
"""Allowed range of each field of :class:`Workspaces` but ``revoke_ms``."""

MIN_REVOKE_MS = 4_000
"""A configuration takes up to 3 s to reach all nodes; 1 s remains for requests admitted
before."""

MIN_LOG_TIMEOUT_MS = 10

MIN_APPLY_MS = 1_000
"""The age of a route table is checked each 100 ms, which is to remain a small part."""

LIMIT_RANGES = {
    "memory_mb": (0, 16_777_216),
    "body_buffer": (1_024, MAX_BODY_BUFFER),
    "decisions": (1_024, 1_048_576),
    "head_bytes": (1_024, 1_048_576),
    "body_bytes": (1, 1 << 40),
    "head_timeout_ms": (100, 600_000),
    "body_timeout_ms": (100, 86_400_000),
    "idle_timeout_ms": (100, 86_400_000),
}
"""Allowed range of each limit."""


LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class Logging(msgspec.Struct, forbid_unknown_fields=True):
    """Level and format of log lines."""

    level: str = "INFO"
    json: bool = False


class Team(msgspec.Struct, forbid_unknown_fields=True):
    """A team and the token that allows it to publish its document.

    :param token_sha256: SHA-256 of the team's token, in hexadecimal.
    """

    name: str
    token_sha256: str


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """The settings file."""

    node: Node
    log: Log
    secret: Secret
    limits: Limits = msgspec.field(default_factory=Limits)
    logging: Logging = msgspec.field(default_factory=Logging)
    backend: Backend = msgspec.field(default_factory=Backend)
    routing: Routing = msgspec.field(default_factory=Routing)
    retries: Retries = msgspec.field(default_factory=Retries)
    workspaces: Workspaces = msgspec.field(default_factory=Workspaces)
    team: list[Team] = []
    peers: list[str] = []


def load(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    :raises IncompleteDocument: when it cannot be read, is not TOML or lacks a field.
    :raises InvalidDocument: with all problems found, each with its line.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _incomplete(f"{path}: cannot be read: {error}", path) from None
    try:
        table = decoding.decode_toml(text)
    except errors.DecodeError as error:
        raise _incomplete(f"{path}: not TOML: {error}", path) from None
    try:
        settings = decoding.converter(Settings)(table)
    except errors.DecodeError as error:
        if _MISSING_FIELD in str(error):
            # TOML that is cut between two lines is valid TOML.
            raise _incomplete(f"{path}: {error}", path) from None
        raise _invalid([f"{path}: {error}"], path) from None
    problems = _problems(settings, text, path)
    if problems:
        raise _invalid(problems, path)
    return settings


def check_settings(settings: Settings, *, origin: str) -> Settings:
    """Return settings that were not read by :func:`load` if all values are allowed.

    :raises InvalidDocument: with all problems found.
    """
    problems = _problems(settings, "", pathlib.Path(origin))
    if problems:
        raise _invalid(problems, pathlib.Path(origin))
    return settings


def _invalid(problems: list[str], path: pathlib.Path) -> errors.InvalidDocument:
    return errors.InvalidDocument(problems, step="read settings", peer=str(path))


_MISSING_FIELD = "missing required field"
"""Text of the library's error; it has no other property that tells the kind."""


def _incomplete(problem: str, path: pathlib.Path) -> errors.IncompleteDocument:
    return errors.IncompleteDocument([problem], step="read settings", peer=str(path))


def _problems(settings: Settings, text: str, path: pathlib.Path) -> list[str]:
    problems: list[str] = []

    def check(where: str, test: object, *arguments: object) -> None:
        try:
            test(*arguments)  # type: ignore[operator]
        except errors.InvalidArgument as error:
            line = toml_lines.line_of(text, where)
            problems.append(f"{path}:{line}: {error.message}")

    if settings.logging.level not in LOG_LEVELS:
        line = toml_lines.line_of(text, "$.logging.level")
        allowed = f"allowed are {', '.join(LOG_LEVELS)}"
        problem = f"level is {settings.logging.level!r}; {allowed}"
        problems.append(f"{path}:{line}: {problem}")
    node = settings.node
    for field in ("id", "zone", "region"):
        check(f"$.node.{field}", checks.check_name, field, getattr(node, field))
    check("$.node.host", checks.check_ip, "host", node.host)
    for field in ("calls_port", "peers_port", "gossip_port"):
        check(f"$.node.{field}", checks.check_port, field, getattr(node, field))
    optional = ("admin_port", "ready_port", "metrics_port", "advertised_peers_port")
    for field in optional:
        if getattr(node, field) != 0:
            check(f"$.node.{field}", checks.check_port, field, getattr(node, field))
    drain = node.drain_timeout_ms
    check(
        "$.node.drain_timeout_ms",
        checks.check_range,
        "drain_timeout_ms",
        drain,
        0,
        600_000,
    )
    check("$.log.url", _check_url, settings.log.url)
    check(
        "$.log.poll_ms", checks.check_range, "poll_ms", settings.log.poll_ms, 10, 60_000
    )
    timeout_ms = settings.log.timeout_ms
    bounds = (timeout_ms, MIN_LOG_TIMEOUT_MS, 60_000)
    check("$.log.timeout_ms", checks.check_range, "timeout_ms", *bounds)
    check("$.secret.current", _check_secret, "current", settings.secret.current)
    if settings.secret.previous:
        check("$.secret.previous", _check_secret, "previous", settings.secret.previous)
    for field, (low, high) in LIMIT_RANGES.items():
        value = getattr(settings.limits, field)
        check(f"$.limits.{field}", checks.check_range, field, value, low, high)
    if settings.backend.service:
        service = settings.backend.service
        check("$.backend.service", checks.check_name, "service", service)
    if settings.retries.slack is not None:
        slack = settings.retries.slack
        check("$.retries.slack", checks.check_range, "slack", slack, 0.0, 1e6)
    for field, (minimum, maximum) in RETRY_RANGES.items():
        value = getattr(settings.retries, field)
        check(f"$.retries.{field}", checks.check_range, field, value, minimum, maximum)
    for field, (minimum, maximum) in WORKSPACE_RANGES.items():
        value = getattr(settings.workspaces, field)
        where = f"$.workspaces.{field}"
        check(where, checks.check_range, field, value, minimum, maximum)
    if settings.workspaces.revoke_ms:
        bounds = (settings.workspaces.revoke_ms, MIN_REVOKE_MS, 3_600_000)
        check("$.workspaces.revoke_ms", checks.check_range, "revoke_ms", *bounds)
    if settings.routing.apply_ms:
        bounds = (settings.routing.apply_ms, MIN_APPLY_MS, 600_000)
        check("$.routing.apply_ms", checks.check_range, "apply_ms", *bounds)
    for peer in settings.peers:
        check("$.peers", _check_peer, peer)
    return problems


def _check_url(url: str) -> None:
    try:
        parts = urllib.parse.urlsplit(url)
        is_valid = parts.scheme in {"http", "https"} and bool(parts.hostname)
        is_valid = is_valid and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid:
        raise errors.InvalidArgument(
            f"url is {decoding.shown(url)}; allowed is http:// or https:// with an IP"
            f" number and a port from 1 to {checks.MAX_PORT}"
        )


def _check_secret(field: str, secret: str) -> None:
    if len(secret) < MIN_SECRET_LENGTH:
        raise errors.InvalidArgument(
            f"{field} has {len(secret)} characters; allowed are"
            f" {MIN_SECRET_LENGTH} or more"
        )


def _check_peer(peer: str) -> None:
    checks.check_address("peers", peer)


def numeric_values(
    values: collections.abc.Mapping[str, float | bool | str], *, origin: str
) -> dict[str, float]:
    """Return the values that are numbers or texts of numbers.

    Other values are skipped, since they may be settings of other programs.

    Numbers beyond :data:`.decoding.MAX_NUMBER` are taken for it, as they are too large
    for any setting.

    :raises InvalidDocument: for a number that is not finite.
    """
    numbers: dict[str, float] = {}
    limit = decoding.MAX_NUMBER
    for name, value in values.items():
        with contextlib.suppress(errors.DecodeError):
            numbers[name] = decoding.parse_float(value)
    problems = [
        f"{name} is {value!r}; allowed is a finite number"
        for name, value in numbers.items()
        if not math.isfinite(value)
    ]
    if problems:
        raise errors.InvalidDocument(problems, step="read settings", peer=origin)
    return {name: max(-limit, min(limit, number)) for name, number in numbers.items()}
