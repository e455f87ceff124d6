"""Decides how many slots of a target requests may hold that are not the most urgent.

Long requests that fill all slots make urgent ones wait longer than their objective allows. A queue
can't prevent this, since running requests aren't interrupted, so a slot has to be free when an
urgent request arrives. How often it would not be is estimated with the Erlang formulas from
the observed rates and work times.
"""

import collections.abc
import dataclasses
import math

# Rates decay over this time, like those of :mod:`admission`.
MEMORY_S = 2.0
# Urgent requests may miss their objective for lack of a slot this often. Below it, other causes
# prevail, and a reserved slot would mostly be idle.
MAX_LATE_SHARE = 0.02
# A slot is reserved only if that saves one urgent request for each so many less urgent ones that
# are lost. The priorities don't say how much more a request is worth.
URGENT_WEIGHT = 4.0
# Rates change slowly against this time in seconds, so that limits needn't be decided more often.
DECISION_INTERVAL_S = 0.1
# A changed reservation is logged at most this often in seconds, since it follows the load.
REPORT_INTERVAL_S = 10.0
# Rates below this, in requests per second, are insignificant.
MIN_RATE = 0.02


@dataclasses.dataclass(kw_only=True)
class Flow:
    """The arrivals of one kind and priority, a count that decays over ``MEMORY_S``."""

    objective_s: float
    updated_at: float
    arrivals: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """Requests of one kind and priority: per second, and their work time and objective."""

    priority: int
    rate: float
    work_s: float
    objective_s: float


@dataclasses.dataclass(kw_only=True)
class Reservation:
    """The arrivals by kind and priority, and the limits that follow from them.

    ``limits`` gives how many slots requests of a priority and of all less urgent ones may hold
    together; a priority without an entry is not limited.
    """

    flows: dict[tuple[str, int], Flow] = dataclasses.field(default_factory=dict)
    limits: dict[int, int] = dataclasses.field(default_factory=dict)
    decided_at: float = float("-inf")
    reported_limits: dict[int, int] = dataclasses.field(default_factory=dict)
    reported_at: float = float("-inf")


def record_arrival(
    reservation: Reservation, kind: str, priority: int, objective_s: float, now: float
) -> None:
    """Count a request that has arrived, whether it is refused or not.

    :param reservation: the state.
    :param kind: its kind.
    :param priority: its priority; a lower one is more urgent.
    :param objective_s: within how many seconds it should be answered.
    :param now: seconds on the node's clock.
    """
    flow = reservation.flows.get((kind, priority))
    if flow is None:
        flow = reservation.flows[kind, priority] = Flow(objective_s=objective_s, updated_at=now)
    flow.arrivals = flow.arrivals * math.exp((flow.updated_at - now) / MEMORY_S) + 1.0
    flow.objective_s, flow.updated_at = objective_s, now


def update_limits(
    reservation: Reservation,
    slots: int,
    expect_work: collections.abc.Callable[[str], float],
    now: float,
) -> None:
    """Decide the limits again; this is due every ``DECISION_INTERVAL_S``.

    :param reservation: the state.
    :param slots: slots of the target.
    :param expect_work: returns the usual work time of a kind in seconds.
    :param now: seconds on the node's clock.
    """
    reservation.decided_at = now
    if len({priority for _, priority in reservation.flows}) < 2:
        reservation.limits = {}
        return
    streams = [
        Stream(
            priority=priority,
            rate=flow.arrivals * math.exp((flow.updated_at - now) / MEMORY_S) / MEMORY_S,
            work_s=expect_work(kind),
            objective_s=flow.objective_s,
        )
        for (kind, priority), flow in reservation.flows.items()
    ]
    significant = [stream for stream in streams if stream.rate > MIN_RATE]
    reservation.limits = find_limits(slots, significant)


def find_limits(slots: int, streams: collections.abc.Sequence[Stream]) -> dict[int, int]:
    """Return how many slots a priority and all less urgent ones may hold, where that is limited.

    :param slots: slots of the target.
    :param streams: what arrives at it.
    """
    priorities = sorted({stream.priority for stream in streams})
    limits: dict[int, int] = {}
    for priority in priorities[1:]:
        urgent = [stream for stream in streams if stream.priority < priority]
        others = [stream for stream in streams if stream.priority >= priority]
        limit = _find_limit(slots, urgent, others)
        if limit < slots:
            limits[priority] = limit
    return limits


def has_room(limits: dict[int, int], priority: int, held: collections.abc.Collection[int]) -> bool:
    """Return whether the limits let a request of a priority start.

    :param limits: the limits by priority.
    :param priority: the priority of the request.
    :param held: the priorities of the running requests.
    """
    return all(
        sum(1 for other in held if other >= limited) < limit
        for limited, limit in limits.items()
        if limited <= priority
    )


def report_change(reservation: Reservation, now: float) -> bool:
    """Return whether the limits have changed since the last report and may be reported again.

    :param reservation: the state.
    :param now: seconds on the node's clock.
    """
    if reservation.limits == reservation.reported_limits:
        return False
    if now < reservation.reported_at + REPORT_INTERVAL_S:
        return False
    reservation.reported_limits, reservation.reported_at = dict(reservation.limits), now
    return True


def estimate_late_share(
    slots: int,
    limit: int,
    urgent: collections.abc.Sequence[Stream],
    others: collections.abc.Sequence[Stream],
) -> float:
    """Return the share of urgent requests for which no slot is free within their objective.

    The less urgent requests are taken for an M/M/m queue on ``limit`` slots, and the urgent ones
    for one on the slots that these leave. If all are busy, the next one is free after an
    exponentially distributed time.

    :param slots: slots of the target.
    :param limit: slots that less urgent requests may hold.
    :param urgent: the urgent requests.
    :param others: the less urgent ones.
    """
    urgent_load, other_load = _find_load(urgent), _find_load(others)
    urgent_rate = sum(stream.rate for stream in urgent)
    other_rate = sum(stream.rate for stream in others)
    late_rate = 0.0
    for held, probability in enumerate(_list_held(limit, other_load)):
        left = slots - held
        is_busy = probability * find_wait_probability(left, urgent_load)
        # Slots that become free per second.
        free_rate = left * urgent_rate / urgent_load + held * other_rate / other_load
        for stream in urgent:
            slack_s = max(0.0, stream.objective_s - stream.work_s)
            late_rate += is_busy * stream.rate * math.exp(-free_rate * slack_s)
    return late_rate / urgent_rate


def find_wait_probability(slots: int, load: float) -> float:
    """Return the share of requests that find all slots busy, by the Erlang C formula.

    :param slots: the slots; without any, all requests do.
    :param load: arrivals per second times work time in seconds.
    """
    if load >= slots:
        return 1.0
    blocked = 1.0
    for number in range(1, slots + 1):
        blocked = load * blocked / (number + load * blocked)
    return blocked / (1.0 - load / slots * (1.0 - blocked))


def _find_limit(
    slots: int,
    urgent: collections.abc.Sequence[Stream],
    others: collections.abc.Sequence[Stream],
) -> int:
    other_load = _find_load(others)
    other_work_s = other_load / sum(stream.rate for stream in others)
    urgent_rate = sum(stream.rate for stream in urgent)
    limit = slots
    late_share = estimate_late_share(slots, limit, urgent, others)
    while limit > 1 and late_share > MAX_LATE_SHARE:
        next_share = estimate_late_share(slots, limit - 1, urgent, others)
        saved_rate = urgent_rate * (late_share - next_share)
        lost_rate = (min(other_load, limit) - min(other_load, limit - 1)) / other_work_s
        if URGENT_WEIGHT * saved_rate <= lost_rate:
            break
        limit, late_share = limit - 1, next_share
    return limit


def _find_load(streams: collections.abc.Sequence[Stream]) -> float:
    return max(1e-9, sum(stream.rate * stream.work_s for stream in streams))


def _list_held(limit: int, load: float) -> list[float]:
    """Return the probabilities that queued requests hold 0, 1, ... ``limit`` of their slots."""
    if load >= limit:
        return [0.0] * limit + [1.0]
    weights = [1.0]
    for number in range(1, limit + 1):
        weights.append(weights[-1] * load / number)
    weights[-1] *= limit / (limit - load)
    return [weight / sum(weights) for weight in weights]
