"""Selection among several targets with uneven speeds, failures and stale reports."""

import random

import pytest

from ebonyvalve.process import identity
from ebonyvalve.process.load import selection

NAMES = [identity.NodeId(f"n{number}") for number in range(4)]


def build_views(
    works_s: list[float], slots: int = 6
) -> dict[identity.NodeId, selection.TargetView]:
    return {
        name: selection.TargetView(slots=slots, work_s=work_s, reported_at=0.0)
        for name, work_s in zip(NAMES, works_s, strict=False)
    }


def test_targets_of_different_speed_finish_alike() -> None:
    """Without regard to work times, requests would queue at slow targets while fast ones idle.

    The speeds of targets differ by more than a factor of two.
    """
    rng = random.Random(3)
    works_s = [0.06, 0.1, 0.1, 0.14]
    views = build_views(works_s)
    ends: list[tuple[float, identity.NodeId, float]] = []
    counts = dict.fromkeys(NAMES, 0)
    waits = []
    now = 0.0
    free_at = {name: [0.0] * 6 for name in NAMES}
    for _ in range(4000):
        now += rng.expovariate(170)
        for end, name, work_s in [entry for entry in ends if entry[0] <= now]:
            views[name].outstanding -= 1
            busy = sum(1 for at in free_at[name] if at > now)
            report = selection.LoadReport(
                busy=busy, slots=6, work_s=work_s, offered=0.0, request_load=0.02
            )
            selection.record_load(views[name], report, end)
        ends = [entry for entry in ends if entry[0] > now]
        name = selection.choose(views, set(NAMES), now, rng.random)
        assert name is not None
        counts[name] += 1
        views[name].outstanding += 1
        slot = min(range(6), key=lambda index: free_at[name][index])
        start = max(now, free_at[name][slot])
        waits.append(start - now)
        work_s = works_s[NAMES.index(name)]
        free_at[name][slot] = start + work_s
        ends.append((start + work_s, name, work_s))
    assert counts[NAMES[0]] > counts[NAMES[3]]
    waits.sort()
    assert waits[int(len(waits) * 0.95)] < 0.1


def test_failed_target_is_avoided_and_tried_again() -> None:
    """A crashed target must not get every second request, but must be tried again later."""
    views = build_views([0.1, 0.1])
    selection.record_failure(views[NAMES[0]], 0.0)
    picks = {selection.choose(views, set(), 0.1, lambda: 0.5) for _ in range(5)}
    assert picks == {NAMES[1]}
    views[NAMES[1]].outstanding = 30
    assert selection.choose(views, set(), 1.0, lambda: 0.5) == NAMES[0]


def test_repeated_failures_are_avoided_longer_up_to_a_bound() -> None:
    """With a fixed pause, a target that is gone would keep costing requests at the same rate."""
    view = build_views([0.1])[NAMES[0]]
    pauses_s = []
    now = 0.0
    for _ in range(6):
        selection.record_failure(view, now)
        # Other requests that end in the same failure must not count again.
        selection.record_failure(view, now + 0.01)
        pauses_s.append(view.avoid_until - now)
        now = view.avoid_until
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] == pytest.approx(selection.MAX_AVOID_S)


def test_own_zone_is_preferred_until_it_waits() -> None:
    """Traffic between zones costs money, but less than letting callers wait."""
    views = build_views([0.1, 0.1])
    near = {NAMES[0]}
    assert selection.choose(views, near, 0.0, lambda: 0.5) == NAMES[0]
    views[NAMES[0]].outstanding = 20
    assert selection.choose(views, near, 0.0, lambda: 0.5) == NAMES[1]


def test_nothing_to_choose() -> None:
    """A service without targets must yield ``None`` rather than raise."""
    assert selection.choose({}, set(), 0.0, lambda: 0.5) is None


def test_full_queue_is_not_asked_again_at_once() -> None:
    """Otherwise each refused caller would cost the node of the full target another request."""
    view = build_views([0.1])[NAMES[0]]
    selection.record_refusal(view, 0.5, 1.0)
    assert view.full_until == 1.0 + selection.FULL_PAUSE_S
    selection.record_refusal(view, 0.01, 1.0)
    assert view.full_until == 1.01
