"""The days under ``deploy/days`` can be read and fit any site."""

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
        "clock_step",
        "hup",
        "platform_down",
        "platform_slow",
        "platform_lost",
        "platform_compact",
        "config_change",
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
        "big_config",
        "hup",
    ]
)
PLACES = {"service": "@s", "class": "@c", "zone": "@z"}
"""A day that names a place of one site would be left out on all others."""


def _day(path: pathlib.Path) -> dict[str, typing.Any]:
    (day,) = tomllib.loads(path.read_text())["day"]
    return typing.cast(dict[str, typing.Any], day)


def test_there_is_a_day_for_each_pattern() -> None:
    assert len(FILES) >= 8
    seeds = [_day(path)["seed"] for path in FILES]
    assert len(set(seeds)) == len(seeds)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_day_has_known_disruptions_at_places_of_any_site(path: pathlib.Path) -> None:
    day = _day(path)
    assert day["name"] == path.stem
    assert path.read_text().startswith("# ")
    for entry in day["plan"] + day["faults"]:
        assert entry["kind"] in KINDS
        assert 0.0 <= entry["at"] < 30.0
        assert 0.0 < entry.get("share", 1.0) <= 1.0
        for field, mark in PLACES.items():
            assert entry.get(field, mark).startswith(mark)
    assert {entry["kind"] for entry in day["plan"]} <= PLANNED
