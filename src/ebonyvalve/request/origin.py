"""A request where it enters the mesh: its route, the target that gets it, and repeats elsewhere."""

import collections.abc
import dataclasses
import functools
import logging

import trio

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import budget, decision, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.process.load import choice, link, pace
from ebonyvalve.process.observation import tally
from ebonyvalve.request import attempt, delivery, dispatch, exchange, held, outcome, relay
from ebonyvalve.version import traffic

log = logging.getLogger(__name__)

# A ledger that has just changed reaches all nodes within a few round trips to the store.
MOVED_PAUSE_S = 0.03
MOST_TURNS = 6
# The request has reached a target, which did not run it. Sending it on is a repeat like any other,
# or targets that shed would be asked several times as often as they can bear.
TURNED_AWAY = frozenset({outcome.Reason.TARGET_SHED, outcome.Reason.STALE_FENCE})
# A request for a key may find it elsewhere, or back in a moment.
WORTH_A_TURN = frozenset(
    {outcome.Reason.MOVED, outcome.Reason.STALE_FENCE, outcome.Reason.CONNECTION_LOST}
)
# All nodes of the service have been told of a request that crashes targets, and nobody waits for
# one whose caller has left.
NOWHERE_ELSE = frozenset({outcome.Reason.QUARANTINED, outcome.Reason.CALLER_GONE})
# The target would refuse the next request as well.
NO_ROOM = frozenset(
    {
        outcome.Reason.QUEUE_FULL,
        outcome.Reason.TARGET_SHED,
        outcome.Reason.STOPPING,
        outcome.Reason.DRAINED,
        outcome.Reason.NO_TARGET,
        outcome.Reason.BEHIND,
    }
)
# Gives a node that has just lost a target time to learn of it.
RETRY_AFTER_S = 0.4
RETRY_SPREAD = 0.6
# Tells callers that a request has not run and never will.
PROMISE = 503
STALE = outcome.doubt(outcome.Reason.CALLER_GONE)


@dataclasses.dataclass(kw_only=True)
class Origin:
    """What requests that enter the mesh here share."""

    node: node_module.Node
    delivery: delivery.Delivery
    peers: pool.Pool
    current: traffic.CurrentTraffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """What the router needs of a request's head. ``budget_s`` is the caller's time budget."""

    request_id: str
    host: str
    budget_s: float | None
    slot: int | None


def resolve(origin: Origin, call: exchange.Call, head: Head) -> outcome.Outcome | None:
    """Give a request its route's service, rules and deadline; return why it is refused, if it is.

    :param origin: the state.
    :param call: the request, as read.
    :param head: what its head says.
    """
    node = origin.node
    config = origin.current.traffic
    if config is None:
        return outcome.refuse(outcome.Reason.NO_CONFIGURATION)
    route = traffic.find_route(config, head.host, call.path)
    if route is None:
        return outcome.refuse(outcome.Reason.NO_SUCH_SERVICE)
    service = traffic.pick_service(route, node.draw())
    policy = config.services[service]
    if policy.is_keyed and head.slot is None:
        return outcome.refuse(outcome.Reason.BAD_REQUEST)
    most_s = route.timeout_s if head.budget_s is None else min(route.timeout_s, head.budget_s)
    call.service = service
    call.deadline_at_s = call.arrived_at_s + most_s
    if not pace.can_serve(node.behind, call.deadline_at_s - node.now()):
        return outcome.refuse(outcome.Reason.BEHIND)
    call.rules = exchange.Rules(
        is_repeatable=route.repeatability is traffic.Repeatability.IDEMPOTENT,
        attempts=route.attempts,
        priority=route.priority,
        objective_s=route.objective_s,
        origin=node.place.service,
        slot=head.slot if policy.is_keyed else None,
        kind=route.name.encode("ascii", "backslashreplace").decode(),
    )
    return None


async def handle(
    origin: Origin, call: exchange.Call, caller: exchange.Caller, head: Head
) -> outcome.Outcome:
    """Answer a request.

    :param origin: the state.
    :param call: the request, as read.
    :param caller: who gets the answer.
    :param head: what its head says.
    """
    started_at = origin.node.now()
    if _is_stale(origin.node, caller):
        _record(origin, call, STALE, started_at, [])
        return STALE
    refusal = resolve(origin, call, head)
    if refusal is not None:
        await refuse(caller, refusal, RETRY_AFTER_S)
        _record(origin, call, refusal, started_at, [])
        return refusal
    budget.earn(budget.find(origin.node.budget, call.service))
    kept = held.hold_back(caller)
    tried: list[identity.NodeId] = []
    ended, is_gone = await _run_watched(
        origin.node, call, caller, functools.partial(_try_all, origin, call, kept, tried)
    )
    told = caller.is_begun()
    result = ended.result
    if is_gone:
        result = outcome.doubt(outcome.Reason.CALLER_GONE)
    elif not told and result.reason is not outcome.Reason.CALLER_GONE:
        # Callers that were refused together must not come back together.
        spread = 1.0 + RETRY_SPREAD * (origin.node.draw() - 0.5)
        await refuse(caller, result, ended.retry_after_s * spread)
    _record(origin, call, result, started_at, tried, is_told=told)
    return result


def _is_stale(node: node_module.Node, caller: exchange.Caller) -> bool:
    """Return whether a request was read so late that its caller has left.

    Its deadline counts from when it was read, because nothing says when it was sent.
    """
    return pace.is_behind(node.behind) and caller.find_gone()


async def _run_watched(
    node: node_module.Node,
    call: exchange.Call,
    caller: exchange.Caller,
    work: collections.abc.Callable[[], collections.abc.Awaitable[delivery.Ended]],
) -> tuple[delivery.Ended, bool]:
    """Run until the deadline or until the caller leaves; return the end and whether it has left.

    An order whose body is still to come isn't ended: its target may have part of it already.
    """
    ended = delivery.Ended(result=outcome.doubt(outcome.Reason.DEADLINE))
    is_gone = False
    async with trio.open_nursery() as nursery:
        # Trio's clock need not be the node's.
        left_s = max(0.0, call.deadline_at_s - node.now())
        nursery.cancel_scope.deadline = trio.current_time() + left_s

        async def watch() -> None:
            nonlocal is_gone
            await caller.wait_gone()
            is_gone = True
            nursery.cancel_scope.cancel()

        if call.is_whole or (call.rules is not None and call.rules.is_repeatable):
            nursery.start_soon(watch)
        ended = await work()
        nursery.cancel_scope.cancel()
    return ended, is_gone


async def _try_all(
    origin: Origin, call: exchange.Call, caller: exchange.Caller, tried: list[identity.NodeId]
) -> delivery.Ended:
    """Try targets until one answers or nothing more may be done."""
    rules = call.rules
    assert rules is not None
    node = origin.node
    bucket = budget.find(node.budget, call.service)
    offered = 0
    avoided: set[identity.NodeId] = set()
    ended = delivery.Ended(
        result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=RETRY_AFTER_S
    )
    owner: identity.NodeId | None = None
    for turn in range(MOST_TURNS):
        name = _pick(origin, call, rules, avoided, owner=owner)
        if name is None:
            break
        tried.append(name)
        ended = await _try_one(origin, call, caller, name)
        verdict = ended.result.verdict
        if verdict is outcome.Verdict.ANSWERED or ended.is_told or not call.is_whole:
            return ended
        if ended.result.reason in NOWHERE_ELSE:
            break
        if verdict is outcome.Verdict.UNKNOWN:
            offered += 1
            may_repeat = rules.is_repeatable and offered < rules.attempts
            if not may_repeat or not _has_time(origin, call, name):
                break
            if not budget.spend(bucket):
                break
        if ended.result.reason in TURNED_AWAY and not budget.spend(bucket):
            break
        avoided.add(name)
        if rules.slot is not None:
            if ended.result.reason not in WORTH_A_TURN:
                break
            is_news = ended.owner is not None and ended.owner not in tried
            owner = ended.owner
            if not is_news:
                await node_module.pause(node, MOVED_PAUSE_S * (turn + 1))
    if offered and ended.result.verdict is outcome.Verdict.NOT_RUN:
        # An earlier attempt may have run, so that the refusal of the last one is not the truth.
        ended.result = outcome.doubt(outcome.Reason.CONNECTION_LOST)
    return ended


def _has_time(origin: Origin, call: exchange.Call, name: identity.NodeId) -> bool:
    view = node_module.read_view(origin.node, name)
    return origin.node.now() + view.work_s < call.deadline_at_s


def _pick(
    origin: Origin,
    call: exchange.Call,
    rules: exchange.Rules,
    avoided: set[identity.NodeId],
    *,
    owner: identity.NodeId | None,
) -> identity.NodeId | None:
    node = origin.node
    if rules.slot is not None:
        return _find_owner(node, call.service, rules.slot, owner=owner)
    open_ = {
        one.node: one
        for one in node_module.list_open_members(node, call.service)
        if one.node not in avoided
    }
    now = node.now()
    views = {name: node_module.read_view(node, name) for name in open_}
    if avoided and all(view.avoid_until > now for view in views.values()):
        return None
    near = {name for name, one in open_.items() if one.zone == node.place.zone}
    return choice.choose(views, near, now, node.draw)


def _find_owner(
    node: node_module.Node, service: identity.ServiceId, slot: int, *, owner: identity.NodeId | None
) -> identity.NodeId | None:
    """Return where a key is served: at the node that another one has named, or by the ledger."""
    book = node.books.get(service)
    if book is None:
        return None
    name = owner or identity.NodeId(ledger.find(book.ledger, slot).node)
    return name if name in node.members or name == node.place.node else None


async def _try_one(
    origin: Origin, call: exchange.Call, caller: exchange.Caller, name: identity.NodeId
) -> delivery.Ended:
    node = origin.node
    view = node_module.read_view(node, name)
    if call.rules is not None and call.rules.slot is not None:
        # Only this node's target holds the key, so that nothing but waiting is left.
        if node.now() < view.full_until:
            return delivery.Ended(
                result=outcome.refuse(outcome.Reason.QUEUE_FULL), retry_after_s=RETRY_AFTER_S
            )
        if node.now() < view.avoid_until and view.failures > 0:
            return delivery.Ended(
                result=outcome.refuse(outcome.Reason.NO_OWNER), retry_after_s=RETRY_AFTER_S
            )
    view.outstanding += 1
    try:
        if name == node.place.node:
            ended = await delivery.run(origin.delivery, call, caller)
            choice.note_load(view, node_module.measure(node), node.now())
        else:
            ended = await _hop(origin, call, caller, name, view)
    finally:
        view.outstanding -= 1
    if ended.result.reason in NO_ROOM and ended.result.verdict is outcome.Verdict.NOT_RUN:
        choice.note_refusal(view, ended.retry_after_s, node.now())
    return ended


async def _hop(
    origin: Origin,
    call: exchange.Call,
    caller: exchange.Caller,
    name: identity.NodeId,
    view: choice.View,
) -> delivery.Ended:
    node = origin.node
    peer = node.members.get(name)
    if peer is None:
        return delivery.Ended(
            result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=RETRY_AFTER_S
        )
    refused: list[delivery.Ended] = []

    def take_head(status: int, headers: exchange.Headers) -> exchange.Headers | None:
        relay.take_load(view, headers, node.now())
        relay.take_seen(node, headers, name)
        reason = wire.find_header(headers, relay.REFUSED_HEADER)
        if reason is not None:
            refused.append(relay.read_refusal(reason, headers))
            return None
        return relay.strip(dispatch.filter_headers(headers))

    way = attempt.Way(
        pool=origin.peers,
        address=peer.address,
        extra=relay.dress_hop(call, node.now()) + relay.list_seen(node),
        relay=take_head,
        p99_s=attempt.SLOW_ANSWER_S,
    )
    ended = attempt.Result()
    await attempt.run(way, call, caller, node.now, ended)
    if refused:
        return refused[0]
    concluded = attempt.conclude(ended)
    # Answers to this node's own callers share its link with those of its target.
    link.note_sent(node.gate.uplink, ended.attempt.body_bytes, node.now())
    if attempt.shows_loss(ended):
        choice.note_failure(view, node.now())
    return delivery.Ended(
        result=concluded.result, is_told=concluded.is_told, retry_after_s=RETRY_AFTER_S
    )


async def serve_hop(
    origin: Origin, call: exchange.Call, caller: exchange.Caller
) -> outcome.Outcome:
    """Answer a request that another node has sent here.

    :param origin: the state.
    :param call: the request, with its rules.
    :param caller: the other node.
    """
    node = origin.node
    started_at = node.now()
    if _is_stale(node, caller):
        _record(origin, call, STALE, started_at, [])
        return STALE

    async def reply(status: int, headers: exchange.Headers) -> bool:
        return await caller.reply(status, relay.strip(headers) + relay.list_load(node))

    if not pace.can_serve(node.behind, call.deadline_at_s - started_at):
        ended = delivery.Ended(
            result=outcome.refuse(outcome.Reason.BEHIND), retry_after_s=RETRY_AFTER_S
        )
        return await _refuse_hop(origin, call, caller, ended, started_at)
    passing = dataclasses.replace(caller, reply=reply)
    ended, is_gone = await _run_watched(
        node, call, caller, functools.partial(delivery.run, origin.delivery, call, passing)
    )
    is_gone = is_gone or ended.result.reason is outcome.Reason.CALLER_GONE
    if not is_gone and not caller.is_begun():
        return await _refuse_hop(origin, call, caller, ended, started_at)
    _record(origin, call, ended.result, started_at, [node.place.node])
    return ended.result


async def _refuse_hop(
    origin: Origin,
    call: exchange.Call,
    caller: exchange.Caller,
    ended: delivery.Ended,
    started_at: float,
) -> outcome.Outcome:
    """Tell another node that its request was not answered, and why."""
    node = origin.node
    why = f"{ended.result.verdict.value}:{ended.result.reason.value}"
    extra = [(relay.REFUSED_HEADER, why.encode()), *relay.list_load(node)]
    if ended.owner is not None:
        extra.append((relay.OWNER_HEADER, ended.owner.encode()))
    await refuse(caller, ended.result, ended.retry_after_s, extra)
    _record(origin, call, ended.result, started_at, [node.place.node])
    return ended.result


async def refuse(
    caller: exchange.Caller,
    result: outcome.Outcome,
    retry_after_s: float,
    extra: exchange.Headers | None = None,
) -> None:
    """Tell the caller that its request was not answered.

    :param caller: who gets the answer.
    :param result: why.
    :param retry_after_s: when to come back; 0 for no hint.
    :param extra: further headers.
    """
    body = f"{result.reason.value}\n".encode()
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
        *(extra or []),
    ]
    if retry_after_s > 0 and result.verdict is outcome.Verdict.NOT_RUN:
        headers.append((relay.RETRY_AFTER_HEADER, f"{retry_after_s:.3f}".encode()))
    status = result.status
    if result.verdict is outcome.Verdict.NOT_RUN and status not in (400, 404):
        # Whatever kept the request from running, this status promises that it has not run.
        status = PROMISE
    if result.verdict is not outcome.Verdict.NOT_RUN and status == PROMISE:
        status = 502
    if await caller.reply(status, headers) and await caller.write(body):
        await caller.finish()


def _record(
    origin: Origin,
    call: exchange.Call,
    result: outcome.Outcome,
    started_at: float,
    tried: collections.abc.Sequence[identity.NodeId],
    *,
    is_told: bool = False,
) -> None:
    """Log and count the end of a request; ``is_told`` says that an answer to it had begun."""
    node = origin.node
    is_answered = result.verdict is outcome.Verdict.ANSWERED
    took_s = node.now() - started_at
    tally.count(node.counted, call.service, result.verdict.value, result.reason.value, took_s)
    if is_answered and not log.isEnabledFor(logging.DEBUG):
        return
    book = node.books.get(call.service)
    decision.record(
        log,
        logging.DEBUG if is_answered else logging.INFO,
        "request",
        id=call.request_id,
        service=call.service,
        key=call.rules.slot if call.rules else None,
        outcome=result.verdict,
        reason=result.reason,
        status=result.status,
        told=is_told,
        tried=",".join(tried),
        took_ms=int(took_s * 1000),
        ledger=book.version if book is not None else None,
        config=node.config,
    )
