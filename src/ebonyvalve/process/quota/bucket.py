"""The token bucket of one lender, which also counts the allowances on loan.

Level and loans together never exceed the capacity. A loan counts until the borrower reports that it
was spent, gives it back, or can't spend it any more. So in any window at most capacity + rate x
window requests are admitted, also if borrowers or messages are lost.
"""

import dataclasses
import math

from ebonyvalve.process import identity

# The level is a sum of fractions; without the tolerance, rounding could withhold a whole token.
ROUNDING = 1e-9


@dataclasses.dataclass(kw_only=True)
class Loan:
    """What one borrower may still spend, until ``expires_at``.

    ``sequence`` is the number of the borrower's last request for allowance.
    """

    count: int
    expires_at: float
    sequence: int


@dataclasses.dataclass(kw_only=True)
class Bucket:
    """A token bucket and its loans by borrower, in the order of their expiry.

    ``rate`` is in tokens per second. It is filled as of ``updated_at``. Times are seconds on the
    lender's clock.
    """

    rate: float
    capacity: float
    updated_at: float
    level: float = 0.0
    loaned: int = 0
    loans: dict[identity.NodeId, Loan] = dataclasses.field(default_factory=dict)


def refill(bucket: Bucket, now: float) -> None:
    """Add the tokens since the last update, and forget the loans that have expired since then.

    :param bucket: the bucket.
    :param now: seconds on the lender's clock.
    """
    while bucket.loans:
        borrower, loan = next(iter(bucket.loans.items()))
        if loan.expires_at > now:
            break
        # Until then, the loan has kept the bucket from being refilled above the capacity.
        _fill_until(bucket, loan.expires_at)
        del bucket.loans[borrower]
        bucket.loaned -= loan.count
    _fill_until(bucket, now)


def _fill_until(bucket: Bucket, until: float) -> None:
    elapsed_s = max(0.0, until - bucket.updated_at)
    room = max(0.0, bucket.capacity - bucket.loaned - bucket.level)
    bucket.level += min(room, bucket.rate * elapsed_s)
    bucket.updated_at = max(bucket.updated_at, until)


def set_limit(bucket: Bucket, *, rate: float, capacity: float, now: float) -> None:
    """Change rate and capacity. A loan that was made before stays valid until it expires.

    :param bucket: the bucket.
    :param rate: tokens per second.
    :param capacity: the most tokens that it may hold and have on loan.
    :param now: seconds on the lender's clock.
    """
    refill(bucket, now)
    bucket.rate, bucket.capacity = rate, capacity
    bucket.level = min(bucket.level, max(0.0, capacity - bucket.loaned))


def settle(
    bucket: Bucket,
    borrower: identity.NodeId,
    *,
    sequence: int,
    held: int,
    returned: int,
) -> bool:
    """Apply a borrower's report of what it has left of earlier loans.

    :param bucket: the bucket, refilled as of now.
    :param borrower: the borrower.
    :param sequence: the number of the borrower's request.
    :param held: what the borrower may still spend.
    :param returned: what it has not spent and will not spend any more.
    :return: whether the report is newer than the last one; an older one changes nothing.
    """
    loan = bucket.loans.get(borrower)
    if loan is None:
        return True
    if sequence <= loan.sequence:
        return False
    kept = min(loan.count, held)
    given_back = min(loan.count - kept, returned)
    bucket.loaned -= loan.count - kept
    bucket.level = min(bucket.level + given_back, max(0.0, bucket.capacity - bucket.loaned))
    loan.count, loan.sequence = kept, sequence
    return True


def lend(
    bucket: Bucket,
    borrower: identity.NodeId,
    *,
    sequence: int,
    urgent: int,
    wanted: int,
    expires_at: float,
) -> int:
    """Lend tokens to a borrower, and return how many.

    Requests that wait get what there is. What is wanted in advance gets half of the rest at most,
    so that other borrowers find some too.

    :param bucket: the bucket, refilled as of now and settled with the borrower.
    :param borrower: the borrower.
    :param sequence: the number of the borrower's request.
    :param urgent: requests that wait for a token.
    :param wanted: tokens that the borrower asks for, including the urgent ones.
    :param expires_at: when the borrower can't spend them any more.
    """
    available = math.floor(bucket.level + ROUNDING)
    count = min(available, urgent)
    count += min(max(0, wanted - count), (available - count) // 2)
    if count:
        earlier = bucket.loans.pop(borrower, None)
        kept = earlier.count if earlier is not None else 0
        # All tokens of a borrower expire with the newest ones, at the end of the order.
        bucket.loans[borrower] = Loan(count=kept + count, expires_at=expires_at, sequence=sequence)
        bucket.level = max(0.0, bucket.level - count)
        bucket.loaned += count
    return count
