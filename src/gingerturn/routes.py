"""Route tables, with a version that only increases.

A :class:`RouteTable` is an alternative to the documents of
:mod:`gingerturn.configuration`. It maps hosts and path prefixes to services and always
replaces the previous table as a whole. Routes and kinds are both converted to
:class:`.configuration.KindRule` for the core.
"""

import collections.abc
import enum
import hashlib

import msgspec

from gingerturn import configuration, errors
from gingerturn.internal import checks, decoding, ids

MAX_PRIORITY = configuration.IMPORTANCE_CLASSES - 1
"""Priorities from 0 (the highest) to this one have an importance class each; all others
share the lowest class."""

MAX_VERSION = decoding.MAX_WHOLE
"""Versions are encoded as signed 64-bit integers."""

TARGET_SPREAD = 10
"""Factor between the latency targets of a service's kinds from which each kind has its
own queueing time limit. One limit fits targets that are closer: it was set for targets
of 250 to 2,000 ms."""

MAX_WORKSPACE_PRIORITY = 1_000
MAX_RATE = 1e9
_HEX_DIGITS = frozenset("0123456789abcdef")

MAX_ATTEMPTS = 16
MAX_WEIGHT = 1_000_000


class RouteType(enum.Enum):
    """Whether requests of a route may be repeated."""

    SAFE = "safe"
    UNREPEATABLE = "unrepeatable"
    DOWNLOAD = "download"


class Share(msgspec.Struct, frozen=True):
    """A service of a route, with its weight among the services of the route."""

    service: str
    weight: decoding.Integer = 1


class Route(msgspec.Struct, frozen=True):
    """Requests to one host under one path prefix.

    :param timeout_ms: timeout of a request.
    :param target_ms: target latency.
    :param priority: priority among the routes; 0 is the highest.
    :param max_attempts: attempts of one request, the first included.
    :param public: requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    type: RouteType
    timeout_ms: decoding.Integer
    target_ms: decoding.Integer
    shares: tuple[Share, ...]
    priority: decoding.Integer = 0
    max_attempts: decoding.Integer = 1
    public: bool = False


class Workspace(msgspec.Struct, frozen=True):
    """A tenant, identified by the API keys of its requests.

    :param key_digests: digests of its API keys by :func:`key_digest`; the keys
        themselves are not stored.
    :param priority: overrides the priorities of routes, 0 is the highest; ``None``
        uses the route's.
    :param rate: limit of requests a second at all nodes; 0 if unlimited.
    :param burst: requests allowed at once in addition to ``rate``.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: decoding.Integer | None = None
    rate: decoding.Number = 0.0
    burst: decoding.Number = 0.0


def workspace(
    name: str,
    keys: collections.abc.Sequence[str],
    *,
    priority: int | None = None,
    rate: float = 0.0,
    burst: float = 0.0,
) -> Workspace:
    """Return a workspace, with the digests of its API keys.

    :param keys: the API keys in plain text.
    :param burst: ignored without a rate.
    """
    return Workspace(
        name=name,
        key_digests=tuple(key_digest(key.encode()) for key in keys),
        priority=priority,
        rate=rate,
        burst=burst if rate > 0 else 0.0,
    )


KEY_DIGEST_BYTES = 16


def key_digest(key: bytes) -> str:
    """Return the digest that represents an API key inside the system.

    API keys are random, so a slow hash against guessing is not needed; it would
    dominate the cost of each request.
    """
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).hexdigest()


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests and on the times of their connections.

    :param head_timeout_ms: from the first to the last byte of a request head.
    """

    head_bytes: decoding.Integer = 32_768
    body_bytes: decoding.Integer = 67_108_864
    head_timeout_ms: decoding.Integer = 10_000
    idle_timeout_ms: decoding.Integer = 60_000


class RouteTable(msgspec.Struct, frozen=True, tag="routes"):
    """A complete set of routes.

    :param version: greater than those of all previous tables.
    :param services: all services; empty if the table does not list them.
    :param workspaces: ``None`` if requests carry no API keys.
    """

    version: decoding.Integer
    routes: tuple[Route, ...]
    limits: RequestLimits = RequestLimits()
    services: tuple[str, ...] = ()
    workspaces: tuple[Workspace, ...] | None = None

    def names_service(self, service: str) -> bool:
        """Whether a service is listed or routed to; true for any if none are listed."""
        if not self.services or service in self.services:
            return True
        return any(
            share.service == service for route in self.routes for share in route.shares
        )


def check_table(table: RouteTable, *, origin: str) -> RouteTable:
    """Return the table if all of its values are allowed.

    :param origin: source of the table, for errors.
    :raises InvalidDocument: with all problems, each naming field and value.
    """
    problems: list[str] = []
    seen: set[tuple[str, str]] = set()
    if not 1 <= table.version <= MAX_VERSION:
        allowed = f"allowed is 1 to {MAX_VERSION}"
        problems.append(f"version is {table.version}; {allowed}")
    for field, value in msgspec.structs.asdict(table.limits).items():
        if value < 1:
            problems.append(f"limits: {field} is {value}; allowed is 1 or more")
    for route in table.routes:
        problems += [f"route {route.name!r}: {p}" for p in _route_problems(route)]
        match = (route.host, route.path_prefix)
        if match in seen:
            problems.append(f"route {route.name!r}: {match} has a route already")
        seen.add(match)
    problems += _workspace_problems(table.workspaces or ())
    if problems:
        raise errors.InvalidDocument(problems, step="check routes", peer=origin)
    return table


def _workspace_problems(
    workspaces: tuple[Workspace, ...],
) -> collections.abc.Iterator[str]:
    names: set[str] = set()
    owners: dict[str, str] = {}
    for workspace in workspaces:
        where = f"workspace {workspace.name!r}"
        if workspace.name in names:
            yield f"{where}: the name is taken; allowed is one of each name"
        names.add(workspace.name)
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                yield (
                    f"{where}: key_digests holds {digest!r}, which {owner!r} has too;"
                    " allowed is one workspace for each key"
                )
        for problem in _value_problems(workspace):
            yield f"{where}: {problem}"


def _value_problems(workspace: Workspace) -> collections.abc.Iterator[str]:
    if not _is_header_text(workspace.name):
        yield f"name is {workspace.name!r}; allowed are printable ASCII characters"
    for digest in workspace.key_digests:
        if len(digest) != 2 * KEY_DIGEST_BYTES or not set(digest) <= _HEX_DIGITS:
            allowed = f"allowed are digests of {2 * KEY_DIGEST_BYTES} digits"
            yield f"key_digests holds {digest!r}; {allowed}"
    bounds = [
        ("rate", workspace.rate, 0, MAX_RATE),
        ("burst", workspace.burst, 0, MAX_RATE),
    ]
    if workspace.priority is not None:
        bounds.append(("priority", workspace.priority, 0, MAX_WORKSPACE_PRIORITY))
    for field, value, low, high in bounds:
        try:
            checks.check_range(field, value, low, high)
        except errors.InvalidArgument as error:
            yield error.message
    if workspace.burst > 0 and workspace.rate == 0:
        yield f"burst is {workspace.burst} without a rate; allowed is a rate above 0"


def _is_header_text(text: str) -> bool:
    """Whether a name is valid as a header value."""
    return bool(text) and text.isascii() and text.isprintable() and text == text.strip()


def _route_problems(route: Route) -> collections.abc.Iterator[str]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield f"path_prefix is {prefix!r}; allowed is /.../ with a slash at both ends"
    if not route.shares or all(share.weight == 0 for share in route.shares):
        yield "no service with a weight; allowed is one or more"
    bounds = [
        ("timeout_ms", route.timeout_ms, 1, configuration.MAX_TIMEOUT_MS),
        ("target_ms", route.target_ms, 1, configuration.MAX_TIMEOUT_MS),
        ("priority", route.priority, 0, 1_000),
        ("max_attempts", route.max_attempts, 1, MAX_ATTEMPTS),
    ]
    bounds += [("weight", share.weight, 0, MAX_WEIGHT) for share in route.shares]
    for field, value, low, high in bounds:
        try:
            checks.check_range(field, value, low, high)
        except errors.InvalidArgument as error:
            yield error.message


class RouteIndex:
    """An index of a route table.

    :param table: a validated table.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        self._rules: dict[tuple[str, str, int | None], configuration.KindRule] = {}
        self._importance = _importance_function(table)
        self._by_digest: dict[str, Workspace] = {}
        self._by_name: dict[str, Workspace] = {}
        self._spread_targets = _spread_targets(table)
        self.has_caps = any(w.rate > 0 for w in table.workspaces or ())
        for route in table.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
        for workspace in table.workspaces or ():
            self._by_name[workspace.name] = workspace
            for digest in workspace.key_digests:
                self._by_digest[digest] = workspace

    def __repr__(self) -> str:
        return f"RouteIndex(version={self.version}, routes={len(self.table.routes)})"

    @property
    def version(self) -> int:
        """Version of the table."""
        return self.table.version

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        # Every prefix ends with a slash, so only the slashes of the path are tried:
        # the cost does not depend on the number of routes.
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def spread_targets(self, service: str) -> collections.abc.Mapping[str, int]:
        """Return the latency targets of a service in ms by kind, or an empty mapping
        unless they differ by a factor of :data:`TARGET_SPREAD` or more."""
        return self._spread_targets.get(service, _NO_TARGETS)

    @property
    def needs_keys(self) -> bool:
        """Whether requests need API keys, except on public routes."""
        return self.table.workspaces is not None

    def workspace_of(self, digest: str) -> Workspace | None:
        """Return the workspace of an API key, by the digest of the key."""
        return self._by_digest.get(digest)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by its name."""
        return self._by_name.get(name)

    def rule(
        self, route: Route, service: str, workspace: Workspace | None = None
    ) -> configuration.KindRule:
        """Return the rule for a request of a route.

        :param workspace: workspace of the request's API key, if there is one.
        """
        priority = None if workspace is None else workspace.priority
        key = (route.name, service, priority)
        rule = self._rules.get(key)
        if rule is None:
            rule = _rule(route, service, self._importance(route, priority))
            self._rules[key] = rule
        return rule


_NO_TARGETS: collections.abc.Mapping[str, int] = {}


def _spread_targets(table: RouteTable) -> dict[str, dict[str, int]]:
    by_service: dict[str, dict[str, int]] = {}
    for route in table.routes:
        for share in route.shares:
            if share.weight > 0:
                by_service.setdefault(share.service, {})[route.name] = route.target_ms
    return {
        service: targets
        for service, targets in by_service.items()
        if max(targets.values()) >= TARGET_SPREAD * min(targets.values())
    }


_ImportanceFunction = collections.abc.Callable[[Route, int | None], int]
"""Maps a route and the priority of the workspace to an importance class."""


def _importance_function(table: RouteTable) -> _ImportanceFunction:
    """Return the function that orders requests by the priority of the workspace, then
    by that of the route.

    If all workspaces have the same priority, only the priority of the route counts and
    determines the class directly.
    """
    priorities = {workspace.priority for workspace in table.workspaces or ()}
    if len(priorities) <= 1:
        return lambda route, _: _class_at(route.priority)
    sort_keys = sorted(
        {
            _sort_key(route, priority)
            for route in table.routes
            for priority in {*priorities, None}
        }
    )
    classes = {key: _class_at(index) for index, key in enumerate(sort_keys)}
    return lambda route, priority: classes[_sort_key(route, priority)]


def _sort_key(route: Route, priority: int | None) -> tuple[int, int]:
    return (route.priority if priority is None else priority, route.priority)


def _class_at(position: int) -> int:
    """Return the class at a position in the order; the last ones share the lowest."""
    return MAX_PRIORITY - min(MAX_PRIORITY, position)


def _rule(route: Route, service: str, importance: int) -> configuration.KindRule:
    return configuration.KindRule(
        name=ids.KindName(route.name),
        service=ids.ServiceName(service),
        importance=importance,
        path_prefix=route.path_prefix,
        methods=(),
        repeatable=route.type is not RouteType.UNREPEATABLE,
        retry_allowance=route.max_attempts - 1,
        timeout_ms=route.timeout_ms,
        key=configuration.KeyRule.GENERATED,
        target_ms=route.target_ms,
    )
