"""What the node's link to the network bears: how long answers that were passed on wait for it.

The kernel takes an answer long before a narrow link has carried it, so that neither the time that a
write takes nor the target's slots show how much waits.
"""

import dataclasses

# Calls that running requests depend on, and pings, share the queue with large answers. Their time
# budgets begin at a few tenths of a second.
MAX_BACKLOG_S = 0.2
# Answers that take the link for less than this don't wait for room on it.
LARGE_TRANSFER_S = 0.02


@dataclasses.dataclass(kw_only=True)
class Link:
    """The link with what was given to it. ``rate`` is in bytes a second, 0 if it is not known.

    ``clear_at`` is when it will have carried all of that, in seconds on the node's clock.
    """

    rate: float = 0.0
    clear_at: float = float("-inf")


def record_sent(link: Link, size: float, now: float) -> None:
    """Note that an answer was given to the link.

    :param link: the state.
    :param size: its bytes.
    :param now: seconds on the node's clock.
    """
    link.clear_at = max(link.clear_at, now) + expect_transfer(link, size)


def expect_transfer(link: Link, size: float) -> float:
    """Return for how many seconds an answer takes the link.

    :param link: the state.
    :param size: its bytes.
    """
    return size / link.rate if link.rate > 0 else 0.0


def predict_backlog(link: Link, promised: float, now: float) -> float:
    """Return how many seconds of answers wait for the link, or will when targets have made them.

    :param link: the state.
    :param promised: bytes of answers that are being made.
    :param now: seconds on the node's clock.
    """
    return max(0.0, link.clear_at - now) + expect_transfer(link, promised)


def is_large(link: Link, size: float) -> bool:
    """Return whether an answer has to wait until the link has room for it.

    :param link: the state.
    :param size: its bytes.
    """
    return expect_transfer(link, size) >= LARGE_TRANSFER_S


def has_room(link: Link, promised: float, now: float) -> bool:
    """Return whether a large answer may be asked for now.

    :param link: the state.
    :param promised: bytes of answers that are being made.
    :param now: seconds on the node's clock.
    """
    return predict_backlog(link, promised, now) <= MAX_BACKLOG_S
