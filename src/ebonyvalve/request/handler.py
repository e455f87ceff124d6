"""Handles one request from its arrival to its outcome, independent of the HTTP library."""

import collections.abc
import dataclasses
import functools
import logging

import trio

from ebonyvalve.connection import pool
from ebonyvalve.process import budget, decision, identity, lease, site, token_memory
from ebonyvalve.request import (
    dispatch,
    exchange,
    front,
    hedge,
    hop,
    local,
    outcome,
    retry,
    routing,
    token,
)
from ebonyvalve.version import objects, route

log = logging.getLogger(__name__)

# Retry interval for an unreachable node while its lease may still be valid.
RECHECK_INTERVAL_S = 0.05
# Reasons to wait for the key's next owner. No target ran the request, so that waiting and retrying
# cannot multiply load.
AWAITS_NEXT_OWNER = frozenset(
    {
        outcome.Reason.CONNECT_FAILED,
        outcome.Reason.LEASE_LAPSED,
        outcome.Reason.NO_CONFIGURATION,
        outcome.Reason.NO_TARGET,
        outcome.Reason.STALE_FENCE,
        outcome.Reason.STOPPING,
        outcome.Reason.DRAINED,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Handler:
    """State shared by the requests of a node."""

    here: site.Site
    snapshot: collections.abc.Callable[[], route.Snapshot | None]
    target_pool: pool.Pool
    hop_pool: pool.Pool
    log_answered_share: float = 1.0
    observe: collections.abc.Callable[[exchange.Call, outcome.Outcome, float], None] = (
        lambda call, result, latency_s: None
    )


@dataclasses.dataclass(kw_only=True)
class Progress:
    """The state of one request between its attempts."""

    call: exchange.Call
    caller: exchange.Caller
    service: objects.Service
    attempts: int = 0
    corrections: int = 0
    corrected: identity.NodeId | None = None
    # An attempt ended with an unknown outcome, so a later refusal does not show "not run".
    may_have_run: bool = False
    tried: set[identity.NodeId] = dataclasses.field(default_factory=set)
    choice: routing.Route | None = None


async def handle(shared: Handler, call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
    """Run or refuse a request, reply to the caller, and return the outcome.

    :param shared: state shared by the node's requests.
    :param call: the request.
    :param caller: the caller's end.
    """
    started_s = shared.here.now()
    progress: Progress | None = None
    current = shared.snapshot()
    service = None if current is None else current.services.get(call.service)
    if service is None:
        reason = outcome.Reason.NO_SUCH_SERVICE
        if current is None or call.is_hop:
            # The node that sent the hop has the service in its version of the configuration.
            reason = outcome.Reason.NO_CONFIGURATION
        result = await _send_completion(caller, exchange.Completion(result=outcome.refuse(reason)))
    else:
        progress = Progress(call=call, caller=caller, service=service)
        result = await _serve(shared, progress)
    shared.observe(call, result, shared.here.now() - started_s)
    _log(shared, call, result, progress)
    return result


async def _serve(shared: Handler, progress: Progress) -> outcome.Outcome:
    """Serve a request; cancel an idempotent one as soon as its caller leaves.

    A request that must not run twice continues, so that its outcome is recorded for a resend.
    """
    call = progress.call
    is_idempotent = call.method in progress.service.idempotent_methods
    if not (call.is_body_buffered and is_idempotent):
        return await _try_until_answered(shared, progress)
    result = outcome.unknown(outcome.Reason.CALLER_GONE)
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            await progress.caller.wait_gone()
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        result = await _try_until_answered(shared, progress)
        nursery.cancel_scope.cancel()
    return result


async def _try_until_answered(shared: Handler, progress: Progress) -> outcome.Outcome:
    """Make attempts until the caller has been sent a reply or a refusal."""
    here = shared.here
    if not progress.call.is_hop:
        budget.credit(here.retries)
        budget.credit(here.hedges)
    while True:
        changed = here.changed
        choice = _choose(shared, progress)
        progress.choice = choice
        if choice.choice is routing.Choice.WAIT:
            if await _wait(here, progress.call, changed):
                continue
            return await _send_refusal(progress, choice.reason)
        if choice.choice is routing.Choice.REFUSE:
            if choice.reason is outcome.Reason.MOVED and not progress.call.is_hop:
                # The routes of both nodes are out of date; the next renewal brings newer ones.
                progress.corrections = 0
                progress.corrected = None
                if await _wait(here, progress.call, changed):
                    continue
            return await _send_refusal(progress, choice.reason, owner=choice.node)
        completion = await _attempt(shared, progress, choice)
        if completion.result.verdict is outcome.Verdict.UNKNOWN:
            progress.may_have_run = True
        elif progress.may_have_run and completion.result.verdict is outcome.Verdict.NOT_RUN:
            completion.result = outcome.unknown(completion.result.reason)
        if completion.is_answered:
            return completion.result
        if not await _prepare_retry(here, progress, completion, changed):
            return await _send_completion(progress.caller, completion)


def _choose(shared: Handler, progress: Progress) -> routing.Route:
    """Choose where the next attempt of a request runs."""
    call = progress.call
    return routing.choose(
        build_view(shared.here, call.key),
        progress.service.name,
        shard=find_shard(shared.here, progress.service, call.key),
        issuer=None if call.token is None else token.find_issuer(call.token),
        is_hop=call.is_hop,
        corrections=progress.corrections,
        corrected=progress.corrected,
        tried=progress.tried,
    )


def build_view(here: site.Site, key: identity.KeyId) -> routing.View:
    """Return what the node knows at present, for the routing of one request.

    :param here: the node's state.
    :param key: the key of the request.
    """
    node = here.read_node()

    def find_load(name: identity.NodeId) -> routing.TargetLoad:
        member = node.members[name]
        return hedge.read_load(here, member)

    return routing.View(
        node=here.node,
        zone=here.zone,
        find_owner=lambda shard: lease.find_owner(node, shard),
        find_fence=lambda shard: lease.find_fence(node, shard, key, here.now()),
        find_load=find_load,
        members=node.members,
        draw=here.random.randrange,
    )


def find_shard(
    here: site.Site, service: objects.Service, key: identity.KeyId
) -> identity.ShardId | None:
    """Return the shard that serves a key, or ``None`` for a service without keys.

    :param here: the node's state.
    :param service: the service.
    :param key: the key.
    """
    if not service.is_keyed:
        return None
    node = here.read_node()
    key_shard = identity.name_key(service.name, key)
    if key_shard in node.holdings or key_shard in node.routes:
        return key_shard
    return identity.name_partition(service.name, route.find_partition(service, key))


async def _attempt(
    shared: Handler, progress: Progress, choice: routing.Route
) -> exchange.Completion:
    """Make one attempt, with a hedge if the request may have one."""
    progress.attempts += 1
    node = choice.node or shared.here.node
    progress.tried.add(node)
    first = functools.partial(try_node, shared, progress, node)
    if progress.service.is_keyed or progress.call.is_hop or progress.call.token is not None:
        return await first(filter_reply=hedge.accept_all)

    def choose_other() -> (
        collections.abc.Callable[..., collections.abc.Awaitable[exchange.Completion]] | None
    ):
        other = _choose(shared, progress)
        if other.choice not in (routing.Choice.LOCAL, routing.Choice.HOP):
            return None
        name = other.node or shared.here.node
        progress.tried.add(name)
        return functools.partial(try_node, shared, progress, name)

    after_s = hedge.find_delay(shared.here, progress.service, progress.call, progress.tried)
    return await hedge.run(shared.here, first, choose_other, after_s=after_s)


async def try_node(
    shared: Handler,
    progress: Progress,
    node: identity.NodeId,
    *,
    filter_reply: dispatch.FilterReply,
) -> exchange.Completion:
    """Make one attempt at one node.

    :param shared: state shared by the node's requests.
    :param progress: the request.
    :param node: this node or another one.
    :param filter_reply: decides last whether a reply is passed on.
    """
    here = shared.here
    call = progress.call
    if node != here.node:
        member = here.read_node().members.get(node)
        if member is None:
            return exchange.Completion(result=outcome.refuse(outcome.Reason.CONNECT_FAILED))
        return await hop.run(
            here, call, progress.caller, progress.service, member, shared.hop_pool, filter_reply
        )
    if site.is_drained(here):
        return exchange.Completion(result=outcome.refuse(outcome.Reason.DRAINED))
    shard = find_shard(here, progress.service, call.key)
    if shard is None:
        return await _run_unkeyed(shared, progress, filter_reply)
    granted = lease.find_fence(here.read_node(), shard, call.key, here.now())
    if granted is None:
        return exchange.Completion(result=outcome.refuse(outcome.Reason.LEASE_LAPSED))

    def is_granted() -> bool:
        current = lease.find_fence(here.read_node(), shard, call.key, here.now())
        return current == granted and not site.is_drained(here)

    return await local.run(
        here, _build_job(shared, progress, shard, granted, is_granted), filter_reply
    )


async def _run_unkeyed(
    shared: Handler, progress: Progress, filter_reply: dispatch.FilterReply
) -> exchange.Completion:
    """Run a request of a service without keys here, with the node itself as the shard.

    The node still needs a live lease: only then does it know the configuration in force, and thus
    whether its zone is drained.
    """
    here = shared.here

    def is_granted() -> bool:
        return lease.is_live(here.read_node(), here.now()) and not site.is_drained(here)

    if not is_granted():
        return exchange.Completion(result=outcome.refuse(outcome.Reason.LEASE_LAPSED))
    shard = token_memory.name_node_shard(progress.service.name, here.node)
    fence = token_memory.derive_fence(here.incarnation)
    return await local.run(
        here, _build_job(shared, progress, shard, fence, is_granted), filter_reply
    )


def _build_job(
    shared: Handler,
    progress: Progress,
    shard: identity.ShardId,
    fence: identity.Fence,
    is_granted: collections.abc.Callable[[], bool],
) -> local.Job:
    return local.Job(
        call=progress.call,
        caller=progress.caller,
        service=progress.service,
        shard=shard,
        fence=fence,
        is_granted=is_granted,
        connections=shared.target_pool,
    )


async def _prepare_retry(
    here: site.Site, progress: Progress, completion: exchange.Completion, changed: trio.Event
) -> bool:
    """Decide whether there is another attempt, and wait for the delay that the rules set for it."""
    call = progress.call
    reason = completion.result.reason
    is_not_run = completion.result.verdict is outcome.Verdict.NOT_RUN
    if is_not_run and reason is outcome.Reason.MOVED and not completion.is_body_open:
        progress.corrections += 1
        progress.corrected = completion.owner
        return here.now() < call.deadline_at_s
    progress.corrected = None
    if (
        is_not_run
        and reason in AWAITS_NEXT_OWNER
        and progress.service.is_keyed
        and not completion.is_body_open
    ):
        return await _wait(here, call, changed, max_wait_s=RECHECK_INTERVAL_S)
    others = hedge.list_others(here, progress.service, progress.tried)
    if not others:
        progress.tried.clear()
    retry_decision = retry.decide(
        completion.result,
        is_idempotent=call.method in progress.service.idempotent_methods,
        is_body_held=call.is_body_buffered or not completion.is_body_open,
        is_reply_started=completion.is_answered,
        has_other_target=bool(others),
        attempts=progress.attempts,
        remaining_s=call.deadline_at_s - here.now(),
        bucket=here.retries,
    )
    if retry_decision is not retry.Retry.RETRY:
        return False
    await trio.sleep(
        retry.delay(progress.attempts, here.random.random(), has_other_target=bool(others))
    )
    return True


async def _wait(
    here: site.Site, call: exchange.Call, changed: trio.Event, *, max_wait_s: float | None = None
) -> bool:
    """Wait for a change of the node's state; return whether the deadline allows an attempt."""
    remaining_s = call.deadline_at_s - here.now()
    if remaining_s <= 0:
        return False
    wait_s = remaining_s if max_wait_s is None else min(max_wait_s, remaining_s)
    with trio.move_on_after(wait_s):
        await changed.wait()
    return here.now() < call.deadline_at_s


async def _send_refusal(
    progress: Progress, reason: outcome.Reason, *, owner: identity.NodeId | None = None
) -> outcome.Outcome:
    """Refuse a request for which there is no further attempt."""
    may_have_run = progress.may_have_run or reason is outcome.Reason.TOKEN_EPOCH_LOST
    refusal = outcome.unknown(reason) if may_have_run else outcome.refuse(reason)
    return await _send_completion(progress.caller, exchange.Completion(result=refusal, owner=owner))


async def _send_completion(
    caller: exchange.Caller, completion: exchange.Completion
) -> outcome.Outcome:
    """Reply to the caller that its request did not run, may have run, or has run before."""
    body = f"{completion.result.verdict.value}: {completion.result.reason.value}\n".encode()
    headers = [
        *front.build_outcome_headers(completion.result),
        *completion.headers,
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
    ]
    if completion.owner is not None:
        headers.append((front.OWNER_HEADER, completion.owner.encode()))
    if await caller.reply(completion.result.status or outcome.DEFAULT_STATUS, headers):
        await caller.write(body)
        await caller.finish()
    return completion.result


def _log(
    shared: Handler,
    call: exchange.Call,
    result: outcome.Outcome,
    progress: Progress | None,
) -> None:
    """Log a finished request; of the answered ones only a sample."""
    is_answered = result.verdict is outcome.Verdict.ANSWERED
    if is_answered and not decision.is_sampled(call.request_id, shared.log_answered_share):
        return
    choice = None if progress is None else progress.choice
    decision.record(
        log,
        logging.INFO if is_answered else logging.WARNING,
        "request",
        request=call.request_id,
        service=call.service,
        key=call.key,
        method=call.method,
        hop=call.is_hop,
        route="none" if choice is None else choice.choice,
        to=shared.here.node if choice is None or choice.node is None else choice.node,
        attempts=0 if progress is None else progress.attempts,
        verdict=result.verdict,
        reason=result.reason,
        status=result.status,
    )
