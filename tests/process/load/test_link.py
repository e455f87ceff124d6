"""Large answers on a narrow link: what waits for it must not make small answers late."""

import heapq
import random

import pytest

from ebonyvalve.process.load import admission, link

SLOTS = 5
# An answer takes the link for 0.1 s, so that it carries 10 a second.
RATE = 900_000.0
BUNDLE = admission.Demand(deadline_at=5.0, objective_s=0.9, priority=2, kind="bundle")
CALL = admission.Demand(deadline_at=0.7, objective_s=0.25, priority=2, kind="call")
SIZE = {"bundle": 90_000, "call": 400}
WORK_S = {"bundle": 0.13, "call": 0.04}
PING_S = 0.35


def play(
    state: admission.Controller,
    *,
    bundles: float,
    calls: float,
    seconds: float,
    is_unannounced: bool = False,
) -> dict[str, list[float]]:
    """Return the seconds to the whole answer by kind; 0 for requests that were refused.

    The link carries what it is given in order, at ``RATE``.
    """
    draw = random.Random(1)
    events: list[tuple[float, int, str, admission.Demand | admission.Ticket]] = []
    number = 0
    for demand, rate in ((BUNDLE, bundles), (CALL, calls)):
        at = 0.0
        while at < seconds:
            at += draw.expovariate(rate)
            number += 1
            due = admission.Demand(
                deadline_at=at + demand.deadline_at,
                objective_s=demand.objective_s,
                priority=demand.priority,
                kind=demand.kind,
            )
            events.append((at, number, "come", due))
    heapq.heapify(events)
    came: dict[admission.Ticket, tuple[float, str]] = {}
    took: dict[str, list[float]] = {"bundle": [], "call": [], "backlog": []}
    clear_at = 0.0

    def start(ticket: admission.Ticket, now: float) -> None:
        nonlocal number
        number += 1
        kind = came[ticket][1]
        heapq.heappush(events, (now + WORK_S[kind], number, "done", ticket))

    while events:
        now, _, what, who = heapq.heappop(events)
        if what == "come":
            assert isinstance(who, admission.Demand)
            admitted = admission.admit(state, who, now)
            if admitted.ticket is None:
                took[who.kind].append(0.0)
            else:
                came[admitted.ticket] = (now, who.kind)
                if admitted.verdict is admission.Verdict.RUN:
                    start(admitted.ticket, now)
        elif what == "done":
            assert not isinstance(who, admission.Demand)
            at, kind = came[who]
            admission.record_answer(state, kind, None if is_unannounced else SIZE[kind], now)
            admission.record_answer_size(state, kind, SIZE[kind])
            admission.release(state, who, work_s=WORK_S[kind])
            clear_at = max(clear_at, now) + SIZE[kind] / RATE
            took[kind].append(clear_at - at)
            took["backlog"].append(clear_at - now)
        woken = admission.dequeue(state, now)
        for ticket in woken.run:
            start(ticket, now)
        for ticket in woken.late:
            took[came[ticket][1]].append(0.0)
        if state.waiting and not any(entry[2] == "tick" for entry in events):
            number += 1
            heapq.heappush(events, (now + 0.03, number, "tick", CALL))
    return took


def read_share(times: list[float], most_s: float) -> float:
    return sum(0 < took_s <= most_s for took_s in times) / len(times)


@pytest.mark.parametrize("bundles", [12.0, 18.0])
@pytest.mark.parametrize("is_unannounced", [False, True])
def test_large_answers_leave_the_link_to_calls(bundles: float, is_unannounced: bool) -> None:
    """Grown sites: nine nodes were asked for more large answers than their links carry.

    Nothing bounded what waited for the link: pings and calls of running requests were late, nodes
    were taken for lost, and nearly all large answers came late as well.
    """
    state = admission.Controller(slots=SLOTS, cold_rate=0.0, uplink=link.Link(rate=RATE))
    took = play(state, bundles=bundles, calls=20.0, seconds=20.0, is_unannounced=is_unannounced)
    assert read_share(took["call"], CALL.deadline_at) > 0.99
    assert max(took["backlog"]) < 2 * PING_S
    served = [one for one in took["bundle"] if one]
    # The link is kept busy, and what is accepted is in time.
    assert len(served) > 0.9 * 10 * 20
    assert read_share(served, BUNDLE.objective_s) > 0.9


def test_link_that_is_not_known_holds_nothing_back() -> None:
    """Without a rate, only slots decide."""
    state = admission.Controller(slots=SLOTS, cold_rate=0.0)
    took = play(state, bundles=12.0, calls=20.0, seconds=20.0)
    assert read_share(took["bundle"], 1e9) > 0.99


def test_wide_link_holds_nothing_back() -> None:
    """An answer that takes a wide link for a moment doesn't wait for room on it."""
    state = admission.Controller(slots=SLOTS, cold_rate=0.0, uplink=link.Link(rate=1000 * RATE))
    took = play(state, bundles=12.0, calls=20.0, seconds=20.0)
    assert read_share(took["bundle"], 1e9) > 0.99
