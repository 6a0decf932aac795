"""What operators declare as one whole: routes, with a version that only grows.

A :class:`RouteTable` stands beside the teams' documents of
:mod:`gingerturn.configuration`. Documents name services directly and are merged by
revision; a route table maps hosts and path prefixes to services and always
replaces the one before it. Both end as the same :class:`.configuration.KindRule`,
so the core decides by one model.
"""

import collections.abc
import enum

import msgspec

from gingerturn import configuration, errors
from gingerturn.internal import checks, ids

MAX_PRIORITY = configuration.IMPORTANCE_CLASSES - 1
"""Priorities from 0 (goes first) to this one have an importance class of their own;
later ones share the lowest."""

MAX_VERSION = (1 << 63) - 1
"""Versions travel as numbers of 64 bits."""

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
    """

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits = RequestLimits()
    services: tuple[str, ...] = ()

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
    if problems:
        raise errors.InvalidDocument(problems, step="check routes", peer=origin)
    return table


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
        self._rules: dict[tuple[str, str], configuration.KindRule] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

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

    def rule(self, route: Route, service: str) -> configuration.KindRule:
        """Return the rule by which the core treats a request of a route."""
        key = (route.name, service)
        rule = self._rules.get(key)
        if rule is None:
            rule = _rule(route, service)
            self._rules[key] = rule
        return rule


def _rule(route: Route, service: str) -> configuration.KindRule:
    return configuration.KindRule(
        name=ids.KindName(route.name),
        service=ids.ServiceName(service),
        importance=MAX_PRIORITY - min(MAX_PRIORITY, route.priority),
        path_prefix=route.path_prefix,
        methods=(),
        repeatable=route.type is not RouteType.UNREPEATABLE,
        retry_allowance=route.max_attempts - 1,
        timeout_ms=route.timeout_ms,
        key=configuration.KeyRule.GENERATED,
        target_ms=route.target_ms,
    )
