"""What was let pass of a cap in the last window, counted in slices of time."""

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

SLICES = 20
"""Of a window; what was used leaves it a twentieth at a time."""


TOLERANCE_USED = 0.1
"""Part of what operators let a cap be passed by that is let pass: a request refused
below that is lost for nothing. The rest is for what buckets hold, for nodes that answer
late and for moments in which a keeper is replaced."""

MOST_UNSEEN = 6
"""Slices without a word of any node after which its loan counts as lent all the while:
a small deployment has few that could speak."""


def allowed(state: states.State, cap: routes.Workspace) -> float:
    """Return how many requests a cap lets pass in a window."""
    tolerance = state.cap_tolerance
    named = cap.rate * tolerance.window_ms / 1_000.0 + cap.burst
    return named + TOLERANCE_USED * tolerance.allowed_excess(cap)


def remaining(
    state: states.State, window: states.CapWindow, cap: routes.Workspace
) -> float:
    """Return how many requests this node may still let be passed now."""
    # The present slice has only begun, so that a whole one more belongs to the window.
    oldest = slice_at(state) - SLICES
    for number in [n for n in window.slices if n < oldest]:
        del window.slices[number]
    total = allowed(state, cap)
    if window.total > total:
        # What was let pass by a higher cap would leave nothing of the lower one.
        for number in window.slices:
            window.slices[number] *= total / window.total
    window.total = total
    return total * state.cap_allocator.delegated_share - used(window)


def record_share(state: states.State, lent: float) -> None:
    """Take in which share of all caps is lent to this node at present.

    It may give that share, but at most what it was lent in the mean of the window: what
    others let pass by loans to them a moment ago still counts.
    """
    keeper = state.cap_allocator
    now = slice_at(state)
    shares = keeper.delegated_shares
    for number in [n for n in shares if n < now - SLICES]:
        del shares[number]
    last = max(shares, default=now)
    if now - last <= MOST_UNSEEN:
        between = min(lent, shares.get(last, lent))
        shares.update(dict.fromkeys(range(last + 1, now), between))
    shares[now] = min(lent, shares.get(now, lent))
    lately = sum(share for number, share in shares.items() if number < now)
    keeper.delegated_share = min(lent, lately / SLICES)


def used(window: states.CapWindow) -> float:
    """Return how many requests count as let pass in the window."""
    return sum(window.slices.values())


def usage_of(
    state: states.State, workspace: str, window: states.CapWindow
) -> messages.CapUsage:
    """Return what was let pass of a workspace, for the next keeper."""
    now = slice_at(state)
    first = min(window.slices, default=now)
    last = max(window.slices, default=now)
    milli = (
        int(1_000.0 * window.slices.get(number, 0.0))
        for number in range(first, last + 1)
    )
    return messages.CapUsage(workspace, first - now, tuple(milli))


def import_usage(state: states.State, message: messages.CapHandover) -> None:
    """Go on with the windows of a keeper that stops, beside those of the own."""
    keeper = state.cap_allocator
    now = slice_at(state)
    for number in range(now - SLICES, now):
        own = keeper.delegated_shares.get(number, 0.0)
        keeper.delegated_shares[number] = min(1.0, own + message.share)
    for use in message.used:
        window = keeper.windows.setdefault(use.workspace, states.CapWindow())
        for index, milli in enumerate(use.slices_milli):
            _add(window, now + use.first + index, milli / 1_000.0)


def prune(state: states.State) -> None:
    """Drop the windows in which nothing was let pass."""
    oldest = slice_at(state) - SLICES
    windows = state.cap_allocator.windows
    for name, window in list(windows.items()):
        if max(window.slices, default=0) < oldest:
            del windows[name]


def charge(state: states.State, window: states.CapWindow, requests: float) -> None:
    """Count requests as let pass now."""
    _add(window, slice_at(state), requests)


def refund(state: states.State, window: states.CapWindow, requests: float) -> None:
    """Count requests as not let pass that were counted some time ago.

    From the oldest slices first. Taken from the present one, they would be missing
    there when those in which they were counted have left the window.
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
    """Count what a lease lets pass from now on, each part when it comes in.

    :param rate_milli: thousandths of a request a second; a negative number takes the
        rest of a lease back.
    """
    width = _slice_ms(state)
    begin = state.now
    while begin < until:
        number = int(begin / width)
        end = min(until, (number + 1) * width)
        _add(window, number, rate_milli * (end - begin) / 1e6)
        begin = end


def _add(window: states.CapWindow, number: int, requests: float) -> None:
    window.slices[number] = window.slices.get(number, 0.0) + requests


def _slice_ms(state: states.State) -> ids.Milliseconds:
    return state.cap_tolerance.window_ms / SLICES


def slice_at(state: states.State) -> int:
    """Return the number of the present slice."""
    return int(state.now / _slice_ms(state))
