"""Tests of retries, hedges, budgets and deadlines."""

import re

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from ebonyvalve.process import budget
from ebonyvalve.request import deadline, outcome, retry

PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=300, database=None)
LOST = outcome.unknown(outcome.Reason.CONNECTION_LOST)
REFUSED = outcome.refuse(outcome.Reason.CONNECT_FAILED)
SHED = outcome.refuse(outcome.Reason.TARGET_SHED)
ABLE: dict[str, object] = {"is_idempotent": True, "is_body_held": True, "has_other_target": True}
DECISION = ABLE | {"is_reply_started": False, "attempts": 1, "remaining_s": 0.4}
HEDGE = ABLE | {"is_keyed": False, "p95_s": 0.02, "remaining_s": 0.4}


@pytest.mark.parametrize(
    ("last", "change", "decision"),
    [
        (outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=500), {}, "answered"),
        (LOST, {}, "retry"),
        (LOST, {"is_idempotent": False}, "may-have-run"),
        (REFUSED, {"is_idempotent": False}, "retry"),
        (REFUSED, {"is_reply_started": True}, "reply-started"),
        (REFUSED, {"is_body_held": False}, "body-gone"),
        (REFUSED, {"attempts": 3}, "too-many"),
        (REFUSED, {"remaining_s": 0.004}, "deadline"),
        (REFUSED, {"bucket": budget.Budget(share=0.1, level=0.5)}, "no-budget"),
        (SHED, {}, "retry"),
        (SHED, {"has_other_target": False}, "no-other-target"),
        (REFUSED, {"has_other_target": False}, "retry"),
        (outcome.refuse(outcome.Reason.QUARANTINED), {}, "not-transient"),
        (outcome.refuse(outcome.Reason.BAD_REQUEST), {}, "not-transient"),
        (outcome.refuse(outcome.Reason.TOKEN_REQUIRED), {}, "not-transient"),
        (outcome.unknown(outcome.Reason.TOKEN_EPOCH_LOST), {}, "not-transient"),
        (outcome.unknown(outcome.Reason.CALLER_GONE), {}, "not-transient"),
    ],
)
def test_retry_decisions(last: outcome.Outcome, change: dict[str, object], decision: str) -> None:
    """Guards against a second run, and against retries that cannot help."""
    details = DECISION | {"bucket": budget.Budget(share=0.1)} | change
    before = details["bucket"].level  # type: ignore[attr-defined]
    assert retry.decide(last, **details).value == decision  # type: ignore[arg-type]
    after = details["bucket"].level  # type: ignore[attr-defined]
    assert (after < before) == (decision == "retry")


@PROFILE
@hypothesis.given(
    result_=strategies.builds(
        outcome.Outcome,
        verdict=strategies.sampled_from(list(outcome.Verdict)),
        reason=strategies.sampled_from(list(outcome.Reason)),
    ),
    is_idempotent=strategies.booleans(),
    attempts=strategies.integers(1, 4),
)
def test_only_what_cannot_run_twice_is_retried(
    result_: outcome.Outcome, is_idempotent: bool, attempts: int
) -> None:
    """Guards against a second run of a request that may have run and is not idempotent."""
    details = {"is_idempotent": is_idempotent, "attempts": attempts}
    bucket = budget.Budget(share=0.1)
    decision = retry.decide(result_, **(DECISION | details), bucket=bucket)  # type: ignore[arg-type]
    if decision is retry.Retry.RETRY:
        assert is_idempotent or result_.verdict is outcome.Verdict.NOT_RUN
        assert attempts < 3


@PROFILE
@hypothesis.given(strategies.lists(strategies.booleans(), max_size=400))
def test_budget_bounds_extra_attempts(tries: list[bool]) -> None:
    """Guards against a budget that allows more than its share and its burst."""
    bucket = budget.Budget(share=0.1)
    earned = spent = 0
    for is_spent in tries:
        if is_spent:
            spent += budget.spend(bucket)
        else:
            budget.credit(bucket)
            earned += 1
        assert spent <= budget.BURST + 0.1 * earned + 1e-6


@pytest.mark.parametrize(
    ("change", "after_s"),
    [
        ({}, 0.02),
        ({"is_keyed": True}, None),
        ({"is_idempotent": False}, None),
        ({"is_body_held": False}, None),
        ({"has_other_target": False}, None),
        ({"p95_s": None}, None),
        ({"remaining_s": 0.02}, None),
    ],
)
def test_hedges(change: dict[str, object], after_s: float | None) -> None:
    """Guards against a hedge that runs a request twice, or that starts after the deadline."""
    assert retry.hedge_after(**(HEDGE | change)) == after_s  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("text", "remaining_s"),
    [(None, 0.4), ("100", 0.1), ("0", 0.0), ("999999999", 0.4), ("007", 0.007)]
    + [(bad, None) for bad in ("", "-1", "1.5", "+5", "1e3", " 5", "٣", "5\n", "1" * 10, "0x5")],
)
def test_deadline_header(text: str | None, remaining_s: float | None) -> None:
    """Guards against a request that runs longer than the service allows, and invalid numbers."""
    found = deadline.parse(text, limit_ms=400, now=50.0)
    if remaining_s is None:
        assert found == result.Failure(outcome.Reason.BAD_REQUEST)
    else:
        assert found.unwrap() == pytest.approx(50.0 + remaining_s)


@PROFILE
@hypothesis.given(remaining_s=strategies.floats(-1, 1), transit_s=strategies.floats(0, 0.01))
def test_deadline_shrinks_at_each_hop(remaining_s: float, transit_s: float) -> None:
    """Guards against a hop that outlasts the node that waits for it."""
    text = deadline.format_remaining(10.0 + remaining_s, now=10.0)
    if text is None:
        assert remaining_s < 0.002 + 0.002
    else:
        there = deadline.parse(text, limit_ms=400, now=700.0).unwrap()
        assert 0 < there - 700.0 <= remaining_s - 0.002 + 1e-9
    assert deadline.is_worth_starting(10.0 + remaining_s, now=10.0) == (
        10.0 + remaining_s - 10.0 >= deadline.MIN_REMAINING_S
    )


def decide_as_idempotent(last: outcome.Outcome, **details: object) -> retry.Retry:
    return ORIGINAL_DECIDE(last, **(details | {"is_idempotent": True}))  # type: ignore[arg-type]


ORIGINAL_DECIDE = retry.decide


@pytest.mark.parametrize(
    ("module", "name", "value", "check"),
    [
        (retry, "decide", decide_as_idempotent, test_only_what_cannot_run_twice_is_retried),
        (
            retry,
            "OVERLOAD",
            frozenset(),
            lambda: test_retry_decisions(SHED, {"has_other_target": False}, "no-other-target"),
        ),
        (deadline, "_NUMBER", re.compile(r"[+-]?\d+"), lambda: test_deadline_header("٣", None)),
        (retry, "MAX_ATTEMPTS", 9, test_only_what_cannot_run_twice_is_retried),
        (budget, "spend", lambda bucket: True, test_budget_bounds_extra_attempts),
        (deadline, "HOP_MARGIN_S", -0.5, test_deadline_shrinks_at_each_hop),
    ],
)
def test_broken_rules_are_found(
    monkeypatch: pytest.MonkeyPatch, module: object, name: str, value: object, check: object
) -> None:
    """Guards against checks that pass whatever the code does."""
    monkeypatch.setattr(module, name, value)
    with pytest.raises(AssertionError):
        check()  # type: ignore[operator]
