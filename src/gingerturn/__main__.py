"""``python -m gingerturn`` is the ``gingerturn`` command."""

from gingerturn.cli import launcher

launcher.main()
