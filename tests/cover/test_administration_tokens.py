"""Authorization of publications through the administration API."""

import hashlib
import types
import typing

import pytest
from litestar import testing

from gingerturn import settings
from gingerturn.internal.shell import admin
from tests.common import builders

TOKENS = {"shop": "shop-secret", "billing": "billing-secret"}


class _Node:
    """Stub of a node that records publications."""

    def __init__(self, teams: dict[str, str]) -> None:
        self.published: list[str] = []
        self.settings = types.SimpleNamespace(
            team=[
                settings.Team(
                    name=name, token_sha256=hashlib.sha256(token.encode()).hexdigest()
                )
                for name, token in teams.items()
            ]
        )

    async def publish(self, *, team: str, **rest: object) -> object:
        """Record the team of a publication."""
        self.published.append(team)
        return types.SimpleNamespace(accepted=True, revision=1, problem="")


def _publish(node: _Node, team: str, headers: dict[str, str]) -> int:
    application = admin.Administration(typing.cast(typing.Any, node)).application()
    with testing.TestClient(application) as client:
        answer = client.post(
            f"/config/{team}",
            json={"author": "a", "base": 0, "text": builders.DOCUMENT},
            headers=headers,
        )
    return answer.status_code


def _bearer(token: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {token}"}


def test_a_team_publishes_with_its_own_token() -> None:
    node = _Node(TOKENS)
    assert _publish(node, "shop", _bearer(TOKENS["shop"])) == 200
    assert node.published == ["shop"]


@pytest.mark.parametrize(
    ("team", "headers"),
    [
        ("shop", {}),
        ("shop", _bearer("")),
        ("shop", _bearer("wrong")),
        ("shop", _bearer(TOKENS["billing"])),
        ("unknown", _bearer(TOKENS["shop"])),
        ("unknown", _bearer("")),
    ],
    ids=[
        "missing",
        "empty",
        "wrong",
        "another team's",
        "unknown team",
        "unknown, none",
    ],
)
def test_nothing_is_published_without_the_token_of_the_team(
    team: str, headers: dict[str, str]
) -> None:
    node = _Node(TOKENS)
    assert _publish(node, team, headers) == 403
    assert not node.published


def test_publishing_needs_no_token_when_no_teams_are_configured() -> None:
    node = _Node({})
    assert _publish(node, "shop", {}) == 200
