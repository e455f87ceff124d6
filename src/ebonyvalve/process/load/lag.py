"""How far this process is behind with what is due, when its processor time runs short.

All requests in hand share the processor. Without a bound, a node that is short of it works on all
of them and finishes hardly any before their deadlines.
"""

import dataclasses

# A request passes through the loop about this many times as often as a wake-up does.
PASSES_PER_REQUEST = 8.0
# A request that would need more than this part of its time for the node alone has none to spare
# for its target.
MAX_SHARE = 0.5
SMOOTHING = 0.3
# Wake-ups of a process that has time come a few milliseconds late.
LAGGING_S = 0.02
# A process that was frozen is behind by seconds once, and at work again at once.
MAX_LATE_S = 1.0


@dataclasses.dataclass(kw_only=True)
class LoopLag:
    """By how many seconds wake-ups come late, smoothed over the last few."""

    late_s: float = 0.0


def record_wake_up(pace: LoopLag, late_s: float) -> None:
    """Note a periodic wake-up.

    :param pace: the state.
    :param late_s: seconds between when it was due and when it came.
    """
    pace.late_s += SMOOTHING * (min(MAX_LATE_S, max(0.0, late_s)) - pace.late_s)


def is_lagging(pace: LoopLag) -> bool:
    """Return whether requests may have waited for long before they were read.

    :param pace: the state.
    """
    return pace.late_s > LAGGING_S


def expect_delay(pace: LoopLag) -> float:
    """Return the seconds that a request waits for this process until its answer is sent.

    :param pace: the state.
    """
    return PASSES_PER_REQUEST * pace.late_s


def can_serve(pace: LoopLag, left_s: float) -> bool:
    """Return whether a request that comes now can be answered in time as far as this process goes.

    :param pace: the state.
    :param left_s: seconds until the request's deadline.
    """
    return expect_delay(pace) <= MAX_SHARE * left_s
