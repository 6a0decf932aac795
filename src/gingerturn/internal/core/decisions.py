"""Decision records in a fixed amount of memory, queried by ``gingerturn why``.

Two rings hold packed records of 64 bytes, so 65,536 records take 4 MB. Refusals have
a ring of their own: admissions outnumber them and would evict them within minutes.
"""

import enum
import struct

import msgspec

from gingerturn.internal import decoding, ids
from gingerturn.internal.core import ranks

_RECORD = struct.Struct("<QdQHHI4fQ")
"""Sequence number, time, root, rule, kind, rank, four figures, revision."""

_SLOT_BYTES = 64
_NO_FIGURES = (0.0, 0.0, 0.0, 0.0)
_MAX_KIND = 0xFFFF


class Rule(enum.IntEnum):
    """The rule that made a decision."""

    SENT = 1
    LEVEL = 2
    TREE_LEVEL = 3
    NO_UPSTREAM = 4
    NOT_IN_TIME = 5
    KEY_REQUIRED = 6
    RETRIED = 7
    RETRY_NO_ALLOWANCE = 8
    RETRY_NO_BUDGET = 9
    RETRY_NO_UPSTREAM = 10
    OUTCOME_UNKNOWN = 11
    CALLER_GONE = 12
    DEADLINE_PASSED = 13
    REDIRECTED = 14
    RUN = 20
    QUEUED = 21
    QUEUE_FULL = 22
    QUEUE_EXPIRED = 23
    LEAVING = 24
    NO_BACKEND = 25
    CLAIM_LOST = 26
    LOG_UNAVAILABLE = 27
    KEY_INVALID = 28
    ALREADY_RUN = 29
    JOINED_FIRST = 30
    BACKEND_UNREACHABLE = 31
    STOPPING = 32
    BACKEND_REFUSED = 33
    NO_ROUTE = 34
    NO_CONFIGURATION = 35
    RETRY_RATIONED = 36
    BACKEND_ENDED = 37
    QUARANTINED = 38
    KEY_UNKNOWN = 39
    KEY_UNSETTLED = 40
    KEYS_STALE = 41
    PARENT_UNKNOWN = 42
    OVER_CAP = 43
    RATE_LIMITED = 44
    ROUTE_UNSETTLED = 45
    WAIT_TOO_LONG = 46
    CAP_UNANSWERED = 47
    OUTLASTS_STOP = 48


REFUSALS = frozenset(Rule) - {Rule.SENT, Rule.RUN, Rule.QUEUED, Rule.JOINED_FIRST}


def is_failure(rule: int, status: int) -> bool:
    """Whether a decision fails, retries or redirects a request.

    :param rule: number of a :class:`Rule`.
    """
    return rule in REFUSALS or status >= 500


def known_rule(number: int) -> Rule:
    """Return the rule with a number that another node sent.

    Nodes of a later version may have further rules; one of them says nothing here.
    """
    try:
        return Rule(number)
    except ValueError:
        return Rule.OUTCOME_UNKNOWN


def description_of(rule: Rule) -> str:
    """Return the description of a rule as a sentence."""
    return _DESCRIPTIONS[rule]


def named_figures(rule: Rule, figures: tuple[float, ...]) -> dict[str, float]:
    """Return the inputs of a rule by name."""
    names = _FIGURES.get(rule, ())
    pairs = zip(names, figures, strict=False)
    return {name: round(value, 3) for name, value in pairs if name}


_FIGURES = {
    Rule.LEVEL: (
        "level of the service",
        "age in ms of that word",
        "own rank",
        "share factor of the workspace",
    ),
    Rule.TREE_LEVEL: ("level of the services below", "own rank below", "", ""),
    Rule.NOT_IN_TIME: ("ms to the deadline", "observed service ms", "ms of wait", ""),
    Rule.RETRIED: ("tokens left", "service budget left", "attempts so far", ""),
    Rule.RETRY_NO_ALLOWANCE: ("tokens left", "service budget", "attempts so far", ""),
    Rule.RETRY_NO_BUDGET: ("tokens left", "service budget left", "attempts so far", ""),
    Rule.RETRY_RATIONED: ("service budget left", "least rank", "own rank", ""),
    Rule.QUARANTINED: (
        "backend servers ended",
        "s since the last",
        "s until a trial",
        "",
    ),
    Rule.KEY_UNSETTLED: ("version in force", "version heard of", "", ""),
    Rule.ROUTE_UNSETTLED: (
        "active version",
        "latest known version",
        "ms since the log had no later one",
        "ms allowed",
    ),
    Rule.KEYS_STALE: ("ms since the version was the newest", "ms allowed", "", ""),
    Rule.OVER_CAP: ("requests left", "requests a second here", "cap", "ms to wait"),
    Rule.CAP_UNANSWERED: (
        "ms since the allocator answered",
        "calls that wait for it",
        "cap",
        "ms to wait",
    ),
    Rule.RATE_LIMITED: ("requests a second", "calls left", "queued", "ms of wait"),
    Rule.OUTLASTS_STOP: ("ms left", "expected ms", "", ""),
    Rule.WAIT_TOO_LONG: ("ms of wait expected", "ms allowed", "queued", ""),
    Rule.RUN: ("running", "limit", "queued", "ms waited"),
    Rule.QUEUED: ("running", "limit", "queued", "queue bound"),
    Rule.QUEUE_FULL: ("running", "limit", "queued", "queue bound"),
    Rule.QUEUE_EXPIRED: ("running", "limit", "queued", "ms waited"),
}

_OMITTED_IF_ZERO = frozenset({"share factor of the workspace"})
"""Figures of a few decisions only; unused fields of a record hold 0."""

_DESCRIPTIONS = {
    Rule.SENT: "The upstream's answer was relayed to the caller.",
    Rule.LEVEL: (
        "Refused before any work: the service, or one that its calls go on to, sheds"
        " calls of this rank at present."
    ),
    Rule.TREE_LEVEL: (
        "Refused before any work: a service that calls of this kind go on to sheds"
        " calls of this rank at present."
    ),
    Rule.NO_UPSTREAM: "Refused: no node is known that offers the service.",
    Rule.NOT_IN_TIME: "Refused: the call could not have finished in time.",
    Rule.KEY_REQUIRED: (
        "Refused: calls of this kind never repeat and need an Idempotency-Key."
    ),
    Rule.RETRIED: "Sent again, to another upstream.",
    Rule.RETRY_NO_ALLOWANCE: (
        "Not sent again: the whole request has used up its retry allowance."
    ),
    Rule.RETRY_NO_BUDGET: "Not sent again: the service's retry budget is used up.",
    Rule.RETRY_RATIONED: (
        "Not sent again: the service's retry budget is short and goes to calls of"
        " higher rank."
    ),
    Rule.RETRY_NO_UPSTREAM: "Not sent again: no other upstream would take it.",
    Rule.OUTCOME_UNKNOWN: (
        "Answered as unknown: the call was dispatched, its outcome is not known, and it"
        " must not be repeated."
    ),
    Rule.CALLER_GONE: "Cancelled: the caller went away.",
    Rule.DEADLINE_PASSED: "Given up: the deadline passed.",
    Rule.REDIRECTED: "Sent to another node: the previous one did not run it.",
    Rule.RUN: "Dispatched to the backend server.",
    Rule.QUEUED: "Queued: every slot within the limit is in use.",
    Rule.QUEUE_FULL: "Shed: the queue was full and this call ranked lowest in it.",
    Rule.QUEUE_EXPIRED: "Dropped from the queue: it could no longer finish in time.",
    Rule.LEAVING: "Refused: the backend server is leaving and takes no new work.",
    Rule.NO_BACKEND: "Refused: no backend server is announced at this node.",
    Rule.CLAIM_LOST: "Not run here: another node holds the claim of this key.",
    Rule.LOG_UNAVAILABLE: (
        "Refused: the claim of the key could not be confirmed on the log."
    ),
    Rule.KEY_INVALID: (
        "Refused: the key is not a UUIDv7, or its time is outside the window that the"
        " log covers."
    ),
    Rule.ALREADY_RUN: "Not run: the call of this key has run already.",
    Rule.JOINED_FIRST: "Not run: it waits for the first call with this key.",
    Rule.BACKEND_UNREACHABLE: (
        "Refused: the backend server could not be reached; nothing was dispatched."
    ),
    Rule.STOPPING: "Refused: this node is stopping.",
    Rule.OUTLASTS_STOP: (
        "Refused: calls of this kind may take longer than the stop of this node leaves."
    ),
    Rule.BACKEND_REFUSED: (
        "Refused: the backend server rejected the call without running it."
    ),
    Rule.BACKEND_ENDED: (
        "Answered as unknown: the backend server crashed while running the call."
    ),
    Rule.QUARANTINED: (
        "Quarantined: backend servers crashed while running this request, whatever its"
        " id."
    ),
    Rule.NO_ROUTE: "Refused: the route table has no route for this host and path.",
    Rule.ROUTE_UNSETTLED: (
        "Refused: the route table has no route for this host and path, but a later one"
        " may have."
    ),
    Rule.NO_CONFIGURATION: "Refused: this node has no configuration yet.",
    Rule.KEY_UNKNOWN: (
        "Refused: the request has no API key, or one that belongs to no workspace."
    ),
    Rule.KEY_UNSETTLED: (
        "Refused: the API key belongs to no workspace, but may in a later configuration"
        " that this node is fetching."
    ),
    Rule.KEYS_STALE: (
        "Refused: this node could not verify for too long that its configuration is the"
        " newest; API keys may have been revoked."
    ),
    Rule.PARENT_UNKNOWN: (
        "Refused: the request names a parent that does not run here, and has no API key"
        " of its own."
    ),
    Rule.OVER_CAP: "Refused: the workspace has reached its usage cap.",
    Rule.CAP_UNANSWERED: (
        "Refused: the cap allocator did not say in time whether the usage cap of the"
        " workspace is reached."
    ),
    Rule.WAIT_TOO_LONG: (
        "Shed on arrival: it would have waited longer than a quarter of its target."
    ),
    Rule.RATE_LIMITED: (
        "Shed: the rate limit that the backend server reports is used up at present."
    ),
}


class Decision(msgspec.Struct, frozen=True):
    """One decision, as the administration API returns it.

    :param id: as sent in the header ``Gingerturn-Decision``.
    :param time: milliseconds since the epoch.
    :param words: description of the rule.
    :param figures: inputs of the rule, by name.
    """

    id: str
    time: decoding.Number
    root: str
    rule: str
    kind: str
    rank: str
    words: str
    figures: dict[str, decoding.Number]
    revision: decoding.Whole


decode_decision = decoding.json_decoder(Decision)


class _Ring:
    """Packed records by sequence number; new records overwrite the oldest."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.buffer = bytearray(size * _SLOT_BYTES)

    def read(self, sequence: int) -> tuple[float, ...] | None:
        offset = (sequence % self.size) * _SLOT_BYTES
        record = _RECORD.unpack_from(self.buffer, offset)
        return record if record[0] == sequence else None


class DecisionLog:
    """The decisions of one node.

    Invariant: a sequence number is odd exactly for refusals, so an id alone identifies
    the ring that holds it.

    :param node: the node, first part of each id.
    :param size: records kept in each ring.
    """

    def __init__(self, *, node: ids.NodeId, size: int) -> None:
        self._node = node
        self._next = 1
        self._admissions = _Ring(size)
        self._refusals = _Ring(size)
        self._kinds: list[str] = []
        self._kind_numbers: dict[str, int] = {}

    def record(
        self,
        rule: Rule,
        *,
        now: ids.Milliseconds,
        root: ids.RootHash,
        kind: str,
        rank: ids.Rank,
        revision: ids.Revision,
        figures: tuple[float, ...] = (),
    ) -> str:
        """Store a decision and return its id."""
        refusal = rule in REFUSALS
        self._next += 1
        sequence = self._next * 2 + refusal
        ring = self._refusals if refusal else self._admissions
        if len(figures) != len(_NO_FIGURES):
            figures = (*figures, *_NO_FIGURES)[: len(_NO_FIGURES)]
        number = self._kind_numbers.get(kind)
        if number is None:
            number = self._add_kind(kind)
        _RECORD.pack_into(
            ring.buffer,
            (sequence % ring.size) * _SLOT_BYTES,
            sequence,
            now,
            root,
            rule,
            number,
            rank,
            *figures,
            revision,
        )
        return f"{self._node}:{sequence:x}"

    def find(self, decision_id: str) -> Decision | None:
        """Return a decision, or ``None`` if it is unknown or was overwritten."""
        node, _, digits = decision_id.rpartition(":")
        if node != self._node:
            return None
        sequence = decoding.parse_whole(digits, most=decoding.MAX_WHOLE, base=16)
        if not sequence:
            return None
        ring = self._refusals if sequence % 2 else self._admissions
        record = ring.read(sequence)
        if record is None:
            return None
        return self._unpack(decision_id, record)

    def _unpack(self, decision_id: str, record: tuple[float, ...]) -> Decision:
        _, time, root, rule_number, kind, rank, *rest = record
        rule = Rule(int(rule_number))
        names = _FIGURES.get(rule, ("", "", "", ""))
        figures = {
            name: value
            for name, value in zip(names, rest, strict=False)
            if name and (value or name not in _OMITTED_IF_ZERO)
        }
        return Decision(
            id=decision_id,
            time=time,
            root=f"{int(root):016x}",
            rule=rule.name.lower().replace("_", "-"),
            kind=self._kinds[int(kind)],
            rank=ranks.describe(int(rank)),
            words=_DESCRIPTIONS[rule],
            figures=figures,
            revision=int(rest[4]),
        )

    def _add_kind(self, kind: str) -> int:
        number = min(len(self._kinds), _MAX_KIND)
        self._kinds.append(kind)
        self._kind_numbers[kind] = number
        return number
