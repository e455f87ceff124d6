"""Decides how many requests a target that has started or recovered may run at once.

While it is cold, a rate limits it, see :mod:`admission`. After that, a concurrency limit doubles
with each round of answers that take about as long as usual, as in the slow start of TCP, up to half
of the slots. Beyond that, or once answers take longer, it grows by about one with each round. It
falls while they take longer, and is halved when they take over twice as long or the target refuses
requests.
"""

import collections.abc
import dataclasses
import math

# Answers that take longer than this multiple of the usual time show that the limit is too high.
# Noisy neighbours triple the work time, but only for fractions of a second.
SLOW_FACTOR = 2.0
# The limit grows only while answers take less than this multiple of the usual time.
CLOSE_FACTOR = 1.5
# Weight of a new answer in the average of these multiples. Work times vary by half of their mean,
# so that single answers take over twice as long although the target is not overloaded. At 0.3,
# chance halves the limit more often: with a capacity that grows for 6 s, 0.63 instead of 0.70 of
# the requests of the model are in time.
RATIO_WEIGHT = 0.15
# The limit reaches all slots in about this many rounds of answers.
ROUNDS = 8
# A target that had to be started again this soon after its limit was raised is raised more slowly.
RELAPSE_S = 30.0
MIN_GROWTH = 0.25
# Changes of the limit are logged at most this often in seconds.
REPORT_INTERVAL_S = 1.0


@dataclasses.dataclass(kw_only=True)
class Pace:
    """The concurrency limit of a target, ``None`` for no limit but its slots.

    ``is_doubling`` says that no answer was slow so far, so that the limit grows by one with each.
    ``usual_s`` is the work time by kind from before the target started. ``ratio`` is the average of
    work times as multiples of it. Requests that began before ``halved_at`` don't reduce the limit
    again. ``growth`` is below 1 if the target failed while its limit was raised. Times are seconds
    on the node's clock.
    """

    limit: float | None = None
    is_doubling: bool = False
    growth: float = 1.0
    usual_s: dict[str, float] = dataclasses.field(default_factory=dict)
    ratio: float = 1.0
    halved_at: float = float("-inf")
    began_at: float = float("-inf")
    ended_at: float = float("-inf")
    halvings: int = 0
    reported_limit: int | None = None
    reported_at: float = float("-inf")


def begin(
    pace: Pace,
    initial: float,
    usual_s: collections.abc.Mapping[str, float],
    now: float,
) -> None:
    """Limit the target, which has started or is taken back into service.

    :param pace: the state.
    :param initial: the first limit; it is at least 1.
    :param usual_s: the usual work times by kind in seconds, as far as known.
    :param now: seconds on the node's clock.
    """
    is_relapse = now < max(pace.began_at, pace.ended_at) + RELAPSE_S
    pace.growth = max(MIN_GROWTH, pace.growth / 2) if is_relapse else 1.0
    pace.limit = max(1.0, initial)
    if not is_relapse:
        pace.usual_s = dict(usual_s)
    pace.ratio, pace.halved_at, pace.began_at = 1.0, now, now
    pace.is_doubling = not is_relapse


def find_slots(pace: Pace, slots: int) -> int:
    """Return how many requests the target may run at once.

    :param pace: the state.
    :param slots: its slots.
    """
    return slots if pace.limit is None else max(1, min(slots, int(pace.limit)))


def record_answer(
    pace: Pace,
    kind: str,
    work_s: float,
    *,
    expected_s: float,
    running: int,
    slots: int,
    now: float,
) -> None:
    """Raise or reduce the limit by an answer of the target.

    :param pace: the state.
    :param kind: the kind of the request.
    :param work_s: how long it took in seconds.
    :param expected_s: how long it was expected to take, for a kind whose usual time is not known.
    :param running: how many requests the target ran until then, including this one.
    :param slots: slots of the target.
    :param now: seconds on the node's clock.
    """
    if pace.limit is None or now - work_s < pace.halved_at:
        return
    usual_s = pace.usual_s.setdefault(kind, max(expected_s, work_s))
    if pace.limit < 2.0:
        # A single request isn't slowed down by others, so that it shows what is usual now.
        usual_s += RATIO_WEIGHT * (work_s - usual_s)
        pace.usual_s[kind] = usual_s
    ratio = work_s / max(1e-6, usual_s)
    pace.ratio += RATIO_WEIGHT * (ratio - pace.ratio)
    step = pace.growth * max(1.0, slots / ROUNDS) / pace.limit
    # Beyond half of the slots, the doubling would overload a target whose capacity still grows.
    if pace.is_doubling and pace.limit < slots / 2:
        step = pace.growth
    if pace.ratio > SLOW_FACTOR:
        _halve(pace, now)
    elif pace.ratio >= CLOSE_FACTOR:
        pace.is_doubling = False
        # Down to where it shows whether the requests slow each other down, or take longer now.
        pace.limit = max(1.0, pace.limit - step / 2)
    elif 2 * running >= int(pace.limit):
        # Answers while most of the limit is unused don't show that the target could do more.
        pace.limit += step
        if pace.limit >= slots + 1:
            pace.limit, pace.ended_at = None, now


def record_refusal(pace: Pace, began_at: float, now: float) -> None:
    """Reduce the limit because the target has refused a request.

    :param pace: the state.
    :param began_at: when the request was sent.
    :param now: seconds on the node's clock.
    """
    if pace.limit is not None and began_at >= pace.halved_at:
        _halve(pace, now)


def check_overdue(
    pace: Pace, began_at: collections.abc.Iterable[tuple[str, float]], now: float
) -> None:
    """Reduce the limit if most of the running requests take over twice as long as usual.

    An overloaded target answers late, and the limit must not rise or stay until then.

    :param pace: the state.
    :param began_at: the kinds of the running requests, and when they were sent.
    :param now: seconds on the node's clock.
    """
    if pace.limit is None or pace.limit < 2.0:
        return
    current = [(kind, at) for kind, at in began_at if at >= pace.halved_at]
    overdue = sum(
        1 for kind, at in current if now - at > SLOW_FACTOR * pace.usual_s.get(kind, math.inf)
    )
    if overdue >= 2 and 2 * overdue > len(current):
        _halve(pace, now)


def report_change(pace: Pace, slots: int, now: float) -> bool:
    """Return whether the limit has changed since the last report and may be reported again.

    :param pace: the state.
    :param slots: slots of the target.
    :param now: seconds on the node's clock.
    """
    limit = None if pace.limit is None else find_slots(pace, slots)
    if limit == pace.reported_limit or now < pace.reported_at + REPORT_INTERVAL_S:
        return False
    pace.reported_limit, pace.reported_at = limit, now
    return True


def _halve(pace: Pace, now: float) -> None:
    assert pace.limit is not None
    pace.limit = max(1.0, pace.limit / 2)
    pace.ratio, pace.halved_at, pace.is_doubling = 1.0, now, False
    pace.halvings += 1
