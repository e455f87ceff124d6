"""Rules for retries and hedged requests."""

import enum

from ebonyvalve.process import budget
from ebonyvalve.request import outcome

MAX_ATTEMPTS = 3
BACKOFF_S = 0.005

# Reasons after which another attempt may succeed. The others would recur at every node.
TRANSIENT = frozenset(
    {
        outcome.Reason.NO_CONFIGURATION,
        outcome.Reason.NO_TARGET,
        outcome.Reason.LEASE_LAPSED,
        outcome.Reason.QUEUE_FULL,
        outcome.Reason.TARGET_SHED,
        outcome.Reason.TOKEN_MEMORY_FULL,
        outcome.Reason.CONNECT_FAILED,
        outcome.Reason.CONNECTION_LOST,
        outcome.Reason.BODY_BROKEN,
        outcome.Reason.STALE_FENCE,
        outcome.Reason.STOPPING,
        outcome.Reason.DRAINED,
    }
)
# Reasons that show that the target or its node is overloaded. The same target gets no retry.
OVERLOAD = frozenset(
    {
        outcome.Reason.QUEUE_FULL,
        outcome.Reason.TARGET_SHED,
        outcome.Reason.TOKEN_MEMORY_FULL,
    }
)


class Retry(enum.Enum):
    """Whether a request gets another attempt, or why it does not."""

    RETRY = "retry"
    ANSWERED = "answered"
    MAY_HAVE_RUN = "may-have-run"
    NOT_TRANSIENT = "not-transient"
    NO_OTHER_TARGET = "no-other-target"
    BODY_GONE = "body-gone"
    REPLY_STARTED = "reply-started"
    TOO_MANY = "too-many"
    DEADLINE = "deadline"
    NO_BUDGET = "no-budget"


def decide(
    result: outcome.Outcome,
    *,
    is_idempotent: bool,
    is_body_held: bool,
    is_reply_started: bool,
    has_other_target: bool,
    attempts: int,
    remaining_s: float,
    bucket: budget.Budget,
) -> Retry:
    """Decide whether a request is retried; ``RETRY`` takes one attempt from the budget.

    :param result: the outcome of the last attempt.
    :param is_idempotent: whether the service lists the method as idempotent.
    :param is_body_held: whether the whole body can be sent again.
    :param is_reply_started: whether the caller has received any byte of a reply.
    :param has_other_target: whether an untried target can run the request.
    :param attempts: attempts made, at least 1.
    :param remaining_s: seconds until the deadline.
    :param bucket: the node's retry budget.
    """
    if result.verdict is outcome.Verdict.ANSWERED:
        return Retry.ANSWERED
    if is_reply_started:
        return Retry.REPLY_STARTED
    if result.verdict is outcome.Verdict.UNKNOWN and not is_idempotent:
        return Retry.MAY_HAVE_RUN
    if result.reason not in TRANSIENT:
        return Retry.NOT_TRANSIENT
    if result.reason in OVERLOAD and not has_other_target:
        return Retry.NO_OTHER_TARGET
    if not is_body_held:
        return Retry.BODY_GONE
    if attempts >= MAX_ATTEMPTS:
        return Retry.TOO_MANY
    if remaining_s <= BACKOFF_S * 2 ** (attempts - 1):
        return Retry.DEADLINE
    if not budget.spend(bucket):
        return Retry.NO_BUDGET
    return Retry.RETRY


def delay(attempts: int, draw: float, *, has_other_target: bool) -> float:
    """Return the seconds to wait before the next attempt.

    Another target is tried at once. The same one is tried after a random delay, so that requests
    that failed at the same time are not retried at the same time.

    :param attempts: attempts made, at least 1.
    :param draw: a random number from 0 to 1.
    :param has_other_target: whether the next attempt goes to another target.
    """
    return 0.0 if has_other_target else BACKOFF_S * 2 ** (attempts - 1) * draw


def hedge_after(
    *,
    is_keyed: bool,
    is_idempotent: bool,
    is_body_held: bool,
    has_other_target: bool,
    p95_s: float | None,
    remaining_s: float,
) -> float | None:
    """Return after how many seconds without a reply a second attempt starts, or ``None`` for never.

    After that time, ``budget.spend`` on the hedge budget decides whether it starts.

    :param is_keyed: whether the service has keys; a key has one owner, so it cannot be hedged.
    :param is_idempotent: whether the service lists the method as idempotent.
    :param is_body_held: whether the whole body can be sent again.
    :param has_other_target: whether another target can run the request.
    :param p95_s: 95th percentile of the service's latency, or ``None`` if it is not known.
    :param remaining_s: seconds until the deadline.
    """
    if is_keyed or not (is_idempotent and is_body_held and has_other_target):
        return None
    return None if p95_s is None or p95_s >= remaining_s else p95_s
