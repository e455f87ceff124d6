"""Runs a request at this node's target: token, quarantine, admission, and one attempt."""

import collections.abc
import dataclasses
import functools
import logging

import trio

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import (
    accounting,
    decision,
    identity,
    limit,
    quarantine,
    site,
    straggler,
    target,
    token_memory,
)
from ebonyvalve.request import (
    attempt as attempts,
)
from ebonyvalve.request import (
    correlation,
    deadline,
    dispatch,
    exchange,
    fingerprints,
    front,
    outcome,
    token,
)
from ebonyvalve.version import objects

log = logging.getLogger(__name__)

# Idle limit for connections that carry requests that must not run twice. A target may close a
# connection that was idle for long, and a loss after the first byte leaves the outcome unknown.
MAX_IDLE_UNREPEATABLE_S = 1.0

TARGET_REASONS = {
    b"stale-fence": outcome.Reason.STALE_FENCE,
    b"target-shed": outcome.Reason.TARGET_SHED,
}
ADMISSION_REASONS = {
    limit.Cause.QUEUE_FULL: outcome.Reason.QUEUE_FULL,
    limit.Cause.DEADLINE: outcome.Reason.DEADLINE,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """A request that this node serves, and the grant under which it does.

    ``is_granted`` says whether the grant is still valid. For services without keys, ``shard`` names
    the node and ``fence`` its incarnation.
    """

    call: exchange.Call
    caller: exchange.Caller
    service: objects.Service
    shard: identity.ShardId
    fence: identity.Fence
    is_granted: collections.abc.Callable[[], bool]
    connections: pool.Pool


async def run(here: site.Site, job: Job, filter_reply: dispatch.FilterReply) -> exchange.Completion:
    """Run a request at the local target, or refuse it.

    :param here: the node's state.
    :param job: the request and the grant.
    :param filter_reply: decides last whether a reply is passed on; a hedged request uses it to pass
        on one reply only.
    """
    call = job.call
    if not target.is_up(here.target) or here.target.address is None:
        return exchange.Completion(result=outcome.refuse(outcome.Reason.NO_TARGET))
    tokens = site.find_memory(here, job.shard, job.fence, life_s=job.service.token_life_s)
    is_unrepeatable = call.method not in job.service.idempotent_methods
    if is_unrepeatable:
        token_refusal = await _check_token(here, job, tokens)
        if token_refusal is not None:
            return token_refusal
    fingerprint = _compute_fingerprint(job)
    if quarantine.is_quarantined(here.quarantined, fingerprint, here.now()):
        return exchange.Completion(result=outcome.refuse(outcome.Reason.QUARANTINED))
    admitted = await _admit(here, call)
    if admitted.ticket is None:
        return _refuse_admission(admitted)
    # Nothing is awaited between this check and the start of the flight, so a release of the shard
    # either sees the flight or has revoked the grant before.
    if not job.is_granted() or not target.is_up(here.target):
        _end_admission(here, admitted.ticket, 0.0, limit.Reply.ABANDONED)
        return exchange.Completion(result=outcome.refuse(outcome.Reason.LEASE_LAPSED))
    if is_unrepeatable:
        found = token.begin(tokens, call.token or "", key=_find_key(job), now=here.now())
        if found.standing is not token.Standing.FRESH:
            _end_admission(here, admitted.ticket, 0.0, limit.Reply.ABANDONED)
            if found.standing is token.Standing.IN_PROGRESS:
                # A resend was admitted first while this request waited for admission.
                return await run(here, job, filter_reply)
            return _refuse_token(here, job, tokens, found)
    return await _make_attempt(
        here,
        job,
        tokens,
        fingerprint,
        admitted.ticket,
        filter_reply,
        is_unrepeatable=is_unrepeatable,
    )


async def _make_attempt(
    here: site.Site,
    job: Job,
    tokens: token_memory.Memory,
    fingerprint: identity.Fingerprint,
    ticket: limit.Ticket,
    filter_reply: dispatch.FilterReply,
    *,
    is_unrepeatable: bool,
) -> exchange.Completion:
    """Make the attempt, and record its result however it ends."""
    started_s = here.now()
    attempt_result = attempts.AttemptResult()

    def is_cancellable() -> bool:
        if not attempt_result.attempt.is_sent:
            return True
        return not (is_unrepeatable or job.caller.is_reply_begun())

    flight = site.Flight(
        shard=job.shard,
        fingerprint=fingerprint,
        is_cancellable=is_cancellable,
        is_reply_begun=job.caller.is_reply_begun,
        find_run_end=functools.partial(_find_run_end, here, job),
    )
    site.begin_flight(here, flight)
    completion = exchange.Completion(result=outcome.unknown(outcome.Reason.CALLER_GONE))
    address = here.target.address or identity.Address("")

    def filter_and_release(status: int, headers: exchange.Headers) -> exchange.Headers | None:
        # The target has finished its work. How long the reply's body takes depends on the network.
        _end_admission(here, ticket, here.now() - started_s, limit.Reply.OK)
        return filter_reply(status, headers)

    context = _build_context(here, job, tokens, filter_and_release, is_unrepeatable=is_unrepeatable)
    try:
        with flight.scope:
            await attempts.run(context, job.call, job.caller, here.now, attempt_result)
        if _is_untrusted(attempt_result.attempt):
            attempts.record_untrusted(job.call, attempt_result.attempt)
        completion = _conclude(attempt_result)
    finally:
        _record_unconfirmed(here, job, attempt_result)
        site.end_flight(here, flight)
        if is_unrepeatable:
            token.finish(
                tokens,
                job.call.token or "",
                _find_recorded_outcome(attempt_result, completion),
                now=here.now(),
            )
            site.notify(here)
        _record_result(here, job, attempt_result, ticket, started_s)
    if _is_connection_lost(attempt_result):
        await _check_crash(here, job, address, fingerprint)
    return completion


def _build_context(
    here: site.Site,
    job: Job,
    tokens: token_memory.Memory,
    filter_reply: dispatch.FilterReply,
    *,
    is_unrepeatable: bool,
) -> attempts.AttemptContext:
    """Return an attempt's context; its filter adds the outcome and the next token to the reply."""

    def filter_target_reply(status: int, headers: exchange.Headers) -> exchange.Headers | None:
        if _is_refusal(headers):
            return None
        answered = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=status)
        kept_headers = [pair for pair in headers if not pair[0].startswith(front.HEADER_PREFIX)]
        next_token = (front.TOKEN_HEADER, issue(here, job, tokens))
        return filter_reply(
            status,
            [
                *dispatch.filter_headers(kept_headers),
                *front.build_outcome_headers(answered),
                next_token,
            ],
        )

    fence = (front.FENCE_HEADER, f"{job.shard}:{job.fence}".encode())
    grant_until = (front.GRANT_UNTIL_HEADER, str(site.update_grant_end_ms(here)).encode())
    return attempts.AttemptContext(
        pool=job.connections,
        address=here.target.address or identity.Address(""),
        extra_headers=[*list_extra(job.call, here.now()), fence, grant_until],
        filter_reply=filter_target_reply,
        is_repeatable=not is_unrepeatable,
        p99_s=straggler.read_quantile(here.latencies[job.service.name], 0.99),
        max_idle_s=MAX_IDLE_UNREPEATABLE_S if is_unrepeatable else None,
        correlate=functools.partial(_correlate, job.call.request_id.encode()),
    )


def _correlate(request_id: bytes, headers: exchange.Headers) -> correlation.Correlation:
    """Return whether a reply names the request; a target need not name any."""
    found = wire.find_header(headers, front.REQUEST_ID_HEADER)
    if found is None:
        return correlation.Correlation.UNNAMED
    return (
        correlation.Correlation.MATCH if found == request_id else correlation.Correlation.MISMATCH
    )


def list_extra(call: exchange.Call, now_s: float) -> exchange.Headers:
    """Return the headers that are added to a request at each hop.

    :param call: the request.
    :param now_s: the time in seconds.
    """
    remaining = deadline.format_remaining(call.deadline_at_s, now=now_s) or "1"
    return [
        (front.REQUEST_ID_HEADER, call.request_id.encode()),
        (front.DEADLINE_HEADER, remaining.encode()),
    ]


def issue(here: site.Site, job: Job, tokens: token_memory.Memory) -> bytes:
    """Return a fresh one-time token for the key of a request.

    :param here: the node's state.
    :param job: the request.
    :param tokens: the memory of its shard.
    """
    text = token.issue(
        tokens,
        key=_find_key(job),
        now=here.now(),
        random_bytes=here.random.randbytes(token.NONCE_BYTES),
    )
    return text.encode()


async def _check_token(
    here: site.Site, job: Job, tokens: token_memory.Memory
) -> exchange.Completion | None:
    """Return the refusal of a request, or ``None`` if its token is fresh.

    A resend that arrives while the first request is running waits for its outcome.
    """
    if job.call.token is None:
        headers = [(front.TOKEN_HEADER, issue(here, job, tokens))]
        return exchange.Completion(
            result=outcome.refuse(outcome.Reason.TOKEN_REQUIRED), headers=headers
        )
    while True:
        changed = here.changed
        found = token.check(tokens, job.call.token, key=_find_key(job), now=here.now())
        if found.standing is token.Standing.FRESH:
            return None
        if found.standing is not token.Standing.IN_PROGRESS:
            return _refuse_token(here, job, tokens, found)
        with trio.move_on_after(max(job.call.deadline_at_s - here.now(), 0)) as scope:
            await changed.wait()
        if scope.cancelled_caught:
            return exchange.Completion(result=outcome.unknown(outcome.Reason.DEADLINE))


def _refuse_token(
    here: site.Site, job: Job, tokens: token_memory.Memory, found: token.Finding
) -> exchange.Completion:
    """Return the refusal for a token that is not fresh, with a fresh token for the caller."""
    headers = [(front.TOKEN_HEADER, issue(here, job, tokens))]
    if found.used is not None:
        return exchange.Completion(result=found.used, headers=headers)
    refusal = token.REFUSALS.get(found.standing, outcome.unknown(outcome.Reason.TOKEN_USED))
    return exchange.Completion(result=refusal, headers=headers)


async def _admit(here: site.Site, call: exchange.Call) -> limit.Decision:
    """Wait for admission within the deadline."""
    admitted = limit.admit(here.admission, now=here.now(), deadline=call.deadline_at_s)
    if admitted.admission is not limit.Admission.WAIT or admitted.ticket is None:
        return admitted
    event = here.admission_events[admitted.ticket] = trio.Event()
    is_woken = False
    try:
        with trio.move_on_after(max(call.deadline_at_s - here.now(), 0)):
            await event.wait()
            is_woken = admitted.ticket in here.admission.running
    finally:
        here.admission_events.pop(admitted.ticket, None)
        if not is_woken:
            _cancel_admission(here, admitted.ticket)
    if is_woken:
        return limit.Decision(admission=limit.Admission.RUN, ticket=admitted.ticket)
    return limit.Decision(admission=limit.Admission.REFUSE, cause=limit.Cause.DEADLINE)


def _cancel_admission(here: site.Site, ticket: limit.Ticket) -> None:
    """Withdraw a request from the queue, or release it if it was admitted meanwhile."""
    if ticket in here.admission.running:
        _end_admission(here, ticket, 0.0, limit.Reply.ABANDONED)
    else:
        limit.withdraw(here.admission, ticket)


def _end_admission(
    here: site.Site, ticket: limit.Ticket, latency_s: float, reply: limit.Reply
) -> None:
    """Release an admitted request, and wake the requests that may run next."""
    if ticket not in here.admission.running:
        # The target was replaced since, which reset admission.
        return
    woken = limit.release(here.admission, ticket, now=here.now(), latency_s=latency_s, reply=reply)
    site.wake_admitted(here, woken)


def _refuse_admission(refused: limit.Decision) -> exchange.Completion:
    reason = ADMISSION_REASONS.get(refused.cause, outcome.Reason.QUEUE_FULL)
    seconds = max(1, round(refused.retry_after_s))
    headers = [(b"retry-after", str(seconds).encode())]
    return exchange.Completion(result=outcome.refuse(reason), headers=headers)


def _conclude(attempt_result: attempts.AttemptResult) -> exchange.Completion:
    """Return the completion of a request at the local target."""
    if not attempt_result.is_ended:
        return _conclude_cancelled(attempt_result)
    attempt = attempt_result.attempt
    if attempt.step is not dispatch.Step.WITHHELD:
        return attempts.conclude(attempt_result)
    if not _is_refused_by_target(attempt):
        # The reply may be an earlier refusal, or a hedge was answered first.
        return exchange.Completion(
            result=outcome.unknown(outcome.Reason.CONNECTION_LOST),
            is_body_open=attempt.is_body_open,
        )
    reported = wire.find_header(attempt.headers, front.REASON_HEADER) or b""
    reason = TARGET_REASONS.get(reported, outcome.Reason.TARGET_SHED)
    return exchange.Completion(result=outcome.refuse(reason), is_body_open=attempt.is_body_open)


def _conclude_cancelled(attempt_result: attempts.AttemptResult) -> exchange.Completion:
    """Return the completion of a request that was cancelled because the node lost its lease."""
    attempt = attempt_result.attempt
    reason = outcome.Reason.LEASE_LAPSED
    return exchange.Completion(
        result=outcome.unknown(reason) if attempt.is_sent else outcome.refuse(reason),
        is_answered=attempt.is_reply_begun,
        is_body_open=attempt.is_body_open,
    )


def _record_unconfirmed(here: site.Site, job: Job, attempt_result: attempts.AttemptResult) -> None:
    """Keep the shard for as long as the target may still run a request that was abandoned."""
    attempt = attempt_result.attempt
    if not attempt.is_sent or (attempt.head_at_s is not None and not _is_untrusted(attempt)):
        return
    site.record_possible_run(here, job.shard, _find_run_end(here, job))


def _find_run_end(here: site.Site, job: Job) -> float:
    """Return the time in seconds after which the target can no longer run a request."""
    until_s = job.call.deadline_at_s
    if job.service.checks_fence:
        until_s = min(until_s, here.sent_grant_end_s)
    return until_s


def _find_recorded_outcome(
    attempt_result: attempts.AttemptResult, completion: exchange.Completion
) -> outcome.Outcome:
    """Return the outcome to report to a resend; a reply counts even if its caller has left."""
    attempt = attempt_result.attempt
    if not attempt.is_sent or _is_refused_by_target(attempt):
        return outcome.refuse(completion.result.reason)
    if attempt.head_at_s is not None and not _is_untrusted(attempt):
        return outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=attempt.status)
    return outcome.unknown(completion.result.reason)


def _is_refusal(headers: exchange.Headers) -> bool:
    """Return whether a reply of the target says that a request did not run."""
    return wire.find_header(headers, front.OUTCOME_HEADER) == b"not-run"


def _is_refused_by_target(attempt: dispatch.Attempt) -> bool:
    """Return whether the target itself reported that it did not run this request."""
    return _is_refusal(attempt.headers) and attempts.is_reply_to_last(attempt)


def _is_untrusted(attempt: dispatch.Attempt) -> bool:
    """Return whether the reply is a refusal that may belong to an earlier request."""
    return _is_refusal(attempt.headers) and not attempts.is_reply_to_last(attempt)


def _record_result(
    here: site.Site,
    job: Job,
    attempt_result: attempts.AttemptResult,
    ticket: limit.Ticket,
    started_s: float,
) -> None:
    """Update admission, the target's state, latencies and load with the result."""
    now_s = here.now()
    attempt = attempt_result.attempt
    head_s = now_s if attempt.head_at_s is None else attempt.head_at_s
    latency_s = head_s - started_s
    reply = _classify(attempt_result)
    _end_admission(here, ticket, latency_s, reply)
    if attempt.head_at_s is not None:
        target.record_reply(here.target, now_s)
    if reply in (limit.Reply.OK, limit.Reply.TIMED_OUT):
        service_latencies = here.latencies[job.service.name]
        straggler.record(
            service_latencies, here.node, latency_s, is_complete=reply is limit.Reply.OK
        )
        if job.service.is_keyed:
            accounting.record(here.account, job.shard, job.call.key, latency_s, now_s)
    if reply is limit.Reply.TIMED_OUT and target.record_miss(here.target, now_s):
        _mark_target_down(here)
    if attempt_result.failure is pool.PoolFailure.REFUSED and target.record_refusal(
        here.target, now_s
    ):
        _mark_target_down(here)


def _classify(attempt_result: attempts.AttemptResult) -> limit.Reply:
    """Return what an attempt tells the concurrency limit."""
    attempt = attempt_result.attempt
    if _is_refused_by_target(attempt):
        reported = wire.find_header(attempt.headers, front.REASON_HEADER)
        # A stale fencing token is not a sign of load.
        return limit.Reply.ABANDONED if reported == b"stale-fence" else limit.Reply.SHED
    if _is_untrusted(attempt):
        return limit.Reply.FAILED
    if attempt.head_at_s is not None:
        return limit.Reply.OK
    if attempt_result.is_timed_out and attempt.is_sent:
        return limit.Reply.TIMED_OUT
    if (
        not attempt_result.is_ended
        or not attempt.is_sent
        or attempt.step
        in (
            dispatch.Step.CALLER_GONE,
            dispatch.Step.BODY_BROKEN,
        )
    ):
        return limit.Reply.ABANDONED
    return limit.Reply.FAILED


def _is_connection_lost(attempt_result: attempts.AttemptResult) -> bool:
    """Return whether the target broke the connection before its reply was complete."""
    attempt = attempt_result.attempt
    is_broken = attempt.step in (
        dispatch.Step.LOST_BEFORE_REPLY,
        dispatch.Step.SEND_FAILED,
        dispatch.Step.LOST_IN_REPLY,
    )
    return (
        attempt_result.is_ended
        and attempt.is_sent
        and is_broken
        and not (attempt_result.is_timed_out or attempt_result.abort_reason)
    )


async def _check_crash(
    here: site.Site,
    job: Job,
    address: identity.Address,
    fingerprint: identity.Fingerprint,
) -> None:
    """Check whether the target crashed while running a request whose connection broke."""
    site.record_lost_request(here, fingerprint, here.now())
    opened = await pool.open_new(job.connections, address)
    if opened.value_or(None) is not None:
        await pool.discard(job.connections, address, opened.unwrap())
        return
    # On the same VM a refused connection proves a crash; whatever the reason, nothing can be sent
    # there now.
    count = site.record_crash(here, here.now())
    decision.record(
        log,
        logging.WARNING,
        "target-crashed",
        target=address,
        quarantined=count,
        reason="connection broke and a new one is refused",
    )
    target.record_refusal(here.target, here.now())
    _mark_target_down(here)


def _mark_target_down(here: site.Site) -> None:
    """Pause admission until the target is up again."""
    decision.record(
        log, logging.WARNING, "target-down", target=here.target.address, reason=here.target.reason
    )
    limit.pause(here.admission)
    site.notify(here)


def _compute_fingerprint(job: Job) -> identity.Fingerprint:
    call = job.call
    return fingerprints.compute_fingerprint(
        service=call.service,
        key=call.key,
        method=call.method,
        path=call.path,
        length=call.length,
        head=call.prefix,
    )


def _find_key(job: Job) -> identity.KeyId | None:
    return job.call.key if job.service.is_keyed else None
