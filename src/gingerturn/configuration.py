"""What operators declare: services, kinds of requests and their importance.

A *document* is one team's TOML file. The accepted set of documents is one
*revision* of the configuration and is always applied as a whole. Example::

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
from gingerturn.internal import checks, ids, toml_lines

IMPORTANCE_CLASSES = 8
"""Classes of importance that the rank has room for (three bits)."""

MAX_RETRY_ALLOWANCE = 16
"""More extra attempts than this for one whole request is a retry storm by
declaration, whatever the graph."""

MAX_TIMEOUT_MS = 600_000
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_RETRY_SHARE = 0.1
"""Retries for each first attempt: the usual 10 % of client-side throttling, so
that retries add at most a tenth to the load whatever fails."""

PARSED_KEPT = 512
"""Parsed documents kept. A new revision changes one document of 110 at the design
size; parsing all of them anew stopped a node for 59 ms at each change."""

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods that RFC 9110 calls safe; only these repeat when no kind matches."""


class KeyRule(enum.Enum):
    """What happens to an unrepeatable root call without ``Idempotency-Key``."""

    REQUIRED = "required"
    GENERATED = "generated"


class Importance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of importance; it goes before each class named in ``above``."""

    name: str
    above: list[str] = []


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and the limits of all its upstreams.

    :param slots: bound on the concurrency at one upstream; the smaller of this
        and what the backend server announces counts. 0 means as announced.
    :param retry_share: retries that each first attempt adds to the bucket.
    :param eject_share: share of upstreams that may be ejected as outliers.
    """

    name: str
    slots: int | None = None
    retry_share: float = DEFAULT_RETRY_SHARE
    eject_share: float = 0.5


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request: how it is recognised and what is promised for it.

    :param retry_allowance: extra attempts for the whole tree below one root.
    :param timeout_ms: deadline of a root call whose caller names none.
    """

    name: str
    service: str
    importance: str
    path_prefix: str = "/"
    methods: list[str] = []
    repeatable: bool = True
    retry_allowance: int = 0
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    key: KeyRule = KeyRule.REQUIRED


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One team's file."""

    importance: list[Importance] = []
    service: list[Service] = []
    kind: list[Kind] = []


class KindRule(msgspec.Struct, frozen=True):
    """A kind ready for use by the core, its importance resolved to a class.

    :param target_ms: time within which an answer has its full worth; 0 if not known.
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
    """The accepted set of documents, checked and indexed.

    :param documents: the TOML text of each team's document.
    """

    def __init__(self, documents: dict[str, str]) -> None:
        self.documents = dict(documents)
        parsed = {team: parse(text, team) for team, text in documents.items()}
        _check_together(parsed, documents)
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
        """Digest of the whole set, equal exactly when every text is equal."""
        return digest_of(self.documents)

    @property
    def services(self) -> list[str]:
        """Names of the declared services."""
        return sorted(self._services)

    def service(self, name: str) -> Service:
        """Return a declared service, or the defaults for one that is not."""
        return self._services.get(name) or Service(name=name)

    def classify(self, service: str, method: str, path: str) -> KindRule:
        """Return the rule of the longest matching prefix.

        A call that no kind matches gets the lowest class, no retries, and
        repeats only where RFC 9110 calls its method safe.
        """
        for rule in self._kinds.get(service, ()):
            if not path.startswith(rule.path_prefix):
                continue
            if rule.methods and method not in rule.methods:
                continue
            return rule
        return _DEFAULT_SAFE if method in SAFE_METHODS else _DEFAULT_UNSAFE

    def kinds(self) -> list[KindRule]:
        """Return every declared kind."""
        return [rule for rules in self._kinds.values() for rule in rules]


def digest_of(documents: dict[str, str]) -> str:
    """Return the digest of a set of documents."""
    content = msgspec.json.encode(sorted(documents.items()))
    return hashlib.blake2b(content, digest_size=16).hexdigest()


@functools.lru_cache(maxsize=PARSED_KEPT)
def parse(text: str, origin: str) -> Document:
    """Parse and check one document; the result is shared and must not be changed.

    :param text: the TOML text.
    :param origin: the file's name, for errors.
    :raises InvalidDocument: with every problem found, each with its line.
    """
    # Imported here, as in :func:`.settings.load`.
    import tomllib

    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise _invalid([f"{origin}: not TOML: {error}"], origin) from None
    try:
        document = msgspec.convert(table, Document)
    except msgspec.ValidationError as error:
        raise _invalid([_located(text, origin, str(error))], origin) from None
    problems = _document_problems(document, text, origin)
    if problems:
        raise _invalid(problems, origin)
    return document


def _invalid(problems: list[str], origin: str) -> errors.InvalidDocument:
    return errors.InvalidDocument(problems, step="check configuration", peer=origin)


def _located(text: str, origin: str, message: str) -> str:
    path = re.search(r"at `([^`]*)`", message)
    line = toml_lines.line_of(text, path.group(1)) if path else 1
    if unknown := re.search(r"unknown field `([^`]*)`", message):
        # msgspec names the table only; the key itself is what the author seeks.
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


class _Place(typing.NamedTuple):
    """Where something is declared; its line is only looked up for an error."""

    team: str
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.team}:{toml_lines.line_of(self.text, self.path)}"


def _check_together(parsed: dict[str, Document], texts: dict[str, str]) -> None:
    """Check what no document can tell alone: names across teams."""
    problems: list[str] = []
    classes = {i.name for d in parsed.values() for i in d.importance}
    services = {s.name for d in parsed.values() for s in d.service}
    seen: dict[str, _Place] = {}
    for team, document in parsed.items():
        text = texts[team]
        for index, importance in enumerate(document.importance):
            place = _Place(team, f"$.importance[{index}].name", text)
            _note_twice(seen, f"importance {importance.name}", place, problems)
            for lower in importance.above:
                _check_known("above", lower, classes, place, problems)
        for index, service in enumerate(document.service):
            place = _Place(team, f"$.service[{index}].name", text)
            _note_twice(seen, f"service {service.name}", place, problems)
        for index, kind in enumerate(document.kind):
            place = _Place(team, f"$.kind[{index}].name", text)
            _note_twice(seen, f"kind {kind.name}", place, problems)
            _check_known("service", kind.service, services, place, problems)
            _check_known("importance", kind.importance, classes, place, problems)
    if problems:
        raise _invalid(problems, ", ".join(sorted(parsed)))


def _check_known(
    field: str, name: str, known: set[str], place: _Place, problems: list[str]
) -> None:
    if name not in known:
        problems.append(f"{place}: {field} is {name!r}; allowed are {sorted(known)}")


def _note_twice(
    seen: dict[str, _Place], item: str, place: _Place, problems: list[str]
) -> None:
    if item in seen:
        problems.append(f"{place}: {item} is declared already at {seen[item]}")
    seen.setdefault(item, place)


def _importance_classes(parsed: dict[str, Document]) -> dict[str, int]:
    """Resolve ``above`` to classes: one more than the highest class below."""
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
    for of_service in rules.values():
        of_service.sort(key=lambda rule: (-len(rule.path_prefix), rule.name))
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
