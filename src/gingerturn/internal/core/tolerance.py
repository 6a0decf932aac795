"""By how much operators let the cap of a workspace be passed."""

import msgspec

from gingerturn import routes
from gingerturn.internal import ids


class Tolerance(msgspec.Struct, frozen=True, gc=False):
    """What is allowed beyond a cap in each window.

    :param over: a share of the cap.
    :param slack: so many requests besides.
    """

    window_ms: ids.Milliseconds
    over: float
    slack: float

    def allowed_excess(self, cap: routes.Workspace) -> float:
        """Return by how many requests a cap may be passed in a window."""
        allowed = cap.rate * self.window_ms / 1_000.0 + cap.burst
        return self.over * allowed + self.slack


DEFAULT = Tolerance(window_ms=5_000.0, over=0.1, slack=20.0)
"""Where the settings say nothing."""
