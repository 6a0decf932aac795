"""Sliding windows of the admitted requests of each workspace, in slices of time."""

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

SLICES = 20
"""Slices in one window."""

TOLERANCE_USED = 0.1
"""Part of the allowed excess of a cap that is granted. The rest covers tokens held in
buckets, late answers and changes of allocator."""

MAX_UNSEEN_SLICES = 6
"""Longest gap between two records of the share, in slices, over which it counts as
delegated. Small deployments send few requests."""


def allowed(state: states.State, cap: routes.Workspace) -> float:
    """Return how many requests a cap allows in a window."""
    tolerance = state.cap_tolerance
    configured = cap.rate * tolerance.window_ms / 1_000.0 + cap.burst
    return configured + TOLERANCE_USED * tolerance.allowed_excess(cap)


def remaining(
    state: states.State, window: states.CapWindow, cap: routes.Workspace
) -> float:
    """Return how many requests this node may still grant now."""
    # The current slice is incomplete, so the window includes one more slice.
    oldest = current_slice(state) - SLICES
    for number in [n for n in window.slices if n < oldest]:
        del window.slices[number]
    total = allowed(state, cap)
    if window.total > total:
        # Usage under the previous, higher cap must not exhaust the lower one.
        for number in window.slices:
            window.slices[number] *= total / window.total
    window.total = total
    return total * state.cap_allocator.delegated_share - used(window)


def record_share(state: states.State, current_share: float) -> None:
    """Record the share of all caps that is currently delegated to this node.

    The share that it may grant is at most the mean over the window, since usage granted
    by earlier allocators still counts.
    """
    allocator = state.cap_allocator
    now = current_slice(state)
    shares = allocator.delegated_shares
    for number in [n for n in shares if n < now - SLICES]:
        del shares[number]
    last = max(shares, default=now)
    if now - last <= MAX_UNSEEN_SLICES:
        gap_share = min(current_share, shares.get(last, current_share))
        shares.update(dict.fromkeys(range(last + 1, now), gap_share))
    shares[now] = min(current_share, shares.get(now, current_share))
    window_total = sum(share for number, share in shares.items() if number < now)
    allocator.delegated_share = min(current_share, window_total / SLICES)


def used(window: states.CapWindow) -> float:
    """Return how many requests are charged to the window."""
    return sum(window.slices.values())


def usage_of(
    state: states.State, workspace: str, window: states.CapWindow
) -> messages.CapUsage:
    """Return the usage of a workspace, for the next allocator."""
    now = current_slice(state)
    first = min(window.slices, default=now)
    last = max(window.slices, default=now)
    milli = (
        int(1_000.0 * window.slices.get(number, 0.0))
        for number in range(first, last + 1)
    )
    return messages.CapUsage(workspace, first - now, tuple(milli))


def import_usage(state: states.State, message: messages.CapHandover) -> None:
    """Add the windows of an allocator that stops to those of this node."""
    allocator = state.cap_allocator
    now = current_slice(state)
    for number in range(now - SLICES, now):
        own = allocator.delegated_shares.get(number, 0.0)
        allocator.delegated_shares[number] = min(1.0, own + message.share)
    for usage in message.used:
        window = allocator.windows.setdefault(usage.workspace, states.CapWindow())
        for index, milli in enumerate(usage.slices_milli):
            _add(window, now + usage.first + index, milli / 1_000.0)


def prune(state: states.State) -> None:
    """Drop windows without usage."""
    oldest = current_slice(state) - SLICES
    windows = state.cap_allocator.windows
    for name, window in list(windows.items()):
        if max(window.slices, default=0) < oldest:
            del windows[name]


def charge(state: states.State, window: states.CapWindow, requests: float) -> None:
    """Charge requests to the current slice."""
    _add(window, current_slice(state), requests)


def refund(state: states.State, window: states.CapWindow, requests: float) -> None:
    """Refund requests that were charged earlier, from the oldest slices first.

    Refunded from the current slice, they would still reduce it after the slices that
    they were charged to have left the window.
    """
    for number in sorted(window.slices):
        if requests <= 0.0:
            return
        taken = min(requests, max(0.0, window.slices[number]))
        window.slices[number] -= taken
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
    slice_ms = _slice_ms(state)
    start = state.now
    while start < until:
        number = int(start / slice_ms)
        end = min(until, (number + 1) * slice_ms)
        _add(window, number, rate_milli * (end - start) / 1e6)
        start = end


def _add(window: states.CapWindow, number: int, requests: float) -> None:
    window.slices[number] = window.slices.get(number, 0.0) + requests


def _slice_ms(state: states.State) -> ids.Milliseconds:
    return state.cap_tolerance.window_ms / SLICES


def current_slice(state: states.State) -> int:
    """Return the number of the current slice."""
    return int(state.now / _slice_ms(state))
