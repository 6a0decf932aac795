"""Mutation checks: a scenario or a test fails once its mechanism is disabled.

Guards against checks that pass whether or not the mechanism works.
"""

import collections.abc
import pathlib

import pytest

from gingerturn.internal.core import (
    admission,
    allowance,
    calls,
    claims,
    effects,
    hosting,
    keys,
    messages,
    ranks,
    reducer,
    refusals,
    replies,
    revisions,
    routing,
    sending,
    state as states,
    upstreams,
)
from tests.common import scenario
from tests.cover import (
    test_decisions_under_load as under_load,
    test_revisions as of_revisions,
)

FOLDER = pathlib.Path(__file__).parents[1] / "scenarios"


def _without_importance(patch: pytest.MonkeyPatch) -> None:
    original = ranks.rank_of
    patch.setattr(
        ranks,
        "rank_of",
        lambda *, importance, depth, root: original(
            importance=0, depth=depth, root=root
        ),
    )


def _without_claims(patch: pytest.MonkeyPatch) -> None:
    """Dispatch keyed calls without a claim, as a lease holder does."""

    def start(state: states.State, hosted: states.Hosted, out: states.Effects) -> None:
        admission.take_slot(state)
        hosted.metadata = messages.CallMetadata(
            **{
                **{
                    n: getattr(hosted.metadata, n)
                    for n in hosted.metadata.__struct_fields__
                },
                "key": "",
            }
        )
        hosting.dispatch(state, hosted, out)

    patch.setattr(hosting, "start", start)


def _run_losing_claims(patch: pytest.MonkeyPatch) -> None:
    """Treat a node's own claim as the first one in the log."""

    def on_record(
        state: states.State, batch: messages.ClaimBatch, out: states.Effects
    ) -> None:
        for claim in batch.claims:
            entry = state.keys.get(claim.key)
            if entry is None or entry.phase is not states.KeyPhase.CLAIMING:
                continue
            if claim.claim == entry.claim:
                claims._on_won(state, entry, out)

    patch.setattr(claims, "on_record", on_record)


def _without_repeat_detection(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(replies, "handle_repeat", lambda state, hosted, out: False)
    patch.setattr(hosting, "_handle_known_key", lambda state, hosted, entry, out: False)
    _without_claims(patch)


def _always_not_run(patch: pytest.MonkeyPatch) -> None:
    """Report ``not-run`` for every call without an answer."""

    class _Always:
        NOT_RUN = messages.Outcome.NOT_RUN
        UNKNOWN = messages.Outcome.NOT_RUN
        ALREADY_RUN = messages.Outcome.ALREADY_RUN

    class _Messages:
        Outcome = _Always
        CallMetadata = messages.CallMetadata
        Member = messages.Member
        MemberState = messages.MemberState

    patch.setattr(calls, "messages", _Messages)
    patch.setattr(sending, "messages", _Messages)
    patch.setattr(refusals, "messages", _Messages)


def _accept_while_leaving(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(hosting, "_unavailable_rule", lambda state, hosted: None)
    patch.setattr("gingerturn.internal.core.membership.push", lambda state, out: None)


def _without_admission(patch: pytest.MonkeyPatch) -> None:
    """Admit every call in the order of arrival."""
    patch.setattr(admission, "has_slot", lambda state: True)
    patch.setattr(hosting, "_worth_starting", lambda state, hosted, out: True)
    patch.setattr(admission, "tree_level", lambda state, kind: ranks.LOWEST)


def _random_upstream(patch: pytest.MonkeyPatch) -> None:
    """Choose upstreams at random. In a comparison, the entry node's own outstanding
    calls would steer it away from a paused node whether or not it is suspected."""
    patch.setattr(routing, "FULL_COMPARISON_LIMIT", 0)
    patch.setattr(routing, "SAME_ZONE_SAMPLE", 0)
    patch.setattr(routing, "ANY_ZONE_SAMPLE", 1)


def _without_suspicion(patch: pytest.MonkeyPatch) -> None:
    _random_upstream(patch)
    patch.setattr(
        "gingerturn.internal.core.membership._suspect", lambda state, node, out: None
    )
    patch.setattr(upstreams, "record_failure", lambda state, node: False)


def _stop_immediately(patch: pytest.MonkeyPatch) -> None:
    """Exit on the first signal without a drain."""

    def stop(state: states.State, out: states.Effects) -> None:
        state.stopped = True
        out.append(effects.Stopped())

    patch.setattr(reducer, "_check_stopped", stop)


SCENARIOS: list[
    tuple[str, collections.abc.Callable[[pytest.MonkeyPatch], None], str]
] = [
    ("shedding-order", _without_importance, "complete provision"),
    ("storm", _without_admission, "complete plan-status 17 25"),
    ("twice-over", _without_repeat_detection, "twice"),
    ("drain-busy", _stop_immediately, "cut plan-status"),
    ("pause", _always_not_run, "false_not_run"),
    ("drain", _accept_while_leaving, "new_work"),
    ("pause", _without_suspicion, "late plan-status"),
]


@pytest.mark.parametrize(
    ("name", "disable", "failed_expectation"),
    SCENARIOS,
    ids=[f"{name}-{f.__name__.strip('_')}" for name, f, _ in SCENARIOS],
)
def test_scenario_fails_without_the_mechanism(
    monkeypatch: pytest.MonkeyPatch,
    name: str,
    disable: collections.abc.Callable[[pytest.MonkeyPatch], None],
    failed_expectation: str,
) -> None:
    disable(monkeypatch)
    failures = scenario.play(FOLDER / f"{name}.scenario")
    assert any(failed_expectation in failure for failure in failures), failures


def test_paused_nodes_are_avoided_with_a_random_choice_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _random_upstream(monkeypatch)
    assert scenario.play(FOLDER / "pause.scenario") == []


def test_the_duplicate_proof_fails_when_a_loser_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _run_losing_claims(monkeypatch)
    assert under_load.run_key_at_two_homes() == 2


def test_the_token_proof_fails_when_tokens_are_copied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(allowance, "tokens_for_child", lambda tokens: 0)
    monkeypatch.setattr(allowance, "tokens_for_attempt", lambda tokens: 0)
    monkeypatch.setattr(
        allowance, "returned_tokens", lambda *, taken, reported: reported + 1
    )
    with pytest.raises(AssertionError):
        under_load.test_attempts_in_a_tree_never_exceed_the_allowance()


def test_the_conflict_proof_fails_when_the_base_is_not_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(revisions, "_is_stale", lambda record, base: False)
    with pytest.raises(AssertionError):
        of_revisions.test_of_two_on_the_same_base_the_first_in_the_log_wins_everywhere()


def test_the_retention_proof_fails_when_a_trimmed_log_counts_as_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def on_read(state: states.State, *, first: int, oldest: int, gap: bool) -> None:
        state.revisions.complete = True

    monkeypatch.setattr(revisions, "on_read", on_read)
    with pytest.raises(AssertionError):
        of_revisions.test_a_reader_of_a_trimmed_log_decides_nothing_before_a_snapshot()


def test_the_window_proof_fails_without_the_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(keys, "key_in_window", lambda key, now: True)
    with pytest.raises(AssertionError):
        under_load.test_a_key_out_of_its_window_is_refused()
