"""Runs a request at this node's own target: admission, one attempt, and classifying the reply."""

import collections.abc
import contextlib
import dataclasses
import enum
import logging
import math

import trio

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import decision, decoding, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import grant, ledger
from ebonyvalve.process.load import admission, calls, lag, pace, rates, reservation
from ebonyvalve.request import attempt, body_bound, correlation, crash, dispatch, exchange, outcome

log = logging.getLogger(__name__)

# Stands for all requests without a key in the request rates by key slot.
UNKEYED = -1
# Weight of a refused request in the request rates. Callers that are refused retry, mostly twice.
REFUSED_WEIGHT = 1 / 3
# Retry delay while the target has no valid grant. It reports with each heartbeat, and the reply to
# a report renews the grant.
GRANT_RETRY_S = 0.2
# Retry delay while this process stops; it is restarted within about a second.
RESTARTING_RETRY_S = 1.0
# A leaving target gets new requests for its keys until this long before the end of its drain, so
# that requests in flight can finish.
HANDOVER_MARGIN_S = 0.4
# Retry delay for a quarantined request. The quarantine lasts for minutes, so that an early retry
# would be refused again.
QUARANTINE_RETRY_S = 30.0
# The queue is checked periodically because cold targets gain capacity, and waiting requests expire,
# as time passes.
QUEUE_CHECK_INTERVAL_S = 0.03
# The lag of the event loop is measured this often while nothing waits and it is small.
LAG_CHECK_INTERVAL_S = 0.25


class ReplyKind(enum.Enum):
    """What a reply of the target says about the request.

    ``ANSWER`` is passed on to the caller. ``NOT_RUN`` and ``WRONG_TARGET`` are refusals: the target
    shed the request, or the request was meant for another lifetime. ``UNTRUSTED`` replies cannot be
    shown to be the target's own reply to this request.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    WRONG_TARGET = "misplaced"
    UNTRUSTED = "spoiled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dialect:
    """The target's HTTP conventions, as functions.

    ``build_headers`` returns the headers of a request for a lifetime of the target and a time
    budget in seconds. ``classify_reply`` classifies a reply. ``correlate`` says whether a reply
    names the request with a given id.
    """

    build_headers: collections.abc.Callable[
        [exchange.Call, identity.Lifetime, float], exchange.Headers
    ]
    classify_reply: collections.abc.Callable[[int, exchange.Headers], ReplyKind]
    correlate: collections.abc.Callable[[exchange.Headers, str], correlation.Correlation]


@dataclasses.dataclass(kw_only=True)
class SlotUse:
    """A slot of the target, occupied by a request.

    ``route`` names the request's route, by which work times and sizes are tracked. ``began_at`` is
    in seconds on the node's clock.
    """

    ticket: admission.Ticket
    route: str
    began_at: float
    is_released: bool = False


@dataclasses.dataclass(kw_only=True)
class Delivery:
    """State shared by the requests at this node's target.

    ``waiters`` maps the tickets of queued requests to the events that wake them; ``expired`` holds
    those that were woken because they can no longer run in time. ``queued`` is set and replaced
    when a request is queued. ``running_requests`` has the requests that the target runs,
    by their ids.
    """

    node: node_module.Node
    pool: pool.Pool
    dialect: Dialect
    crash_detector: crash.Detector
    waiters: dict[admission.Ticket, trio.Event] = dataclasses.field(default_factory=dict)
    expired: set[admission.Ticket] = dataclasses.field(default_factory=set)
    queued: trio.Event = dataclasses.field(default_factory=trio.Event)
    running_requests: dict[str, SlotUse] = dataclasses.field(default_factory=dict)
    # Shields of the non-idempotent requests in flight, lifted when the process ends.
    shields: set[trio.CancelScope] = dataclasses.field(default_factory=set)
    bodies: body_bound.Gate = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Share the node's state of the bodies at the target."""
        self.bodies = body_bound.Gate(memory=self.node.bodies, now=self.node.now)


@dataclasses.dataclass(kw_only=True)
class Completion:
    """The result of a request at one node.

    ``retry_after_s`` is set for refusals, and ``owner`` when another node serves the key.
    ``is_answered`` says whether the caller has the reply, or the beginning of one that broke off.
    ``is_body_open`` says whether the caller's body was read beyond the buffered prefix, so that it
    can't be sent again.
    """

    result: outcome.Outcome
    retry_after_s: float = 0.0
    is_answered: bool = False
    owner: identity.NodeId | None = None
    is_body_open: bool = False


async def run(
    delivery: Delivery,
    call: exchange.Call,
    caller: exchange.Caller,
    *,
    max_queue_s: float = math.inf,
) -> Completion:
    """Run a request at this node's target.

    :param delivery: the state shared by the target's requests.
    :param call: the request, with its rules.
    :param caller: receives the reply.
    :param max_queue_s: a request that has waited for its key and in the queue for this long in
        seconds is refused.
    """
    node = delivery.node
    rules = call.rules
    assert rules is not None
    wait_until = node.now() + max_queue_s
    refusal = await _find_refusal(delivery, call, rules, wait_until=wait_until)
    if refusal is not None:
        return refusal
    if crash.is_quarantined(delivery.crash_detector, call):
        return Completion(
            result=outcome.refuse(outcome.Reason.QUARANTINED), retry_after_s=QUARANTINE_RETRY_S
        )
    if _is_throttled(node, rules.route):
        return Completion(
            result=outcome.refuse(outcome.Reason.CALLS_REFUSED),
            retry_after_s=calls.RETRY_AFTER_S,
        )
    if call.is_body_buffered:
        return await _run_admitted(delivery, call, caller, rules, wait_until)
    ticket = body_bound.begin(delivery.bodies, call)
    if ticket is None:
        return Completion(
            result=outcome.refuse(outcome.Reason.BODY_MEMORY),
            retry_after_s=max(admission.MIN_RETRY_AFTER_S, node.admission.work_s),
        )
    completion: Completion | None = None
    try:
        bounded = body_bound.bound(delivery.bodies, ticket, caller)
        completion = await _run_admitted(delivery, call, bounded, rules, wait_until)
        return completion
    finally:
        # There is no completion if the request was cancelled.
        result = None if completion is None else completion.result
        body_bound.end(
            delivery.bodies,
            ticket,
            is_answered=result is not None and result.verdict is outcome.Verdict.ANSWERED,
            is_broken=result is not None and result.reason is outcome.Reason.CONNECTION_LOST,
        )


async def _run_admitted(
    delivery: Delivery,
    call: exchange.Call,
    caller: exchange.Caller,
    rules: exchange.Rules,
    wait_until: float,
) -> Completion:
    """Run a request for whose body the target has room, once admission lets it."""
    node = delivery.node
    demand = admission.Demand(
        deadline_at=call.deadline_at_s,
        objective_s=rules.objective_s,
        priority=rules.priority,
        kind=rules.route,
        is_call=rules.is_call,
    )
    admitted = admission.admit(node.admission, demand, node.now())
    if reservation.report_change(node.admission.reserved, node.now()):
        limits = node.admission.reserved.limits
        decision.record(
            log,
            logging.INFO,
            "slots-reserved",
            slots=node.admission.slots,
            limits=",".join(f"{priority}:{limit}" for priority, limit in limits.items()),
        )
    key_slot = UNKEYED if rules.key_slot is None else rules.key_slot
    rates.record(
        node.key_rates,
        key_slot,
        node.now(),
        weight=REFUSED_WEIGHT if admitted.ticket is None else 1.0,
    )
    rates.record_surge(node.surge, key_slot, node.now())
    if admitted.ticket is None:
        return Completion(
            result=outcome.refuse(outcome.Reason.QUEUE_FULL), retry_after_s=admitted.retry_after_s
        )
    if admitted.verdict is admission.Verdict.WAIT:
        is_in_time = False
        with trio.move_on_after(max(0.0, wait_until - node.now())) as scope:
            is_in_time = await _wait_in_queue(delivery, admitted.ticket)
        if not is_in_time and node.is_ending:
            return _refuse_stopping()
        if not is_in_time:
            reason = (
                outcome.Reason.QUEUE_FULL if scope.cancelled_caught else outcome.Reason.DEADLINE
            )
            return Completion(result=outcome.refuse(reason), retry_after_s=node.admission.work_s)
    slot_use = SlotUse(ticket=admitted.ticket, route=rules.route, began_at=node.now())
    try:
        # The target may have left, or its keys may have moved, while the request was queued.
        refusal = await _find_refusal(delivery, call, rules, wait_until=node.now())
        if refusal is not None:
            return refusal
        calls.record_begin(node.call_history, rules.route, node.now())
        if call.request_id:
            delivery.running_requests[call.request_id] = slot_use
        return await _attempt(delivery, call, caller, slot_use)
    finally:
        # A caller may have sent a request again while an earlier attempt still runs.
        if delivery.running_requests.get(call.request_id) is slot_use:
            del delivery.running_requests[call.request_id]
        _release_slot(delivery, slot_use, is_answered=False)


def _is_throttled(node: node_module.Node, route: str) -> bool:
    """Return whether to refuse a request because of the calls that it would make."""
    share = calls.find_throttled_share(node.call_history, route, node.now())
    if calls.record_throttling(node.call_history, route, is_throttled=share > 0.0):
        event = "route-throttled" if share > 0.0 else "route-unthrottled"
        decision.record(log, logging.INFO, event, route=route, share=f"{share:.2f}")
    if share <= 0.0 or node.draw() >= share:
        return False
    calls.record_throttled(node.call_history, route, node.now())
    return True


def _release_slot(delivery: Delivery, slot_use: SlotUse, *, is_answered: bool) -> None:
    """Release a request's slot and wake the next request; later calls have no effect."""
    if slot_use.is_released:
        return
    slot_use.is_released = True
    node = delivery.node
    work_s = node.now() - slot_use.began_at if is_answered else None
    admission.release(node.admission, slot_use.ticket, work_s=work_s)
    if pace.report_change(node.admission.ramp, node.admission.slots, node.now()):
        decision.record(
            log,
            logging.INFO,
            "target-ramp",
            allowed=pace.find_slots(node.admission.ramp, node.admission.slots),
            slots=node.admission.slots,
            halvings=node.admission.ramp.halvings,
            ended=node.admission.ramp.limit is None,
        )
    wake(delivery)


async def _find_refusal(
    delivery: Delivery, call: exchange.Call, rules: exchange.Rules, *, wait_until: float
) -> Completion | None:
    """Return the refusal of a request that the target cannot run now, or ``None`` if it can.

    A request waits for its key until ``wait_until``, in seconds on the node's clock, if the key can
    be granted before the deadline.
    """
    node = delivery.node
    target = node.target
    if target is None or target.is_dead:
        return Completion(result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=0.5)
    if not node_module.is_trusted(node):
        return Completion(
            result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=GRANT_RETRY_S
        )
    if call.service != node.place.service:
        return Completion(result=outcome.refuse(outcome.Reason.MOVED))
    if node.is_ending:
        return _refuse_stopping()
    if not node_module.is_open(node):
        # A leaving target serves its keys until they have been handed over.
        until = node.closed_at + node.place.drain_s - HANDOVER_MARGIN_S
        is_handing_over = rules.key_slot is not None and node.now() < until
        if not is_handing_over:
            return Completion(
                result=outcome.refuse(outcome.Reason.DRAINED), retry_after_s=GRANT_RETRY_S
            )
    if rules.key_slot is None:
        return None
    while True:
        if node.is_ending:
            return _refuse_stopping()
        key_refusal = _find_key_refusal(node, rules.key_slot)
        if key_refusal is None:
            return None
        is_waiting = node.now() < wait_until
        if key_refusal.result.reason is not outcome.Reason.LEASE_LAPSED or not is_waiting:
            return key_refusal
        remaining_s = call.deadline_at_s - node.now() - node.admission.work_s
        grant_delay_s = predict_grant_delay(node)
        if grant_delay_s > remaining_s:
            key_refusal.retry_after_s = grant_delay_s
            return key_refusal
        with trio.move_on_after(max(0.0, min(remaining_s, wait_until - node.now()))) as scope:
            await node.changed.wait()
        if scope.cancelled_caught:
            return key_refusal


def _refuse_stopping() -> Completion:
    return Completion(
        result=outcome.refuse(outcome.Reason.STOPPING), retry_after_s=RESTARTING_RETRY_S
    )


def predict_grant_delay(node: node_module.Node) -> float:
    """Return the seconds until the target may have the keys that are being moved to it.

    The reply to the target's next report grants them.

    :param node: the node.
    """
    assert node.target is not None
    next_at = node.target.reported_at + node.place.heartbeat_s
    return max(0.0, next_at - node.now()) + GRANT_RETRY_S


def _find_key_refusal(node: node_module.Node, key_slot: int) -> Completion | None:
    """Return the refusal of a key that this node's target does not serve, or ``None``."""
    versioned_ledger = node.ledgers.get(node.place.service)
    target = node.target
    if versioned_ledger is None or target is None:
        return Completion(result=outcome.refuse(outcome.Reason.NO_OWNER), retry_after_s=0.5)
    span = ledger.find_span(versioned_ledger.ledger, key_slot)
    if span.holder == target.lifetime:
        # After a restart of the node, the target is known from the table only until its next
        # report. This process has granted it nothing by then, so the ledger alone decides.
        if target.is_assumed or grant.is_granted(node.grantor, key_slot, node.now()):
            return None
        if span.successor:
            return _refuse_moved(span.successor_node)
    elif span.successor != target.lifetime:
        return _refuse_moved(span.node)
    return Completion(
        result=outcome.refuse(outcome.Reason.LEASE_LAPSED), retry_after_s=GRANT_RETRY_S
    )


def _refuse_moved(owner: str) -> Completion:
    """Return the refusal of a key that another node serves; an empty name stands for no owner."""
    return Completion(
        result=outcome.refuse(outcome.Reason.MOVED),
        owner=identity.NodeId(owner) if owner else None,
        retry_after_s=GRANT_RETRY_S,
    )


async def _wait_in_queue(delivery: Delivery, ticket: admission.Ticket) -> bool:
    """Wait for admission; return whether the request may run, or ``False`` if it expired."""
    event = delivery.waiters[ticket] = trio.Event()
    delivery.queued.set()
    delivery.queued = trio.Event()
    try:
        await event.wait()
    except trio.Cancelled:
        if event.is_set() and ticket not in delivery.expired:
            admission.release(delivery.node.admission, ticket, work_s=None)
        admission.withdraw(delivery.node.admission, ticket)
        delivery.expired.discard(ticket)
        wake(delivery)
        raise
    finally:
        delivery.waiters.pop(ticket, None)
    if ticket in delivery.expired:
        delivery.expired.discard(ticket)
        return False
    return True


def wake(delivery: Delivery) -> None:
    """Wake the queued requests that may run now and those that have expired.

    :param delivery: the state shared by the target's requests.
    """
    woken = admission.dequeue(delivery.node.admission, delivery.node.now())
    for ticket in woken.late:
        delivery.expired.add(ticket)
    for ticket in (*woken.run, *woken.late):
        event = delivery.waiters.get(ticket)
        if event is not None:
            event.set()


def refuse_waiting(delivery: Delivery) -> None:
    """Refuse the requests that wait for admission or for a key, once the node is ending.

    :param delivery: the state shared by the target's requests.
    """
    for ticket, event in delivery.waiters.items():
        if not event.is_set():
            admission.withdraw(delivery.node.admission, ticket)
            delivery.expired.add(ticket)
            event.set()
    node_module.notify_changed(delivery.node)


async def run_queue(delivery: Delivery) -> None:
    """Check the queue periodically, and measure the lag of the event loop, until cancelled.

    A node at rest wakes up seldom, since a mesh has many of them.

    :param delivery: the state shared by the target's requests.
    """
    node = delivery.node
    while True:
        is_busy = bool(node.admission.waiting) or lag.is_lagging(node.loop_lag)
        interval_s = QUEUE_CHECK_INTERVAL_S if is_busy else LAG_CHECK_INTERVAL_S
        due_at = node.now() + interval_s
        # The first request that is queued ends the long interval.
        interrupted = trio.Event() if is_busy else delivery.queued
        with trio.move_on_after(interval_s) as scope:
            await interrupted.wait()
        if scope.cancelled_caught:
            lag.record_wake_up(node.loop_lag, node.now() - due_at)
        if node.admission.waiting:
            wake(delivery)


async def _attempt(
    delivery: Delivery, call: exchange.Call, caller: exchange.Caller, slot_use: SlotUse
) -> Completion:
    """Send a request to the target, and conclude from its reply what became of it."""
    node, dialect, target = delivery.node, delivery.dialect, delivery.node.target
    assert target is not None
    reply_kind = [ReplyKind.ANSWER]
    attempt_result = attempt.AttemptResult()

    def filter_reply(status: int, headers: exchange.Headers) -> exchange.Headers | None:
        reply_kind[0] = dialect.classify_reply(status, headers)
        if not attempt.is_reply_to_last(attempt_result.attempt):
            reply_kind[0] = ReplyKind.UNTRUSTED
        if reply_kind[0] is ReplyKind.NOT_RUN:
            admission.record_shed(node.admission, slot_use.ticket, node.now())
        if reply_kind[0] is not ReplyKind.ANSWER:
            return None
        # The target has finished its work. How long the reply's body takes depends on the network.
        size = wire.find_header(headers, b"content-length") or b""
        admission.record_answer(
            node.admission, slot_use.route, decoding.read_count(size), node.now()
        )
        _release_slot(delivery, slot_use, is_answered=True)
        return dispatch.filter_headers(headers)

    remaining_s = max(0.0, call.deadline_at_s - node.now())
    context = attempt.AttemptContext(
        pool=delivery.pool,
        address=node.place.target_address,
        extra_headers=dialect.build_headers(call, target.lifetime, remaining_s),
        filter_reply=filter_reply,
        is_repeatable=call.rules is not None and call.rules.is_repeatable,
        p99_s=attempt.TYPICAL_P99_S,
        correlate=lambda headers: dialect.correlate(headers, call.request_id),
    )
    with _shield_unrepeatable(delivery, call):
        await attempt.run(context, call, caller, node.now, attempt_result)
    if attempt_result.attempt.step is dispatch.Step.RELAYED:
        crash.record_answered_request(delivery.crash_detector, call)
        admission.record_answer_size(
            node.admission, slot_use.route, attempt_result.attempt.body_bytes
        )
    if attempt_result.failure is pool.PoolFailure.REFUSED:
        crash.record_refused_connection(delivery.crash_detector)
        return Completion(result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=0.3)
    if attempt_result.attempt.step is dispatch.Step.WITHHELD:
        if reply_kind[0] is ReplyKind.UNTRUSTED:
            attempt.record_untrusted(call, attempt_result.attempt)
        withheld = _conclude_withheld(node, reply_kind[0])
        withheld.is_body_open = attempt_result.attempt.is_body_open
        return withheld
    completion = attempt.conclude(attempt_result)
    if (
        completion.result.reason is outcome.Reason.CONNECTION_LOST
        and attempt_result.abort_reason is None
    ):
        crash.record_broken_request(delivery.crash_detector, call)
    return Completion(
        result=completion.result,
        is_answered=completion.is_answered,
        is_body_open=attempt_result.attempt.is_body_open,
    )


@contextlib.contextmanager
def _shield_unrepeatable(delivery: Delivery, call: exchange.Call) -> collections.abc.Iterator[None]:
    """Shield a non-idempotent request from cancellation when its caller leaves.

    It may be half done at the target. The attempt still ends at the request's deadline. A request
    whose body is still arriving needs no shield: it is not cancelled when its caller leaves, see
    :mod:`origin`. Requests without a shield run without a scope, which saves its cost.
    """
    if call.rules is None or call.rules.is_repeatable or not call.is_body_buffered:
        yield
        return
    with trio.CancelScope(shield=True) as scope:
        delivery.shields.add(scope)
        try:
            yield
        finally:
            delivery.shields.discard(scope)


def lift_shields(delivery: Delivery) -> None:
    """Make non-idempotent requests in flight cancellable, at the end of the process.

    :param delivery: the state shared by the target's requests.
    """
    for scope in delivery.shields:
        scope.shield = False


def _conclude_withheld(node: node_module.Node, reply_kind: ReplyKind) -> Completion:
    """Return the completion of a request whose reply was not passed on to the caller."""
    if reply_kind is ReplyKind.UNTRUSTED:
        return Completion(result=outcome.unknown(outcome.Reason.CONNECTION_LOST))
    if reply_kind is ReplyKind.WRONG_TARGET:
        return Completion(
            result=outcome.refuse(outcome.Reason.STALE_FENCE), retry_after_s=GRANT_RETRY_S
        )
    return Completion(
        result=outcome.refuse(outcome.Reason.TARGET_SHED), retry_after_s=node.admission.work_s
    )
