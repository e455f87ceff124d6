"""Handles requests where they enter the mesh: routing, choice of target, and retries."""

import collections.abc
import dataclasses
import functools
import logging
import math

import trio

from ebonyvalve.connection import pipeline, pool, wire
from ebonyvalve.process import budget, decision, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.process.load import calls, lag, link, selection
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
from ebonyvalve.version import accounts, traffic

log = logging.getLogger(__name__)

# Base delay before a request is sent again for a key that moved. A changed ledger reaches all nodes
# within a few round trips to the store.
MOVED_RETRY_DELAY_S = 0.03
# Bounds all attempts for one request, including refused ones. The route's ``attempts`` bounds only
# those that may have run.
MAX_ATTEMPTS = 6
# The request reached a target, which did not run it. Another attempt is charged to the retry budget
# like any other: otherwise, targets that shed load would get a multiple of the load they can bear.
TARGET_REFUSALS = frozenset({outcome.Reason.TARGET_SHED, outcome.Reason.STALE_FENCE})
# Reasons to retry a request for a key: the key may have a new owner, or be served again shortly.
RETRYABLE_FOR_KEY = frozenset(
    {outcome.Reason.MOVED, outcome.Reason.STALE_FENCE, outcome.Reason.CONNECTION_LOST}
)
# Reasons that end the retries. Every node of the service refuses a request that is quarantined for
# crashing targets, nobody waits for the reply when the caller has left, and calls are refused
# wherever the request that makes them runs.
FINAL_REASONS = frozenset(
    {outcome.Reason.QUARANTINED, outcome.Reason.CALLER_GONE, outcome.Reason.CALLS_REFUSED}
)
# Calls that end for another reason show that the called service is short of capacity.
OTHER_REASONS = frozenset(
    {
        outcome.Reason.BAD_REQUEST,
        outcome.Reason.NO_SUCH_SERVICE,
        outcome.Reason.QUARANTINED,
        outcome.Reason.CALLER_GONE,
        outcome.Reason.CONNECTION_LOST,
        outcome.Reason.BODY_BROKEN,
    }
)
# Refusals that say that the target would refuse the next request as well.
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
# Retry delay in seconds announced to callers. It gives a node time to detect that it has just lost
# a target.
RETRY_AFTER_S = 0.4
# Total spread of the delay, as a fraction: callers are told 0.7 to 1.3 times the delay.
RETRY_JITTER = 0.6
# Other nodes take the connection of a repeatable request for silent after 3 s, see pool.sweep, and
# can't know then whether it has run. One that is still queued is refused before that.
MAX_HOP_QUEUE_S = 2.5
# Tells callers that a request has not run and will not run later.
NOT_RUN_STATUS = 503
# With these statuses callers rely on it that the request has not run.
PROMISING_STATUSES = frozenset({NOT_RUN_STATUS, 429})
# Statuses that tell a caller more than that its request has not run.
OWN_STATUSES = frozenset({400, 401, 404, 429})
# The part of a request's latency objective for which it may wait for allowance of its account.
QUOTA_WAIT_SHARE = 0.25
# RFC 9110, section 11.6.1: a response with status 401 names the scheme.
CHALLENGE = (b"www-authenticate", b"Bearer")
KEY_REASONS = {
    accounts.Refusal.NO_KEY: outcome.Reason.NO_KEY,
    accounts.Refusal.UNKNOWN_KEY: outcome.Reason.UNKNOWN_KEY,
}
# The outcome of a request whose caller had left before it was read.
ABANDONED = outcome.unknown(outcome.Reason.CALLER_GONE)
# The outcome of a request that arrives when the process is about to end.
STOPPING = outcome.refuse(outcome.Reason.STOPPING)
OVER_QUOTA = outcome.refuse(outcome.Reason.OVER_QUOTA)


# Admits a request of an account that may wait for some seconds; returns None, or after how many
# seconds the caller should try again.
Admit = collections.abc.Callable[
    [identity.AccountId, float], collections.abc.Awaitable[float | None]
]


async def admit_any(_: identity.AccountId, __: float) -> float | None:
    """Admit a request where accounts have no limits."""
    return None


@dataclasses.dataclass(kw_only=True)
class Origin:
    """State shared by the requests that enter the mesh at this node, or come from other nodes.

    ``scopes`` are the cancel scopes of those in flight. ``is_cut_off`` is set when the time that is
    left for them before the process ends is over. ``pipelining`` counts the requests that were read
    before the answers ahead of them on their connection. ``admit`` decides on requests of accounts.
    """

    node: node_module.Node
    delivery: delivery.Delivery
    peers: pool.Pool
    current: traffic.CurrentTraffic
    scopes: set[trio.CancelScope] = dataclasses.field(default_factory=set)
    is_cut_off: bool = False
    buffer_usage: buffering.Usage = dataclasses.field(default_factory=buffering.Usage)
    pipelining: pipeline.Stats = dataclasses.field(default_factory=pipeline.Stats)
    admit: Admit = admit_any


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """The parts of a request's head that routing needs.

    ``timeout_s`` is the caller's own time limit in seconds. ``authorization`` has the values of the
    ``Authorization`` headers. ``parent_id`` is the id of the request whose target makes this
    one, empty if the id of this one names none.
    """

    request_id: str
    host: str
    timeout_s: float | None
    key_slot: int | None
    authorization: tuple[bytes, ...] = ()
    parent_id: str = ""


@dataclasses.dataclass(kw_only=True)
class Attempts:
    """The attempts that were made for one request, including the current one.

    ``tried`` are their nodes in order, ``excluded`` those that are not tried again.
    ``unknown_count`` counts the attempts that may have run. ``is_repeat_charged`` says that the
    attempt after the current one was charged to the retry budget when the current one was aborted.
    """

    tried: list[identity.NodeId]
    excluded: set[identity.NodeId] = dataclasses.field(default_factory=set)
    unknown_count: int = 0
    is_repeat_charged: bool = False


def resolve(origin: Origin, call: exchange.Call, head: RequestHead) -> outcome.Outcome | None:
    """Set a request's service, rules and deadline from its route.

    :param origin: the state of this entry point.
    :param call: the request, as parsed.
    :param head: the parts of its head that routing needs.
    :return: the refusal, or ``None`` if the request may proceed.
    """
    node = origin.node
    config = origin.current.traffic
    if config is None:
        return outcome.refuse(outcome.Reason.NO_CONFIGURATION)
    route = traffic.find_route(config, head.host, call.path)
    if route is None:
        return outcome.refuse(outcome.Reason.NO_SUCH_SERVICE)
    account: accounts.Account | None = None
    if config.requires_keys:
        decided = accounts.decide(
            config.accounts_by_key, head.authorization, is_public=route.is_public
        )
        if isinstance(decided, accounts.Refusal):
            return outcome.refuse(KEY_REASONS[decided])
        account = decided
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
        priority=(
            route.priority if account is None or account.priority is None else account.priority
        ),
        objective_s=route.objective_s,
        origin_service=node.place.service,
        key_slot=head.key_slot if policy.is_keyed else None,
        route=route.name.encode("ascii", "backslashreplace").decode(),
        account=identity.AccountId("") if account is None else account.name,
        is_call=head.parent_id in origin.delivery.running_requests,
    )
    return None


async def handle(
    origin: Origin, call: exchange.Call, caller: exchange.Caller, head: RequestHead
) -> outcome.Outcome:
    """Route a request to targets until one answers, and reply to the caller.

    :param origin: the state of this entry point.
    :param call: the request, as parsed.
    :param caller: receives the reply.
    :param head: the parts of its head that routing needs.
    :return: the outcome, which has been logged and counted.
    """
    started_at = origin.node.now()
    if _is_abandoned(origin.node, caller):
        _record(origin, call, ABANDONED, started_at, [])
        return ABANDONED
    parent = origin.delivery.running_requests.get(head.parent_id)
    refusal = STOPPING if origin.node.is_ending else resolve(origin, call, head)
    retry_after_s: float | None = RETRY_AFTER_S
    if refusal is None:
        retry_after_s = await _admit(origin, call)
        refusal = None if retry_after_s is None else OVER_QUOTA
    if refusal is not None:
        await send_refusal(caller, refusal, retry_after_s or RETRY_AFTER_S)
        _record(origin, call, refusal, started_at, [])
        return refusal
    budget.credit(budget.find_budget(origin.node.budget, call.service))
    buffer = buffering.Buffer(usage=origin.buffer_usage)
    buffered_caller = buffering.buffer_reply(caller, buffer)
    tried: list[identity.NodeId] = []
    try:
        completion, is_caller_gone = await _run_cancellable(
            origin, call, caller, functools.partial(_try_all, origin, call, buffered_caller, tried)
        )
    finally:
        buffering.clear(buffer)
    is_reply_begun = caller.is_reply_begun()
    result = completion.result
    if buffer.is_taken and buffer.head is not None:
        # The deadline may have passed, or the caller have left, since.
        result = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=buffer.head[0])
    elif is_caller_gone:
        result = outcome.unknown(outcome.Reason.CALLER_GONE)
    elif not is_reply_begun and result.reason is not outcome.Reason.CALLER_GONE:
        # Jitter keeps callers that were refused at the same time from retrying at the same time.
        jitter = 1.0 + RETRY_JITTER * (origin.node.draw() - 0.5)
        await send_refusal(caller, result, completion.retry_after_s * jitter)
    if parent is not None:
        _record_call(origin.node, parent.route, call.service, result)
    _record(origin, call, result, started_at, tried, is_reply_begun=is_reply_begun)
    return result


def _record_call(
    node: node_module.Node,
    parent_route: str,
    service: identity.ServiceId,
    result: outcome.Outcome,
) -> None:
    """Record what became of a call of this node's target, if that shows the service's capacity."""
    if result.verdict is outcome.Verdict.ANSWERED:
        call_result = calls.CallResult.ACCEPTED
    elif result.reason not in OTHER_REASONS:
        call_result = calls.CallResult.REFUSED
    else:
        return
    calls.record_call(node.call_history, parent_route, service, call_result, node.now())


async def _admit(origin: Origin, call: exchange.Call) -> float | None:
    """Count a request against the quota of its account, once for all attempts.

    Returns ``None`` if it is admitted, or after how many seconds its caller should try again.
    """
    rules = call.rules
    assert rules is not None
    if not rules.account:
        return None
    remaining_s = call.deadline_at_s - origin.node.now()
    max_wait_s = QUOTA_WAIT_SHARE * min(rules.objective_s, max(0.0, remaining_s))
    return await origin.admit(rules.account, max_wait_s)


def _is_abandoned(node: node_module.Node, caller: exchange.Caller) -> bool:
    """Return whether the event loop lags and the caller has already left.

    The deadline cannot show this: it counts from when the request was received, because no header
    says when it was sent.
    """
    return lag.is_lagging(node.loop_lag) and caller.is_gone()


def cut_off(origin: Origin) -> None:
    """End all requests in flight: refuse those that have not run, fail those that may have.

    :param origin: the state of a node whose process is about to end.
    """
    origin.is_cut_off = True
    delivery.lift_shields(origin.delivery)
    for scope in origin.scopes:
        scope.cancel()


async def _run_cancellable(
    origin: Origin,
    call: exchange.Call,
    caller: exchange.Caller,
    work: collections.abc.Callable[[], collections.abc.Awaitable[delivery.Completion]],
) -> tuple[delivery.Completion, bool]:
    """Run until the deadline, until the caller leaves or until the process is about to end.

    A non-idempotent request whose body is still arriving is not cancelled when the caller leaves:
    its target may have received part of it already.

    :return: the completion, and whether the caller has left.
    """
    completion: delivery.Completion | None = None
    is_caller_gone = False
    async with trio.open_nursery() as nursery:
        # The node's clock may differ from Trio's clock.
        remaining_s = max(0.0, call.deadline_at_s - origin.node.now())
        nursery.cancel_scope.deadline = trio.current_time() + remaining_s
        origin.scopes.add(nursery.cancel_scope)

        async def watch() -> None:
            nonlocal is_caller_gone
            await caller.wait_gone()
            is_caller_gone = True
            nursery.cancel_scope.cancel()

        if call.is_body_buffered or (call.rules is not None and call.rules.is_repeatable):
            nursery.start_soon(watch)
        try:
            completion = await work()
        finally:
            origin.scopes.discard(nursery.cancel_scope)
        nursery.cancel_scope.cancel()
    if completion is None:
        completion = _conclude_cancelled(origin, call, is_caller_gone=is_caller_gone)
    return completion, is_caller_gone


def _conclude_cancelled(
    origin: Origin, call: exchange.Call, *, is_caller_gone: bool
) -> delivery.Completion:
    """Return the completion of a request that was cancelled before it had one."""
    if is_caller_gone:
        return delivery.Completion(result=outcome.unknown(outcome.Reason.CALLER_GONE))
    if not origin.is_cut_off:
        conclude = outcome.unknown if call.may_have_run else outcome.refuse
        return delivery.Completion(result=conclude(outcome.Reason.DEADLINE))
    if call.may_have_run:
        return delivery.Completion(result=outcome.unknown(outcome.Reason.STOPPING))
    return delivery.Completion(result=STOPPING, retry_after_s=delivery.RESTARTING_RETRY_S)


async def _try_all(
    origin: Origin, call: exchange.Call, caller: exchange.Caller, tried: list[identity.NodeId]
) -> delivery.Completion:
    """Try targets until one answers or no further attempt is allowed."""
    rules = call.rules
    assert rules is not None
    node = origin.node
    retry_budget = budget.find_budget(node.budget, call.service)
    attempts = Attempts(tried=tried)
    completion = delivery.Completion(
        result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=RETRY_AFTER_S
    )
    owner: identity.NodeId | None = None
    for attempt_index in range(MAX_ATTEMPTS):
        name = _choose_node(origin, call, rules, attempts.excluded, owner=owner)
        if name is None:
            break
        tried.append(name)
        attempts.is_repeat_charged = False
        claim_repeat = functools.partial(_claim_repeat, origin, call, attempts)
        completion = await _try_one(origin, call, caller, name, claim_repeat)
        verdict = completion.result.verdict
        if verdict is outcome.Verdict.ANSWERED or completion.is_answered or completion.is_body_open:
            return completion
        if completion.result.reason in FINAL_REASONS:
            break
        if verdict is outcome.Verdict.UNKNOWN:
            attempts.unknown_count += 1
        call.may_have_run = attempts.unknown_count > 0
        if verdict is outcome.Verdict.UNKNOWN:
            may_repeat = rules.is_repeatable and attempts.unknown_count < rules.max_attempts
            if not may_repeat or not _has_time(origin, call, name):
                break
            if not attempts.is_repeat_charged and not budget.spend(retry_budget):
                break
        if completion.result.reason in TARGET_REFUSALS and not budget.spend(retry_budget):
            break
        attempts.excluded.add(name)
        if rules.key_slot is not None:
            if completion.result.reason not in RETRYABLE_FOR_KEY:
                break
            is_new_owner = completion.owner is not None and completion.owner not in tried
            owner = completion.owner
            if not is_new_owner:
                await node_module.pause(node, MOVED_RETRY_DELAY_S * (attempt_index + 1))
    if attempts.unknown_count and completion.result.verdict is outcome.Verdict.NOT_RUN:
        # An earlier attempt may have run, so the refusal of the last one does not show that the
        # request has not run.
        completion.result = outcome.unknown(outcome.Reason.CONNECTION_LOST)
    return completion


def _claim_repeat(origin: Origin, call: exchange.Call, attempts: Attempts) -> bool:
    """Return whether a request is sent again if its current attempt is aborted, and charge that.

    It is charged at once, because the requests at a node that seems to be lost are aborted
    together. Requests for keys are aborted in any case: no other node can answer them before the
    key moves, and their callers may try again until then.
    """
    rules = call.rules
    assert rules is not None
    if rules.key_slot is not None:
        return True
    current = attempts.tried[-1]
    if (
        not call.is_body_buffered
        or len(attempts.tried) >= MAX_ATTEMPTS
        or attempts.unknown_count + 1 >= rules.max_attempts
        or not _has_time(origin, call, current)
        or not _has_alternative(origin, call, {*attempts.excluded, current})
    ):
        return False
    if not attempts.is_repeat_charged:
        retry_budget = budget.find_budget(origin.node.budget, call.service)
        attempts.is_repeat_charged = budget.spend(retry_budget)
    return attempts.is_repeat_charged


def _has_alternative(origin: Origin, call: exchange.Call, excluded: set[identity.NodeId]) -> bool:
    """Return whether a request without a key could be sent to a node that was not tried yet."""
    node = origin.node
    views = (
        node_module.read_view(node, candidate.node)
        for candidate in node_module.list_open_members(node, call.service)
        if candidate.node not in excluded
    )
    return any(max(view.avoid_until, view.ending_until) <= node.now() for view in views)


def _has_time(origin: Origin, call: exchange.Call, name: identity.NodeId) -> bool:
    """Return whether another attempt can be expected to be answered before the deadline.

    This is judged by the work time of the node ``name``, which was tried last.
    """
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
    """Return the node to try next, or ``None`` if none is left.

    ``excluded`` are the nodes that were tried; ``owner`` is a key's owner as named by another node.
    """
    node = origin.node
    if rules.key_slot is not None:
        return _find_owner(node, call.service, rules.key_slot, owner=owner)
    candidates = {
        candidate.node: candidate
        for candidate in node_module.list_open_members(node, call.service)
        if candidate.node not in excluded
    }
    now = node.now()
    views = {name: node_module.read_view(node, name) for name in candidates}
    views = {name: view for name, view in views.items() if view.ending_until <= now}
    # A request is sent again only if some node that was not tried yet is not being avoided.
    if excluded and all(view.avoid_until > now for view in views.values()):
        return None
    same_zone = {
        name for name, candidate in candidates.items() if candidate.zone == node.place.zone
    }
    return selection.choose(views, same_zone, now, node.draw)


def _find_owner(
    node: node_module.Node,
    service: identity.ServiceId,
    key_slot: int,
    *,
    owner: identity.NodeId | None,
) -> identity.NodeId | None:
    """Return the node that serves a key: ``owner`` if another node named it, else the ledger's."""
    versioned_ledger = node.ledgers.get(service)
    if versioned_ledger is None:
        return None
    name = owner or identity.NodeId(ledger.find_span(versioned_ledger.ledger, key_slot).node)
    return name if name in node.members or name == node.place.node else None


async def _try_one(
    origin: Origin,
    call: exchange.Call,
    caller: exchange.Caller,
    name: identity.NodeId,
    claim_repeat: collections.abc.Callable[[], bool] = pool.permit_repeat,
) -> delivery.Completion:
    """Try a request at one node, this one or another, and update what is known of its target.

    ``claim_repeat`` returns whether another attempt follows if this one is aborted.
    """
    node = origin.node
    view = node_module.read_view(node, name)
    if node.now() < view.ending_until:
        return delivery.Completion(result=STOPPING, retry_after_s=RETRY_AFTER_S)
    if call.rules is not None and call.rules.key_slot is not None:
        # No other target holds the key, so a refusal is all that remains until this one recovers.
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
            completion = await _forward(origin, call, caller, name, view, claim_repeat)
    finally:
        view.outstanding -= 1
    if (
        completion.result.reason in LASTING_REFUSALS
        and completion.result.verdict is outcome.Verdict.NOT_RUN
    ):
        selection.record_refusal(view, completion.retry_after_s, node.now())
        if completion.result.reason is outcome.Reason.STOPPING:
            selection.record_ending(view, node.now())
    return completion


async def _forward(
    origin: Origin,
    call: exchange.Call,
    caller: exchange.Caller,
    name: identity.NodeId,
    view: selection.TargetView,
    claim_repeat: collections.abc.Callable[[], bool] = pool.permit_repeat,
) -> delivery.Completion:
    """Forward a request to another node, and pass that node's reply to the caller."""
    node = origin.node
    peer = node.members.get(name)
    if peer is None:
        return delivery.Completion(
            result=outcome.refuse(outcome.Reason.NO_TARGET), retry_after_s=RETRY_AFTER_S
        )
    refusals: list[delivery.Completion] = []

    def filter_hop_reply(status: int, headers: exchange.Headers) -> exchange.Headers | None:
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
        filter_reply=filter_hop_reply,
        is_repeatable=call.rules is not None and call.rules.is_repeatable,
        p99_s=attempt.TYPICAL_P99_S,
        # The other node asks for the rest of a body once it has admitted the request, so that one
        # that it refuses can be sent elsewhere.
        awaits_continue=not call.is_body_buffered,
        claim_repeat=claim_repeat,
    )
    attempt_result = attempt.AttemptResult()
    await attempt.run(context, call, caller, node.now, attempt_result)
    is_body_open = attempt_result.attempt.is_body_open
    if refusals:
        refusals[0].is_body_open = is_body_open
        return refusals[0]
    completion = attempt.conclude(attempt_result)
    # Replies to this node's callers share its uplink with the replies of its target.
    link.record_sent(node.admission.uplink, attempt_result.attempt.body_bytes, node.now())
    if attempt.suggests_peer_loss(attempt_result):
        selection.record_failure(view, node.now())
    return delivery.Completion(
        result=completion.result,
        is_answered=completion.is_answered,
        retry_after_s=RETRY_AFTER_S,
        is_body_open=is_body_open,
    )


async def serve_hop(
    origin: Origin, call: exchange.Call, caller: exchange.Caller
) -> outcome.Outcome:
    """Run a request that another node forwarded at this node's target, and reply to that node.

    :param origin: the state of this node.
    :param call: the request, with its rules.
    :param caller: the other node.
    :return: the outcome, which has been logged and counted.
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

    if node.is_ending:
        completion = delivery.Completion(result=STOPPING, retry_after_s=delivery.RESTARTING_RETRY_S)
        return await _report_hop_failure(origin, call, caller, completion, started_at)
    if not lag.can_serve(node.loop_lag, call.deadline_at_s - started_at):
        completion = delivery.Completion(
            result=outcome.refuse(outcome.Reason.BEHIND), retry_after_s=RETRY_AFTER_S
        )
        return await _report_hop_failure(origin, call, caller, completion, started_at)
    hop_caller = dataclasses.replace(caller, reply=reply)
    is_repeatable = call.rules is not None and call.rules.is_repeatable
    work = functools.partial(
        delivery.run,
        origin.delivery,
        call,
        hop_caller,
        max_queue_s=MAX_HOP_QUEUE_S if is_repeatable else math.inf,
    )
    completion, is_caller_gone = await _run_cancellable(origin, call, caller, work)
    is_caller_gone = is_caller_gone or completion.result.reason is outcome.Reason.CALLER_GONE
    if not is_caller_gone and not caller.is_reply_begun():
        return await _report_hop_failure(origin, call, caller, completion, started_at)
    _record(origin, call, completion.result, started_at, [node.place.node])
    return completion.result


async def _report_hop_failure(
    origin: Origin,
    call: exchange.Call,
    caller: exchange.Caller,
    completion: delivery.Completion,
    started_at: float,
) -> outcome.Outcome:
    """Tell another node why its request got no reply: verdict, reason and this node's load."""
    node = origin.node
    extra_headers = [
        *hop_headers.build_refusal(completion.result),
        *hop_headers.build_load_headers(node),
    ]
    if completion.owner is not None:
        extra_headers.append((hop_headers.OWNER_HEADER, completion.owner.encode()))
    await send_refusal(caller, completion.result, completion.retry_after_s, extra_headers)
    _record(origin, call, completion.result, started_at, [node.place.node])
    return completion.result


async def send_refusal(
    caller: exchange.Caller,
    result: outcome.Outcome,
    retry_after_s: float,
    extra_headers: exchange.Headers | None = None,
) -> None:
    """Reply to a caller whose request no target answered.

    :param caller: receives the reply.
    :param result: the outcome, with the reason.
    :param retry_after_s: seconds to announce in ``retry-after``; 0 for no header.
    :param extra_headers: further headers.
    """
    body = f"{result.reason.value}\n".encode()
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
        *(extra_headers or []),
    ]
    status = result.status
    if status == 401:
        headers.append(CHALLENGE)
    elif retry_after_s > 0 and result.verdict is outcome.Verdict.NOT_RUN:
        headers.append((hop_headers.RETRY_AFTER_HEADER, f"{retry_after_s:.3f}".encode()))
    if result.verdict is outcome.Verdict.NOT_RUN and status not in OWN_STATUSES:
        # Whatever kept the request from running, callers rely on this status for "not run".
        status = NOT_RUN_STATUS
    if result.verdict is not outcome.Verdict.NOT_RUN and status in PROMISING_STATUSES:
        # Callers would take the status for "not run".
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
    """Log and count a finished request.

    ``is_reply_begun`` says whether a part of a target's reply had been sent to the caller.
    """
    node = origin.node
    is_success = result.verdict is outcome.Verdict.ANSWERED
    elapsed_s = node.now() - started_at
    counters.count(
        node.request_counters, call.service, result.verdict.value, result.reason.value, elapsed_s
    )
    if is_success and not log.isEnabledFor(logging.DEBUG):
        return
    level = logging.WARNING if result.verdict is outcome.Verdict.UNKNOWN else logging.INFO
    versioned_ledger = node.ledgers.get(call.service)
    decision.record(
        log,
        logging.DEBUG if is_success else level,
        "request",
        id=call.request_id,
        service=call.service,
        key=call.rules.key_slot if call.rules else None,
        outcome=result.verdict,
        reason=result.reason,
        status=result.status,
        told=is_reply_begun,
        tried=",".join(tried),
        took_ms=int(elapsed_s * 1000),
        ledger=versioned_ledger.version if versioned_ledger is not None else None,
        config=node.config,
        **({"account": call.rules.account} if call.rules and call.rules.account else {}),
    )
