"""One attempt: a connection, a deadline, and what became of them."""

import collections.abc
import dataclasses
import logging

from returns import result
import trio

from ebonyvalve.connection import pool
from ebonyvalve.process import decision, identity
from ebonyvalve.request import dispatch, exchange, outcome

log = logging.getLogger(__name__)

# Answers of targets that work for 100 to 200 ms and wait in queues; probes of the kernel find
# silent connections sooner than missing answers do.
SLOW_ANSWER_S = 0.75


@dataclasses.dataclass(frozen=True, kw_only=True)
class Way:
    """Where an attempt goes.

    ``max_idle_s`` bounds the age of a reused connection; see :func:`pool.acquire`.
    """

    pool: pool.Pool
    address: identity.Address
    extra: exchange.Headers
    relay: dispatch.Relay
    p99_s: float | None = None
    max_idle_s: float | None = None
    awaits_continue: bool = False
    identify: dispatch.Identify | None = None


@dataclasses.dataclass(kw_only=True)
class Result:
    """An attempt with the reasons for which it may have been cut short.

    ``is_ended`` stays false when the attempt was cancelled from outside. ``cut`` says why the node
    gave up its connection, if it did.
    """

    attempt: dispatch.Attempt = dataclasses.field(default_factory=dispatch.Attempt)
    is_ended: bool = False
    failure: pool.PoolFailure | None = None
    is_late: bool = False
    cut: pool.AbortReason | None = None


async def run(
    way: Way,
    call: exchange.Call,
    caller: exchange.Caller,
    now: collections.abc.Callable[[], float],
    ended: Result,
) -> None:
    """Make one attempt within the request's deadline, unless the caller has left before it.

    The result is filled in as the attempt goes, so that it is known how far it came when it is
    cancelled.

    :param way: where it goes.
    :param call: the request.
    :param caller: the caller's end.
    :param now: returns the time in seconds.
    :param ended: receives the result.
    """
    try:
        await _run_once(way, call, caller, now, ended)
    finally:
        _record(way, call, ended, now())


async def _run_once(
    way: Way,
    call: exchange.Call,
    caller: exchange.Caller,
    now: collections.abc.Callable[[], float],
    ended: Result,
) -> None:
    with trio.move_on_after(max(call.deadline_at_s - now(), 0)) as scope:
        acquired = await pool.acquire(
            way.pool,
            way.address,
            p99_s=way.p99_s,
            max_idle_s=way.max_idle_s,
            request_id=call.request_id,
        )
        if isinstance(acquired, result.Failure):
            ended.failure = acquired.failure()
            ended.is_ended = True
            return
        slot = acquired.unwrap()
        slot.is_repeatable = call.rules is None or call.rules.is_repeatable
        slot.has_response_head = False
        slot.abort_reason = None
        slot.is_reply_begun = caller.is_begun
        # The last moment: nothing is awaited before the first byte is sent. The watch may not have
        # had its turn, after a freeze or a wait for room.
        if caller.find_gone():
            ended.attempt.step = dispatch.Step.CALLER_GONE
            ended.is_ended = True
            pool.release_unused(way.pool, slot)
            return
        try:
            with slot.scope:
                await dispatch.run(
                    slot,
                    call,
                    caller,
                    extra=way.extra,
                    relay=way.relay,
                    attempt=ended.attempt,
                    now=now,
                    awaits_continue=way.awaits_continue,
                    identify=way.identify,
                )
        finally:
            ended.cut = slot.abort_reason
            # Most connections are kept, which needs no waiting and so no shield.
            if not pool.try_release(way.pool, slot):
                with trio.CancelScope(shield=True):
                    await pool.discard(way.pool, way.address, slot)
    ended.is_late = scope.cancelled_caught
    ended.is_ended = True


def _record(way: Way, call: exchange.Call, ended: Result, now: float) -> None:
    """Log an attempt that brought no whole answer, with what ended it and how far it had come."""
    attempt = ended.attempt
    if attempt.step in (dispatch.Step.RELAYED, dispatch.Step.WITHHELD):
        return
    head_at = attempt.head_at_s
    decision.record(
        log,
        logging.INFO,
        "attempt",
        id=call.request_id,
        address=way.address,
        step=attempt.step,
        ended_by=_find_end(ended),
        sent=attempt.is_sent,
        since_head_ms=None if head_at is None else int((now - head_at) * 1000),
        body_bytes=attempt.body_bytes,
        left_ms=int((call.deadline_at_s - now) * 1000),
    )


def _find_end(ended: Result) -> str:
    """Return what ended an attempt: this node, its caller, or the other end of the connection."""
    if ended.failure is not None:
        return ended.failure.value
    if ended.cut is not None:
        return ended.cut.value
    if ended.is_late:
        return "deadline"
    if not ended.is_ended:
        return "cancelled"
    return "caller" if ended.attempt.step is dispatch.Step.CALLER_GONE else "other-end"


def shows_loss(ended: Result) -> bool:
    """Return whether an attempt shows that the other end may be lost.

    An answer that begins shows that it is there, whatever breaks it off later.

    :param ended: the attempt.
    """
    is_broken = ended.attempt.step in (dispatch.Step.SEND_FAILED, dispatch.Step.LOST_BEFORE_REPLY)
    return ended.failure is not None or (is_broken and not ended.is_late)


def conclude(ended: Result) -> exchange.Ended:
    """Return what an attempt without a decided answer means for the request.

    "Not run" is said only when no byte was sent, or when the other end said so; the caller of this
    function handles the latter.

    :param ended: the attempt.
    """
    attempt = ended.attempt
    if attempt.step is dispatch.Step.RELAYED:
        answered = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=attempt.status)
        return exchange.Ended(result=answered, is_told=True)
    if not attempt.is_sent:
        return exchange.Ended(result=outcome.refuse(_find_unsent_reason(ended)))
    return exchange.Ended(
        result=outcome.doubt(_find_reason(ended)),
        is_told=attempt.is_reply_begun,
        is_body_open=attempt.is_body_open,
    )


def _find_unsent_reason(ended: Result) -> outcome.Reason:
    if ended.attempt.step is dispatch.Step.CALLER_GONE:
        return outcome.Reason.CALLER_GONE
    return outcome.Reason.DEADLINE if ended.is_late else outcome.Reason.CONNECT_FAILED


def _find_reason(ended: Result) -> outcome.Reason:
    if ended.is_late:
        return outcome.Reason.DEADLINE
    if ended.attempt.step is dispatch.Step.BODY_BROKEN:
        return outcome.Reason.BODY_BROKEN
    if ended.attempt.step is dispatch.Step.CALLER_GONE:
        return outcome.Reason.CALLER_GONE
    return outcome.Reason.CONNECTION_LOST
