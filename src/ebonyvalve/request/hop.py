"""Forwards a request to the node of another target."""

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import identity, message, site, straggler
from ebonyvalve.request import attempt as attempts
from ebonyvalve.request import dispatch, exchange, front, local, outcome, retry
from ebonyvalve.version import objects


async def run(
    here: site.Site,
    call: exchange.Call,
    caller: exchange.Caller,
    service: objects.Service,
    member: message.Member,
    connections: pool.Pool,
    filter_reply: dispatch.FilterReply,
) -> exchange.Completion:
    """Forward a request to another node, and pass the reply to the caller.

    :param here: the node's state.
    :param call: the request.
    :param caller: the caller's end.
    :param service: the service.
    :param member: the other node.
    :param connections: connections to other nodes.
    :param filter_reply: decides last whether a reply is passed on; a hedged request uses it to pass
        on one reply only.
    """
    is_idempotent = call.method in service.idempotent_methods
    started_s = here.now()

    def filter_hop_reply(status: int, headers: exchange.Headers) -> exchange.Headers | None:
        reported = read_outcome(status, headers)
        if _may_retry_elsewhere(reported, is_idempotent=is_idempotent):
            return None
        return filter_reply(status, dispatch.filter_headers(headers))

    extra = local.list_extra(call, started_s)
    if call.token is not None:
        extra.append((front.TOKEN_HEADER, call.token.encode()))
    context = attempts.AttemptContext(
        pool=connections,
        address=member.hop_address,
        extra_headers=extra,
        filter_reply=filter_hop_reply,
        is_repeatable=is_idempotent,
        p99_s=straggler.read_quantile(here.latencies[service.name], 0.99),
        max_idle_s=None if is_idempotent else local.MAX_IDLE_UNREPEATABLE_S,
        awaits_continue=not call.is_body_buffered,
    )
    here.in_flight[member.node] += 1
    attempt_result = attempts.AttemptResult()
    try:
        await attempts.run(context, call, caller, here.now, attempt_result)
    finally:
        here.in_flight[member.node] -= 1
        _record_latency(here, service, member.node, attempt_result, started_s)
    return _conclude(attempt_result)


def read_outcome(status: int, headers: exchange.Headers) -> outcome.Outcome:
    """Return the outcome that another node reported.

    :param status: the status code of its reply.
    :param headers: the headers of its reply.
    """
    verdict = wire.find_header(headers, front.OUTCOME_HEADER) or b"unknown"
    reason = wire.find_header(headers, front.REASON_HEADER) or b"none"
    try:
        return outcome.Outcome(
            verdict=outcome.Verdict(verdict.decode()),
            reason=outcome.Reason(reason.decode()),
            status=status,
        )
    except ValueError:
        # The other node may run a later release that has more reasons.
        return outcome.Outcome(
            verdict=outcome.Verdict.UNKNOWN, reason=outcome.Reason.NONE, status=status
        )


def _may_retry_elsewhere(reported: outcome.Outcome, *, is_idempotent: bool) -> bool:
    """Return whether a refusal by another node may be followed by an attempt elsewhere."""
    if reported.verdict is outcome.Verdict.ANSWERED:
        return False
    if reported.verdict is outcome.Verdict.UNKNOWN and not is_idempotent:
        return False
    return reported.reason is outcome.Reason.MOVED or reported.reason in retry.TRANSIENT


def _conclude(attempt_result: attempts.AttemptResult) -> exchange.Completion:
    """Return the completion of a request that was forwarded to another node."""
    attempt = attempt_result.attempt
    if attempt.step is dispatch.Step.WITHHELD:
        owner = wire.find_header(attempt.headers, front.OWNER_HEADER)
        kept_names = (front.TOKEN_HEADER, b"retry-after")
        return exchange.Completion(
            result=read_outcome(attempt.status, attempt.headers),
            is_body_open=attempt.is_body_open,
            headers=[pair for pair in attempt.headers if pair[0] in kept_names],
            owner=None if owner is None else identity.NodeId(owner.decode("ascii", "replace")),
        )
    completion = attempts.conclude(attempt_result)
    if attempt.step is dispatch.Step.RELAYED:
        completion.result = read_outcome(attempt.status, attempt.headers)
    return completion


def _record_latency(
    here: site.Site,
    service: objects.Service,
    node: identity.NodeId,
    attempt_result: attempts.AttemptResult,
    started_s: float,
) -> None:
    """Record the latency; a cancelled attempt counts with the time until its cancellation."""
    if not attempt_result.attempt.is_sent:
        return
    head_s = attempt_result.attempt.head_at_s
    latency_s = (here.now() if head_s is None else head_s) - started_s
    service_latencies = here.latencies[service.name]
    straggler.record(service_latencies, node, latency_s, is_complete=head_s is not None)
