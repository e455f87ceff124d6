"""Choice among the targets of a service without keys, by the expected time to an answer."""

import collections.abc
import dataclasses

from ebonyvalve.process import identity

INITIAL_WORK_S = 0.1
# Nodes that see the same loads would all take the same target; a tenth of spread parts them.
JITTER = 0.2
# A target that lost a request is passed by for this long, doubled each time up to the most.
MIN_AVOID_S = 0.3
MAX_AVOID_S = 1.2
# A queue that is full holds several times as much work as this, so that nothing idles while
# further requests are refused without asking.
FULL_PAUSE_S = 0.1
# Old loads say little: work that was reported is over after about this many work times.
STALE_WORK_TIMES = 4.0
# What another zone must save in waiting, as bytes between zones cost and take longer.
CROSS_ZONE_COST_S = 0.02


@dataclasses.dataclass(kw_only=True)
class TargetView:
    """What this node knows of another node's target, from its answers. Times are seconds.

    ``offered`` is the work that arrives for it a second over the work it can do, ``request_load``
    what one request a second adds to that. ``work_s`` is as of the last few answers.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A target's load as its node tells it: requests that run or wait, slots, and work."""

    busy: int
    slots: int
    work_s: float
    offered: float
    request_load: float


def record_load(view: TargetView, report: LoadReport, now: float) -> None:
    """Note the load that came with an answer.

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
    """Note that the target or its node could not be reached, or lost a request.

    :param view: the state.
    :param now: seconds on the node's clock.
    """
    if now < view.avoid_until and view.failures:
        # One loss ends many requests at once, which must not count as many losses.
        return
    view.avoid_until = now + min(MAX_AVOID_S, MIN_AVOID_S * 2**view.failures)
    view.failures += 1


def record_unreachable(view: TargetView, now: float) -> None:
    """Note that the target's node does not answer; it is passed by until the next ping or two.

    :param view: the state.
    :param now: seconds on the node's clock.
    """
    view.avoid_until = now + MAX_AVOID_S
    view.failures = max(1, view.failures)


def record_reachable(view: TargetView) -> None:
    """Note that the target's node answers again.

    :param view: the state.
    """
    view.avoid_until = float("-inf")
    view.failures = 0


def record_refusal(view: TargetView, retry_after_s: float, now: float) -> None:
    """Note that the target has no room for a while.

    :param view: the state.
    :param retry_after_s: when there may be room.
    :param now: seconds on the node's clock.
    """
    view.avoid_until = max(view.avoid_until, now + min(retry_after_s, MIN_AVOID_S))
    view.full_until = now + min(retry_after_s, FULL_PAUSE_S)


def estimate_answer(view: TargetView, now: float, *, is_near: bool) -> float:
    """Return the expected seconds to an answer.

    :param view: the state.
    :param now: seconds on the node's clock.
    :param is_near: whether the target is in the own zone.
    """
    age = (now - view.reported_at) / (STALE_WORK_TIMES * view.work_s)
    busy = max(view.busy * max(0.0, 1.0 - age), view.outstanding)
    over = max(0.0, busy + 1 - view.slots)
    wait_s = over * view.work_s / view.slots
    # Targets slow down a little as they fill, so that among free ones the emptier is better.
    fullness = min(1.0, busy / view.slots)
    return wait_s + view.work_s * (1.0 + 0.3 * fullness) + (0.0 if is_near else CROSS_ZONE_COST_S)


def choose(
    views: collections.abc.Mapping[identity.NodeId, TargetView],
    near: collections.abc.Container[identity.NodeId],
    now: float,
    draw: collections.abc.Callable[[], float],
) -> identity.NodeId | None:
    """Return the target to send a request to, or ``None`` if there is none.

    Targets that are being avoided are taken only when all are.

    :param views: the targets that may take it.
    :param near: those in the own zone.
    :param now: seconds on the node's clock.
    :param draw: returns random numbers from 0 to 1.
    """
    open_ = [name for name in views if views[name].avoid_until <= now] or list(views)
    if not open_:
        return None
    return min(
        open_,
        key=lambda name: estimate_answer(views[name], now, is_near=name in near)
        * (1.0 + JITTER * (draw() - 0.5)),
    )
