"""Documents and settings: validation, with errors that name file, line and value."""

import pathlib

import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn import configuration, errors, settings
from tests.common import builders

GOOD = builders.DOCUMENT


def _problem(text: str) -> str:
    with pytest.raises(errors.InvalidDocument) as caught:
        configuration.Configuration({"shop.toml": text})
    return str(caught.value)


def _line(text: str, part: str) -> int:
    return text[: text.index(part)].count("\n") + 1


def _changed(old: str, new: str) -> str:
    assert old in GOOD
    return GOOD.replace(old, new, 1)


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("timeout_ms = 5000", "timeout_ms = 0", "timeout_ms is 0; allowed is 1 to"),
        ("retry_allowance = 2", "retry_allowance = 99", "allowed is 0 to 16"),
        ("retry_allowance = 2", 'retry_allowance = "2"', "Expected `int`"),
        ("retry_allowance = 2", "retries = 2", "unknown field `retries`"),
        ('service = "porting"', 'service = "port"', "allowed are ['plans', 'porting']"),
        ('importance = "lookup"', 'importance = "look"', "['lookup', 'protected']"),
        ('above = ["lookup"]', 'above = ["nothing"]', "above is 'nothing'"),
        ('methods = ["POST"]', 'methods = ["post"]', "allowed are upper-case"),
        ('name = "plan-status"', 'name = "Plan Status"', "lower-case letters"),
    ],
)
def test_an_error_names_line_value_and_what_is_allowed(
    old: str, new: str, expected: str
) -> None:
    text = _changed(old, new)
    message = _problem(text)
    assert expected in message
    line = _line(text, new)
    # Problems between documents name the line where the item is declared.
    nearby = {f"shop.toml:{line - back}:" for back in range(5)}
    assert any(position in message for position in nearby), message


def test_zero_slots_are_refused() -> None:
    text = _changed('name = "plans"', 'name = "plans"\nslots = 0')
    assert "slots is 0; allowed is 1 to 100000" in _problem(text)


def test_a_cycle_of_importance_is_reported() -> None:
    text = _changed('name = "lookup"', 'name = "lookup"\nabove = ["protected"]')
    assert "cycle" in _problem(text)


def test_malformed_toml_is_reported() -> None:
    assert "not TOML" in _problem("[[service]\n")


def test_all_problems_are_reported_together() -> None:
    text = _changed("timeout_ms = 5000", "timeout_ms = 0").replace(
        "timeout_ms = 10000", "timeout_ms = 0"
    )
    assert _problem(text).count("timeout_ms is 0") == 2


def test_two_teams_may_not_declare_the_same_name() -> None:
    with pytest.raises(errors.InvalidDocument) as caught:
        configuration.Configuration({"a": GOOD, "b": '[[service]]\nname = "plans"\n'})
    assert "b:2: service plans is declared already at a:" in str(caught.value)


def test_the_longest_prefix_and_the_method_decide_the_kind() -> None:
    extra = GOOD + (
        '\n[[kind]]\nname = "deep"\nservice = "plans"\nimportance = "lookup"\n'
        'path_prefix = "/a/b"\n'
    )
    made = configuration.Configuration({"shop": extra})
    assert made.classify("plans", "GET", "/a/b/c").name == "deep"
    assert made.classify("plans", "GET", "/a").name == "plan-status"
    assert made.classify("porting", "GET", "/").name == "undeclared-safe"
    assert not made.classify("nobody", "POST", "/").repeatable


@hypothesis.given(st.text(max_size=200))
def test_arbitrary_text_is_accepted_or_a_clear_error(text: str) -> None:
    try:
        configuration.Configuration({"any": text})
    except errors.InvalidDocument as error:
        assert "any" in str(error)


SETTINGS = """
[node]
id = "n1"
zone = "bne-a"
host = "127.0.0.1"
calls_port = 8100
peers_port = 8101
gossip_port = 8101
admin_port = 8102

[log]
url = "http://127.0.0.1:7000"

[secret]
current = "long enough for the tests"
"""


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('host = "127.0.0.1"', 'host = "localhost"', "allowed is an IP number"),
        ("calls_port = 8100", "calls_port = 0", "allowed is 1 to 65535"),
        (
            "admin_port = 8102",
            "admin_port = 8102\nadvertised_peers_port = 70000",
            "allowed is 1 to 65535",
        ),
        ('current = "long enough for the tests"', 'current = "short"', "16 or more"),
        ("http://127.0.0.1:7000", "ftp://x", "http:// or https://"),
        ('zone = "bne-a"', "", "zone"),
    ],
)
def test_invalid_settings_are_reported(
    tmp_path: pathlib.Path, old: str, new: str, expected: str
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace(old, new))
    with pytest.raises(errors.InvalidDocument, match="node.toml") as caught:
        settings.load(path)
    assert expected in str(caught.value)


def test_good_settings_are_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    assert settings.load(path).node.zone == "bne-a"


def test_missing_settings_are_reported(tmp_path: pathlib.Path) -> None:
    with pytest.raises(errors.InvalidDocument, match="cannot be read"):
        settings.load(tmp_path / "none.toml")
