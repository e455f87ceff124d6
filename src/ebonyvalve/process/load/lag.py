"""The lag of the event loop, and whether it leaves enough time for new requests.

All requests in progress share the processor. Without a limit, a node that is short of processor
time would work on all of them and finish hardly any before their deadlines.
"""

import dataclasses

# A request passes through the event loop about this many times, a wake-up once.
PASSES_PER_REQUEST = 8.0
# If a request needs more than this share of its time in the node alone, too little is left for its
# target.
MAX_SHARE = 0.5
# The weight of a new value in the moving average.
SMOOTHING = 0.3
# In a process with enough processor time, wake-ups are only a few milliseconds late.
LAGGING_S = 0.02
# A process that was suspended is late by seconds once and then works normally again.
MAX_LATE_S = 1.0


@dataclasses.dataclass(kw_only=True)
class LoopLag:
    """How many seconds wake-ups are late, smoothed over the last few."""

    late_s: float = 0.0


def record_wake_up(loop_lag: LoopLag, late_s: float) -> None:
    """Record a periodic wake-up.

    :param loop_lag: the state.
    :param late_s: seconds from when it was due to when it happened.
    """
    loop_lag.late_s += SMOOTHING * (min(MAX_LATE_S, max(0.0, late_s)) - loop_lag.late_s)


def is_lagging(loop_lag: LoopLag) -> bool:
    """Return whether the loop lags, so that requests may have waited long before they were read.

    :param loop_lag: the state.
    """
    return loop_lag.late_s > LAGGING_S


def expect_delay(loop_lag: LoopLag) -> float:
    """Return how many seconds a request is expected to wait for this process until it is answered.

    :param loop_lag: the state.
    """
    return PASSES_PER_REQUEST * loop_lag.late_s


def can_serve(loop_lag: LoopLag, remaining_s: float) -> bool:
    """Return whether this process is fast enough to answer a request in time.

    :param loop_lag: the state.
    :param remaining_s: seconds until the request's deadline.
    """
    return expect_delay(loop_lag) <= MAX_SHARE * remaining_s
