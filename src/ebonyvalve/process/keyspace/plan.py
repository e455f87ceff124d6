"""What a node does next about the keys of its own service: one conditional write at a time."""

import collections.abc
import dataclasses

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import ledger

# A target that joins gets its part only if that is worth a move.
MIN_SHARE = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """What a node knows when it looks at the ledger.

    ``present`` is the lifetime of the node's own target, or nobody while it has none.
    ``is_lost`` says that a lifetime of this node's target can't hold keys any more.
    ``over`` are nodes whose leases have certainly ended, ``is_leaving`` whether the own target
    must give up its keys, and ``released`` what it has let go.
    """

    node: identity.NodeId
    own_lifetime: identity.Lifetime
    candidates: tuple[ledger.Candidate, ...]
    released: dict[int, str]
    expired_nodes: frozenset[identity.NodeId]
    is_leaving: bool
    is_leader: bool
    is_lost: collections.abc.Callable[[identity.Lifetime], bool]


def propose(book: ledger.Ledger, situation: Observation) -> ledger.Ledger:
    """Return the ledger that should be written; the same one if there is nothing to do.

    :param book: the committed ledger.
    :param situation: what the node knows.
    """
    names = {one.lifetime for one in situation.candidates if one.weight > 0}
    proposed = ledger.vacate(
        book,
        lambda span: (span.node == situation.node and situation.is_lost(_name(span.holder)))
        or span.node in situation.expired_nodes,
    )
    proposed = ledger.complete_moves(
        proposed,
        {
            span.first: situation.released[span.first]
            for span in proposed.spans
            if span.first in situation.released and span.successor in names
        },
    )
    proposed = ledger.cancel_moves(
        proposed,
        lambda span: span.successor not in names
        and (span.node == situation.node or situation.is_leader),
    )
    if situation.is_leaving:
        proposed = ledger.plan_exit(proposed, situation.own_lifetime, situation.candidates)
    is_written_anyway = proposed != book
    if situation.is_leader or is_written_anyway:
        proposed = ledger.assign_vacant(proposed, situation.candidates)
    if not situation.is_leaving:
        proposed = _share_with_newcomer(proposed, situation)
    return proposed


def _name(holder: str) -> identity.Lifetime:
    return identity.Lifetime(holder)


def _share_with_newcomer(book: ledger.Ledger, situation: Observation) -> ledger.Ledger:
    """Give part of the own keys to a target that holds none, if the own part is the largest."""
    sizes = {one.lifetime: 0 for one in situation.candidates if one.weight > 0}
    for span in book.spans:
        if span.holder in sizes:
            sizes[identity.Lifetime(span.holder)] += span.last - span.first + 1
    if situation.own_lifetime not in sizes or any(span.successor for span in book.spans):
        return book
    empty = [one for one in situation.candidates if sizes.get(one.lifetime) == 0]
    largest = max(sizes, key=lambda name: (sizes[name], name))
    if not empty or largest != situation.own_lifetime or not sizes[largest]:
        return book
    fair = (identity.LAST_SLOT + 1) // len(sizes)
    wanted = min(fair, sizes[largest] // 2)
    own = max(
        ledger.list_held(book, situation.own_lifetime), key=lambda span: span.last - span.first
    )
    part = min(wanted, (own.last - own.first + 1) // 2)
    if part < MIN_SHARE:
        return book
    heir = min(empty, key=lambda one: one.lifetime)
    return ledger.plan_move(book, own.last - part + 1, own.last, heir)
