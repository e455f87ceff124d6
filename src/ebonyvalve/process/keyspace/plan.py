"""Decides the next change to the ledger of the node's own service.

Each decision covers one conditional write; the next one starts from the ledger that it leaves.
"""

import collections.abc
import dataclasses

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import ledger

# A target that joins gets keys only if they are at least this many; fewer are not worth a move.
MIN_SHARE = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """What a node knows when it checks the ledger.

    ``own_lifetime`` is the lifetime of the node's own target, or ``NO_HOLDER`` if there is none.
    ``is_lost`` returns whether a lifetime of this node's target can no longer hold keys.
    ``expired_nodes`` are the nodes whose leases have certainly expired. ``is_leaving`` is set if
    the own target must give up its keys. ``released`` has the handovers of the spans that it has
    released, by first key. ``is_leader`` is set if the node is the first by name of those with
    candidates, or if there are no candidates. The leader assigns vacant keys, and cancels moves to
    targets that can no longer take keys, even those that other nodes have planned.
    """

    node: identity.NodeId
    own_lifetime: identity.Lifetime
    candidates: tuple[ledger.Candidate, ...]
    released: dict[int, str]
    expired_nodes: frozenset[identity.NodeId]
    is_leaving: bool
    is_leader: bool
    is_lost: collections.abc.Callable[[identity.Lifetime], bool]


def propose(committed: ledger.Ledger, observation: Observation) -> ledger.Ledger:
    """Return the ledger to write, which equals the committed one if there is nothing to do.

    :param committed: the committed ledger.
    :param observation: what the node knows.
    """
    eligible = {candidate.lifetime for candidate in observation.candidates if candidate.weight > 0}
    proposed = ledger.vacate(
        committed,
        lambda span: (
            span.node == observation.node and observation.is_lost(_to_lifetime(span.holder))
        )
        or span.node in observation.expired_nodes,
    )
    proposed = ledger.complete_moves(
        proposed,
        {
            span.first: observation.released[span.first]
            for span in proposed.spans
            if span.first in observation.released and span.successor in eligible
        },
    )
    proposed = ledger.cancel_moves(
        proposed,
        lambda span: span.successor not in eligible
        and (span.node == observation.node or observation.is_leader),
    )
    if observation.is_leaving:
        proposed = ledger.plan_exit(proposed, observation.own_lifetime, observation.candidates)
    is_written_anyway = proposed != committed
    if observation.is_leader or is_written_anyway:
        proposed = ledger.assign_vacant(proposed, observation.candidates)
    if not observation.is_leaving:
        proposed = _share_with_newcomer(proposed, observation)
    return proposed


def _to_lifetime(holder: str) -> identity.Lifetime:
    return identity.Lifetime(holder)


def _share_with_newcomer(proposed: ledger.Ledger, observation: Observation) -> ledger.Ledger:
    """Plan to give keys to a target that has none, if the own target holds the most keys."""
    sizes = {candidate.lifetime: 0 for candidate in observation.candidates if candidate.weight > 0}
    for span in proposed.spans:
        if span.holder in sizes:
            sizes[identity.Lifetime(span.holder)] += span.last - span.first + 1
    if observation.own_lifetime not in sizes or any(span.successor for span in proposed.spans):
        return proposed
    newcomers = [
        candidate for candidate in observation.candidates if sizes.get(candidate.lifetime) == 0
    ]
    largest = max(sizes, key=lambda name: (sizes[name], name))
    if not newcomers or largest != observation.own_lifetime or not sizes[largest]:
        return proposed
    fair_size = (identity.LAST_KEY_SLOT + 1) // len(sizes)
    wanted_size = min(fair_size, sizes[largest] // 2)
    largest_span = max(
        ledger.list_held(proposed, observation.own_lifetime),
        key=lambda span: span.last - span.first,
    )
    size = min(wanted_size, (largest_span.last - largest_span.first + 1) // 2)
    if size < MIN_SHARE:
        return proposed
    newcomer = min(newcomers, key=lambda candidate: candidate.lifetime)
    return ledger.plan_move(proposed, largest_span.last - size + 1, largest_span.last, newcomer)
