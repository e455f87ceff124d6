"""Whether an answer on a kept connection belongs to the request that was sent last."""

import enum


class Correlation(enum.Enum):
    """Which request an answer names."""

    MATCH = "own"
    MISMATCH = "other"
    UNNAMED = "none"


def is_reply_to_last(correlation: Correlation, *, is_first: bool) -> bool:
    """Return whether an answer can only be that to the request which was sent last.

    The other end may write an earlier answer once more. One that names its request is told apart,
    because no request is sent twice on a connection on which it was refused. One that names none
    may be that to any earlier request on its connection.

    :param naming: which request it names.
    :param is_first: whether it is the first answer on its connection.
    """
    return correlation is Correlation.MATCH or (correlation is Correlation.UNNAMED and is_first)
