"""What a node does when the store was restored from an older copy."""

import logging

import msgspec

from ebonyvalve.process import decision, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import lease, ledger, plan, records, restoration

log = logging.getLogger(__name__)

# The leader writes first after a restore. The others wait one to two times as long as this, in case
# that it does not.
WRITE_PAUSE_S = 0.3


def handle_restore(reconciler: records.Reconciler, before: int, current: int) -> None:
    """Prepare to read and write everything again, before anything of the new era is applied.

    :param reconciler: the state.
    :param before: the era that has ended.
    :param current: the new one.
    """
    node = reconciler.node
    records.inherit_keys(reconciler, before)
    reconciler.has_earlier_members = node.is_mesh_known
    reconciler.reread_at = node.eras.seen_at + records.REWRITE_S
    if reconciler.min_ledger_version != records.UNREACHABLE_VERSION:
        # Older ledgers than this are not in the inheritance.
        reconciler.min_ledger_version = 0
    reconciler.restoration_at = None
    reconciler.is_renewal_due = True
    reconciler.leases_read_at = min(reconciler.leases_read_at, 0.0)
    _remember_departures(reconciler)
    decision.record(
        log,
        logging.INFO,
        "keys-inherited",
        era=current,
        ranges=len(reconciler.inheritance.spans),
        until_s=round(reconciler.inheritance.until_s, 3),
    )
    node_module.restart_follows(node)
    node_module.notify_changed(node)


def _remember_departures(reconciler: records.Reconciler) -> None:
    """Keep in memory which targets were leaving or gone, for processes that read the copy."""
    node = reconciler.node
    leaving = [
        other.lifetime
        for other in node.members.values()
        if other.state is member.TargetState.LEAVING
    ]
    for lifetime in leaving:
        departure = member.Departure(lifetime=lifetime, state=member.TargetState.LEAVING)
        node_module.record_departure(node, departure)
    for lifetime in reconciler.removed_lifetimes:
        departure = member.Departure(lifetime=lifetime, state=member.TargetState.GONE)
        node_module.record_departure(node, departure)


def is_begun(reconciler: records.Reconciler, versioned_ledger: node_module.VersionedLedger) -> bool:
    """Return whether the known ledger was written in the store's era.

    :param reconciler: the state.
    :param versioned_ledger: the ledger.
    """
    return restoration.is_begun(versioned_ledger.ledger, reconciler.node.eras.current)


def restrict(reconciler: records.Reconciler, current: ledger.Ledger) -> ledger.Ledger:
    """Return a ledger without the keys that another node may still hold.

    :param reconciler: the state.
    :param current: the ledger.
    """
    if not reconciler.node.eras.current:
        return current
    return restoration.restrict(current, reconciler.inheritance, reconciler.node.eras.current)


def may_have_been_renewed(node: node_module.Node, row: lease.LeaseRow) -> bool:
    """Return whether a lease may last longer than its row says, as that may be from the copy.

    :param node: the node.
    :param row: the lease of another node.
    """
    number = 0 if isinstance(row.era, msgspec.UnsetType) else row.era
    return number < node.eras.current and not has_settled(node)


def has_settled(node: node_module.Node) -> bool:
    """Return whether all leases of earlier eras have ended, by the node's clock.

    :param node: the node.
    """
    return node.now() > node.eras.seen_at + restoration.INHERITED_S * (1 + lease.NODE_DRIFT)


def create(reconciler: records.Reconciler, observation: plan.Observation) -> ledger.Ledger:
    """Return the first ledger of a service.

    :param reconciler: the state.
    :param observation: what the node knows.
    """
    created = ledger.create(observation.candidates, fence=reconciler.mesh_version)
    node = reconciler.node
    if not node.eras.current:
        return created
    created = msgspec.structs.replace(created, since=reconciler.mesh_version)
    if not node.eras.restores or node.store_clock is None:
        return created
    # The copy may be older than the first ledger, which other nodes know.
    return msgspec.structs.replace(
        created, unconfirmed=(restoration.ALL_KEYS,), settled_s=_find_settled(node)
    )


def _find_settled(node: node_module.Node) -> float:
    """Return when all leases of earlier eras have ended, on the store's clock."""
    assert node.store_clock is not None
    return lease.read_latest(node.store_clock, node.now()) + restoration.INHERITED_S


def begin(
    reconciler: records.Reconciler,
    versioned_ledger: node_module.VersionedLedger,
    observation: plan.Observation,
) -> ledger.Ledger | None:
    """Return the first ledger of an era if this node is to write it now, or ``None``.

    :param reconciler: the state.
    :param versioned_ledger: the newest ledger that the node knows.
    :param observation: what else it knows.
    """
    node = reconciler.node
    is_read = not records.is_outdated(reconciler) and records.has_current_members(
        reconciler, versioned_ledger
    )
    if not is_read or node.store_clock is None or not _is_turn(reconciler, observation):
        return None
    begun = restoration.begin(
        versioned_ledger.ledger, since=reconciler.mesh_version, settled_s=_find_settled(node)
    )
    return restoration.confirm(begun, reconciler.inheritance)


def settle(
    reconciler: records.Reconciler,
    versioned_ledger: node_module.VersionedLedger,
    observation: plan.Observation,
) -> tuple[ledger.Ledger, bool]:
    """Return the ledger with all that is certain by now, and whether that is to be written now.

    :param reconciler: the state.
    :param versioned_ledger: a ledger of the store's era.
    :param observation: what else the node knows.
    """
    node, current = reconciler.node, versioned_ledger.ledger
    if not current.unconfirmed:
        return current, False
    settled = restoration.confirm(current, reconciler.inheritance)
    is_claimed = settled.spans != current.spans
    clock = node.store_clock
    if clock is None or lease.read_earliest(clock, node.now()) <= current.settled_s:
        reconciler.restoration_at = None
        return settled, is_claimed
    return restoration.clear(settled), is_claimed or _is_turn(reconciler, observation)


def _is_turn(reconciler: records.Reconciler, observation: plan.Observation) -> bool:
    """Return whether this node is to write now what all nodes may write."""
    node = reconciler.node
    if reconciler.restoration_at is None:
        pause_s = 0.0 if observation.is_leader else WRITE_PAUSE_S * (1 + node.draw())
        reconciler.restoration_at = node.now() + pause_s
    return node.now() >= reconciler.restoration_at
