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
from ebonyvalve.process.load import lag, link, selection
from ebonyvalve.process.observation import counters
from ebonyvalve.request import (
    attempt,
    buffering,
    delivery,
    dispatch,
    exchange,
    hop_headers,
    outcome,
)
from ebonyvalve.version import traffic

log = logging.getLogger(__name__)

# A ledger that has just changed reaches all nodes within a few round trips to the store.
MOVED_RETRY_DELAY_S = 0.03
MAX_ATTEMPTS = 6
# The request has reached a target, which did not run it. Sending it on is a repeat like any other,
# or targets that shed would be asked several times as often as they can bear.
TARGET_REFUSALS = frozenset({outcome.Reason.TARGET_SHED, outcome.Reason.STALE_FENCE})
# A request for a key may find it elsewhere, or back in a moment.
RETRYABLE_FOR_KEY = frozenset(
    {outcome.Reason.MOVED, outcome.Reason.STALE_FENCE, outcome.Reason.CONNECTION_LOST}
)
# All nodes of the service have been told of a request that crashes targets, and nobody waits for
# one whose caller has left.
FINAL_REASONS = frozenset({outcome.Reason.QUARANTINED, outcome.Reason.CALLER_GONE})
# The target would refuse the next request as well.
LASTING_REFUSALS = frozenset(
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
RETRY_JITTER = 0.6
# Tells callers that a request has not run and never will.
NOT_RUN_STATUS = 503
ABANDONED = outcome.unknown(outcome.Reason.CALLER_GONE)


@dataclasses.dataclass(kw_only=True)
class Origin:
    """What requests that enter the mesh here share."""

    node: node_module.Node
    delivery: delivery.Delivery
    peers: pool.Pool
    current: traffic.CurrentTraffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """What the router needs of a request's head. ``budget_s`` is the caller's time budget."""

    request_id: str
    host: str
    timeout_s: float | None
    key_slot: int | None


def resolve(origin: Origin, call: exchange.Call, head: RequestHead) -> outcome.Outcome | None:
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
    if policy.is_keyed and head.key_slot is None:
        return outcome.refuse(outcome.Reason.BAD_REQUEST)
    timeout_s = route.timeout_s if head.timeout_s is None else min(route.timeout_s, head.timeout_s)
    call.service = service
    call.deadline_at_s = call.arrived_at_s + timeout_s
    if not lag.can_serve(node.loop_lag, call.deadline_at_s - node.now()):
        return outcome.refuse(outcome.Reason.BEHIND)
    call.rules = exchange.Rules(
        is_repeatable=route.repeatability is traffic.Repeatability.IDEMPOTENT,
        max_attempts=route.attempts,
        priority=route.priority,
        objective_s=route.objective_s,
        origin_service=node.place.service,
        key_slot=head.key_slot if policy.is_keyed else None,
        route=route.name.encode("ascii", "backslashreplace").decode(),
    )
    return None


async def handle(
    origin: Origin, call: exchange.Call, caller: exchange.Caller, head: RequestHead
) -> outcome.Outcome:
    """Answer a request.

    :param origin: the state.
    :param call: the request, as read.
    :param caller: who gets the answer.
    :param head: what its head says.
    """
    started_at = origin.node.now()
    if _is_abandoned(origin.node, caller):
        _record(origin, call, ABANDONED, started_at, [])
        return ABANDONED
    refusal = resolve(origin, call, head)
    if refusal is not None:
        await send_refusal(caller, refusal, RETRY_AFTER_S)
        _record(origin, call, refusal, started_at, [])
        return refusal
    budget.credit(budget.find_budget(origin.node.budget, call.service))
    buffered_caller = buffering.buffer_reply(caller)
    tried: list[identity.NodeId] = []
    completion, is_caller_gone = await _run_cancellable(
        origin.node, call, caller, functools.partial(_try_all, origin, call, buffered_caller, tried)
    )
    is_reply_begun = caller.is_reply_begun()
    result = completion.result
    if is_caller_gone:
        result = outcome.unknown(outcome.Reason.CALLER_GONE)
    elif not is_reply_begun and result.reason is not outcome.Reason.CALLER_GONE:
        # Callers that were refused together must not come back together.
        jitter = 1.0 + RETRY_JITTER * (origin.node.draw() - 0.5)
        await send_refusal(caller, result, completion.retry_after_s * jitter)
    _record(origin, call, result, started_at, tried, is_reply_begun=is_reply_begun)
    return result


def _is_abandoned(node: node_module.Node, caller: exchange.Caller) -> bool:
    """Return whether a request was read so late that its caller has left.

    Its deadline counts from when it was read, because nothing says when it was sent.
    """
    return lag.is_lagging(node.loop_lag) and caller.is_gone()


async def _run_cancellable(
    node: node_module.Node,
    call: exchange.Call,
    caller: exchange.Caller,
    work: collections.abc.Callable[[], collections.abc.Awaitable[delivery.Completion]],
) -> tuple[delivery.Completion, bool]:
    """Run until the deadline or until the caller leaves; return the end and whether it has left.

    An order whose body is still to come isn't ended: its target may have part of it already.
    """
    completion = delivery.Completion(result=outcome.unknown(outcome.Reason.DEADLINE))
    is_gone = False
    async with trio.open_nursery() as nursery:
        # Trio's clock need not be the node's.
        remaining_s = max(0.0, call.deadline_at_s - node.now())
        nursery.cancel_scope.deadline = trio.current_time() + remaining_s

        async def watch() -> None:
            nonlocal is_gone
            await caller.wait_gone()
            is_gone = True
            nursery.cancel_scope.cancel()

        if call.is_body_buffered or (call.rules is not None and call.rules.is_repeatable):
            nursery.start_soon(watch)
        completion = await work()
        nursery.cancel_scope.cancel()
    return completion, is_gone


async def _try_all(
    origin: Origin, call: exchange.Call, caller: exchange.Caller, tried: list[identity.NodeId]
) -> delivery.Completion:
    """Try targets until one answers or nothing more may be done."""
    rules = call.rules
    assert rules is not None
    node = origin.node
    bucket = budget.find_budget(node.budget, call.service)
    unknown_count = 0
    excluded: set[identity.NodeId] = set()
    completion = delivery.Completion(
        result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=RETRY_AFTER_S
    )
    owner: identity.NodeId | None = None
    for attempt_index in range(MAX_ATTEMPTS):
        name = _choose_node(origin, call, rules, excluded, owner=owner)
        if name is None:
            break
        tried.append(name)
        completion = await _try_one(origin, call, caller, name)
        verdict = completion.result.verdict
        if (
            verdict is outcome.Verdict.ANSWERED
            or completion.is_answered
            or not call.is_body_buffered
        ):
            return completion
        if completion.result.reason in FINAL_REASONS:
            break
        if verdict is outcome.Verdict.UNKNOWN:
            unknown_count += 1
            may_repeat = rules.is_repeatable and unknown_count < rules.max_attempts
            if not may_repeat or not _has_time(origin, call, name):
                break
            if not budget.spend(bucket):
                break
        if completion.result.reason in TARGET_REFUSALS and not budget.spend(bucket):
            break
        excluded.add(name)
        if rules.key_slot is not None:
            if completion.result.reason not in RETRYABLE_FOR_KEY:
                break
            is_new_owner = completion.owner is not None and completion.owner not in tried
            owner = completion.owner
            if not is_new_owner:
                await node_module.pause(node, MOVED_RETRY_DELAY_S * (attempt_index + 1))
    if unknown_count and completion.result.verdict is outcome.Verdict.NOT_RUN:
        # An earlier attempt may have run, so that the refusal of the last one is not the truth.
        completion.result = outcome.unknown(outcome.Reason.CONNECTION_LOST)
    return completion


def _has_time(origin: Origin, call: exchange.Call, name: identity.NodeId) -> bool:
    view = node_module.read_view(origin.node, name)
    return origin.node.now() + view.work_s < call.deadline_at_s


def _choose_node(
    origin: Origin,
    call: exchange.Call,
    rules: exchange.Rules,
    excluded: set[identity.NodeId],
    *,
    owner: identity.NodeId | None,
) -> identity.NodeId | None:
    node = origin.node
    if rules.key_slot is not None:
        return _find_owner(node, call.service, rules.key_slot, owner=owner)
    candidates = {
        one.node: one
        for one in node_module.list_open_members(node, call.service)
        if one.node not in excluded
    }
    now = node.now()
    views = {name: node_module.read_view(node, name) for name in candidates}
    if excluded and all(view.avoid_until > now for view in views.values()):
        return None
    same_zone = {name for name, one in candidates.items() if one.zone == node.place.zone}
    return selection.choose(views, same_zone, now, node.draw)


def _find_owner(
    node: node_module.Node,
    service: identity.ServiceId,
    key_slot: int,
    *,
    owner: identity.NodeId | None,
) -> identity.NodeId | None:
    """Return where a key is served: at the node that another one has named, or by the ledger."""
    versioned_ledger = node.ledgers.get(service)
    if versioned_ledger is None:
        return None
    name = owner or identity.NodeId(ledger.find_span(versioned_ledger.ledger, key_slot).node)
    return name if name in node.members or name == node.place.node else None


async def _try_one(
    origin: Origin, call: exchange.Call, caller: exchange.Caller, name: identity.NodeId
) -> delivery.Completion:
    node = origin.node
    view = node_module.read_view(node, name)
    if call.rules is not None and call.rules.key_slot is not None:
        # Only this node's target holds the key, so that nothing but waiting is left.
        if node.now() < view.full_until:
            return delivery.Completion(
                result=outcome.refuse(outcome.Reason.QUEUE_FULL), retry_after_s=RETRY_AFTER_S
            )
        if node.now() < view.avoid_until and view.failures > 0:
            return delivery.Completion(
                result=outcome.refuse(outcome.Reason.NO_OWNER), retry_after_s=RETRY_AFTER_S
            )
    view.outstanding += 1
    try:
        if name == node.place.node:
            completion = await delivery.run(origin.delivery, call, caller)
            selection.record_load(view, node_module.measure_load(node), node.now())
        else:
            completion = await _forward(origin, call, caller, name, view)
    finally:
        view.outstanding -= 1
    if (
        completion.result.reason in LASTING_REFUSALS
        and completion.result.verdict is outcome.Verdict.NOT_RUN
    ):
        selection.record_refusal(view, completion.retry_after_s, node.now())
    return completion


async def _forward(
    origin: Origin,
    call: exchange.Call,
    caller: exchange.Caller,
    name: identity.NodeId,
    view: selection.TargetView,
) -> delivery.Completion:
    node = origin.node
    peer = node.members.get(name)
    if peer is None:
        return delivery.Completion(
            result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=RETRY_AFTER_S
        )
    refusals: list[delivery.Completion] = []

    def take_head(status: int, headers: exchange.Headers) -> exchange.Headers | None:
        hop_headers.record_load(view, headers, node.now())
        hop_headers.record_version(node, headers, name)
        reason = wire.find_header(headers, hop_headers.REFUSED_HEADER)
        if reason is not None:
            refusals.append(hop_headers.read_refusal(reason, headers))
            return None
        return hop_headers.strip_headers(dispatch.filter_headers(headers))

    context = attempt.AttemptContext(
        pool=origin.peers,
        address=peer.address,
        extra_headers=hop_headers.build_headers(call, node.now())
        + hop_headers.build_version_header(node),
        filter_reply=take_head,
        p99_s=attempt.TYPICAL_P99_S,
    )
    attempt_result = attempt.AttemptResult()
    await attempt.run(context, call, caller, node.now, attempt_result)
    if refusals:
        return refusals[0]
    completion = attempt.conclude(attempt_result)
    # Answers to this node's own callers share its link with those of its target.
    link.record_sent(node.admission.uplink, attempt_result.attempt.body_bytes, node.now())
    if attempt.suggests_peer_loss(attempt_result):
        selection.record_failure(view, node.now())
    return delivery.Completion(
        result=completion.result, is_answered=completion.is_answered, retry_after_s=RETRY_AFTER_S
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
    if _is_abandoned(node, caller):
        _record(origin, call, ABANDONED, started_at, [])
        return ABANDONED

    async def reply(status: int, headers: exchange.Headers) -> bool:
        return await caller.reply(
            status, hop_headers.strip_headers(headers) + hop_headers.build_load_headers(node)
        )

    if not lag.can_serve(node.loop_lag, call.deadline_at_s - started_at):
        completion = delivery.Completion(
            result=outcome.refuse(outcome.Reason.BEHIND), retry_after_s=RETRY_AFTER_S
        )
        return await _refuse_hop(origin, call, caller, completion, started_at)
    hop_caller = dataclasses.replace(caller, reply=reply)
    completion, is_caller_gone = await _run_cancellable(
        node, call, caller, functools.partial(delivery.run, origin.delivery, call, hop_caller)
    )
    is_caller_gone = is_caller_gone or completion.result.reason is outcome.Reason.CALLER_GONE
    if not is_caller_gone and not caller.is_reply_begun():
        return await _refuse_hop(origin, call, caller, completion, started_at)
    _record(origin, call, completion.result, started_at, [node.place.node])
    return completion.result


async def _refuse_hop(
    origin: Origin,
    call: exchange.Call,
    caller: exchange.Caller,
    completion: delivery.Completion,
    started_at: float,
) -> outcome.Outcome:
    """Tell another node that its request was not answered, and why."""
    node = origin.node
    refusal = f"{completion.result.verdict.value}:{completion.result.reason.value}"
    extra = [(hop_headers.REFUSED_HEADER, refusal.encode()), *hop_headers.build_load_headers(node)]
    if completion.owner is not None:
        extra.append((hop_headers.OWNER_HEADER, completion.owner.encode()))
    await send_refusal(caller, completion.result, completion.retry_after_s, extra)
    _record(origin, call, completion.result, started_at, [node.place.node])
    return completion.result


async def send_refusal(
    caller: exchange.Caller,
    result: outcome.Outcome,
    retry_after_s: float,
    extra_headers: exchange.Headers | None = None,
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
        *(extra_headers or []),
    ]
    if retry_after_s > 0 and result.verdict is outcome.Verdict.NOT_RUN:
        headers.append((hop_headers.RETRY_AFTER_HEADER, f"{retry_after_s:.3f}".encode()))
    status = result.status
    if result.verdict is outcome.Verdict.NOT_RUN and status not in (400, 404):
        # Whatever kept the request from running, this status promises that it has not run.
        status = NOT_RUN_STATUS
    if result.verdict is not outcome.Verdict.NOT_RUN and status == NOT_RUN_STATUS:
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
    is_reply_begun: bool = False,
) -> None:
    """Log and count the end of a request; ``is_told`` says that an answer to it had begun."""
    node = origin.node
    is_answered = result.verdict is outcome.Verdict.ANSWERED
    took_s = node.now() - started_at
    counters.count(
        node.request_counters, call.service, result.verdict.value, result.reason.value, took_s
    )
    if is_answered and not log.isEnabledFor(logging.DEBUG):
        return
    versioned_ledger = node.ledgers.get(call.service)
    decision.record(
        log,
        logging.DEBUG if is_answered else logging.INFO,
        "request",
        id=call.request_id,
        service=call.service,
        key=call.rules.key_slot if call.rules else None,
        outcome=result.verdict,
        reason=result.reason,
        status=result.status,
        told=is_reply_begun,
        tried=",".join(tried),
        took_ms=int(took_s * 1000),
        ledger=versioned_ledger.version if versioned_ledger is not None else None,
        config=node.config,
    )
