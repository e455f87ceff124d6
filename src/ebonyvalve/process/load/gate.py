"""Admission to the target beside this node, which is the only way to it.

The node counts what runs exactly, so that a target never gets more than its slots, and a cold one
no more requests a second than it bears. Requests beyond that wait in a short queue, the urgent
ones first, or are refused at once when they can't be served in time.
"""

import collections
import dataclasses
import enum
import heapq
import typing

Ticket = typing.NewType("Ticket", int)

# The usual work time, until answers have shown it.
FIRST_WORK_S = 0.1
WORK_WEIGHT = 0.1
# A request is refused when less than this part of the usual work time would be left for it.
LEAST_WORK_SHARE = 0.7
# An answer that came after its objective is worth a third, so that a queue longer than the
# objective only makes every answer late.
QUEUE_SHARE = 1.0
# A caller that comes back sooner finds the same queue, and most come back only once or twice.
MIN_RETRY_AFTER_S = 0.25
RATE_WINDOW_S = 1.0


class Verdict(enum.Enum):
    """What a request does now."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """What a request needs: its deadline in seconds on the node's clock, and its urgency."""

    deadline_at: float
    objective_s: float
    priority: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admission:
    """The decision on one request. ``retry_after_s`` is when there may be room again."""

    verdict: Verdict
    ticket: Ticket | None = None
    retry_after_s: float = 0.0
    wait_s: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Gate:
    """What the node knows of the room at its target."""

    slots: int
    cold_rate: float
    work_s: float = FIRST_WORK_S
    cold_until: float = float("-inf")
    running: set[Ticket] = dataclasses.field(default_factory=set)
    waiting: list[tuple[int, Ticket]] = dataclasses.field(default_factory=list)
    demands: dict[Ticket, Demand] = dataclasses.field(default_factory=dict)
    # Starts of the last second, kept at all times: a target may have turned cold unnoticed.
    starts: collections.deque[float] = dataclasses.field(default_factory=collections.deque)
    last_ticket: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wake:
    """Waiting requests that run now, and those that can't be served in time any more."""

    run: tuple[Ticket, ...] = ()
    late: tuple[Ticket, ...] = ()
    # When to ask again although nothing ends before, while a cold target bears no more.
    again_at: float | None = None


def admit(gate: Gate, demand: Demand, now: float) -> Admission:
    """Decide on one request.

    :param gate: the state.
    :param demand: what the request needs.
    :param now: seconds on the node's clock.
    """
    wait_s = predict_wait(gate, demand.priority, now)
    enough_s = demand.deadline_at - now - LEAST_WORK_SHARE * gate.work_s
    most_s = max(0.0, QUEUE_SHARE * demand.objective_s - LEAST_WORK_SHARE * gate.work_s)
    if wait_s > min(enough_s, most_s) or enough_s <= 0:
        excess_s = max(MIN_RETRY_AFTER_S, wait_s - most_s / 2)
        return Admission(verdict=Verdict.REFUSE, retry_after_s=excess_s, wait_s=wait_s)
    gate.last_ticket += 1
    ticket = Ticket(gate.last_ticket)
    if not gate.waiting and _find_room(gate, now):
        _start(gate, ticket, now)
        return Admission(verdict=Verdict.RUN, ticket=ticket)
    heapq.heappush(gate.waiting, (demand.priority, ticket))
    gate.demands[ticket] = demand
    return Admission(verdict=Verdict.WAIT, ticket=ticket, wait_s=wait_s)


def predict_wait(gate: Gate, priority: int, now: float) -> float:
    """Return the expected wait in seconds of a request that comes now.

    :param gate: the state.
    :param priority: its urgency; only those at least as urgent are ahead of it.
    :param now: seconds on the node's clock.
    """
    ahead = sum(1 for other, _ in gate.waiting if other <= priority)
    free = gate.slots - len(gate.running)
    wait_s = max(0, ahead + 1 - free) * gate.work_s / gate.slots
    if is_cold(gate, now) and gate.cold_rate > 0:
        _forget_starts(gate, now)
        over = ahead + 1 + len(gate.starts) - gate.cold_rate * RATE_WINDOW_S
        wait_s = max(wait_s, over / gate.cold_rate)
    return wait_s


def release(gate: Gate, ticket: Ticket, *, work_s: float | None) -> None:
    """Note the end of a request that ran.

    :param gate: the state.
    :param ticket: the request.
    :param work_s: seconds from sending it to the head of its answer; ``None`` if there was none.
    """
    gate.running.discard(ticket)
    if work_s is not None:
        gate.work_s += WORK_WEIGHT * (work_s - gate.work_s)


def withdraw(gate: Gate, ticket: Ticket) -> None:
    """Remove a waiting request whose caller has left.

    :param gate: the state.
    :param ticket: the request; one that does not wait is left alone.
    """
    if gate.demands.pop(ticket, None) is not None:
        gate.waiting = [entry for entry in gate.waiting if entry[1] != ticket]
        heapq.heapify(gate.waiting)


def wake(gate: Gate, now: float) -> Wake:
    """Return which waiting requests run now.

    :param gate: the state.
    :param now: seconds on the node's clock.
    """
    run: list[Ticket] = []
    late: list[Ticket] = []
    while gate.waiting:
        _, ticket = gate.waiting[0]
        demand = gate.demands[ticket]
        is_late = now + LEAST_WORK_SHARE * gate.work_s > demand.deadline_at
        if not is_late and not _find_room(gate, now):
            break
        heapq.heappop(gate.waiting)
        del gate.demands[ticket]
        if is_late:
            late.append(ticket)
            continue
        _start(gate, ticket, now)
        run.append(ticket)
    again_at = None
    if gate.waiting and len(gate.running) < gate.slots and gate.starts:
        again_at = gate.starts[0] + RATE_WINDOW_S
    return Wake(run=tuple(run), late=tuple(late), again_at=again_at)


def note_cold(gate: Gate, until: float) -> None:
    """Note until when the target is cold, as it says itself.

    :param gate: the state.
    :param until: seconds on the node's clock.
    """
    gate.cold_until = until


def is_cold(gate: Gate, now: float) -> bool:
    """Return whether the target is cold.

    :param gate: the state.
    :param now: seconds on the node's clock.
    """
    return now < gate.cold_until


def _find_room(gate: Gate, now: float) -> bool:
    if len(gate.running) >= gate.slots:
        return False
    if not is_cold(gate, now) or gate.cold_rate <= 0:
        return True
    _forget_starts(gate, now)
    return len(gate.starts) + 1 <= max(1.0, gate.cold_rate * RATE_WINDOW_S)


def _start(gate: Gate, ticket: Ticket, now: float) -> None:
    gate.running.add(ticket)
    gate.starts.append(now)
    _forget_starts(gate, now)


def _forget_starts(gate: Gate, now: float) -> None:
    while gate.starts and gate.starts[0] <= now - RATE_WINDOW_S:
        gate.starts.popleft()
