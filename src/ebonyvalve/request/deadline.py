"""Deadlines of requests: parsing, the remaining time for the next hop, and the minimum to start."""

import re

from returns import result

from ebonyvalve.request import outcome

# Connecting to a target or node takes about 1 ms, and so does a reply between zones.
MIN_REMAINING_S = 0.002
# Subtracted at each hop, so that the node that runs a request times out before the node that waits
# for it.
HOP_MARGIN_S = 0.002
_NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)


def parse(text: str | None, *, limit_ms: int, now: float) -> result.Result[float, outcome.Reason]:
    """Return the time at which a request's deadline passes, in seconds on the node's clock.

    :param text: value of ``Ebonyvalve-Deadline-Ms``, or ``None`` if the header is absent.
    :param limit_ms: the service's ``deadline_ms``; recovery after the loss of a node relies on no
        request running longer.
    :param now: seconds on the node's clock.
    :return: the time, or ``BAD_REQUEST`` if the value is not a whole number of milliseconds.
    """
    if text is None:
        return result.Success(now + limit_ms / 1000)
    if _NUMBER.fullmatch(text) is None:
        return result.Failure(outcome.Reason.BAD_REQUEST)
    return result.Success(now + min(int(text), limit_ms) / 1000)


def format_remaining(deadline: float, *, now: float) -> str | None:
    """Return the value of ``Ebonyvalve-Deadline-Ms`` for the next hop.

    :param deadline: seconds on the node's clock.
    :param now: seconds on the node's clock.
    :return: the remaining milliseconds less a margin, or ``None`` if no time remains for a hop.
    """
    remaining_ms = int((deadline - now - HOP_MARGIN_S) * 1000)
    return str(remaining_ms) if remaining_ms > 0 else None


def is_worth_starting(deadline: float, *, now: float, typical_s: float = 0.0) -> bool:
    """Return whether a request has enough time left to be run.

    :param deadline: seconds on the node's clock.
    :param now: seconds on the node's clock.
    :param typical_s: a latency that the target rarely beats, such as its median; 0 if unknown.
    """
    return deadline - now >= max(MIN_REMAINING_S, typical_s)
