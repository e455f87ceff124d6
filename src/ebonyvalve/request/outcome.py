"""Defines the outcome of a request: verdict, reason and HTTP status."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Whether a request ran, as far as the router knows."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was not answered."""

    NONE = "none"
    BAD_REQUEST = "bad-request"
    NO_SUCH_SERVICE = "no-such-service"
    NO_CONFIGURATION = "no-configuration"
    # The route needs the key of a client account.
    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"
    # The client account has no allowance left.
    OVER_QUOTA = "over-quota"
    NO_OWNER = "no-owner"
    NO_TARGET = "no-target"
    LEASE_LAPSED = "lease-lapsed"
    MOVED = "moved"
    QUEUE_FULL = "queue-full"
    TARGET_SHED = "target-shed"
    # The bodies at the target already take the memory that it may use.
    BODY_MEMORY = "body-memory"
    DEADLINE = "deadline"
    TOKEN_REQUIRED = "token-required"
    TOKEN_EPOCH_LOST = "token-epoch-lost"
    TOKEN_USED = "token-used"
    TOKEN_EXPIRED = "token-expired"
    TOKEN_MEMORY_FULL = "token-memory-full"
    QUARANTINED = "quarantined"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    BODY_BROKEN = "body-broken"
    STALE_FENCE = "stale-fence"
    CALLER_GONE = "caller-gone"
    STOPPING = "stopping"
    DRAINED = "drained"
    # The request would call services that refuse such calls now.
    CALLS_REFUSED = "calls-refused"
    # The node is so short of processor time that the reply would come too late.
    BEHIND = "behind"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """The verdict on a request, the reason, and the HTTP status code of the reply."""

    verdict: Verdict
    reason: Reason = Reason.NONE
    status: int = 0


STATUS_OF = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_SUCH_SERVICE: 404,
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_KEY: 401,
    Reason.OVER_QUOTA: 429,
    Reason.TOKEN_REQUIRED: 428,
    Reason.TOKEN_EPOCH_LOST: 409,
    Reason.TOKEN_USED: 409,
    Reason.TOKEN_EXPIRED: 409,
    Reason.QUARANTINED: 403,
    Reason.DEADLINE: 504,
    Reason.CONNECTION_LOST: 502,
    Reason.BODY_BROKEN: 502,
    Reason.MOVED: 409,
}
DEFAULT_STATUS = 503


def refuse(reason: Reason) -> Outcome:
    """Return the outcome of a request that did not run.

    :param reason: why it was refused.
    """
    return Outcome(
        verdict=Verdict.NOT_RUN, reason=reason, status=STATUS_OF.get(reason, DEFAULT_STATUS)
    )


def unknown(reason: Reason) -> Outcome:
    """Return the outcome of a request that may have run.

    :param reason: why no complete reply came.
    """
    return Outcome(
        verdict=Verdict.UNKNOWN, reason=reason, status=STATUS_OF.get(reason, DEFAULT_STATUS)
    )
