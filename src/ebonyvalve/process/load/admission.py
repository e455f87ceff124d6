"""Admission to the target beside this node, which is the only way to it.

The node counts what runs exactly, so that a target never gets more than its slots, a cold one no
more requests a second than it bears, and the link no more large answers than it can carry soon.
Requests beyond that wait in a short queue, the urgent ones first, or are refused at once when they
can't be served in time.
"""

import collections
import dataclasses
import enum
import heapq
import math
import typing

from ebonyvalve.process.load import link

Ticket = typing.NewType("Ticket", int)

# The usual work time, until answers have shown it.
INITIAL_WORK_S = 0.1
WORK_WEIGHT = 0.1
SIZE_WEIGHT = 0.1
# Neighbours on the target's machine triple its work time for parts of a second at a time.
USUAL_WEIGHT = 0.03
# A request is refused when less than this part of the usual work time would be left for it.
MIN_WORK_SHARE = 0.7
# A caller that comes back sooner finds the same queue, and most come back only once or twice.
MIN_RETRY_AFTER_S = 0.25
RATE_WINDOW_S = 1.0
# Bursts last seconds; a shorter memory would follow single requests.
RATE_MEMORY_S = 2.0
# Overtaking load beyond this says that nothing but the urgent is served; the estimate stays finite.
MAX_OVERTAKING_LOAD = 0.8


class Verdict(enum.Enum):
    """What a request does now."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """What a request needs: its deadline in seconds on the node's clock, and its urgency.

    ``kind`` names requests that take about as long as each other, such as those of one route.
    """

    deadline_at: float
    objective_s: float
    priority: int
    kind: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """The decision on one request. ``retry_after_s`` is when there may be room again."""

    verdict: Verdict
    ticket: Ticket | None = None
    retry_after_s: float = 0.0
    wait_s: float = 0.0


@dataclasses.dataclass(kw_only=True)
class RequestKind:
    """What is known of requests of one kind: their urgency, work time, and how often they come.

    ``arrivals`` decays over ``RATE_MEMORY_S`` and is as of ``at``. ``answer_bytes`` is the usual
    size of their answers.
    """

    priority: int
    objective_s: float
    work_s: float
    arrivals: float = 0.0
    updated_at: float = 0.0
    answer_bytes: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Controller:
    """What the node knows of the room at its target."""

    slots: int
    cold_rate: float
    work_s: float = INITIAL_WORK_S
    # As of the last second or two rather than the last few answers; for what lasts longer.
    usual_work_s: float = INITIAL_WORK_S
    measurements: int = 0
    cold_until: float = float("-inf")
    # Short calls and long orders share a target.
    kinds: dict[str, RequestKind] = dataclasses.field(default_factory=dict)
    # The kinds of what runs.
    running: dict[Ticket, str] = dataclasses.field(default_factory=dict)
    # Priority, time by which the answer is due, request: the most urgent first.
    waiting: list[tuple[int, float, Ticket]] = dataclasses.field(default_factory=list)
    demands: dict[Ticket, Demand] = dataclasses.field(default_factory=dict)
    # Starts of the last second, kept at all times: a target may have turned cold unnoticed.
    starts: collections.deque[float] = dataclasses.field(default_factory=collections.deque)
    last_ticket: int = 0
    uplink: link.Link = dataclasses.field(default_factory=link.Link)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dequeued:
    """Waiting requests that run now, and those that can't be served in time any more."""

    run: tuple[Ticket, ...] = ()
    late: tuple[Ticket, ...] = ()
    # When to ask again although nothing ends before, while a cold target bears no more.
    next_dequeue_at: float | None = None


def admit(gate: Controller, demand: Demand, now: float) -> Decision:
    """Decide on one request.

    :param gate: the state.
    :param demand: what the request needs.
    :param now: seconds on the node's clock.
    """
    wait_s = predict_wait(gate, demand, now)
    _record_arrival(gate, demand, now)
    work_s = expect_work(gate, demand.kind)
    transfer_s = expect_transfer(gate, demand.kind, now)
    enough_s = demand.deadline_at - now - MIN_WORK_SHARE * work_s - transfer_s
    most_s = max(0.0, demand.objective_s - work_s - transfer_s)
    if wait_s > min(enough_s, most_s) or enough_s <= 0:
        excess_s = max(MIN_RETRY_AFTER_S, wait_s - most_s / 2)
        return Decision(verdict=Verdict.REFUSE, retry_after_s=excess_s, wait_s=wait_s)
    gate.last_ticket += 1
    ticket = Ticket(gate.last_ticket)
    if _find_room(gate, demand.kind, now) and not _must_queue(gate, demand.kind):
        _start(gate, ticket, demand.kind, now)
        return Decision(verdict=Verdict.RUN, ticket=ticket)
    heapq.heappush(gate.waiting, (demand.priority, _find_due(demand, now), ticket))
    gate.demands[ticket] = demand
    return Decision(verdict=Verdict.WAIT, ticket=ticket, wait_s=wait_s)


def predict_wait(gate: Controller, demand: Demand, now: float) -> float:
    """Return the expected wait in seconds of a request that comes now.

    :param gate: the state.
    :param demand: what it needs; only those that are as urgent and due earlier are ahead of it.
    :param now: seconds on the node's clock.
    """
    place = (demand.priority, _find_due(demand, now))
    ahead = [ticket for *other, ticket in gate.waiting if tuple(other) <= place]
    size = expect_size(gate, demand.kind)
    if not link.is_large(gate.uplink, size):
        # Those that wait for the link leave the slots to others.
        ahead = [one for one in ahead if _has_link(gate, gate.demands[one].kind, now)]
    free = gate.slots - len(gate.running)
    wait_s = 0.0
    if free <= len(ahead):
        # Those that run end evenly spread over their work time.
        queued_s = sum(expect_work(gate, gate.demands[ticket].kind) for ticket in ahead)
        wait_s = (queued_s + _expect_running(gate)) / gate.slots
        # Those that come later and are due sooner take their part of the slots meanwhile.
        wait_s /= 1.0 - min(MAX_OVERTAKING_LOAD, _find_overtaking(gate, demand, now))
    if is_cold(gate, now) and gate.cold_rate > 0:
        _forget_starts(gate, now)
        over = len(ahead) + 1 + len(gate.starts) - gate.cold_rate * RATE_WINDOW_S
        wait_s = max(wait_s, over / gate.cold_rate)
    if link.is_large(gate.uplink, size):
        # Its turn comes when the link has carried most of what is ahead of it.
        due = sum(expect_size(gate, gate.demands[ticket].kind) for ticket in ahead)
        backlog_s = link.predict_backlog(gate.uplink, _find_pending_bytes(gate) + due, now)
        wait_s = max(wait_s, backlog_s - link.MAX_BACKLOG_S)
    return wait_s


def expect_work(gate: Controller, kind: str) -> float:
    """Return how many seconds a request takes at the target.

    :param gate: the state.
    :param kind: its kind; one that has not been seen counts as a usual request.
    """
    known = gate.kinds.get(kind)
    return gate.work_s if known is None else known.work_s


def expect_size(gate: Controller, kind: str) -> float:
    """Return how many bytes the answer to a request usually has.

    :param gate: the state.
    :param kind: its kind.
    """
    known = gate.kinds.get(kind)
    return 0.0 if known is None else known.answer_bytes


def expect_transfer(gate: Controller, kind: str, now: float) -> float:
    """Return how many seconds the answer to a request takes to leave, once it has been made.

    :param gate: the state.
    :param kind: its kind.
    :param now: seconds on the node's clock.
    """
    ahead_s = min(link.MAX_BACKLOG_S, link.predict_backlog(gate.uplink, 0.0, now))
    return ahead_s + link.expect_transfer(gate.uplink, expect_size(gate, kind))


def _find_pending_bytes(gate: Controller) -> float:
    return sum(expect_size(gate, kind) for kind in gate.running.values())


def _must_queue(gate: Controller, kind: str) -> bool:
    """Return whether a request that has room must let others go first.

    Those that wait while there is room wait for the link, which small answers don't.
    """
    return bool(gate.waiting) and link.is_large(gate.uplink, expect_size(gate, kind))


def _record_arrival(gate: Controller, demand: Demand, now: float) -> None:
    known = gate.kinds.get(demand.kind)
    if known is None:
        known = gate.kinds[demand.kind] = RequestKind(
            priority=demand.priority,
            objective_s=demand.objective_s,
            work_s=gate.work_s,
            updated_at=now,
        )
    known.priority, known.objective_s = demand.priority, demand.objective_s
    known.arrivals = _read_arrivals(known, now) + 1.0
    known.updated_at = now


def _read_arrivals(kind: RequestKind, now: float) -> float:
    return kind.arrivals * math.exp((kind.updated_at - now) / RATE_MEMORY_S)


def _find_overtaking(gate: Controller, demand: Demand, now: float) -> float:
    """Return the part of the slots that goes to requests which overtake one that comes now."""
    urgency = (demand.priority, demand.objective_s)
    work_s = sum(
        _read_arrivals(kind, now) * kind.work_s
        for kind in gate.kinds.values()
        if (kind.priority, kind.objective_s) < urgency
    )
    return work_s / RATE_MEMORY_S / gate.slots


def _expect_running(gate: Controller) -> float:
    if not gate.running:
        return gate.work_s
    return sum(expect_work(gate, kind) for kind in gate.running.values()) / len(gate.running)


def _find_due(demand: Demand, now: float) -> float:
    return min(demand.deadline_at, now + demand.objective_s)


def release(gate: Controller, ticket: Ticket, *, work_s: float | None) -> None:
    """Note that the target has done its work on a request, or that it was ended.

    :param gate: the state.
    :param ticket: the request.
    :param work_s: seconds from sending it to the head of its answer; ``None`` if there was none.
    """
    kind = gate.running.pop(ticket, None)
    if work_s is not None and kind is not None:
        before_s = expect_work(gate, kind)
        if kind in gate.kinds:
            gate.kinds[kind].work_s = before_s + WORK_WEIGHT * (work_s - before_s)
        gate.work_s += WORK_WEIGHT * (work_s - gate.work_s)
        gate.measurements += 1
        weight = max(USUAL_WEIGHT, 1.0 / gate.measurements)
        gate.usual_work_s += weight * (work_s - gate.usual_work_s)


def record_answer(gate: Controller, kind: str, size: int | None, now: float) -> None:
    """Note that an answer goes out over the node's link.

    :param gate: the state.
    :param kind: the kind of the request.
    :param size: bytes of the answer; ``None`` if it does not announce them.
    :param now: seconds on the node's clock.
    """
    link.record_sent(gate.uplink, expect_size(gate, kind) if size is None else size, now)


def record_answer_size(gate: Controller, kind: str, size: int) -> None:
    """Note how large an answer was.

    :param gate: the state.
    :param kind: the kind of the request.
    :param size: its bytes.
    """
    known = gate.kinds.get(kind)
    if known is not None:
        weight = SIZE_WEIGHT if known.answer_bytes else 1.0
        known.answer_bytes += weight * (size - known.answer_bytes)


def reset_work_times(gate: Controller) -> None:
    """Expect the usual work time again, after the target has been replaced.

    :param gate: the state.
    """
    gate.work_s = gate.usual_work_s = INITIAL_WORK_S
    gate.measurements = 0


def withdraw(gate: Controller, ticket: Ticket) -> None:
    """Remove a waiting request whose caller has left.

    :param gate: the state.
    :param ticket: the request; one that does not wait is left alone.
    """
    if gate.demands.pop(ticket, None) is not None:
        gate.waiting = [entry for entry in gate.waiting if entry[-1] != ticket]
        heapq.heapify(gate.waiting)


def dequeue(gate: Controller, now: float) -> Dequeued:
    """Return which waiting requests run now.

    :param gate: the state.
    :param now: seconds on the node's clock.
    """
    run: list[Ticket] = []
    late: list[Ticket] = []
    # Others need not wait behind those that wait for the link.
    held: list[tuple[int, float, Ticket]] = []
    while gate.waiting:
        *_, ticket = gate.waiting[0]
        demand = gate.demands[ticket]
        least_s = MIN_WORK_SHARE * expect_work(gate, demand.kind)
        is_late = now + least_s > demand.deadline_at
        if not is_late and not _find_slot(gate, now):
            break
        if not is_late and not _find_room(gate, demand.kind, now):
            held.append(heapq.heappop(gate.waiting))
            continue
        heapq.heappop(gate.waiting)
        del gate.demands[ticket]
        if is_late:
            late.append(ticket)
            continue
        _start(gate, ticket, demand.kind, now)
        run.append(ticket)
    for entry in held:
        heapq.heappush(gate.waiting, entry)
    again_at = None
    if gate.waiting and len(gate.running) < gate.slots and gate.starts:
        again_at = gate.starts[0] + RATE_WINDOW_S
    return Dequeued(run=tuple(run), late=tuple(late), next_dequeue_at=again_at)


def record_cold(gate: Controller, until: float) -> None:
    """Note until when the target is cold, as it says itself.

    :param gate: the state.
    :param until: seconds on the node's clock.
    """
    gate.cold_until = until


def is_cold(gate: Controller, now: float) -> bool:
    """Return whether the target is cold.

    :param gate: the state.
    :param now: seconds on the node's clock.
    """
    return now < gate.cold_until


def _find_room(gate: Controller, kind: str, now: float) -> bool:
    return _has_link(gate, kind, now) and _find_slot(gate, now)


def _has_link(gate: Controller, kind: str, now: float) -> bool:
    if not link.is_large(gate.uplink, expect_size(gate, kind)):
        return True
    return link.has_room(gate.uplink, _find_pending_bytes(gate), now)


def _find_slot(gate: Controller, now: float) -> bool:
    if len(gate.running) >= gate.slots:
        return False
    if not is_cold(gate, now) or gate.cold_rate <= 0:
        return True
    _forget_starts(gate, now)
    return len(gate.starts) + 1 <= max(1.0, gate.cold_rate * RATE_WINDOW_S)


def _start(gate: Controller, ticket: Ticket, kind: str, now: float) -> None:
    gate.running[ticket] = kind
    gate.starts.append(now)
    _forget_starts(gate, now)


def _forget_starts(gate: Controller, now: float) -> None:
    while gate.starts and gate.starts[0] <= now - RATE_WINDOW_S:
        gate.starts.popleft()
