"""The Cap'n Proto schema of membership messages, loaded without generated code."""

import pathlib
import typing

import capnp

capnp.remove_import_hook()

peer: typing.Any = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
CapnpError: type[Exception] = capnp.KjException
