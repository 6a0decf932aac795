"""The configuration: services, kinds of requests and their importance.

A *document* is the TOML file of one team. The accepted documents together form a
*revision* of the configuration, which is applied atomically. Example::

    [[importance]]
    name = "lookup"

    [[importance]]
    name = "protected"
    above = ["lookup"]

    [[service]]
    name = "porting"
    retry_share = 0.1

    [[kind]]
    name = "port-request"
    service = "porting"
    methods = ["POST"]
    path_prefix = "/ports"
    importance = "protected"
    repeatable = false
    timeout_ms = 10000
"""

import enum
import functools
import graphlib
import hashlib
import re
import typing

import msgspec

from gingerturn import errors
from gingerturn.internal import checks, decoding, ids, toml_lines

IMPORTANCE_CLASSES = 8
"""Number of importance classes; a rank has three bits for them."""

MAX_RETRY_ALLOWANCE = 16
"""Upper limit of extra attempts for a root call, against retry storms."""

MAX_TIMEOUT_MS = 600_000
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_RETRY_SHARE = 0.1
"""Retries for each first attempt, so that retries add at most 10 % to the load."""

PARSE_CACHE_SIZE = 512
"""Parsed documents that are cached, since a new revision changes only one of them and
parsing all of them blocks the event loop."""

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Safe methods of RFC 9110; only these are retried if no kind matches."""


class KeyRule(enum.Enum):
    """Treatment of an unrepeatable root call without ``Idempotency-Key``."""

    REQUIRED = "required"
    GENERATED = "generated"


class Importance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An importance class; it takes precedence over those named in ``above``."""

    name: str
    above: list[str] = []


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and the limits that apply to its upstreams.

    :param slots: concurrency limit of one upstream; the smaller of this and the
        announced slots applies. ``None`` means as announced.
    :param retry_share: retries that each first attempt adds to the retry budget.
    :param eject_share: share of upstreams that may be ejected as outliers.
    """

    name: str
    slots: decoding.Integer | None = None
    retry_share: decoding.Number = DEFAULT_RETRY_SHARE
    eject_share: decoding.Number = 0.5


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request: how it is matched and how it is treated.

    :param retry_allowance: extra attempts for all calls below one root.
    :param timeout_ms: timeout of a root call without a deadline.
    """

    name: str
    service: str
    importance: str
    path_prefix: str = "/"
    methods: list[str] = []
    repeatable: bool = True
    retry_allowance: decoding.Integer = 0
    timeout_ms: decoding.Integer = DEFAULT_TIMEOUT_MS
    key: KeyRule = KeyRule.REQUIRED


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file of one team."""

    importance: list[Importance] = []
    service: list[Service] = []
    kind: list[Kind] = []


class KindRule(msgspec.Struct, frozen=True):
    """A kind with its importance resolved to a class.

    :param target_ms: target latency; 0 if unknown.
    """

    name: ids.KindName
    service: ids.ServiceName
    importance: int
    path_prefix: str
    methods: tuple[str, ...]
    repeatable: bool
    retry_allowance: int
    timeout_ms: int
    key: KeyRule
    target_ms: int = 0


class Configuration:
    """A set of documents, validated and indexed.

    :param documents: TOML text by team.
    """

    def __init__(self, documents: dict[str, str]) -> None:
        self.documents = dict(documents)
        parsed = {team: parse(text, team) for team, text in documents.items()}
        _check_across_documents(parsed, documents)
        self._services = {
            service.name: service
            for document in parsed.values()
            for service in document.service
        }
        self.classes = _importance_classes(parsed)
        self._kinds = _kind_rules(parsed, self.classes)

    def __repr__(self) -> str:
        return f"Configuration(teams={sorted(self.documents)}, digest={self.digest!r})"

    @functools.cached_property
    def digest(self) -> str:
        """Digest of all documents; equal if and only if all texts are equal."""
        return digest_of(self.documents)

    @property
    def services(self) -> list[str]:
        """Names of the declared services."""
        return sorted(self._services)

    def service(self, name: str) -> Service:
        """Return a service, with default values if it is not declared."""
        return self._services.get(name) or Service(name=name)

    def classify(self, service: str, method: str, path: str) -> KindRule:
        """Return the rule of the longest matching prefix.

        A call without a matching kind gets the lowest class and no retry allowance;
        it is repeatable only if its method is safe by RFC 9110.
        """
        for rule in self._kinds.get(service, ()):
            if not path.startswith(rule.path_prefix):
                continue
            if rule.methods and method not in rule.methods:
                continue
            return rule
        return _DEFAULT_SAFE if method in SAFE_METHODS else _DEFAULT_UNSAFE

    def kinds(self) -> list[KindRule]:
        """Return the rules of all declared kinds."""
        return [rule for rules in self._kinds.values() for rule in rules]


def digest_of(documents: dict[str, str]) -> str:
    """Return the digest of documents, given by team."""
    content = msgspec.json.encode(sorted(documents.items()))
    return hashlib.blake2b(content, digest_size=16).hexdigest()


@functools.lru_cache(maxsize=PARSE_CACHE_SIZE)
def parse(text: str, origin: str) -> Document:
    """Parse and validate a document; the result is cached and must not be modified.

    :param origin: file name, for errors.
    :raises InvalidDocument: with all problems found, each with its line.
    """
    try:
        table = decoding.decode_toml(text)
    except errors.DecodeError as error:
        raise _invalid([f"{origin}: not TOML: {error}"], origin) from None
    try:
        document = decoding.converter(Document)(table)
    except errors.DecodeError as error:
        raise _invalid([_with_line(text, origin, str(error))], origin) from None
    problems = _document_problems(document, text, origin)
    if problems:
        raise _invalid(problems, origin)
    return document


def _invalid(problems: list[str], origin: str) -> errors.InvalidDocument:
    return errors.InvalidDocument(problems, step="check configuration", peer=origin)


def _with_line(text: str, origin: str, message: str) -> str:
    path = re.search(r"at `([^`]*)`", message)
    line = toml_lines.line_of(text, path.group(1)) if path else 1
    if unknown := re.search(r"unknown field `([^`]*)`", message):
        # msgspec reports the path of the table only, without the unknown key.
        base = path.group(1) if path else "$"
        line = toml_lines.line_of(text, f"{base}.{unknown.group(1)}")
    return f"{origin}:{line}: {message}"


def _document_problems(document: Document, text: str, origin: str) -> list[str]:
    problems: list[str] = []

    def check(path: str, test: object, *arguments: object) -> None:
        try:
            test(*arguments)  # type: ignore[operator]
        except errors.InvalidArgument as error:
            line = toml_lines.line_of(text, path)
            problems.append(f"{origin}:{line}: {error.message}")

    for index, importance in enumerate(document.importance):
        check(f"$.importance[{index}].name", checks.check_name, "name", importance.name)
    for index, service in enumerate(document.service):
        path = f"$.service[{index}]"
        check(f"{path}.name", checks.check_name, "name", service.name)
        if service.slots is not None:
            check(
                f"{path}.slots", checks.check_range, "slots", service.slots, 1, 100_000
            )
        share = service.retry_share
        check(f"{path}.retry_share", checks.check_range, "retry_share", share, 0.0, 1.0)
        share = service.eject_share
        check(f"{path}.eject_share", checks.check_range, "eject_share", share, 0.0, 0.9)
    for index, kind in enumerate(document.kind):
        path = f"$.kind[{index}]"
        check(f"{path}.name", checks.check_name, "name", kind.name)
        check(f"{path}.path_prefix", _check_prefix, kind.path_prefix)
        check(f"{path}.methods", _check_methods, kind.methods)
        check(f"{path}.retry_allowance", _check_allowance, kind)
        check(
            f"{path}.timeout_ms",
            checks.check_range,
            "timeout_ms",
            kind.timeout_ms,
            1,
            MAX_TIMEOUT_MS,
        )
    return problems


def _check_prefix(prefix: str) -> None:
    if not prefix.startswith("/"):
        raise errors.InvalidArgument(
            f"path_prefix is {prefix!r}; allowed is a path that starts with '/'"
        )


def _check_methods(methods: list[str]) -> None:
    for method in methods:
        if not method.isascii() or not method.isupper():
            raise errors.InvalidArgument(
                f"methods holds {method!r}; allowed are upper-case HTTP methods"
            )


def _check_allowance(kind: Kind) -> None:
    checks.check_range("retry_allowance", kind.retry_allowance, 0, MAX_RETRY_ALLOWANCE)


class _Location(typing.NamedTuple):
    """Location of a declaration; its line is computed only for error messages."""

    team: str
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.team}:{toml_lines.line_of(self.text, self.path)}"


def _check_across_documents(parsed: dict[str, Document], texts: dict[str, str]) -> None:
    """Check that names are unique and references resolve across all documents."""
    problems: list[str] = []
    classes = {i.name for d in parsed.values() for i in d.importance}
    services = {s.name for d in parsed.values() for s in d.service}
    seen: dict[str, _Location] = {}
    for team, document in parsed.items():
        text = texts[team]
        for index, importance in enumerate(document.importance):
            location = _Location(team, f"$.importance[{index}].name", text)
            _check_unique(seen, f"importance {importance.name}", location, problems)
            for lower in importance.above:
                _check_known("above", lower, classes, location, problems)
        for index, service in enumerate(document.service):
            location = _Location(team, f"$.service[{index}].name", text)
            _check_unique(seen, f"service {service.name}", location, problems)
        for index, kind in enumerate(document.kind):
            location = _Location(team, f"$.kind[{index}].name", text)
            _check_unique(seen, f"kind {kind.name}", location, problems)
            _check_known("service", kind.service, services, location, problems)
            _check_known("importance", kind.importance, classes, location, problems)
    if problems:
        raise _invalid(problems, ", ".join(sorted(parsed)))


def _check_known(
    field: str, name: str, known: set[str], location: _Location, problems: list[str]
) -> None:
    if name not in known:
        problems.append(f"{location}: {field} is {name!r}; allowed are {sorted(known)}")


def _check_unique(
    seen: dict[str, _Location], item: str, location: _Location, problems: list[str]
) -> None:
    if item in seen:
        problems.append(f"{location}: {item} is declared already at {seen[item]}")
    seen.setdefault(item, location)


def _importance_classes(parsed: dict[str, Document]) -> dict[str, int]:
    """Resolve ``above`` to classes: each is one above the highest in ``above``."""
    below = {i.name: set(i.above) for d in parsed.values() for i in d.importance}
    try:
        order = list(graphlib.TopologicalSorter(below).static_order())
    except graphlib.CycleError as error:
        cycle = " above ".join(reversed(error.args[1]))
        raise _invalid(
            [f"importance has a cycle: {cycle}"], ", ".join(sorted(parsed))
        ) from None
    classes: dict[str, int] = {}
    for name in order:
        classes[name] = max((classes[lower] + 1 for lower in below[name]), default=0)
    if classes and max(classes.values()) >= IMPORTANCE_CLASSES:
        raise _invalid(
            [f"importance has more than {IMPORTANCE_CLASSES} classes above another"],
            ", ".join(sorted(parsed)),
        )
    return classes


def _kind_rules(
    parsed: dict[str, Document], classes: dict[str, int]
) -> dict[str, list[KindRule]]:
    rules: dict[str, list[KindRule]] = {}
    for document in parsed.values():
        for kind in document.kind:
            rule = KindRule(
                name=ids.KindName(kind.name),
                service=ids.ServiceName(kind.service),
                importance=classes[kind.importance],
                path_prefix=kind.path_prefix,
                methods=tuple(kind.methods),
                repeatable=kind.repeatable,
                retry_allowance=kind.retry_allowance,
                timeout_ms=kind.timeout_ms,
                key=kind.key,
            )
            rules.setdefault(kind.service, []).append(rule)
    for service_rules in rules.values():
        service_rules.sort(key=lambda rule: (-len(rule.path_prefix), rule.name))
    return rules


def _default(name: str, *, repeatable: bool) -> KindRule:
    return KindRule(
        name=ids.KindName(name),
        service=ids.ServiceName(""),
        importance=0,
        path_prefix="/",
        methods=(),
        repeatable=repeatable,
        retry_allowance=0,
        timeout_ms=DEFAULT_TIMEOUT_MS,
        key=KeyRule.GENERATED,
    )


_DEFAULT_SAFE = _default("undeclared-safe", repeatable=True)
_DEFAULT_UNSAFE = _default("undeclared-unsafe", repeatable=False)
