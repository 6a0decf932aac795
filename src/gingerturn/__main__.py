"""``python -m gingerturn`` is the ``gingerturn`` command."""

from gingerturn.cli import main

main.main()
