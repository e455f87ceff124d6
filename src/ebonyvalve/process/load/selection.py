"""Selects a target of a service without keys, by the expected time to an answer."""

import collections.abc
import dataclasses

from ebonyvalve.process import identity

INITIAL_WORK_S = 0.1
# Nodes that see the same loads would all choose the same target. Estimates are varied by up to a
# tenth in both directions to spread their choices.
JITTER = 0.2
# A target that lost a request is avoided for this long, doubled with each loss up to the maximum.
MIN_AVOID_S = 0.3
MAX_AVOID_S = 1.2
# While a queue is full, requests are refused for up to this long without asking the target's node.
# A full queue holds several times as much work, so the target does not idle meanwhile.
FULL_PAUSE_S = 0.1
# A node that is about to end repeats that before this time is over, and takes longer to restart.
ENDING_PAUSE_S = 1.0
# Reported work has ended after about this many work times, so an older report counts for nothing.
STALE_WORK_TIMES = 4.0
# Up to this many targets are all compared. Beyond it, nodes that compare all of them send their
# requests to the same few that last reported little load (Mitzenmacher, "How useful is old
# information?"), and a choice takes the longer the more targets there are.
MAX_COMPARED = 8
# A target in another zone has to answer sooner by at least this, because traffic between zones
# costs money and takes longer.
CROSS_ZONE_COST_S = 0.02


@dataclasses.dataclass(kw_only=True)
class TargetView:
    """What this node knows of another node's target from that node's answers.

    Times are in seconds. ``offered`` is the work that arrives for the target per second divided by
    the work it can do per second, ``request_load`` what one request per second adds to it.
    ``work_s`` is the work time over the last few answers. ``busy`` counts the requests that ran
    or waited there at ``reported_at``, ``outstanding`` those that this node has sent there. Nothing
    is sent there before ``ending_until``, as the other node's process is about to end.
    """

    slots: int
    busy: int = 0
    work_s: float = INITIAL_WORK_S
    offered: float = 0.0
    request_load: float = INITIAL_WORK_S
    reported_at: float = float("-inf")
    outstanding: int = 0
    failures: int = 0
    avoid_until: float = float("-inf")
    full_until: float = float("-inf")
    ending_until: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A target's load as its node reports it; ``busy`` counts requests that run or wait."""

    busy: int
    slots: int
    work_s: float
    offered: float
    request_load: float


def record_load(view: TargetView, report: LoadReport, now: float) -> None:
    """Record the load that an answer carried.

    :param view: the state.
    :param report: the load.
    :param now: seconds on the node's clock.
    """
    view.busy, view.slots = report.busy, max(1, report.slots)
    view.work_s = report.work_s
    view.offered, view.request_load = report.offered, report.request_load
    view.reported_at = now
    view.failures = 0
    view.avoid_until = float("-inf")


def record_failure(view: TargetView, now: float) -> None:
    """Record that the target or its node could not be reached, or that it lost a request.

    :param view: the state.
    :param now: seconds on the node's clock.
    """
    if now < view.avoid_until and view.failures:
        # One failure ends many requests at once, but counts as a single one.
        return
    view.avoid_until = now + min(MAX_AVOID_S, MIN_AVOID_S * 2**view.failures)
    view.failures += 1


def record_unreachable(view: TargetView, now: float) -> None:
    """Record that the target's node does not answer, and avoid it until the next ping or two.

    :param view: the state.
    :param now: seconds on the node's clock.
    """
    view.avoid_until = now + MAX_AVOID_S
    view.failures = max(1, view.failures)


def record_reachable(view: TargetView) -> None:
    """Record that the target's node answers again.

    :param view: the state.
    """
    view.avoid_until = float("-inf")
    view.failures = 0


def record_refusal(view: TargetView, retry_after_s: float, now: float) -> None:
    """Record that the target has refused a request because it has no capacity left.

    :param view: the state.
    :param retry_after_s: seconds until there may be capacity again.
    :param now: seconds on the node's clock.
    """
    view.avoid_until = max(view.avoid_until, now + min(retry_after_s, MIN_AVOID_S))
    view.full_until = now + min(retry_after_s, FULL_PAUSE_S)


def record_ending(view: TargetView, now: float) -> None:
    """Record that the process of the target's node is about to end.

    :param view: the state.
    :param now: seconds on the node's clock.
    """
    view.ending_until = now + ENDING_PAUSE_S


def estimate_answer(view: TargetView, now: float, *, is_near: bool) -> float:
    """Return the expected seconds to an answer.

    :param view: the state.
    :param now: seconds on the node's clock.
    :param is_near: whether the target is in this node's zone.
    """
    age = (now - view.reported_at) / (STALE_WORK_TIMES * view.work_s)
    busy = max(view.busy * max(0.0, 1.0 - age), view.outstanding)
    waiting = max(0.0, busy + 1 - view.slots)
    wait_s = waiting * view.work_s / view.slots
    # Targets slow down a little as they fill up, so an emptier one is better.
    fullness = min(1.0, busy / view.slots)
    return wait_s + view.work_s * (1.0 + 0.3 * fullness) + (0.0 if is_near else CROSS_ZONE_COST_S)


def choose(
    views: collections.abc.Mapping[identity.NodeId, TargetView],
    near: collections.abc.Container[identity.NodeId],
    now: float,
    draw: collections.abc.Callable[[], float],
) -> identity.NodeId | None:
    """Return the target to send a request to, or ``None`` if there is none.

    A target that is being avoided is chosen only if all are. Of more than ``MAX_COMPARED`` targets,
    one of this node's zone and one of another zone are drawn and compared.

    :param views: the targets that may take the request.
    :param near: the targets in this node's zone.
    :param now: seconds on the node's clock.
    :param draw: returns random numbers from 0 up to but not including 1.
    """
    available = [name for name in views if views[name].avoid_until <= now] or list(views)
    if not available:
        return None
    if len(available) > MAX_COMPARED:
        available = _draw_candidates(available, near, draw)
    return min(
        available,
        key=lambda name: estimate_answer(views[name], now, is_near=name in near)
        * (1.0 + JITTER * (draw() - 0.5)),
    )


def _draw_candidates(
    available: list[identity.NodeId],
    near: collections.abc.Container[identity.NodeId],
    draw: collections.abc.Callable[[], float],
) -> list[identity.NodeId]:
    """Return two targets at random, one of them in this node's zone if there are both kinds."""
    groups = (
        [name for name in available if name in near],
        [name for name in available if name not in near],
    )
    if all(groups):
        return [group[int(draw() * len(group))] for group in groups]
    first = int(draw() * len(available))
    second = (first + 1 + int(draw() * (len(available) - 1))) % len(available)
    return [available[first], available[second]]
