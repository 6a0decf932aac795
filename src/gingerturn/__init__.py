"""Gingerturn: overload control for deep service call graphs.

The public API consists of :mod:`gingerturn.configuration` (services and kinds of
requests), :mod:`gingerturn.settings` (the settings file of one node) and
:mod:`gingerturn.errors`. :mod:`gingerturn.internal` may change in any release.
"""

__version__ = "0.1.0"
