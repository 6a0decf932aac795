"""What operators declare as one whole: routes, with a version that only grows.

A :class:`RouteTable` stands beside the teams' documents of
:mod:`gingerturn.configuration`. Documents name services directly and are merged by
revision; a route table maps hosts and path prefixes to services and always
replaces the one before it. Both end as the same :class:`.configuration.KindRule`,
so the core decides by one model.
"""

import collections.abc
import enum
import hashlib

import msgspec

from gingerturn import configuration, errors
from gingerturn.internal import checks, ids

MAX_PRIORITY = configuration.IMPORTANCE_CLASSES - 1
"""Priorities from 0 (goes first) to this one have an importance class of their own;
later ones share the lowest."""

MAX_VERSION = (1 << 63) - 1
"""Versions travel as numbers of 64 bits."""

MAX_WORKSPACE_PRIORITY = 1_000
MAX_RATE = 1e9
_HEX_DIGITS = frozenset("0123456789abcdef")

MAX_ATTEMPTS = 16
MAX_WEIGHT = 1_000_000


class RouteType(enum.Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNREPEATABLE = "unrepeatable"
    DOWNLOAD = "download"


class Share(msgspec.Struct, frozen=True):
    """One service of a route and its weight among the route's services."""

    service: str
    weight: int = 1


class Route(msgspec.Struct, frozen=True):
    """Requests of one host under one path prefix.

    :param timeout_ms: longest time that a request is kept waiting.
    :param target_ms: time within which an answer has its full worth.
    :param priority: rank among the routes, 0 goes first.
    :param max_attempts: upstreams that one request may reach.
    :param public: requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    type: RouteType
    timeout_ms: int
    target_ms: int
    shares: tuple[Share, ...]
    priority: int = 0
    max_attempts: int = 1
    public: bool = False


class Workspace(msgspec.Struct, frozen=True):
    """Whose requests they are that carry one of its API keys.

    :param key_digests: of its API keys, by :func:`key_digest`; the keys themselves are
        kept nowhere.
    :param priority: goes before the priorities of routes, 0 first; ``None`` leaves it
        to these.
    :param rate: requests a second that all nodes together let pass; 0 for any number.
    :param burst: requests that may come at once on top.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


def workspace(
    name: str,
    keys: collections.abc.Sequence[str],
    *,
    priority: int | None = None,
    rate: float = 0.0,
    burst: float = 0.0,
) -> Workspace:
    """Return a workspace by its API keys themselves.

    :param burst: means nothing without a rate.
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
    """Return what stands for an API key everywhere behind the edge.

    API keys are random, so that nothing is found by trying likely ones; a slow hash
    would cost each request more than everything else that is done for it.
    """
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).hexdigest()


class RequestLimits(msgspec.Struct, frozen=True):
    """What callers may send, and how long a connection may take or stay idle.

    :param head_timeout_ms: from the first byte of a head to its last.
    """

    head_bytes: int = 32_768
    body_bytes: int = 67_108_864
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


class RouteTable(msgspec.Struct, frozen=True, tag="routes"):
    """A whole configuration of routes.

    :param version: greater than that of every table before it.
    :param services: every service there is; empty where the table does not say.
    :param workspaces: ``None`` where requests carry no API keys.
    """

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits = RequestLimits()
    services: tuple[str, ...] = ()
    workspaces: tuple[Workspace, ...] | None = None

    def names_service(self, service: str) -> bool:
        """Tell whether there is such a service, as far as the table says."""
        if not self.services or service in self.services:
            return True
        return any(
            share.service == service for route in self.routes for share in route.shares
        )


def check_table(table: RouteTable, *, origin: str) -> RouteTable:
    """Return a table whose values are all allowed.

    :param origin: where the table came from, for the error.
    :raises InvalidDocument: with every problem, each naming field and value.
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
        place = (route.host, route.path_prefix)
        if place in seen:
            problems.append(f"route {route.name!r}: {place} has a route already")
        seen.add(place)
    problems += _workspace_problems(table.workspaces or ())
    if problems:
        raise errors.InvalidDocument(problems, step="check routes", peer=origin)
    return table


def _workspace_problems(
    workspaces: tuple[Workspace, ...],
) -> collections.abc.Iterator[str]:
    names: set[str] = set()
    holders: dict[str, str] = {}
    for workspace in workspaces:
        where = f"workspace {workspace.name!r}"
        if workspace.name in names:
            yield f"{where}: the name is taken; allowed is one of each name"
        names.add(workspace.name)
        for digest in workspace.key_digests:
            holder = holders.setdefault(digest, workspace.name)
            if holder != workspace.name:
                yield (
                    f"{where}: key_digests holds {digest!r}, which {holder!r} has too;"
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
    """Tell whether a name can stand in a header of its own."""
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
    """A route table made ready for look-ups.

    :param table: a checked table.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        self._rules: dict[tuple[str, str, int | None], configuration.KindRule] = {}
        self._importance = _importance_of(table)
        self._by_digest: dict[str, Workspace] = {}
        self._by_name: dict[str, Workspace] = {}
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
        """Return the route of a host whose prefix is the longest that fits."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        # Every prefix ends with a slash, so only the path's slashes can end one;
        # that costs a few look-ups however many routes a host has.
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    @property
    def needs_keys(self) -> bool:
        """Whether requests carry API keys, but for those on public routes."""
        return self.table.workspaces is not None

    def workspace_of(self, digest: str) -> Workspace | None:
        """Return whose API key it is that has a digest."""
        return self._by_digest.get(digest)

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace of a name."""
        return self._by_name.get(name)

    def rule(
        self, route: Route, service: str, workspace: Workspace | None = None
    ) -> configuration.KindRule:
        """Return the rule by which the core treats a request of a route.

        :param workspace: whose request it is.
        """
        priority = None if workspace is None else workspace.priority
        key = (route.name, service, priority)
        rule = self._rules.get(key)
        if rule is None:
            rule = _rule(route, service, self._importance(route, priority))
            self._rules[key] = rule
        return rule


Importance = collections.abc.Callable[[Route, int | None], int]
"""Gives the class of a request by its route and its workspace's priority."""


def _importance_of(table: RouteTable) -> Importance:
    """Return how a table orders its requests: by the priority of the workspace, then
    by that of the route.

    Where all workspaces have the same priority it tells nothing, and each priority of
    the routes keeps a class of its own.
    """
    priorities = {workspace.priority for workspace in table.workspaces or ()}
    if len(priorities) <= 1:
        return lambda route, _: _class_at(route.priority)
    order = sorted(
        {
            _order(route, priority)
            for route in table.routes
            for priority in {*priorities, None}
        }
    )
    classes = {place: _class_at(index) for index, place in enumerate(order)}
    return lambda route, priority: classes[_order(route, priority)]


def _order(route: Route, priority: int | None) -> tuple[int, int]:
    return (route.priority if priority is None else priority, route.priority)


def _class_at(place: int) -> int:
    """Return the class of what has so many before it; later ones share the lowest."""
    return MAX_PRIORITY - min(MAX_PRIORITY, place)


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
