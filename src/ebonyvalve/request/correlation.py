"""Decides whether a reply on a reused connection belongs to the last request sent on it."""

import enum


class Correlation(enum.Enum):
    """Whether a reply names the request that was sent: it, another one, or none."""

    MATCH = "own"
    MISMATCH = "other"
    UNNAMED = "none"


def is_reply_to_last(correlation: Correlation, *, is_first: bool) -> bool:
    """Return whether a reply can only belong to the last request sent on its connection.

    The other end may send an earlier reply twice. A duplicate that names its request is recognised,
    because no request is sent again on a connection on which it was refused. A reply that names no
    request may belong to any earlier request on its connection.

    :param correlation: which request the reply names.
    :param is_first: whether it is the first reply on its connection.
    """
    return correlation is Correlation.MATCH or (correlation is Correlation.UNNAMED and is_first)
