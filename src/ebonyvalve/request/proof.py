"""Whether an answer on a kept connection belongs to the request that was sent last."""

import enum


class Naming(enum.Enum):
    """Which request an answer names."""

    OWN = "own"
    OTHER = "other"
    NONE = "none"


def is_proof(naming: Naming, *, is_clean: bool) -> bool:
    """Return whether a refusal shows that the request which was sent last has not run.

    The other end may write an earlier refusal once more. One that names its request is told apart,
    because no request is sent twice on a connection that has brought a refusal of it. One that
    names none can't be an earlier one where there was none.

    :param naming: which request it names.
    :param is_clean: whether its connection has brought neither a refusal nor an unasked answer.
    """
    return naming is Naming.OWN or (naming is Naming.NONE and is_clean)
