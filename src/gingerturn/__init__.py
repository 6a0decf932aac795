"""Gingerturn: overload control for deep service call graphs.

The public package is small: :mod:`gingerturn.configuration` (what operators
declare), :mod:`gingerturn.settings` (what one node is told at its start),
:mod:`gingerturn.client` (a caller that uses keys well) and
:mod:`gingerturn.errors`. All else lives in :mod:`gingerturn.internal` and may
change in any release.
"""

__version__ = "0.1.0"
