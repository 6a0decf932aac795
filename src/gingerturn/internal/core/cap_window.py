"""Sliding windows of the admitted requests of each workspace, in slices of time.

An allocator must assume that whatever it has no records of was admitted. A cap that may
be used within a second would have to admit nothing for the rest of the window after a
loss of all memory. Any shorter time is therefore bounded too: as by a token bucket that
fills at the mean rate of the window. A share that is newly delegated starts below
empty, by what the nodes that had it before may have used of the bucket's depth.
"""

import typing

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

SLICES = 20
"""Slices in one window."""

TOLERANCE_USED = 0.5
"""Part of the allowed excess of a cap that is granted in any window."""

LOSS_TOLERANCE_USED = 0.3
"""Part of the allowed excess that is granted in addition in a window in which records
of usage were lost. The rest covers tokens held in buckets and late answers."""

DEPTH_SHARE = 0.5
"""Part of the burst of a cap that is admitted at once. The rest is admitted within the
window. A larger part delays a new allocator: 1.0 admitted 0.86 of demand below the cap
across a partition, 0.5 admitted 0.90."""

REFUND_SLICES = 4
"""Slices before the present one in which unused tokens were usually charged. Refunds to
older ones are lost where the level has reached its depth since."""

MAX_UNSEEN_SLICES = 6
"""Longest gap between two records of the share, in slices, over which it counts as
delegated. Small deployments send few requests."""


class Limits(typing.NamedTuple):
    """What a cap admits, for the whole of it.

    :param rate: requests per second.
    :param depth: requests admitted at once, after some time without any.
    :param debt: level below empty at which a new share starts.
    """

    rate: float
    depth: float
    debt: float


def limits(state: states.State, cap: routes.Workspace) -> Limits:
    """Return the limits of a cap.

    In any window they admit ``rate`` x window at most; across a loss of memory
    ``depth`` - ``debt`` more.
    """
    tolerance = state.cap_tolerance
    rate = 1_000.0 * allowed(state, cap) / tolerance.window_ms
    spare = LOSS_TOLERANCE_USED * tolerance.allowed_excess(cap)
    # A slice of leases is charged at once, and single requests need a whole token.
    depth = max(DEPTH_SHARE * cap.burst, spare, rate * _slice_ms(state) / 1_000.0, 1.0)
    return Limits(rate, depth, max(0.0, depth - spare))


def allowed(state: states.State, cap: routes.Workspace) -> float:
    """Return how many requests a cap allows in a window."""
    tolerance = state.cap_tolerance
    configured = cap.rate * tolerance.window_ms / 1_000.0 + cap.burst
    return configured + TOLERANCE_USED * tolerance.allowed_excess(cap)


class Room(typing.NamedTuple):
    """What an allocator may still grant.

    :param max_rate: rate that all nodes together sustain, per second.
    :param levels: requests that may be granted until each of some times in the future,
        which are in ms from now.
    """

    max_rate: float
    levels: list[tuple[ids.Milliseconds, float]]

    def tokens(self, leased_milli: int = 0) -> float:
        """Return how many single tokens may be granted now.

        :param leased_milli: rate of a lease that is granted at the same time.
        """
        return min(level - leased_milli * ms / 1e6 for ms, level in self.levels)

    def rate(self) -> float:
        """Return the largest rate that may be leased, per second."""
        return max(0.0, min(1_000.0 * level / ms for ms, level in self.levels[1:]))


def room(
    state: states.State,
    window: states.CapWindow,
    cap: routes.Workspace,
    term_ms: ids.Milliseconds,
) -> Room:
    """Return what this node may grant in a term from now on."""
    now = current_slice(state)
    oldest = now - SLICES
    if window.pruned_at != now:
        window.pruned_at = now
        for charged in (window.slices, window.leased):
            for number in [n for n in charged if n < oldest]:
                del charged[number]
    _scale(window, allowed(state, cap))
    rate, depth, debt = limits(state, cap)
    slice_ms = _slice_ms(state)
    fill = rate * slice_ms / 1_000.0
    elapsed = state.now / slice_ms - now
    single = window.slices.get
    leased = window.leased.get
    shares = state.cap_allocator.delegated_shares
    share = shares.get(oldest, 0.0)
    # The oldest slice is in the window in part; all of its usage counts.
    added = (1.0 - elapsed) * fill * share - leased(oldest, 0.0)
    level = min(depth * share, added) - single(oldest, 0.0)
    top, gain = depth * share, fill * share
    for number in range(oldest + 1, now):
        if (later := shares.get(number, 0.0)) != share:
            level -= debt * max(0.0, later - share)
            share, top, gain = later, depth * later, fill * later
        # Leases are used while the slice fills.
        level += gain - leased(number, 0.0)
        if level > top:
            level = top
        level -= single(number, 0.0)
    later = shares.get(now, 0.0)
    level -= debt * max(0.0, later - share)
    share = later
    added = fill * share - leased(now, 0.0)
    level += min(added, elapsed * added)
    level = min(depth * share, level) - single(now, 0.0)
    levels = [(0.0, level)]
    level += max(0.0, (1.0 - elapsed) * added)
    until = (1.0 - elapsed) * slice_ms
    levels.append((max(1.0, until), level))
    while until < term_ms:
        now += 1
        level += fill * share - leased(now, 0.0)
        until += slice_ms
        levels.append((until, level))
    return Room(rate * share, levels)


def _scale(window: states.CapWindow, total: float) -> None:
    """Adapt to a cap that was lowered, under which less can have been admitted."""
    if window.total > total:
        # Usage under the previous, higher cap must not exhaust the lower one.
        for charged in (window.slices, window.leased):
            for number in charged:
                charged[number] *= total / window.total
    window.total = total


def record_share(state: states.State, current_share: float) -> None:
    """Record the share of all caps that is currently delegated to this node.

    A share that grows counts from the next slice on.
    """
    allocator = state.cap_allocator
    now = current_slice(state)
    shares = allocator.delegated_shares
    for number in [n for n in shares if n < now - SLICES]:
        del shares[number]
    last = max(shares, default=now)
    if now - last <= MAX_UNSEEN_SLICES:
        gap_share = min(current_share, allocator.delegated_share)
        shares.update(dict.fromkeys(range(last + 1, now), gap_share))
        shares[now] = min(gap_share, shares.get(now, gap_share))
    else:
        shares[now] = 0.0
    allocator.delegated_share = current_share


def mean_share(state: states.State) -> float:
    """Return the mean share that was delegated to this node in a window."""
    return sum(state.cap_allocator.delegated_shares.values()) / (SLICES + 1)


def usage_of(
    state: states.State, workspace: str, window: states.CapWindow
) -> messages.CapUsage:
    """Return the usage of a workspace, for the next allocator."""
    now = current_slice(state)
    numbers = window.slices.keys() | window.leased.keys()
    first = min(numbers, default=now)
    last = max(numbers, default=now)
    milli = (
        int(1_000.0 * (window.slices.get(number, 0.0) + window.leased.get(number, 0.0)))
        for number in range(first, last + 1)
    )
    return messages.CapUsage(workspace, first - now, tuple(milli))


def import_usage(state: states.State, message: messages.CapHandover) -> None:
    """Add the windows of an allocator that stops to those of this node."""
    allocator = state.cap_allocator
    now = current_slice(state)
    shares = allocator.delegated_shares
    for number in range(now - SLICES, now + 1):
        shares[number] = min(1.0, shares.get(number, 0.0) + message.share)
    allocator.delegated_share = min(1.0, allocator.delegated_share + message.share)
    for usage in message.used:
        window = allocator.windows.setdefault(usage.workspace, states.CapWindow())
        for index, milli in enumerate(usage.slices_milli):
            _add(window.slices, now + usage.first + index, milli / 1_000.0)


def prune(state: states.State) -> None:
    """Drop windows without usage."""
    oldest = current_slice(state) - SLICES
    windows = state.cap_allocator.windows
    for name, window in list(windows.items()):
        latest = max(window.slices, default=0), max(window.leased, default=0)
        if max(latest) < oldest:
            del windows[name]


def charge(state: states.State, window: states.CapWindow, requests: float) -> None:
    """Charge requests to the current slice."""
    _add(window.slices, current_slice(state), requests)


def refund(state: states.State, window: states.CapWindow, requests: float) -> None:
    """Refund tokens that accrued lately and were not used.

    They are taken from the oldest slices in which they may have been charged. Refunded
    from the current slice, they would still reduce it after those have left the window.
    """
    if requests <= 0.0:
        return
    lately = current_slice(state) - REFUND_SLICES
    for charged in (window.leased, window.slices):
        for number in sorted(charged, key=lambda number: (number < lately, number)):
            if requests <= 0.0:
                return
            taken = min(requests, max(0.0, charged[number]))
            charged[number] -= taken
            requests -= taken


def charge_lease(
    state: states.State,
    window: states.CapWindow,
    rate_milli: int,
    until: ids.Milliseconds,
) -> None:
    """Charge a lease to the slices in which its tokens accrue.

    :param rate_milli: thousandths of a request per second; negative to refund the rest
        of a lease.
    """
    if not rate_milli:
        return
    slice_ms = _slice_ms(state)
    start = state.now
    while start < until:
        number = int(start / slice_ms)
        end = min(until, (number + 1) * slice_ms)
        _add(window.leased, number, rate_milli * (end - start) / 1e6)
        start = end


def _add(charged: dict[int, float], number: int, requests: float) -> None:
    charged[number] = charged.get(number, 0.0) + requests


def _slice_ms(state: states.State) -> ids.Milliseconds:
    return state.cap_tolerance.window_ms / SLICES


def current_slice(state: states.State) -> int:
    """Return the number of the current slice."""
    return int(state.now / _slice_ms(state))
