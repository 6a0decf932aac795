"""What happens when: drawn from a seed, and the same for the same seed."""

import enum
import random

import msgspec


class Kind(enum.Enum):
    """What is done to which process or connection."""

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


DRAWN_APART = frozenset({Kind.DEADLY, Kind.LOG_RESTORED})
"""Drawn with chances of their own, so that the seeds that once broke a promise keep
their schedules."""

DRAWN = [kind for kind in Kind if kind not in DRAWN_APART]

DEADLY_SHARE = 0.3
"""Of the runs that may have one."""

DEADLY_S = 9.0
"""A deadly request comes for longer than all nodes may take to hear of its ends."""

PLANNED = frozenset(
    {Kind.NODE_STOP, Kind.NODE_RELOAD, Kind.BACKEND_DRAIN, Kind.CONFIGURE}
)
"""Planned work: what it cuts is the system's own fault."""

SERIES = frozenset({Kind.NODE_STOP, Kind.NODE_RELOAD, Kind.CONFIGURE})
"""These come in series too, with little time between."""

RESTORED_SHARE = 0.5
"""Of the runs in which the log may be restored from a backup."""

MOST_RESTORES = 3
"""A log that was restored may be restored again a moment later."""

QUIET_S = 2.0
"""Before the first step, so that all are ready."""


class Step(msgspec.Struct, frozen=True):
    """One thing that is done.

    :param at: seconds from the start of traffic.
    :param target: number of the machine.
    :param lasts: seconds until it is undone, where it can be.
    """

    at: float
    kind: Kind
    target: int
    lasts: float


def draw(
    seed: int,
    *,
    machines: int,
    length_s: float,
    deadly: bool = False,
    restored: bool = False,
) -> list[Step]:
    """Return the steps of a run, in order of time.

    :param deadly: there may be a request that ends backend servers.
    :param restored: the log may be restored from a backup.
    """
    chance = random.Random(seed)
    steps: list[Step] = []
    for _ in range(chance.randint(4, 8)):
        kind = chance.choice(DRAWN)
        at = chance.uniform(QUIET_S, length_s)
        times = chance.randint(2, 4) if kind in SERIES else 1
        gap = chance.uniform(0.2, 1.5)
        for number in range(times):
            steps.append(
                Step(
                    at=round(at + number * gap, 3),
                    kind=kind,
                    target=chance.randrange(machines),
                    lasts=round(chance.uniform(0.3, 4.0), 3),
                )
            )
    if deadly and chance.random() < DEADLY_SHARE:
        at = round(chance.uniform(QUIET_S, length_s), 3)
        steps.append(Step(at=at, kind=Kind.DEADLY, target=0, lasts=DEADLY_S))
    if restored:
        steps += _restores(random.Random(f"restored {seed}"), length_s)
    return sorted(steps, key=lambda step: step.at)


def _restores(chance: random.Random, length_s: float) -> list[Step]:
    """Return when the log is restored from a backup, and how old that is."""
    if chance.random() >= RESTORED_SHARE:
        return []
    at = chance.uniform(QUIET_S, length_s)
    steps = []
    for _ in range(chance.randint(1, MOST_RESTORES)):
        lasts = round(chance.uniform(0.2, 4.0), 3)
        steps.append(
            Step(at=round(at, 3), kind=Kind.LOG_RESTORED, target=0, lasts=lasts)
        )
        at += lasts + chance.uniform(0.5, 4.0)
    return steps
