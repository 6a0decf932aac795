"""Tolerance: by how much the usage of a workspace may exceed its cap."""

import msgspec

from gingerturn import routes
from gingerturn.internal import ids


class Tolerance(msgspec.Struct, frozen=True, gc=False):
    """Allowed excess over a cap in each window.

    :param over: as a share of the cap.
    :param slack: number of requests added to that share.
    """

    window_ms: ids.Milliseconds
    over: float
    slack: float

    def allowed_excess(self, cap: routes.Workspace) -> float:
        """Return by how many requests a cap may be exceeded in a window."""
        allowed = cap.rate * self.window_ms / 1_000.0 + cap.burst
        return self.over * allowed + self.slack


DEFAULT = Tolerance(window_ms=5_000.0, over=0.1, slack=20.0)
"""Tolerance where the settings have none."""
