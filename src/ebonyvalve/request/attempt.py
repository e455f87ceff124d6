"""Makes one attempt at a request: takes a connection, applies the deadline, reports the result."""

import collections.abc
import dataclasses
import logging

from returns import result
import trio

from ebonyvalve.connection import pool
from ebonyvalve.process import decision, identity
from ebonyvalve.request import correlation, dispatch, exchange, outcome

log = logging.getLogger(__name__)

# 99th percentile of the reply times of targets that work for 100 to 200 ms and have queues. The
# kernel's keep-alive probes detect silent connections sooner than a missing reply does.
TYPICAL_P99_S = 0.75


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptContext:
    """The destination of an attempt and how its request and reply are handled.

    ``extra_headers`` are added to the request, ``filter_reply`` decides whether the reply is passed
    on, and ``correlate`` says which request a reply names. ``is_repeatable`` says whether the
    request may be sent again; one that may not is never aborted for silence. ``p99_s`` is the 99th
    percentile of reply times. ``max_idle_s`` bounds the idle time of a reused connection; see
    :func:`pool.acquire`. With ``awaits_continue`` the rest of a body is sent only after a
    "100 Continue". ``claim_repeat`` returns whether another attempt follows if this one is aborted,
    and charges it; see :class:`pool.PooledConnection`.
    """

    pool: pool.Pool
    address: identity.Address
    extra_headers: exchange.Headers
    filter_reply: dispatch.FilterReply
    is_repeatable: bool
    p99_s: float | None = None
    max_idle_s: float | None = None
    awaits_continue: bool = False
    correlate: dispatch.Correlate | None = None
    claim_repeat: collections.abc.Callable[[], bool] | None = None


@dataclasses.dataclass(kw_only=True)
class AttemptResult:
    """An attempt and why it may have ended early.

    ``is_ended`` stays false when the attempt was cancelled from outside. ``failure`` says why no
    connection was available, ``is_timed_out`` that the deadline passed, and ``abort_reason`` why
    the node aborted the connection, if it did.
    """

    attempt: dispatch.Attempt = dataclasses.field(default_factory=dispatch.Attempt)
    is_ended: bool = False
    failure: pool.PoolFailure | None = None
    is_timed_out: bool = False
    abort_reason: pool.AbortReason | None = None


async def run(
    context: AttemptContext,
    call: exchange.Call,
    caller: exchange.Caller,
    now: collections.abc.Callable[[], float],
    attempt_result: AttemptResult,
) -> None:
    """Make one attempt within the request's deadline, unless the caller has already left.

    The result is updated as the attempt proceeds, so that its progress is known when it is
    cancelled.

    :param context: the destination.
    :param call: the request.
    :param caller: the caller's end.
    :param now: returns the node's clock in seconds.
    :param attempt_result: receives the result.
    """
    try:
        await _run_once(context, call, caller, now, attempt_result)
    finally:
        _record(context, call, attempt_result, now())


async def _run_once(
    context: AttemptContext,
    call: exchange.Call,
    caller: exchange.Caller,
    now: collections.abc.Callable[[], float],
    attempt_result: AttemptResult,
) -> None:
    """Take a connection, send the request on it, and keep or close the connection afterwards."""
    with trio.move_on_after(max(call.deadline_at_s - now(), 0)) as scope:
        acquired = await pool.acquire(
            context.pool,
            context.address,
            p99_s=context.p99_s,
            max_idle_s=context.max_idle_s,
            request_id=call.request_id,
        )
        if isinstance(acquired, result.Failure):
            attempt_result.failure = acquired.failure()
            attempt_result.is_ended = True
            return
        connection = acquired.unwrap()
        pool.begin_request(
            connection,
            is_repeatable=context.is_repeatable,
            claim_repeat=context.claim_repeat or pool.permit_repeat,
            is_reply_begun=caller.is_reply_begun,
        )
        # Nothing is awaited between this check and the first byte sent. The task that watches the
        # caller may not have run yet, after a freeze of the process or a wait for a connection.
        if caller.is_gone():
            attempt_result.attempt.step = dispatch.Step.CALLER_GONE
            attempt_result.is_ended = True
            pool.release_unused(context.pool, connection)
            return
        call.may_have_run = True
        try:
            with connection.scope:
                await dispatch.run(
                    connection,
                    call,
                    caller,
                    extra_headers=context.extra_headers,
                    filter_reply=context.filter_reply,
                    attempt=attempt_result.attempt,
                    now=now,
                    awaits_continue=context.awaits_continue,
                    correlate=context.correlate,
                )
        finally:
            attempt_result.abort_reason = connection.abort_reason
            await pool.release(context.pool, context.address, connection)
    attempt_result.is_timed_out = scope.cancelled_caught
    attempt_result.is_ended = True


def _record(
    context: AttemptContext, call: exchange.Call, attempt_result: AttemptResult, now: float
) -> None:
    """Log an attempt without a complete reply, with its progress and what ended it."""
    attempt = attempt_result.attempt
    if attempt.step in (dispatch.Step.RELAYED, dispatch.Step.WITHHELD):
        return
    head_at = attempt.head_at_s
    decision.record(
        log,
        logging.WARNING if attempt.is_sent else logging.INFO,
        "attempt",
        id=call.request_id,
        address=context.address,
        step=attempt.step,
        ended_by=_find_end_cause(attempt_result),
        sent=attempt.is_sent,
        since_head_ms=None if head_at is None else int((now - head_at) * 1000),
        body_bytes=attempt.body_bytes,
        left_ms=int((call.deadline_at_s - now) * 1000),
    )


def _find_end_cause(attempt_result: AttemptResult) -> str:
    """Return the logged cause: this node, its caller, or the other end of the connection."""
    if attempt_result.failure is not None:
        return attempt_result.failure.value
    if attempt_result.abort_reason is not None:
        return attempt_result.abort_reason.value
    if attempt_result.is_timed_out:
        return "deadline"
    if not attempt_result.is_ended:
        return "cancelled"
    return "caller" if attempt_result.attempt.step is dispatch.Step.CALLER_GONE else "other-end"


def suggests_peer_loss(attempt_result: AttemptResult) -> bool:
    """Return whether an attempt suggests that the other end is lost.

    The head of a reply shows that the other end is alive, whatever interrupts the body later.

    :param attempt_result: the attempt.
    """
    is_broken = attempt_result.attempt.step in (
        dispatch.Step.SEND_FAILED,
        dispatch.Step.LOST_BEFORE_REPLY,
    )
    if attempt_result.failure is not None:
        return attempt_result.failure is not pool.PoolFailure.EXHAUSTED
    return is_broken and not attempt_result.is_timed_out


def is_reply_to_last(finished: dispatch.Attempt) -> bool:
    """Return whether the reply to an attempt can only belong to its request.

    :param finished: an attempt whose reply has a head.
    """
    return correlation.is_reply_to_last(finished.reply_correlation, is_first=finished.is_first)


def record_untrusted(call: exchange.Call, finished: dispatch.Attempt) -> None:
    """Log a reply that cannot be shown to be the target's own reply to this request.

    :param call: the request.
    :param finished: its attempt.
    """
    decision.record(
        log,
        logging.INFO,
        "answer-spoiled",
        id=call.request_id,
        status=finished.status,
        names=finished.reply_correlation,
        first=finished.is_first,
    )


def conclude(attempt_result: AttemptResult) -> exchange.Completion:
    """Return the completion that follows from an attempt whose reply was not withheld.

    The verdict is "not run" only when no byte was sent. Callers handle the other case, in which
    the other end itself reports that the request did not run.

    :param attempt_result: the attempt.
    """
    attempt = attempt_result.attempt
    if attempt.step is dispatch.Step.RELAYED:
        answered = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=attempt.status)
        return exchange.Completion(result=answered, is_answered=True)
    if not attempt.is_sent:
        return exchange.Completion(result=outcome.refuse(_find_unsent_reason(attempt_result)))
    return exchange.Completion(
        result=outcome.unknown(_find_unknown_reason(attempt_result)),
        is_answered=attempt.is_reply_begun,
        is_body_open=attempt.is_body_open,
    )


def _find_unsent_reason(attempt_result: AttemptResult) -> outcome.Reason:
    """Return why no byte of a request was sent."""
    if attempt_result.attempt.step is dispatch.Step.CALLER_GONE:
        return outcome.Reason.CALLER_GONE
    return outcome.Reason.DEADLINE if attempt_result.is_timed_out else outcome.Reason.CONNECT_FAILED


def _find_unknown_reason(attempt_result: AttemptResult) -> outcome.Reason:
    """Return why the outcome of a request that was sent is unknown."""
    if attempt_result.is_timed_out:
        return outcome.Reason.DEADLINE
    if attempt_result.attempt.step is dispatch.Step.BODY_BROKEN:
        return outcome.Reason.BODY_BROKEN
    if attempt_result.attempt.step is dispatch.Step.CALLER_GONE:
        return outcome.Reason.CALLER_GONE
    return outcome.Reason.CONNECTION_LOST
