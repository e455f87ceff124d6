"""A request at the target beside this node: admission, one attempt, and what the answer means."""

import collections.abc
import contextlib
import dataclasses
import enum
import logging

import trio

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import decision, decoding, identity, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import grant, ledger
from ebonyvalve.process.load import gate, heat, pace
from ebonyvalve.request import attempt, crash, dispatch, exchange, outcome, proof

log = logging.getLogger(__name__)

ANY_KEY = -1
# Callers that are refused come back, mostly twice.
REFUSED_WEIGHT = 1 / 3
# A report that renews the grant comes with each heartbeat.
GRANT_RETRY_S = 0.2
# A process that has stopped is started again within about a second.
RESTART_S = 1.0
# A leaving target may get new work for a while; this leaves room for what is on its way.
HANDOVER_MARGIN_S = 0.4
# A request that crashes targets is refused for about as long as it is remembered.
GUILTY_RETRY_S = 30.0
# Cold targets have room again, and waiting requests become late, as time passes.
QUEUE_TICK_S = 0.03


class Judgement(enum.Enum):
    """What an answer of the target is."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    MISPLACED = "misplaced"
    SPOILED = "spoiled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dialect:
    """How the target is spoken to.

    ``dress`` returns the headers of a request for a target with a time budget in seconds;
    ``judge`` says what an answer is, ``identify`` which request it names, as seen from an id.
    """

    dress: collections.abc.Callable[[exchange.Call, identity.Lifetime, float], exchange.Headers]
    judge: collections.abc.Callable[[int, exchange.Headers], Judgement]
    identify: collections.abc.Callable[[exchange.Headers, str], proof.Naming]


@dataclasses.dataclass(kw_only=True)
class Delivery:
    """What requests at the target share."""

    node: node_module.Node
    pool: pool.Pool
    dialect: Dialect
    crashes: crash.Watch
    waiters: dict[gate.Ticket, trio.Event] = dataclasses.field(default_factory=dict)
    late: set[gate.Ticket] = dataclasses.field(default_factory=set)
    # Around the orders under way, so that the end of the process can break them off.
    shields: set[trio.CancelScope] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True)
class Ended:
    """What became of a request here.

    ``retry_after_s`` goes with a refusal, ``owner`` with one for a key that another node serves.
    ``is_told`` says that the caller has its answer, or the
    beginning of one that broke off.
    """

    result: outcome.Outcome
    retry_after_s: float = 0.0
    is_told: bool = False
    owner: identity.NodeId | None = None


@dataclasses.dataclass(kw_only=True)
class Stay:
    """A request's use of one of the target's slots, from ``began_at`` on the node's clock."""

    ticket: gate.Ticket
    kind: str
    began_at: float
    is_over: bool = False


async def run(delivery: Delivery, call: exchange.Call, caller: exchange.Caller) -> Ended:
    """Run a request at the target beside this node.

    :param delivery: the state.
    :param call: the request, with its rules.
    :param caller: who gets the answer.
    """
    node = delivery.node
    rules = call.rules
    assert rules is not None
    refusal = await _find_refusal(delivery, call, rules)
    if refusal is not None:
        return refusal
    if crash.is_guilty(delivery.crashes, call):
        return Ended(
            result=outcome.refuse(outcome.Reason.QUARANTINED), retry_after_s=GUILTY_RETRY_S
        )
    demand = gate.Demand(
        deadline_at=call.deadline_at_s,
        objective_s=rules.objective_s,
        priority=rules.priority,
        kind=rules.kind,
    )
    admitted = gate.admit(node.gate, demand, node.now())
    heat.note(
        node.heat,
        ANY_KEY if rules.slot is None else rules.slot,
        node.now(),
        weight=REFUSED_WEIGHT if admitted.ticket is None else 1.0,
    )
    if admitted.ticket is None:
        return Ended(
            result=outcome.refuse(outcome.Reason.QUEUE_FULL), retry_after_s=admitted.retry_after_s
        )
    if admitted.verdict is gate.Verdict.WAIT and not await _wait(delivery, admitted.ticket):
        return Ended(result=outcome.refuse(outcome.Reason.DEADLINE), retry_after_s=node.gate.work_s)
    stay = Stay(ticket=admitted.ticket, kind=rules.kind, began_at=node.now())
    try:
        # The target may have left, or the keys moved, while the request waited.
        refusal = await _find_refusal(delivery, call, rules, may_wait=False)
        if refusal is not None:
            return refusal
        return await _attempt(delivery, call, caller, stay)
    finally:
        _end_stay(delivery, stay, is_answered=False)


def _end_stay(delivery: Delivery, stay: Stay, *, is_answered: bool) -> None:
    """Free a request's slot at the target, once, and let the next one run."""
    if stay.is_over:
        return
    stay.is_over = True
    node = delivery.node
    work_s = node.now() - stay.began_at if is_answered else None
    gate.release(node.gate, stay.ticket, work_s=work_s)
    wake(delivery)


async def _find_refusal(
    delivery: Delivery, call: exchange.Call, rules: exchange.Rules, *, may_wait: bool = True
) -> Ended | None:
    node = delivery.node
    target = node.target
    if target is None or target.is_dead:
        return Ended(result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=0.5)
    if call.service != node.place.service:
        return Ended(result=outcome.refuse(outcome.Reason.MOVED))
    if node.is_ending:
        return Ended(result=outcome.refuse(outcome.Reason.STOPPING), retry_after_s=RESTART_S)
    if not node_module.is_open(node):
        # Keys stay with a leaving target until they have been handed over.
        until = node.closed_at + node.place.drain_s - HANDOVER_MARGIN_S
        is_handing_over = rules.slot is not None and node.now() < until
        if not is_handing_over:
            return Ended(result=outcome.refuse(outcome.Reason.DRAINED), retry_after_s=GRANT_RETRY_S)
    if rules.slot is None:
        return None
    while True:
        found = _find_holder(node, rules.slot)
        if found is None:
            return None
        if found.result.reason is not outcome.Reason.LEASE_LAPSED or not may_wait:
            return found
        left_s = call.deadline_at_s - node.now() - node.gate.work_s
        due_s = predict_grant(node)
        if due_s > left_s:
            found.retry_after_s = due_s
            return found
        with trio.move_on_after(max(0.0, left_s)) as scope:
            await node.changed.wait()
        if scope.cancelled_caught:
            return found


def predict_grant(node: node_module.Node) -> float:
    """Return in how many seconds the target may have keys that are on their way to it.

    It takes them with the answer to its next report.

    :param node: the node.
    """
    assert node.target is not None
    next_at = node.target.reported_at + node.place.heartbeat_s
    return max(0.0, next_at - node.now()) + GRANT_RETRY_S


def _find_holder(node: node_module.Node, slot: int) -> Ended | None:
    """Return why a key can't be served here, or ``None`` if it can."""
    book = node.books.get(node.place.service)
    target = node.target
    if book is None or target is None:
        return Ended(result=outcome.refuse(outcome.Reason.NO_OWNER), retry_after_s=0.5)
    span = ledger.find(book.ledger, slot)
    if span.holder == target.lifetime:
        if target.is_assumed or grant.is_granted(node.grantor, slot, node.now()):
            return None
        if span.heir:
            return _refer(span.heir_node)
    elif span.heir != target.lifetime:
        return _refer(span.node)
    return Ended(result=outcome.refuse(outcome.Reason.LEASE_LAPSED), retry_after_s=GRANT_RETRY_S)


def _refer(owner: str) -> Ended:
    return Ended(
        result=outcome.refuse(outcome.Reason.MOVED),
        owner=identity.NodeId(owner) if owner else None,
        retry_after_s=GRANT_RETRY_S,
    )


async def _wait(delivery: Delivery, ticket: gate.Ticket) -> bool:
    """Wait in the queue; return whether the request may run."""
    event = delivery.waiters[ticket] = trio.Event()
    try:
        await event.wait()
    except trio.Cancelled:
        if event.is_set() and ticket not in delivery.late:
            gate.release(delivery.node.gate, ticket, work_s=None)
        gate.withdraw(delivery.node.gate, ticket)
        delivery.late.discard(ticket)
        wake(delivery)
        raise
    finally:
        delivery.waiters.pop(ticket, None)
    if ticket in delivery.late:
        delivery.late.discard(ticket)
        return False
    return True


def wake(delivery: Delivery) -> None:
    """Let waiting requests run for which there is room now.

    :param delivery: the state.
    """
    woken = gate.wake(delivery.node.gate, delivery.node.now())
    for ticket in woken.late:
        delivery.late.add(ticket)
    for ticket in (*woken.run, *woken.late):
        event = delivery.waiters.get(ticket)
        if event is not None:
            event.set()


async def run_queue(delivery: Delivery) -> None:
    """Wake waiting requests as time passes, until cancelled.

    :param delivery: the state.
    """
    ticks = timer.subscribe(delivery.node.wakeups, period_s=QUEUE_TICK_S)
    while True:
        due_at = ticks.next_at
        pace.note_wake_up(
            delivery.node.behind, await timer.tick(delivery.node.wakeups, ticks) - due_at
        )
        if delivery.node.gate.waiting:
            wake(delivery)


async def _attempt(
    delivery: Delivery, call: exchange.Call, caller: exchange.Caller, stay: Stay
) -> Ended:
    node, dialect, target = delivery.node, delivery.dialect, delivery.node.target
    assert target is not None
    judged = [Judgement.ANSWER]
    ended = attempt.Result()

    def relay(status: int, headers: exchange.Headers) -> exchange.Headers | None:
        judged[0] = dialect.judge(status, headers)
        if not proof.belongs(ended.attempt.naming, is_first=ended.attempt.is_first):
            judged[0] = Judgement.SPOILED
        if judged[0] is not Judgement.ANSWER:
            return None
        # The target has done its work. How long the answer takes is up to the links.
        size = wire.find_header(headers, b"content-length") or b""
        gate.note_answer(node.gate, stay.kind, decoding.read_count(size), node.now())
        _end_stay(delivery, stay, is_answered=True)
        return dispatch.filter_headers(headers)

    left_s = max(0.0, call.deadline_at_s - node.now())
    way = attempt.Way(
        pool=delivery.pool,
        address=node.place.target_address,
        extra=dialect.dress(call, target.lifetime, left_s),
        relay=relay,
        p99_s=attempt.SLOW_ANSWER_S,
        identify=lambda headers: dialect.identify(headers, call.request_id),
    )
    with _protect_order(delivery, call):
        await attempt.run(way, call, caller, node.now, ended)
    if ended.attempt.step is dispatch.Step.RELAYED:
        gate.note_size(node.gate, stay.kind, ended.attempt.body_bytes)
    if ended.failure is pool.PoolFailure.REFUSED:
        crash.note_refused(delivery.crashes)
        return Ended(result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=0.3)
    if ended.attempt.step is dispatch.Step.WITHHELD:
        if judged[0] is Judgement.SPOILED:
            _record_spoiled(call, ended.attempt)
        return _conclude_withheld(node, judged[0])
    concluded = attempt.conclude(ended)
    if concluded.result.reason is outcome.Reason.CONNECTION_LOST and ended.cut is None:
        crash.note_broken(delivery.crashes, call)
    return Ended(result=concluded.result, is_told=concluded.is_told)


@contextlib.contextmanager
def _protect_order(delivery: Delivery, call: exchange.Call) -> collections.abc.Iterator[None]:
    """Let an order that has begun go on when its caller leaves: it may be half done.

    The attempt still ends at the request's deadline. Other requests pay for no scope.
    """
    if call.rules is None or call.rules.is_repeatable or not call.is_whole:
        yield
        return
    with trio.CancelScope(shield=True) as scope:
        delivery.shields.add(scope)
        try:
            yield
        finally:
            delivery.shields.discard(scope)


def end_all(delivery: Delivery) -> None:
    """Let the orders that have begun be cancelled, at the end of the process.

    :param delivery: the state.
    """
    for scope in delivery.shields:
        scope.shield = False


def _record_spoiled(call: exchange.Call, answer: dispatch.Attempt) -> None:
    """Log an answer that can't be the target's own to this request, or is not said to be."""
    decision.record(
        log,
        logging.INFO,
        "answer-spoiled",
        id=call.request_id,
        status=answer.status,
        names=answer.naming,
        first=answer.is_first,
    )


def _conclude_withheld(node: node_module.Node, judged: Judgement) -> Ended:
    if judged is Judgement.SPOILED:
        return Ended(result=outcome.doubt(outcome.Reason.CONNECTION_LOST))
    if judged is Judgement.MISPLACED:
        return Ended(result=outcome.refuse(outcome.Reason.STALE_FENCE), retry_after_s=GRANT_RETRY_S)
    return Ended(result=outcome.refuse(outcome.Reason.TARGET_SHED), retry_after_s=node.gate.work_s)
