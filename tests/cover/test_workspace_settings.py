"""Settings of workspaces take effect in the core."""

from gingerturn import settings
from gingerturn.internal.core import cap_window, reducer
from gingerturn.internal.shell import node as nodes
from tests.common import builders, keyed


def test_the_core_uses_the_workspace_settings_of_the_node() -> None:
    chosen = builders.settings()
    chosen.workspaces = settings.Workspaces(
        revoke_ms=6_000, cap_window_ms=2_000, cap_over=0.5, cap_slack=4.0
    )
    begin = nodes.Node(chosen)._started_event()
    state = reducer.new_state(begin)
    reducer.reduce(state, begin)
    assert state.freshness.revoke_ms == 6_000.0
    cap = keyed.workspace("shop", rate=10.0, burst=4.0)
    # 24 requests in a window, and a share of the tolerance of 16.
    used = cap_window.TOLERANCE_USED * 16.0
    assert cap_window.allowed(state, cap) == 24.0 + used
