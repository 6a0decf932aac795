"""Input of other programs is decoded in one module, into bounded types.

Guards the class of faults in which a decoder raises another error than its caller
expects, or a number passes that a later codec cannot hold.
"""

import ast
import collections.abc
import importlib
import pathlib
import shutil
import typing

import msgspec
import pytest

from gingerturn import announcements
from gingerturn.internal.core import events
from gingerturn.internal.shell import admin

ROOT = pathlib.Path(__file__).parents[2]
FOLDERS = {"src": ROOT / "src", "platform": ROOT / "platform"}
BOUNDARY = "src/gingerturn/internal/decoding.py"

DECODERS = frozenset(
    {
        "ast.literal_eval",
        "base64.b16decode",
        "base64.b32decode",
        "base64.b64decode",
        "base64.standard_b64decode",
        "base64.urlsafe_b64decode",
        "binascii.a2b_base64",
        "binascii.a2b_hex",
        "binascii.unhexlify",
        "bytes.fromhex",
        "float.fromhex",
        "decimal.Decimal",
        "fractions.Fraction",
        "ipaddress.ip_address",
        "ipaddress.ip_network",
        "json.load",
        "json.loads",
        "marshal.loads",
        "msgspec.convert",
        "pickle.load",
        "pickle.loads",
        "struct.iter_unpack",
        "struct.unpack",
        "struct.unpack_from",
        "tomllib.load",
        "tomllib.loads",
        "urllib.parse.urlparse",
        "urllib.parse.urlsplit",
        "uuid.UUID",
        "zlib.decompress",
        "zlib.decompressobj",
    }
)
"""Functions that raise for some input."""

METHODS = frozenset(
    {
        "fromisoformat",
        "from_bytes_packed",
        "from_segments",
        "iter_unpack",
        "json",
        "strptime",
        "unpack",
        "unpack_from",
    }
)
"""Methods that decode, whatever their object."""

MSGSPEC_CODECS = ("msgspec.json", "msgspec.msgpack", "msgspec.toml", "msgspec.yaml")

CHECKED = "the regular expression before it admits digits of bounded length only"
CAUGHT = "raises ValueError alone, which is caught there"
KERNEL = "a value of the kernel, whose length is checked"
OWN = "written by this node"
NUMBER = "a number; other classes have a text of the same name, or none is annotated"

ALLOWED = {
    "src/gingerturn/settings.py": {"urllib.parse.urlsplit(url)": CAUGHT},
    "src/gingerturn/internal/checks.py": {"ipaddress.ip_address(value)": CAUGHT},
    "src/gingerturn/internal/toml_lines.py": {
        "int(steps[1])": "an index in a document that was decoded, in a library's error"
    },
    "src/gingerturn/internal/core/decisions.py": {
        "_RECORD.unpack_from(self.buffer, offset)": OWN,
        "int(root)": OWN,
        "int(rule_number)": OWN,
        "int(kind)": OWN,
        "int(rank)": OWN,
        "int(rest[4])": OWN,
    },
    "src/gingerturn/internal/core/keys.py": {"uuid.UUID(key)": CAUGHT},
    "src/gingerturn/internal/core/messages.py": {
        "ipaddress.ip_address(self.host)": "within a decoder, which reports ValueError"
    },
    "src/gingerturn/internal/core/pace.py": {"int(part)": CHECKED},
    "src/gingerturn/internal/core/rate_limits.py": {"float(part)": CHECKED},
    "src/gingerturn/internal/core/replies.py": {
        "int(_SENT_RULES.get(rule, rule))": NUMBER
    },
    "src/gingerturn/internal/core/route_table.py": {"float(state.version)": NUMBER},
    "src/gingerturn/internal/core/sending.py": {
        "float(call.rank)": NUMBER,
        "float(known.level)": NUMBER,
    },
    "src/gingerturn/internal/core/workspaces.py": {"float(state.version)": NUMBER},
    "src/gingerturn/internal/core/quarantine_gossip.py": {"int(fingerprint, 16)": OWN},
    "src/gingerturn/internal/shell/acknowledgements.py": {"_INFO.unpack(info)": KERNEL},
    "src/gingerturn/internal/shell/admin.py": {
        "ipaddress.ip_address(client or '0.0.0.0')": "an address of a socket",
        "int(ends)": NUMBER,
    },
    "src/gingerturn/internal/shell/backend_pool.py": {"int(match[1])": CHECKED},
    "src/gingerturn/internal/shell/caller_requests.py": {
        "urllib.parse.urlsplit(target.decode('latin-1'))": CAUGHT
    },
    "src/gingerturn/internal/shell/connection_ends.py": {"float(count)": NUMBER},
    "src/gingerturn/internal/shell/probes.py": {
        "float(count)": NUMBER,
        "float(counted.refused)": NUMBER,
        "float(without_report)": NUMBER,
    },
    "src/gingerturn/internal/shell/http_calls.py": {"int(text)": CHECKED},
    "src/gingerturn/internal/shell/sockets.py": {
        "struct.unpack('i', queued)": KERNEL,
        "int(struct.unpack('i', queued)[0])": KERNEL,
    },
    "src/gingerturn/internal/wire/compression.py": {
        "zlib.decompressobj(-_WINDOW_BITS)": "bounded, and its error is caught"
    },
    "src/gingerturn/internal/wire/datagrams.py": {
        "schema.peer.Gossip.from_bytes_packed(content,"
        " traversal_limit_in_words=MAX_WORDS)": "a codec, with one error",
        "int(member.state)": NUMBER,
    },
    "src/gingerturn/internal/wire/frames.py": {
        "_LENGTH.unpack_from(buffer, position)": "the length is checked"
    },
    "platform/gingerturn_platform/boot.py": {
        "int(bounds.get('config_apply_ms', 2000.0))": NUMBER,
        "int(bounds.get('revoke_ms', 0.0))": NUMBER,
    },
    "platform/gingerturn_platform/store.py": {"int(query.get('wait_ms', 0))": OWN},
    "platform/gingerturn_platform/pages.py": {
        "_ENDS.unpack_from(content)": "the length is checked"
    },
}
"""Calls of decoders outside the boundary, with the reason of each."""

NUMERIC_TYPES = ("int", "float", "bool", "ids.", "decoding.", "effects.", "decisions.")
NUMERIC_FUNCTIONS = frozenset(
    {"abs", "float", "int", "len", "max", "min", "round", "sum", "time.time"}
)


class _Names:
    """What annotations say in all modules.

    :param texts: attributes that hold a text in any class.
    :param numeric: functions that return a number wherever they are defined.
    """

    def __init__(self, trees: collections.abc.Iterable[ast.AST]) -> None:
        self.texts: set[str] = set()
        returns: dict[str, set[bool]] = {}
        for tree in trees:
            for node in ast.walk(tree):
                if isinstance(node, ast.AnnAssign):
                    is_text = _may_be_text(node.annotation)
                    target = ast.unparse(node.target).rpartition(".")[2]
                    self.texts |= {target} if is_text else set()
                elif isinstance(node, ast.FunctionDef):
                    is_numeric = _is_numeric_type(node.returns)
                    returns.setdefault(node.name, set()).add(is_numeric)
        self.numeric = {name for name, found in returns.items() if found == {True}}


def _may_be_text(annotation: ast.expr | None) -> bool:
    words = "" if annotation is None else ast.unparse(annotation)
    return any(word in words for word in ("str", "bytes", "Any", "object"))


def _is_numeric_type(annotation: ast.expr | None) -> bool:
    words = "" if annotation is None else ast.unparse(annotation)
    names = ("Id", "Name", "Key", "Address", "Digest")
    return words.startswith(NUMERIC_TYPES) and not any(
        words.endswith(name) for name in names
    )


class _Finder(ast.NodeVisitor):
    """Finds the calls of decoders in a module.

    :param names: of all modules.
    """

    def __init__(self, names: _Names) -> None:
        self._names = names
        self._scopes: list[dict[str, bool]] = [{}]
        self.found: list[str] = []

    def visit_Import(self, node: ast.Import) -> None:
        """Record names under which a decoder would not be recognised."""
        for alias in node.names:
            if alias.asname and _is_codec_module(alias.name):
                self.found.append(ast.unparse(node))

    def visit_ImportFrom(self, node: ast.ImportFrom) -> None:
        """Record decoders that are imported by name."""
        for alias in node.names:
            name = f"{node.module}.{alias.name}"
            if name in DECODERS or _is_codec_module(name):
                self.found.append(ast.unparse(node))

    def visit_FunctionDef(self, node: ast.FunctionDef) -> None:
        """Visit a function with its arguments."""
        arguments = [*node.args.posonlyargs, *node.args.args, *node.args.kwonlyargs]
        self._scopes.append(
            {a.arg: _is_numeric_type(a.annotation) for a in arguments if a.annotation}
        )
        self.generic_visit(node)
        self._scopes.pop()

    visit_AsyncFunctionDef = visit_FunctionDef  # type: ignore[assignment]

    def visit_Assign(self, node: ast.Assign) -> None:
        """Record whether a name holds a number."""
        self.generic_visit(node)
        for target in node.targets:
            if isinstance(target, ast.Name):
                self._scopes[-1][target.id] = self._is_number(node.value)

    def visit_Call(self, node: ast.Call) -> None:
        """Record the call of a decoder."""
        if self._is_decoder(node):
            self.found.append(ast.unparse(node))
        self.generic_visit(node)

    def _is_decoder(self, node: ast.Call) -> bool:
        name = ast.unparse(node.func)
        if name in DECODERS:
            return True
        if name.rpartition(".")[0] in MSGSPEC_CODECS:
            return not name.endswith(("encode", "Encoder", "format"))
        if name in {"int", "float"} and node.args:
            return len(node.args) > 1 or not self._is_number(node.args[0])
        if isinstance(node.func, ast.Attribute):
            own_classes = ("int", "float")
            is_own = ast.unparse(node.func.value) in own_classes
            return node.func.attr in METHODS and not is_own
        return False

    def _is_number(self, node: ast.expr) -> bool:
        """Whether an expression is a number, as far as annotations show."""
        match node:
            case ast.Constant(value=value):
                return isinstance(value, int | float)
            case ast.BinOp() | ast.UnaryOp() | ast.Compare():
                return True
            case ast.BoolOp(values=values):
                return all(map(self._is_number, values))
            case ast.IfExp(body=body, orelse=other):
                return self._is_number(body) and self._is_number(other)
            case ast.Attribute(attr=name):
                return name not in self._names.texts
            case ast.Name(id=name):
                found = [scope[name] for scope in self._scopes if name in scope]
                return bool(found) and found[-1]
            case ast.Call(func=function):
                called = ast.unparse(function)
                return called in NUMERIC_FUNCTIONS or (
                    called.rpartition(".")[2] in self._names.numeric
                )
        return False


def _is_codec_module(name: str) -> bool:
    modules = {decoder.partition(".")[0] for decoder in DECODERS}
    return name.split(".", 1)[0] in {*modules, "msgspec"} - {"urllib"}


def decoder_calls(
    folders: collections.abc.Mapping[str, pathlib.Path],
) -> dict[str, list[str]]:
    """Return the calls of decoders outside the boundary, by module.

    :param folders: by the name that stands for them in the names of modules.
    """
    trees = {
        f"{name}/{path.relative_to(folder)}": ast.parse(path.read_text())
        for name, folder in folders.items()
        for path in sorted(folder.rglob("*.py"))
    }
    names = _Names(trees.values())
    found: dict[str, list[str]] = {}
    for module, tree in trees.items():
        finder = _Finder(names)
        finder.visit(tree)
        if finder.found and module != BOUNDARY:
            found[module] = finder.found
    return found


def _not_allowed(found: dict[str, list[str]]) -> list[str]:
    return [
        f"{module}: {call}"
        for module, calls in found.items()
        for call in calls
        if call not in ALLOWED.get(module, {})
    ]


def test_decoders_are_called_in_the_boundary_only() -> None:
    assert _not_allowed(decoder_calls(FOLDERS)) == []


def test_every_exception_is_still_there() -> None:
    found = decoder_calls(FOLDERS)
    unused = [
        f"{module}: {call}"
        for module, calls in ALLOWED.items()
        for call in calls
        if call not in found.get(module, [])
    ]
    assert unused == []


ADDED = [
    "import json\n\ndef read(text: str) -> object:\n    return json.loads(text)\n",
    "import json as j\n\ndef read(text: str) -> object:\n    return j.loads(text)\n",
    "from json import loads\n",
    "import msgspec\n\n_decoder = msgspec.json.Decoder(int)\n",
    "import msgspec\n\ndef f(b: bytes) -> int:\n    return msgspec.msgpack.decode(b)\n",
    "import msgspec\n\ndef f(v: object) -> int:\n    return msgspec.convert(v, int)\n",
    "import tomllib\n\ndef f(text: str) -> object:\n    return tomllib.loads(text)\n",
    "import base64\n\ndef f(t: str) -> bytes:\n    return base64.b64decode(t)\n",
    "def port(text: str) -> int:\n    return int(text)\n",
    "def port(text: str) -> int:\n    value = text.strip()\n    return int(value)\n",
    "def port(text: str) -> int:\n    return int(text.split(':')[1])\n",
    "def port(text: str) -> int:\n    return int(text, 16)\n",
    "def age(found: dict[str, str]) -> float:\n    return float(found['age'])\n",
    "def age(found: dict[str, str]) -> float:\n    return float(found.get('age', 0))\n",
    "def ages(parts: list[str]) -> list[int]:\n    return [int(p) for p in parts]\n",
    "class A:\n    t: str\n\ndef f(a: A) -> int:\n    return int(a.t)\n",
    "import struct\n\ndef f(b: bytes) -> object:\n    return struct.unpack('>I', b)\n",
    "import struct\n\n_S = struct.Struct('>I')\n\ndef f(b: bytes) -> object:\n"
    "    return _S.unpack(b)\n",
    "def f(schema, content):\n    return schema.Gossip.from_bytes_packed(content)\n",
    "def f(reply):\n    return reply.json()\n",
    "import urllib.parse\n\ndef f(t: str) -> object:\n"
    "    return urllib.parse.urlsplit(t)\n",
    "import ipaddress\n\ndef f(t: str) -> object:\n"
    "    return ipaddress.ip_address(t)\n",
]


@pytest.mark.parametrize("source", ADDED)
def test_a_decoder_that_is_added_is_found(source: str, tmp_path: pathlib.Path) -> None:
    """The check fails with one more call, in a module of its own."""
    copy = tmp_path / "src"
    copy.mkdir()
    (copy / "added.py").write_text(source)
    found = decoder_calls({**FOLDERS, "added": copy})
    assert _not_allowed(found), source
    assert all(line.startswith("added/") for line in _not_allowed(found))


def test_a_decoder_that_is_added_to_a_module_with_exceptions_is_found(
    tmp_path: pathlib.Path,
) -> None:
    shutil.copytree(ROOT / "src", tmp_path / "src")
    module = tmp_path / "src/gingerturn/internal/shell/backend_pool.py"
    source = module.read_text()
    changed = source.replace("int(match[1])", "int(value.partition(b'=')[2])")
    assert changed != source
    module.write_text(changed)
    assert _not_allowed(decoder_calls({"src": tmp_path / "src"}))


def test_arithmetic_is_no_decoder(tmp_path: pathlib.Path) -> None:
    (tmp_path / "added.py").write_text(
        "def f(a: int, b: float) -> int:\n"
        "    c = a * b\n"
        "    return int(c) + int(max(a, b)) + int(b) + float(len([a]))\n"
    )
    assert decoder_calls({"added": tmp_path}) == {}


KIND_ARGUMENTS = {
    "decoding.json_decoder": 0,
    "decoding.converter": 0,
    "decoding.msgpack_decoder": 0,
    "checks.decode_json": 1,
    "self._peer.decode": 1,
}
"""Functions that make or apply a decoder, and the position of the type."""

PASSED_ON = {
    ("src/gingerturn/internal/checks.py", "kind"),
    ("src/gingerturn/internal/shell/http_calls.py", "kind"),
}
"""Functions whose callers name the type."""

BY_FRAMEWORK = (announcements.Announcement, admin.Publication)
"""Types of the bodies that the web framework decodes."""

UNBOUNDED = {events.AnyEvent: "a recording that a node wrote"}


def decoded_kinds() -> dict[typing.Any, str]:
    """Return all types that are decoded, with the name of the codec."""
    kinds: dict[typing.Any, str] = dict.fromkeys(BY_FRAMEWORK, "json")
    for name, folder in FOLDERS.items():
        for path in sorted(folder.rglob("*.py")):
            module = f"{name}/{path.relative_to(folder)}"
            if module == BOUNDARY:
                continue
            for function, argument in _kind_arguments(ast.parse(path.read_text())):
                if (module, argument) in PASSED_ON:
                    continue
                parts = path.relative_to(folder).with_suffix("").parts
                imported = importlib.import_module(".".join(parts))
                kind = eval(argument, vars(imported))
                codec = "msgpack" if "msgpack" in function else "json"
                kinds[kind] = codec
    return kinds


def _kind_arguments(
    tree: ast.AST,
) -> collections.abc.Iterator[tuple[str, str]]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        position = KIND_ARGUMENTS.get(ast.unparse(node.func))
        if position is not None:
            yield ast.unparse(node.func), ast.unparse(node.args[position])


def unbounded_numbers(kind: typing.Any, *, codec: str) -> list[str]:
    """Return the places in a type whose numbers have no bounds.

    Whole numbers of MessagePack have at most 64 bits, and need a lower bound only.
    """
    found: list[str] = []
    seen: set[int] = set()

    def look(part: typing.Any, where: str) -> None:
        if id(part) in seen:
            return
        seen.add(id(part))
        if isinstance(part, msgspec.inspect.IntType | msgspec.inspect.FloatType):
            is_whole = isinstance(part, msgspec.inspect.IntType)
            below = part.ge is not None or part.gt is not None
            above = part.le is not None or part.lt is not None
            if not below or not (above or (is_whole and codec == "msgpack")):
                found.append(where)
        for name, inner in _parts(part):
            look(inner, f"{where}.{name}" if name else where)

    look(msgspec.inspect.type_info(kind), getattr(kind, "__name__", str(kind)))
    return found


def _parts(part: typing.Any) -> collections.abc.Iterator[tuple[str, typing.Any]]:
    if hasattr(part, "fields"):
        for field in part.fields:
            yield field.name, field.type
    for name in ("item_type", "key_type", "value_type", "type"):
        inner = getattr(part, name, None)
        if isinstance(inner, msgspec.inspect.Type):
            yield "", inner
    for name in ("item_types", "types"):
        for inner in getattr(part, name, ()):
            yield "", inner


def test_no_number_of_a_decoded_type_is_unbounded() -> None:
    kinds = decoded_kinds()
    assert len(kinds) > 20
    found = {
        place
        for kind, codec in kinds.items()
        if kind not in UNBOUNDED
        for place in unbounded_numbers(kind, codec=codec)
    }
    assert found == set()


class _Odd(msgspec.Struct):
    name: str
    bounded: typing.Annotated[int, msgspec.Meta(ge=0, le=5)]
    inner: list[dict[str, typing.Annotated[float, msgspec.Meta(ge=0)]]]
    number: int | None = None


def test_an_unbounded_number_is_found() -> None:
    assert unbounded_numbers(_Odd, codec="json") == ["_Odd.inner", "_Odd.number"]
    assert unbounded_numbers(_Odd, codec="msgpack") == ["_Odd.inner", "_Odd.number"]
