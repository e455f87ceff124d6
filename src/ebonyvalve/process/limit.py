"""Admission to the node's local target: concurrency limit, slow start and a bounded queue.

Used by ``process.daemon``; ``platform.daemon`` uses ``process.load.admission``.
"""

import dataclasses
import enum
import typing

from ebonyvalve import errors

# Identifies a request from its admission to its release.
Ticket = typing.NewType("Ticket", int)

# The limit may exceed the announced slots, because they are the operator's estimate.
MAX_LIMIT_PER_SLOT = 1.5
# Factors of the limit after a reply that was shed in the steady phase, when replies get slower,
# and after a reply that was shed in slow start.
SHED_DECREASE = 0.7
LATENCY_DECREASE = 0.85
WARMING_DECREASE = 0.5
# A target gets slower with load. At twice its normal latency, requests are queuing inside it.
OVERLOAD_FACTOR = 2.0
# A reply is slow if it takes more than this times the normal latency.
SLOW_FACTOR = 3.0
# With exponentially distributed service times, 1 reply in 20 is slow, so 8 slow replies in a row
# occur by chance once in 10^10.
MIN_SLOW_REPLIES = 8
# Only this node sends work to the target, so a warm target has no reason to shed while the running
# requests don't exceed its slots. Several such replies are needed, as a single one may be a glitch.
MIN_SHED_REPLIES = 3
# Weight of a new reply in the recent latency.
RECENT_WEIGHT = 0.1
# In slow start, the mean of about 50 replies is compared with the lowest such mean so far. With
# exponentially distributed service times it varies by a tenth. The mean of 10 replies doubles by
# chance every few seconds, which kept a healthy target in slow start forever.
WARMING_WEIGHT = 0.02
# Weight of a new reply in the normal latency and the normal gap between replies.
NORMAL_WEIGHT = 0.01
# Slow replies weigh less in the normal latency; otherwise a cold target would come to seem normal.
SLOW_WEIGHT = 0.001
# A planned move delays requests by at most 100 ms; a request that would wait longer is refused.
MAX_WAIT_S = 0.1
MAX_GAP_FACTOR = 10.0
# During a handover of 100 ms at 500 requests/s, 50 requests wait for a target with 10 slots.
QUEUE_PER_SLOT = 10
# Lower bound of the retry delay given to refused callers.
MIN_RETRY_AFTER_S = 0.05


class Admission(enum.Enum):
    """Whether a request runs at once, waits or is refused."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


class Cause(enum.Enum):
    """Why a request does not run at once."""

    NONE = "none"
    LIMIT = "limit"
    WARMING = "warming"
    PAUSED = "paused"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"


class Phase(enum.Enum):
    """Whether the target is in slow start."""

    WARMING = "warming"
    STEADY = "steady"


class Reply(enum.Enum):
    """How a request that ran ended, as evidence about the target."""

    OK = "ok"
    SHED = "shed"
    TIMED_OUT = "timed-out"
    FAILED = "failed"
    # The caller disconnected, or the request was not sent: no evidence about the target.
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """Decision on one request. ``retry_after_s`` tells a refused caller when to try again."""

    admission: Admission
    cause: Cause = Cause.NONE
    ticket: Ticket | None = None
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dequeued:
    """Requests that leave the queue: those that run now, and those whose deadline has passed."""

    run: list[Ticket]
    expired: list[Ticket]


@dataclasses.dataclass(kw_only=True)
class Target:
    """State of the node's local target. Times are in seconds on the node's clock."""

    slots: int
    warm_up_s: float
    phase: Phase = Phase.WARMING
    limit: float = 1.0
    # Time for which the target has been busy since it became cold; an idle target doesn't warm up.
    busy_s: float = 0.0
    # Start times of the running requests, oldest first.
    running: dict[Ticket, float] = dataclasses.field(default_factory=dict)
    # Waiting requests in order of arrival, with their deadlines.
    waiting: dict[Ticket, float] = dataclasses.field(default_factory=dict)
    last_ticket: int = 0
    is_paused: bool = False
    is_reported_cold: bool = False
    recent_latency_s: float | None = None
    normal_latency_s: float | None = None
    # Moving average of the seconds between replies, without the gaps before slow ones.
    normal_gap_s: float | None = None
    warming_latency_s: float | None = None
    warming_replies: int = 0
    best_warming_latency_s: float | None = None
    slow_replies: int = 0
    shed_replies: int = 0
    slow_since: float = 0.0
    last_reply_at: float = float("-inf")
    last_ok_at: float = float("-inf")
    last_decrease_at: float = float("-inf")


def create(*, slots: int, warm_up_s: float) -> Target:
    """Return the state of a new or restarted target, which is in slow start.

    :param slots: requests that the warm target handles at once, as announced.
    :param warm_up_s: seconds of work after which the target is warm.
    """
    if slots < 1:
        raise errors.InvariantError(f"a target needs at least 1 slot, not {slots}")
    return Target(slots=slots, warm_up_s=warm_up_s)


def admit(target: Target, *, now: float, deadline: float) -> Decision:
    """Decide whether a request runs, waits or is refused, before its body is read.

    A request that runs must be ended with :func:`release`. A waiting request leaves the queue when
    it appears in a :class:`Dequeued`, or with :func:`withdraw`.

    :param target: the target's state.
    :param now: seconds on the node's clock.
    :param deadline: of the request, in seconds on the node's clock.
    """
    if deadline <= now:
        return Decision(admission=Admission.REFUSE, cause=Cause.DEADLINE)
    _detect_cold(target, now)
    if not target.is_paused and not target.waiting and len(target.running) < read_limit(target):
        ticket = _draw_ticket(target)
        target.running[ticket] = now
        return Decision(admission=Admission.RUN, ticket=ticket)
    hint_s = compute_retry_after(target)
    if len(target.waiting) >= target.slots * QUEUE_PER_SLOT:
        return Decision(admission=Admission.REFUSE, cause=Cause.QUEUE_FULL, retry_after_s=hint_s)
    if not target.is_paused:
        wait_s = predict_wait(target)
        if wait_s > MAX_WAIT_S:
            return Decision(
                admission=Admission.REFUSE, cause=Cause.QUEUE_FULL, retry_after_s=hint_s
            )
        if now + wait_s + (target.recent_latency_s or 0.0) > deadline:
            return Decision(admission=Admission.REFUSE, cause=Cause.DEADLINE, retry_after_s=hint_s)
    ticket = _draw_ticket(target)
    target.waiting[ticket] = deadline
    cause = Cause.LIMIT if target.phase is Phase.STEADY else Cause.WARMING
    return Decision(
        admission=Admission.WAIT,
        cause=Cause.PAUSED if target.is_paused else cause,
        ticket=ticket,
    )


def release(
    target: Target, ticket: Ticket, *, now: float, latency_s: float, reply: Reply
) -> Dequeued:
    """End a running request, adapt the limit and return the requests that leave the queue.

    :param target: the target's state.
    :param ticket: of the request that ran.
    :param now: seconds on the node's clock.
    :param latency_s: seconds from sending the request to the head of the reply; the time until its
        end would depend on how fast the caller reads.
    :param reply: how the request ended.
    """
    started_at = target.running.pop(ticket, None)
    if started_at is None:
        raise errors.InvariantError(f"ticket {ticket} is not running")
    if reply in (Reply.OK, Reply.TIMED_OUT):
        _learn_latency(target, now, latency_s)
    if reply is Reply.SHED:
        _decrease_limit(
            target, now, WARMING_DECREASE if target.phase is Phase.WARMING else SHED_DECREASE
        )
        target.shed_replies += len(target.running) < target.slots
        if target.phase is Phase.STEADY and target.shed_replies >= MIN_SHED_REPLIES:
            enter_slow_start(target)
    if reply is Reply.OK and not _detect_cold(target, now):
        _increase_limit(target, now, started_at)
    return dequeue(target, now)


def withdraw(target: Target, ticket: Ticket) -> None:
    """Remove a waiting request whose caller has disconnected.

    :param target: the target's state.
    :param ticket: of the request; one that no longer waits is ignored.
    """
    target.waiting.pop(ticket, None)


def dequeue(target: Target, now: float) -> Dequeued:
    """Remove the requests that run now, and those whose deadline has passed, from the queue.

    :param target: the target's state.
    :param now: seconds on the node's clock.
    """
    expired = [ticket for ticket, deadline in target.waiting.items() if deadline <= now]
    for ticket in expired:
        del target.waiting[ticket]
    run = []
    while not target.is_paused and target.waiting and len(target.running) < read_limit(target):
        ticket = next(iter(target.waiting))
        del target.waiting[ticket]
        target.running[ticket] = now
        run.append(ticket)
    return Dequeued(run=run, expired=expired)


def pause(target: Target) -> None:
    """Queue requests instead of running them until :func:`resume` is called.

    :param target: the target's state.
    """
    target.is_paused = True


def resume(target: Target, now: float) -> Dequeued:
    """End a pause and return the requests that leave the queue.

    :param target: the target's state.
    :param now: seconds on the node's clock.
    """
    target.is_paused = False
    return dequeue(target, now)


def enter_slow_start(target: Target) -> None:
    """Put the target into slow start.

    It is new, was restarted (its incarnation has changed) or has recovered, or it seems or reports
    itself cold.

    :param target: the target's state.
    """
    target.phase = Phase.WARMING
    target.limit = 1.0
    target.busy_s = 0.0
    target.warming_latency_s = None
    target.warming_replies = 0
    target.best_warming_latency_s = None
    target.recent_latency_s = None
    target.slow_replies = 0
    target.shed_replies = 0


def record_report(target: Target, *, is_cold: bool) -> None:
    """Record whether the target reports itself cold, and put it into slow start if it newly does.

    Only a change has an effect: reports lag, and repeated ones would restart slow start forever.

    :param target: the target's state.
    :param is_cold: whether the target reports itself cold.
    """
    if is_cold and not target.is_reported_cold and target.phase is Phase.STEADY:
        enter_slow_start(target)
    target.is_reported_cold = is_cold


def read_limit(target: Target) -> int:
    """Return how many requests may run at once.

    :param target: the target's state.
    """
    return max(1, int(target.limit))


def predict_wait(target: Target) -> float:
    """Return the expected wait in seconds of a request that enters the queue now.

    :param target: the target's state.
    """
    if target.recent_latency_s is None:
        return 0.0
    # After a decrease of the limit, the excess requests must end before the queue moves.
    ahead = len(target.waiting) + 1 + max(0, len(target.running) - read_limit(target))
    return ahead * target.recent_latency_s / read_limit(target)


def compute_retry_after(target: Target) -> float:
    """Return the time in seconds after which a refused caller may try again.

    :param target: the target's state.
    """
    return max(MIN_RETRY_AFTER_S, predict_wait(target))


def _draw_ticket(target: Target) -> Ticket:
    target.last_ticket += 1
    return Ticket(target.last_ticket)


def _find_max_limit(target: Target) -> float:
    if target.phase is Phase.STEADY:
        return target.slots * MAX_LIMIT_PER_SLOT
    share = min(1.0, target.busy_s / target.warm_up_s) if target.warm_up_s > 0 else 1.0
    return 1.0 + (target.slots - 1) * share


def _learn_latency(target: Target, now: float, latency_s: float) -> None:
    gap_s = now - target.last_reply_at
    target.last_reply_at = now
    if target.recent_latency_s is None:
        target.recent_latency_s = latency_s
    else:
        target.recent_latency_s += RECENT_WEIGHT * (latency_s - target.recent_latency_s)
    if target.phase is Phase.WARMING:
        target.warming_replies += 1
        if target.warming_latency_s is None:
            target.warming_latency_s = latency_s
        weight = max(WARMING_WEIGHT, 1 / target.warming_replies)
        target.warming_latency_s += weight * (latency_s - target.warming_latency_s)
        return
    if target.normal_latency_s is None:
        target.normal_latency_s = latency_s
    if target.normal_gap_s is None:
        target.normal_gap_s = min(gap_s, latency_s)
    if latency_s > SLOW_FACTOR * target.normal_latency_s:
        if target.slow_replies == 0:
            target.slow_since = now
        target.slow_replies += 1
        target.normal_latency_s += SLOW_WEIGHT * (latency_s - target.normal_latency_s)
        return
    target.slow_replies = 0
    target.shed_replies = 0
    target.normal_latency_s += NORMAL_WEIGHT * (latency_s - target.normal_latency_s)
    # Without a cap, an idle hour would make the next 100 replies look like a rising load.
    gap_s = min(gap_s, MAX_GAP_FACTOR * target.normal_gap_s)
    target.normal_gap_s += NORMAL_WEIGHT * (gap_s - target.normal_gap_s)


def _detect_cold(target: Target, now: float) -> bool:
    """Return whether the target is newly detected as cold, after putting it into slow start.

    Overdue replies count as slow, since a cold target answers late. If replies arrive at shorter
    intervals than normal, the load has risen, and the target is overloaded rather than cold.
    """
    if (
        target.phase is Phase.WARMING
        or target.normal_latency_s is None
        or target.normal_gap_s is None
    ):
        return False
    overdue = 0
    for started_at in target.running.values():
        if now - started_at <= SLOW_FACTOR * target.normal_latency_s:
            break
        overdue += 1
    if target.slow_replies + overdue < MIN_SLOW_REPLIES:
        return False
    if target.slow_replies > 1:
        gap_s = (now - target.slow_since) / (target.slow_replies - 1)
        if gap_s < 0.8 * target.normal_gap_s:
            return False
    enter_slow_start(target)
    return True


def _decrease_limit(target: Target, now: float, factor: float) -> None:
    # Requests that were admitted before a decrease are no evidence about the lower limit.
    if now - target.last_decrease_at < (target.recent_latency_s or 0.0):
        return
    target.last_decrease_at = now
    target.limit = max(1.0, target.limit * factor)
    if target.phase is Phase.WARMING and target.slots > 1:
        # The ramp continues from the lowered limit.
        target.busy_s = (target.limit - 1.0) / (target.slots - 1) * target.warm_up_s


def _increase_limit(target: Target, now: float, started_at: float) -> None:
    recent_latency_s = target.recent_latency_s
    if recent_latency_s is None:
        return
    if target.phase is Phase.WARMING:
        target.busy_s += now - max(target.last_ok_at, started_at)
        target.last_ok_at = now
        if target.warming_latency_s is not None and target.warming_replies >= 1 / WARMING_WEIGHT:
            target.best_warming_latency_s = min(
                target.best_warming_latency_s or target.warming_latency_s, target.warming_latency_s
            )
            if target.warming_latency_s > OVERLOAD_FACTOR * target.best_warming_latency_s:
                _decrease_limit(target, now, LATENCY_DECREASE)
                return
        target.limit = min(target.limit + 1.0 / target.limit, _find_max_limit(target))
        if target.busy_s >= target.warm_up_s and target.limit >= target.slots:
            target.phase = Phase.STEADY
            target.normal_latency_s = target.warming_latency_s
            target.normal_gap_s = None
        return
    if (
        target.normal_latency_s is not None
        and recent_latency_s > OVERLOAD_FACTOR * target.normal_latency_s
    ):
        _decrease_limit(target, now, LATENCY_DECREASE)
        return
    # The limit grows only while it is used; otherwise nothing shows that the target can handle it.
    if len(target.running) + 1 >= read_limit(target):
        target.limit = min(target.limit + 1.0 / target.limit, _find_max_limit(target))
