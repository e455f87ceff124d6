"""Estimates how long answers wait for the node's network link.

The kernel accepts an answer long before a narrow link has carried it, so that neither the duration
of a write nor the target's slots show how much is queued.
"""

import dataclasses

# Pings and the calls that running requests depend on share the queue with large answers. Their
# time limits begin at a few tenths of a second.
MAX_BACKLOG_S = 0.2
# Answers that occupy the link for less than this don't wait for it.
LARGE_TRANSFER_S = 0.02


@dataclasses.dataclass(kw_only=True)
class Link:
    """The link and its queue.

    ``rate`` is in bytes per second, 0 if unknown. ``clear_at`` is when everything sent so far will
    have been carried, in seconds on the node's clock.
    """

    rate: float = 0.0
    clear_at: float = float("-inf")


def record_sent(link: Link, size: float, now: float) -> None:
    """Record that an answer was sent over the link.

    :param link: the state.
    :param size: bytes of the answer.
    :param now: seconds on the node's clock.
    """
    link.clear_at = max(link.clear_at, now) + expect_transfer(link, size)


def expect_transfer(link: Link, size: float) -> float:
    """Return how many seconds an answer occupies the link.

    :param link: the state.
    :param size: bytes of the answer.
    """
    return size / link.rate if link.rate > 0 else 0.0


def predict_backlog(
    link: Link, pending_bytes: float, now: float, *, ready_in_s: float = 0.0
) -> float:
    """Return how many seconds of answers wait for the link when a further answer is ready.

    The link carries the answers ahead of it while the target prepares it. Those that are still in
    preparation are halfway on average, so that the link carries them in the other half.

    :param link: the state.
    :param pending_bytes: bytes of the answers ahead that targets are still preparing.
    :param now: seconds on the node's clock.
    :param ready_in_s: how many seconds the target takes to prepare the further answer.
    """
    ahead_s = max(0.0, link.clear_at - now) + expect_transfer(link, pending_bytes)
    return max(0.0, ahead_s - ready_in_s / 2)


def is_large(link: Link, size: float) -> bool:
    """Return whether an answer is so large that it has to wait for room on the link.

    :param link: the state.
    :param size: bytes of the answer.
    """
    return expect_transfer(link, size) >= LARGE_TRANSFER_S


def has_room(link: Link, pending_bytes: float, now: float, *, ready_in_s: float) -> bool:
    """Return whether a request with a large answer may start now.

    :param link: the state.
    :param pending_bytes: bytes of the answers that targets are still preparing.
    :param now: seconds on the node's clock.
    :param ready_in_s: how many seconds the target takes to prepare the answer.
    """
    return predict_backlog(link, pending_bytes, now, ready_in_s=ready_in_s) <= MAX_BACKLOG_S
