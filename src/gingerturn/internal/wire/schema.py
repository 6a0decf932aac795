"""Loads the schema of the protocol between nodes.

The schema is read at the start by the library itself, so that no generated code
and no generator are needed.
"""

import pathlib
import typing

import capnp

capnp.remove_import_hook()

peer: typing.Any = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
CapnpError: type[Exception] = capnp.KjException
