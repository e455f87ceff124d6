"""Admission control for the target beside this node, which gets all of its requests from here.

The node counts exactly what runs, so that a target never gets more requests than it has slots, a
cold target no more requests per second than it can handle, and the link no more large answers than
it can soon carry. Further requests wait in a short queue, the most urgent first, or are refused at
once if they can't be served in time.
"""

import collections
import dataclasses
import enum
import heapq
import math
import typing

from ebonyvalve.process.load import link, pace, reservation

Ticket = typing.NewType("Ticket", int)

# The assumed work time until answers have shown it.
INITIAL_WORK_S = 0.1
# Weights of a new value in the moving averages of work times and answer sizes.
WORK_WEIGHT = 0.1
SIZE_WEIGHT = 0.1
# Neighbours on the target's machine triple its work time for fractions of a second, which the
# average over a longer time has to smooth out.
USUAL_WEIGHT = 0.03
# A request is refused if it would have less than this share of the expected work time left.
MIN_WORK_SHARE = 0.7
# A caller that retries sooner finds the same queue, and most retry only once or twice.
MIN_RETRY_AFTER_S = 0.25
# A call is refused only if it would wait for this multiple of its objective, because its answer has
# no value of its own, but a refusal loses the work of the running request. It isn't unlimited, so
# that two services whose requests call each other don't fill their slots with waiting requests.
CALL_PATIENCE = 2.0
RATE_WINDOW_S = 1.0
# Arrival rates decay over this time. Bursts last seconds; a shorter time would follow single
# requests.
RATE_MEMORY_S = 2.0
# Limits the estimated share of the slots that overtaking requests take, so that the predicted wait
# stays finite. Beyond it, almost only urgent requests are served.
MAX_OVERTAKING_LOAD = 0.8


# The order in which requests start: priority, calls of running requests before new ones, and time
# by which the answer is due. A refused call loses the work that the running request has done.
Rank = tuple[int, bool, float]


class Verdict(enum.Enum):
    """What a request does now."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """What a request needs: its deadline in seconds on the node's clock, and its urgency.

    ``objective_s`` is within how many seconds of its arrival it should be answered. Requests of one
    ``kind`` take about equally long, such as those of one route. A lower ``priority`` is more
    urgent. ``is_call`` says that a running request of another target waits for this one.
    """

    deadline_at: float
    objective_s: float
    priority: int
    kind: str = ""
    is_call: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """The decision on a request.

    ``wait_s`` is the expected wait in seconds, ``retry_after_s`` in how many seconds there may be
    room for a refused request.
    """

    verdict: Verdict
    ticket: Ticket | None = None
    retry_after_s: float = 0.0
    wait_s: float = 0.0


@dataclasses.dataclass(kw_only=True)
class RequestKind:
    """What is known of the requests of one kind: their urgency, work time and rate.

    ``arrivals`` is a count that decays over ``RATE_MEMORY_S``, as of ``updated_at``; ``calls`` is
    the part of it that running requests wait for.
    ``answer_bytes`` is the usual size of the answers.
    """

    priority: int
    objective_s: float
    work_s: float
    arrivals: float = 0.0
    calls: float = 0.0
    updated_at: float = 0.0
    answer_bytes: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Running:
    """A request that the target runs, sent at ``sent_at`` in seconds on the node's clock."""

    kind: str
    priority: int
    sent_at: float


@dataclasses.dataclass(kw_only=True)
class Controller:
    """The requests at the target, and what is known of its capacity.

    ``cold_rate`` is how many requests per second the target can handle while it is cold, until
    ``cold_until`` in seconds on the node's clock; 0 for no limit.
    """

    slots: int
    cold_rate: float
    work_s: float = INITIAL_WORK_S
    # An average over the last second or two, rather than over the last few answers like ``work_s``.
    # It is used for decisions that last longer.
    usual_work_s: float = INITIAL_WORK_S
    measurements: int = 0
    cold_until: float = float("-inf")
    # Work times are known by kind, because short and long requests share a target.
    kinds: dict[str, RequestKind] = dataclasses.field(default_factory=dict)
    running: dict[Ticket, Running] = dataclasses.field(default_factory=dict)
    ramp: pace.Pace = dataclasses.field(default_factory=pace.Pace)
    reserved: reservation.Reservation = dataclasses.field(default_factory=reservation.Reservation)
    # A heap of rank and request.
    waiting: list[tuple[Rank, Ticket]] = dataclasses.field(default_factory=list)
    demands: dict[Ticket, Demand] = dataclasses.field(default_factory=dict)
    # Starts within the last second. They are always kept, because the node may learn only later
    # that its target was cold.
    starts: collections.deque[float] = dataclasses.field(default_factory=collections.deque)
    last_ticket: int = 0
    uplink: link.Link = dataclasses.field(default_factory=link.Link)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dequeued:
    """Waiting requests that run now, and those that can no longer be served in time."""

    run: tuple[Ticket, ...] = ()
    late: tuple[Ticket, ...] = ()
    # When to dequeue again even if no request ends before, because a cold target is at its rate.
    next_dequeue_at: float | None = None


def admit(controller: Controller, demand: Demand, now: float) -> Decision:
    """Decide whether a request runs now, waits or is refused.

    :param controller: the state.
    :param demand: what the request needs.
    :param now: seconds on the node's clock.
    """
    wait_s = predict_wait(controller, demand, now)
    _record_arrival(controller, demand, now)
    work_s = expect_work(controller, demand.kind)
    transfer_s = expect_transfer(controller, demand.kind, now)
    max_wait_s = demand.deadline_at - now - MIN_WORK_SHARE * work_s - transfer_s
    objective_wait_s = max(0.0, demand.objective_s - work_s - transfer_s)
    if demand.is_call:
        objective_wait_s *= CALL_PATIENCE
    if wait_s > min(max_wait_s, objective_wait_s) or max_wait_s <= 0:
        excess_s = max(MIN_RETRY_AFTER_S, wait_s - objective_wait_s / 2)
        return Decision(verdict=Verdict.REFUSE, retry_after_s=excess_s, wait_s=wait_s)
    controller.last_ticket += 1
    ticket = Ticket(controller.last_ticket)
    if (
        _has_room(controller, demand.kind, now)
        and not _must_queue(controller, demand.kind)
        and _is_within_limits(controller, demand, now)
    ):
        _start(controller, ticket, demand, now)
        return Decision(verdict=Verdict.RUN, ticket=ticket)
    heapq.heappush(controller.waiting, (_find_rank(demand, now), ticket))
    controller.demands[ticket] = demand
    return Decision(verdict=Verdict.WAIT, ticket=ticket, wait_s=wait_s)


def predict_wait(controller: Controller, demand: Demand, now: float) -> float:
    """Return how many seconds a request that arrives now is expected to wait.

    :param controller: the state.
    :param demand: what it needs; requests that are more urgent go first, then calls, then those
        that are due earlier.
    :param now: seconds on the node's clock.
    """
    rank = _find_rank(demand, now)
    ahead = [ticket for other, ticket in controller.waiting if other <= rank]
    size = expect_size(controller, demand.kind)
    if not link.is_large(controller.uplink, size):
        # Requests that wait for the link leave the slots to others.
        ahead = [
            ticket
            for ticket in ahead
            if _has_link_room(controller, controller.demands[ticket].kind, now)
        ]
    slots = _find_slots(controller, demand, now)
    free = find_allowed(controller, now) - len(controller.running)
    if slots < controller.slots:
        held = sum(1 for other in controller.running.values() if other.priority >= demand.priority)
        free = min(free, slots - held)
    wait_s = 0.0
    if free <= len(ahead):
        # Assumes that the running requests end evenly spread over their work time.
        queued_s = sum(expect_work(controller, controller.demands[ticket].kind) for ticket in ahead)
        wait_s = (queued_s + _expect_running(controller)) / slots
        # Later requests that are due sooner take their share of the slots meanwhile, first of those
        # that are reserved for them.
        reserved = find_allowed(controller, now) - slots
        overtaking = _find_overtaking_work(controller, demand, now) - reserved
        wait_s /= 1.0 - min(MAX_OVERTAKING_LOAD, max(0.0, overtaking) / slots)
    if is_cold(controller, now) and controller.cold_rate > 0:
        _forget_starts(controller, now)
        excess = len(ahead) + 1 + len(controller.starts) - controller.cold_rate * RATE_WINDOW_S
        wait_s = max(wait_s, excess / controller.cold_rate)
    if link.is_large(controller.uplink, size):
        # It may start when the link has carried most of what is ahead of it.
        queued_bytes = sum(
            expect_size(controller, controller.demands[ticket].kind) for ticket in ahead
        )
        backlog_s = link.predict_backlog(
            controller.uplink,
            _find_pending_bytes(controller) + queued_bytes,
            now,
            ready_in_s=expect_work(controller, demand.kind),
        )
        wait_s = max(wait_s, backlog_s - link.MAX_BACKLOG_S)
    return wait_s


def expect_work(controller: Controller, kind: str) -> float:
    """Return the expected work time of a request in seconds.

    :param controller: the state.
    :param kind: its kind; an unknown kind is expected to take as long as the average request.
    """
    request_kind = controller.kinds.get(kind)
    return controller.work_s if request_kind is None else request_kind.work_s


def expect_size(controller: Controller, kind: str) -> float:
    """Return the expected size of the answer to a request in bytes.

    :param controller: the state.
    :param kind: its kind.
    """
    request_kind = controller.kinds.get(kind)
    return 0.0 if request_kind is None else request_kind.answer_bytes


def expect_transfer(controller: Controller, kind: str, now: float) -> float:
    """Return how many seconds the answer to a request takes to leave once it is ready.

    :param controller: the state.
    :param kind: its kind.
    :param now: seconds on the node's clock.
    """
    ahead_s = min(link.MAX_BACKLOG_S, link.predict_backlog(controller.uplink, 0.0, now))
    return ahead_s + link.expect_transfer(controller.uplink, expect_size(controller, kind))


def _find_pending_bytes(controller: Controller) -> float:
    """Return the expected bytes of the answers that the target is still preparing."""
    return sum(expect_size(controller, other.kind) for other in controller.running.values())


def _must_queue(controller: Controller, kind: str) -> bool:
    """Return whether a request for which there is room has to let waiting ones go first.

    Requests that wait while there is room wait for the link, which does not delay small answers.
    """
    return bool(controller.waiting) and link.is_large(
        controller.uplink, expect_size(controller, kind)
    )


def _find_slots(controller: Controller, demand: Demand, now: float) -> int:
    """Return how many slots requests as urgent as this one, and less urgent ones, may hold."""
    limits = _update_limits(controller, now)
    allowed = find_allowed(controller, now)
    if demand.is_call or not limits:
        return allowed
    return min(
        [limit for priority, limit in limits.items() if priority <= demand.priority] + [allowed]
    )


def _is_within_limits(controller: Controller, demand: Demand, now: float) -> bool:
    """Return whether a request may start in spite of the slots that are kept for urgent ones.

    Calls always may: services whose requests call each other would otherwise wait for each other.
    """
    limits = _update_limits(controller, now)
    if demand.is_call or not limits:
        return True
    held = [other.priority for other in controller.running.values()]
    return reservation.has_room(limits, demand.priority, held)


def _update_limits(controller: Controller, now: float) -> dict[int, int]:
    if now >= controller.reserved.decided_at + reservation.DECISION_INTERVAL_S:
        reservation.update_limits(
            controller.reserved, controller.slots, lambda kind: expect_work(controller, kind), now
        )
    return controller.reserved.limits


def _record_arrival(controller: Controller, demand: Demand, now: float) -> None:
    reservation.record_arrival(
        controller.reserved, demand.kind, demand.priority, demand.objective_s, now
    )
    request_kind = controller.kinds.get(demand.kind)
    if request_kind is None:
        request_kind = controller.kinds[demand.kind] = RequestKind(
            priority=demand.priority,
            objective_s=demand.objective_s,
            work_s=controller.work_s,
            updated_at=now,
        )
    request_kind.priority, request_kind.objective_s = demand.priority, demand.objective_s
    decay = _find_decay(request_kind, now)
    request_kind.arrivals = request_kind.arrivals * decay + 1.0
    request_kind.calls = request_kind.calls * decay + float(demand.is_call)
    request_kind.updated_at = now


def _find_decay(kind: RequestKind, now: float) -> float:
    return math.exp((kind.updated_at - now) / RATE_MEMORY_S)


def _find_overtaking_work(controller: Controller, demand: Demand, now: float) -> float:
    """Return how many slots are taken by requests that overtake one that arrives now."""
    urgency = (demand.priority, not demand.is_call, demand.objective_s)
    work_s = 0.0
    for kind in controller.kinds.values():
        arrivals = 0.0
        if (kind.priority, True, kind.objective_s) < urgency:
            arrivals += kind.arrivals - kind.calls
        if (kind.priority, False, kind.objective_s) < urgency:
            arrivals += kind.calls
        work_s += arrivals * _find_decay(kind, now) * kind.work_s
    return work_s / RATE_MEMORY_S


def _expect_running(controller: Controller) -> float:
    if not controller.running:
        return controller.work_s
    work_s = sum(expect_work(controller, other.kind) for other in controller.running.values())
    return work_s / len(controller.running)


def _find_rank(demand: Demand, now: float) -> Rank:
    due_at = min(demand.deadline_at, now + demand.objective_s)
    return demand.priority, not demand.is_call, due_at


def release(controller: Controller, ticket: Ticket, *, work_s: float | None) -> None:
    """Free the slot of a request that the target has completed or that was ended.

    :param controller: the state.
    :param ticket: the request.
    :param work_s: seconds from sending the request to the head of the answer; ``None`` if there was
        no answer.
    """
    ended = controller.running.pop(ticket, None)
    if work_s is not None and ended is not None:
        kind, now = ended.kind, ended.sent_at + work_s
        before_s = expect_work(controller, kind)
        if not is_cold(controller, now):
            pace.record_answer(
                controller.ramp,
                kind,
                work_s,
                expected_s=before_s,
                running=len(controller.running) + 1,
                slots=controller.slots,
                now=now,
            )
        if kind in controller.kinds:
            controller.kinds[kind].work_s = before_s + WORK_WEIGHT * (work_s - before_s)
        controller.work_s += WORK_WEIGHT * (work_s - controller.work_s)
        controller.measurements += 1
        weight = max(USUAL_WEIGHT, 1.0 / controller.measurements)
        controller.usual_work_s += weight * (work_s - controller.usual_work_s)


def record_answer(controller: Controller, kind: str, size: int | None, now: float) -> None:
    """Record that an answer is sent over the node's link.

    :param controller: the state.
    :param kind: the kind of the request.
    :param size: bytes of the answer; ``None`` if the answer does not state its length.
    :param now: seconds on the node's clock.
    """
    link.record_sent(
        controller.uplink, expect_size(controller, kind) if size is None else size, now
    )


def record_answer_size(controller: Controller, kind: str, size: int) -> None:
    """Record the size of an answer.

    :param controller: the state.
    :param kind: the kind of the request.
    :param size: bytes of the answer.
    """
    request_kind = controller.kinds.get(kind)
    if request_kind is not None:
        weight = SIZE_WEIGHT if request_kind.answer_bytes else 1.0
        request_kind.answer_bytes += weight * (size - request_kind.answer_bytes)


def reset_work_times(controller: Controller) -> None:
    """Reset the expected work times, after the target has been replaced.

    :param controller: the state.
    """
    controller.work_s = controller.usual_work_s = INITIAL_WORK_S
    controller.measurements = 0


def withdraw(controller: Controller, ticket: Ticket) -> None:
    """Remove a waiting request whose caller has left.

    :param controller: the state.
    :param ticket: the request; one that is not waiting is ignored.
    """
    if controller.demands.pop(ticket, None) is not None:
        controller.waiting = [entry for entry in controller.waiting if entry[-1] != ticket]
        heapq.heapify(controller.waiting)


def dequeue(controller: Controller, now: float) -> Dequeued:
    """Remove from the queue the requests that run now and those that are late, and return them.

    :param controller: the state.
    :param now: seconds on the node's clock.
    """
    run: list[Ticket] = []
    late: list[Ticket] = []
    # Requests that wait for the link or for a slot that isn't reserved don't block those behind.
    deferred: list[tuple[Rank, Ticket]] = []
    while controller.waiting:
        _, ticket = controller.waiting[0]
        demand = controller.demands[ticket]
        min_work_s = MIN_WORK_SHARE * expect_work(controller, demand.kind)
        is_late = now + min_work_s > demand.deadline_at
        if not is_late and not _has_free_slot(controller, now):
            break
        if not is_late and not (
            _has_room(controller, demand.kind, now) and _is_within_limits(controller, demand, now)
        ):
            deferred.append(heapq.heappop(controller.waiting))
            continue
        heapq.heappop(controller.waiting)
        del controller.demands[ticket]
        if is_late:
            late.append(ticket)
            continue
        _start(controller, ticket, demand, now)
        run.append(ticket)
    for entry in deferred:
        heapq.heappush(controller.waiting, entry)
    next_dequeue_at = None
    if controller.waiting and len(controller.running) < controller.slots and controller.starts:
        next_dequeue_at = controller.starts[0] + RATE_WINDOW_S
    return Dequeued(run=tuple(run), late=tuple(late), next_dequeue_at=next_dequeue_at)


def record_cold(controller: Controller, until: float) -> None:
    """Record until when the target is cold, as it reports itself.

    :param controller: the state.
    :param until: the end of its slow start, in seconds on the node's clock.
    """
    controller.cold_until = until


def begin_ramp(controller: Controller, now: float) -> None:
    """Raise the requests that the target runs at once step by step, once it is no longer cold.

    :param controller: the state.
    :param now: seconds on the node's clock.
    """
    usual_s = {name: kind.work_s for name, kind in controller.kinds.items()}
    # As many as it has run at once while it was cold.
    initial = min(controller.slots / 2, controller.cold_rate * controller.work_s)
    pace.begin(controller.ramp, initial, usual_s, now)


def record_shed(controller: Controller, ticket: Ticket, now: float) -> None:
    """Record that the target has refused a request that it was sent.

    :param controller: the state.
    :param ticket: the request.
    :param now: seconds on the node's clock.
    """
    sent = controller.running.get(ticket)
    if not is_cold(controller, now):
        pace.record_refusal(controller.ramp, now if sent is None else sent.sent_at, now)


def find_allowed(controller: Controller, now: float) -> int:
    """Return how many requests the target may run at once.

    :param controller: the state.
    :param now: seconds on the node's clock.
    """
    if is_cold(controller, now):
        return controller.slots
    return pace.find_slots(controller.ramp, controller.slots)


def is_cold(controller: Controller, now: float) -> bool:
    """Return whether the target is still in its slow start.

    :param controller: the state.
    :param now: seconds on the node's clock.
    """
    return now < controller.cold_until


def _has_room(controller: Controller, kind: str, now: float) -> bool:
    return _has_link_room(controller, kind, now) and _has_free_slot(controller, now)


def _has_link_room(controller: Controller, kind: str, now: float) -> bool:
    if not link.is_large(controller.uplink, expect_size(controller, kind)):
        return True
    return link.has_room(
        controller.uplink,
        _find_pending_bytes(controller),
        now,
        ready_in_s=expect_work(controller, kind),
    )


def _has_free_slot(controller: Controller, now: float) -> bool:
    if controller.ramp.limit is not None and not is_cold(controller, now):
        sent = [(other.kind, other.sent_at) for other in controller.running.values()]
        pace.check_overdue(controller.ramp, sent, now)
    if len(controller.running) >= find_allowed(controller, now):
        return False
    if not is_cold(controller, now) or controller.cold_rate <= 0:
        return True
    _forget_starts(controller, now)
    return len(controller.starts) + 1 <= max(1.0, controller.cold_rate * RATE_WINDOW_S)


def _start(controller: Controller, ticket: Ticket, demand: Demand, now: float) -> None:
    controller.running[ticket] = Running(kind=demand.kind, priority=demand.priority, sent_at=now)
    controller.starts.append(now)
    _forget_starts(controller, now)


def _forget_starts(controller: Controller, now: float) -> None:
    while controller.starts and controller.starts[0] <= now - RATE_WINDOW_S:
        controller.starts.popleft()
