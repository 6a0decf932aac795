"""Schedules of faults, drawn from a seed and reproducible by it."""

import enum
import random

import msgspec


class Kind(enum.Enum):
    """What a step does to a process or connection."""

    NODE_KILL = "node-kill"
    NODE_STOP = "node-stop"
    NODE_PAUSE = "node-pause"
    NODE_RELOAD = "node-reload"
    BACKEND_KILL = "backend-kill"
    BACKEND_PAUSE = "backend-pause"
    BACKEND_DRAIN = "backend-drain"
    BACKEND_REFUSE = "backend-refuse"
    BACKEND_CUT = "backend-cut"
    BACKEND_LINK = "backend-link"
    BACKEND_RESET = "backend-reset"
    LOG_DOWN = "log-down"
    LOG_SILENT = "log-silent"
    LOG_SLOW = "log-slow"
    LOG_LOSES = "log-loses"
    LOG_LINK = "log-link"
    PEERS_LINK = "peers-link"
    PEERS_RESET = "peers-reset"
    CALLER_RESET = "caller-reset"
    CONFIGURE = "configure"
    DEADLY = "deadly"
    LOG_RESTORED = "log-restored"
    BACKEND_LIMIT = "backend-limit"
    BACKEND_LEAVING = "backend-leaving"
    CONNECTIONS_SILENT = "connections-silent"
    BACKEND_UNRELATED = "backend-unrelated"
    NODE_STOP_RELOAD = "node-stop-reload"
    NODE_STOP_TWICE = "node-stop-twice"
    NODE_STOP_PAUSE = "node-stop-pause"
    NODE_START_STOP = "node-start-stop"
    NODE_START_HALF = "node-start-half"
    NODE_ADDRESS_HELD = "node-address-held"
    NODE_SETTINGS_HALF = "node-settings-half"
    NODE_STARVED = "node-starved"
    BACKEND_STALL = "backend-stall"
    CALLERS_LEAVE = "callers-leave"
    ODD_ENTRIES = "odd-entries"
    POWER_LOSS = "power-loss"
    LOG_TRIMMED = "log-trimmed"
    BACKEND_DEPARTURE = "backend-departure"


LASTING_KINDS = (
    Kind.NODE_STOP,
    Kind.NODE_STOP_RELOAD,
    Kind.NODE_STOP_TWICE,
    Kind.NODE_STOP_PAUSE,
    Kind.NODE_START_STOP,
    Kind.NODE_START_HALF,
    Kind.NODE_ADDRESS_HELD,
    Kind.NODE_SETTINGS_HALF,
    Kind.NODE_STARVED,
    Kind.BACKEND_STALL,
    Kind.BACKEND_DRAIN,
    Kind.CALLERS_LEAVE,
)
"""Steps under requests that last."""

_COMMON_LASTING_KINDS = {Kind.NODE_STOP, Kind.BACKEND_DRAIN}

SEPARATELY_DRAWN = frozenset(
    {
        Kind.DEADLY,
        Kind.LOG_RESTORED,
        Kind.BACKEND_LIMIT,
        Kind.BACKEND_LEAVING,
        Kind.CONNECTIONS_SILENT,
        Kind.BACKEND_UNRELATED,
        Kind.ODD_ENTRIES,
        Kind.POWER_LOSS,
        Kind.LOG_TRIMMED,
        Kind.BACKEND_DEPARTURE,
        *(kind for kind in LASTING_KINDS if kind not in _COMMON_LASTING_KINDS),
    }
)
"""Drawn separately: enabling them leaves the other steps of a seed unchanged."""

COMMON_KINDS = [kind for kind in Kind if kind not in SEPARATELY_DRAWN]

DEADLY_SHARE = 0.3
"""Share of the runs with crashing requests, where these are enabled."""

DEADLY_S = 9.0
"""Duration of crashing requests: longer than reports of crashes take to spread."""

PLANNED_KINDS = frozenset(
    {
        Kind.NODE_STOP,
        Kind.NODE_RELOAD,
        Kind.BACKEND_DRAIN,
        Kind.BACKEND_LIMIT,
        Kind.BACKEND_LEAVING,
        Kind.CONFIGURE,
        Kind.NODE_STOP_RELOAD,
        Kind.NODE_STOP_TWICE,
        Kind.NODE_START_STOP,
        Kind.NODE_START_HALF,
        Kind.NODE_ADDRESS_HELD,
        Kind.NODE_SETTINGS_HALF,
        Kind.CALLERS_LEAVE,
        Kind.ODD_ENTRIES,
    }
)
"""Planned operations, and entries of another writer, which must not cut requests."""

HARMLESS_KINDS = frozenset({Kind.CONFIGURE, Kind.ODD_ENTRIES})
"""Kinds that delay neither a start nor a later version."""

REPEATED_KINDS = frozenset({Kind.NODE_STOP, Kind.NODE_RELOAD, Kind.CONFIGURE})
"""Kinds that are repeated after a short time."""

RESTORED_SHARE = 0.5
"""Share of the runs with restorations of the log, where these are enabled."""

MAX_RESTORES = 3
"""Most restorations of the log in one run."""

LIMIT_S = 6.0
"""Minimum duration of a rate limit: longer than until it is checked."""

SILENCED_SHARE = 0.5
"""Share of the runs in which connections fall silent, where this is enabled."""

MAX_SILENCES = 2
"""Most times that connections fall silent in one run."""

MAX_UNRELATED = 3
"""Most times that a backend server sends unrelated answers in one run."""

UNRELATED_S = 2.0
"""Minimum duration of unrelated answers."""

MAX_ODD = 4
"""Most times that another writer appends odd entries in one run."""

MAX_LOST_HISTORIES = 2
"""Most times that the log loses its history beside a stop in one run."""

MAX_LASTING = 6
"""Most steps under requests that last, each of them twice at times."""

MAX_DEPARTURES = 2
"""Most backend servers that leave beside a kill of their node in one run."""

STALL_S = 1.0
"""Minimum duration of an upstream that does not read."""

PUBLISHED_AFTER_S = 0.5
"""Longest time from then until a configuration is published."""

MAX_REPORTS = 3
"""Most backend servers that report a limit, or leaving, in one run."""

WARM_UP_S = 2.0
"""Time before the first step, in which all nodes become ready."""


class Step(msgspec.Struct, frozen=True):
    """One step of a schedule.

    :param at: seconds from the start of traffic.
    :param target: index of the machine.
    :param duration_s: time until it is undone, where it can be.
    """

    at: float
    kind: Kind
    target: int
    duration_s: float


def draw(
    seed: int,
    *,
    machines: int,
    length_s: float,
    deadly: bool = False,
    restored: bool = False,
    reported: bool = False,
    silenced: bool = False,
    unrelated: bool = False,
    odd: bool = False,
    departed: bool = False,
    lasting: bool = False,
    calm: bool = False,
) -> list[Step]:
    """Return the steps of a run, in order of time.

    :param deadly: whether requests that crash backend servers may be drawn.
    :param restored: whether restorations of the log may be drawn.
    :param reported: whether backend servers report limits and leaving in answers.
    :param silenced: whether open connections may fall silent for good.
    :param unrelated: whether backend servers send answers that belong to no request.
    :param odd: whether another writer appends odd entries, and the log loses its
        history beside stops.
    :param departed: whether backend servers leave beside a kill of their node.
    :param lasting: whether requests last, with the steps that go with them.
    :param calm: whether the common steps are planned ones only.
    """
    rng = random.Random(seed)
    steps: list[Step] = []
    for _ in range(rng.randint(4, 8)):
        kind = rng.choice(COMMON_KINDS)
        at = rng.uniform(WARM_UP_S, length_s)
        times = rng.randint(2, 4) if kind in REPEATED_KINDS else 1
        gap = rng.uniform(0.2, 1.5)
        for number in range(times):
            steps.append(
                Step(
                    at=round(at + number * gap, 3),
                    kind=kind,
                    target=rng.randrange(machines),
                    duration_s=round(rng.uniform(0.3, 4.0), 3),
                )
            )
    if deadly and rng.random() < DEADLY_SHARE:
        at = round(rng.uniform(WARM_UP_S, length_s), 3)
        steps.append(Step(at=at, kind=Kind.DEADLY, target=0, duration_s=DEADLY_S))
    if restored:
        steps += _restores(random.Random(f"restored {seed}"), length_s)
    if reported:
        steps += _reports(random.Random(f"reported {seed}"), machines, length_s)
    if silenced:
        steps += _silences(random.Random(f"silenced {seed}"), length_s)
    if unrelated:
        steps += _unrelated(random.Random(f"unrelated {seed}"), machines, length_s)
    if odd:
        steps += _odd(random.Random(f"odd {seed}"), machines, length_s)
    if departed:
        steps += _departures(random.Random(f"departed {seed}"), machines, length_s)
    if calm:
        steps = [step for step in steps if step.kind in PLANNED_KINDS]
    if lasting:
        steps += _lasting(random.Random(f"lasting {seed}"), machines, length_s)
    return sorted(steps, key=lambda step: step.at)


def _lasting(rng: random.Random, machines: int, length_s: float) -> list[Step]:
    """Return steps under requests that last: in series at one machine or two, which may
    overlap, with versions published meanwhile."""
    steps = []
    for _ in range(rng.randint(3, MAX_LASTING)):
        kind = rng.choice(LASTING_KINDS)
        at = rng.uniform(WARM_UP_S, length_s)
        duration_s = STALL_S + rng.uniform(0.0, 4.0)
        for target in rng.sample(range(machines), rng.randint(1, min(2, machines))):
            steps.append(Step(round(at, 3), kind, target, round(duration_s, 3)))
            at += rng.uniform(0.0, 1.5)
        if rng.random() < 0.5:
            steps.append(Step(round(at, 3), Kind.CONFIGURE, 0, 0.0))
    at = round(rng.uniform(WARM_UP_S, length_s), 3)
    return [*steps, Step(at, Kind.NODE_STOP, rng.randrange(machines), 0.0)]


def _odd(rng: random.Random, machines: int, length_s: float) -> list[Step]:
    """Return odd entries, each beside a start of nodes that read them (the first beside
    a start of all), and stops beside which the log loses its history."""
    steps = []
    starts = [Kind.POWER_LOSS]
    choice = (Kind.POWER_LOSS, Kind.NODE_KILL, Kind.NODE_STOP, Kind.NODE_STOP)
    starts += [rng.choice(choice) for _ in range(rng.randint(1, MAX_ODD - 1))]
    for kind in starts:
        at = rng.uniform(WARM_UP_S, length_s)
        duration_s = round(rng.uniform(0.3, 2.0), 3)
        target = rng.randrange(machines)
        steps.append(Step(round(at, 3), kind, target, duration_s))
        at += rng.uniform(-1.5, 1.5)
        steps.append(Step(round(at, 3), Kind.ODD_ENTRIES, target, duration_s))
    for _ in range(rng.randint(0, MAX_LOST_HISTORIES)):
        kind = rng.choice((Kind.LOG_RESTORED, Kind.LOG_TRIMMED))
        at = rng.uniform(WARM_UP_S, length_s)
        duration_s = round(rng.uniform(0.2, 3.0), 3)
        steps.append(Step(round(at, 3), kind, 0, duration_s))
        at += duration_s + rng.uniform(-1.0, 0.5)
        target = rng.randrange(machines)
        steps.append(Step(round(at, 3), Kind.NODE_STOP, target, 0.0))
    return steps


def _departures(rng: random.Random, machines: int, length_s: float) -> list[Step]:
    """Return departures of backend servers; a step lasts while the node is down."""
    targets = rng.sample(range(machines), min(machines, MAX_DEPARTURES))
    return [
        Step(
            at=round(rng.uniform(WARM_UP_S, length_s), 3),
            kind=Kind.BACKEND_DEPARTURE,
            target=target,
            duration_s=round(rng.uniform(0.2, 2.0), 3),
        )
        for target in targets[: rng.randint(1, MAX_DEPARTURES)]
    ]


def _silences(rng: random.Random, length_s: float) -> list[Step]:
    """Return times at which all open connections fall silent, each followed by a
    configuration."""
    if rng.random() >= SILENCED_SHARE:
        return []
    steps = []
    for _ in range(rng.randint(1, MAX_SILENCES)):
        at = rng.uniform(WARM_UP_S, length_s)
        later = at + rng.uniform(0.0, PUBLISHED_AFTER_S)
        for kind, when in ((Kind.CONNECTIONS_SILENT, at), (Kind.CONFIGURE, later)):
            steps.append(Step(at=round(when, 3), kind=kind, target=0, duration_s=0.0))
    return steps


def _unrelated(rng: random.Random, machines: int, length_s: float) -> list[Step]:
    """Return times in which backend servers send unrelated answers."""
    return [
        Step(
            at=round(rng.uniform(WARM_UP_S, length_s), 3),
            kind=Kind.BACKEND_UNRELATED,
            target=rng.randrange(machines),
            duration_s=round(UNRELATED_S + rng.uniform(0.0, 4.0), 3),
        )
        for _ in range(rng.randint(1, MAX_UNRELATED))
    ]


def _reports(rng: random.Random, machines: int, length_s: float) -> list[Step]:
    """Return limits and leavings that backend servers report in answers."""
    steps = []
    for target in rng.sample(range(machines), rng.randint(1, MAX_REPORTS)):
        kind = rng.choice(
            (Kind.BACKEND_LIMIT, Kind.BACKEND_LIMIT, Kind.BACKEND_LEAVING)
        )
        shortest_s = LIMIT_S if kind is Kind.BACKEND_LIMIT else 0.0
        steps.append(
            Step(
                at=round(rng.uniform(WARM_UP_S, length_s), 3),
                kind=kind,
                target=target,
                duration_s=round(shortest_s + rng.uniform(0.5, 4.0), 3),
            )
        )
    return steps


def _restores(rng: random.Random, length_s: float) -> list[Step]:
    """Return restorations of the log; the duration of a step is its backup's age."""
    if rng.random() >= RESTORED_SHARE:
        return []
    at = rng.uniform(WARM_UP_S, length_s)
    steps = []
    for _ in range(rng.randint(1, MAX_RESTORES)):
        duration_s = round(rng.uniform(0.2, 4.0), 3)
        steps.append(
            Step(
                at=round(at, 3), kind=Kind.LOG_RESTORED, target=0, duration_s=duration_s
            )
        )
        at += duration_s + rng.uniform(0.5, 4.0)
    return steps
