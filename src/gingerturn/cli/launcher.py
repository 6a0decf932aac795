"""Entry point of the ``gingerturn`` command."""

import sys

from gingerturn.internal import launch


def main() -> None:
    """Run the command; a node's signals are handled before its imports."""
    if sys.argv[1:2] == ["node"]:
        launch.begin(json=False)
    from gingerturn.cli import main as commands

    commands.main()
