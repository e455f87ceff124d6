"""Tests of hedged requests."""

import random

import pytest
import trio
import trio.testing

from ebonyvalve.process import accounting, budget, identity, lease, limit, site, target
from ebonyvalve.request import dispatch, exchange, hedge, outcome

ANSWERED = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=200)


def build_site(level: float = 1.0) -> site.Site:
    return site.Site(
        node=identity.NodeId("vm-1"),
        zone=identity.ZoneId("a"),
        incarnation=identity.Incarnation("1"),
        now=trio.current_time,
        read_node=lambda: lease.Node(
            node=identity.NodeId("vm-1"), incarnation=identity.Incarnation("1")
        ),
        random=random.Random(1),
        target=target.Target(),
        admission=limit.create(slots=1, warm_up_s=0.0),
        account=accounting.Account(landmark_s=0.0),
        hedges=budget.Budget(share=0.05, level=level),
    )


def build_try(
    events: list[str], name: str, delay_s: float, *, is_lost: bool = False
) -> hedge.RunAttempt:
    async def run(*, filter_reply: dispatch.FilterReply) -> exchange.Completion:
        await trio.sleep(delay_s)
        if is_lost or filter_reply(200, []) is None:
            events.append(f"{name} withheld")
            return exchange.Completion(result=outcome.unknown(outcome.Reason.CONNECTION_LOST))
        events.append(name)
        return exchange.Completion(result=ANSWERED, is_answered=True)

    return run


CASES = [
    pytest.param(0.01, 0.01, False, 1.0, ["first"], id="first is in time"),
    pytest.param(1.0, 0.01, False, 1.0, ["second"], id="second overtakes"),
    pytest.param(0.06, 0.5, False, 1.0, ["first"], id="first wins after all"),
    pytest.param(1.0, 0.01, False, 0.0, ["first"], id="no budget"),
    pytest.param(0.2, 0.01, True, 1.0, ["second withheld", "first"], id="second is lost"),
]


@pytest.mark.parametrize(("first_s", "second_s", "is_lost", "level", "expected"), CASES)
async def test_first_answer_passes(
    first_s: float,
    second_s: float,
    is_lost: bool,
    level: float,
    expected: list[str],
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against two replies to one request, and against hedges beyond the budget."""
    events: list[str] = []
    first = build_try(events, "first", first_s)
    second = build_try(events, "second", second_s, is_lost=is_lost)
    completion = await hedge.run(build_site(level), first, lambda: second, after_s=0.05)
    assert events == expected
    assert completion.is_answered
