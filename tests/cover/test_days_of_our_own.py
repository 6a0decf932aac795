"""The days under ``deploy/days`` are valid and independent of the site."""

import pathlib
import tomllib
import typing

import pytest

DAYS = pathlib.Path(__file__).parents[2] / "deploy" / "days"
FILES = sorted(DAYS.glob("*.toml"))
KINDS = frozenset(
    [
        "burst",
        "retry_abuse",
        "give_up",
        "srv_crash",
        "srv_slow",
        "srv_grey",
        "srv_flap",
        "srv_cut",
        "srv_lying_health",
        "release",
        "replace_with_reuse",
        "scale_out",
        "scale_in",
        "idle_race",
        "answer_lost",
        "garble",
        "node_kill",
        "node_cut",
        "node_freeze",
        "node_slow",
        "reset_conns",
        "roll_term",
        "herd_kill",
        "after_ack_kill",
        "core_cut",
        "lossy",
        "link_squeeze",
        "clock_step",
        "hup",
        "platform_down",
        "platform_slow",
        "platform_lost",
        "platform_compact",
        "config_change",
        "config_storm",
        "revoke",
        "hot_tenant",
        "big_config",
    ]
)
PLANNED = frozenset(
    [
        "release",
        "revoke",
        "scale_out",
        "scale_in",
        "roll_term",
        "config_change",
        "config_storm",
        "big_config",
        "hup",
    ]
)
PLACEHOLDERS = {"service": "@s", "class": "@c", "zone": "@z"}
"""Prefix of the placeholders by field; a literal name would fit one site only."""


RECEIVED = frozenset({"severed", "unanswered"})
"""Days that are kept as the users wrote them: without a table and a seed."""


def _day(path: pathlib.Path) -> dict[str, typing.Any]:
    content = tomllib.loads(path.read_text())
    (day,) = [content] if path.stem in RECEIVED else content["day"]
    return typing.cast(dict[str, typing.Any], day)


def test_at_least_eight_days_have_distinct_seeds() -> None:
    own = [path for path in FILES if path.stem not in RECEIVED]
    assert len(own) >= 8
    seeds = [_day(path)["seed"] for path in own]
    assert len(set(seeds)) == len(seeds)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_day_has_known_kinds_and_placeholders(path: pathlib.Path) -> None:
    day = _day(path)
    assert day["name"] == path.stem
    assert path.read_text().startswith("# ")
    for entry in day["plan"] + day["faults"]:
        assert entry["kind"] in KINDS
        assert 0.0 <= entry["at"] < 30.0
        assert 0.0 < entry.get("share", 1.0) <= 1.0
        for field, prefix in PLACEHOLDERS.items():
            assert entry.get(field, prefix).startswith(prefix)
    assert {entry["kind"] for entry in day["plan"]} <= PLANNED
