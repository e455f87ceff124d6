"""Writes this node's announcement, and removes the rows of previous nodes at its address.

Rows of nodes whose targets have left are kept for a while and removed with a later announcement.

An address is reused only after its previous machine has ended for good. Only the node that has
the address now knows this at once; all others have to wait until the lost node's lease expires.
"""

import logging

from ebonyvalve.process import decision, identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import records
from ebonyvalve.process.store import table

log = logging.getLogger(__name__)

# Each is a condition and a removal, and the store accepts 100 entries. The announcements of a mesh
# remove more rows than they leave behind.
MAX_EXPIRED_ROWS = 20


def list_predecessors(node: node_module.Node) -> list[member.Member]:
    """Return the other nodes that are announced at this node's address and have ended.

    A node that was only renamed still has the target that its old row names, so that this node
    can't tell before its target has reported.

    :param node: the node.
    """
    target = node.target
    if target is None or target.is_assumed:
        return []
    return [
        predecessor
        for predecessor in node.members.values()
        if predecessor.node != node.place.node
        and predecessor.address == node.place.peers_address
        and predecessor.lifetime != target.lifetime
    ]


def is_announced(reconciler: records.Reconciler) -> bool:
    """Return whether the store has the state of the target beside this node.

    :param reconciler: the state.
    """
    return reconciler.announced_member == node_module.build_member(reconciler.node)


async def announce(reconciler: records.Reconciler) -> None:
    """Write the node's announcement whenever it changes, until cancelled.

    The node's own row is read first: an ended process may have written that the target has left.

    :param reconciler: the state.
    """
    node = reconciler.node
    while True:
        changed = node.changed
        announcement = node_module.build_member(node) if node.is_mesh_known else None
        predecessors = list_predecessors(node)
        if announcement is None or (
            announcement == reconciler.announced_member and not predecessors
        ):
            await changed.wait()
            continue
        if await _write(reconciler, announcement, predecessors):
            reconciler.announced_member = announcement
            node_module.notify_changed(node)
        else:
            await node_module.pause(node, records.RETRY_S)


async def _write(
    reconciler: records.Reconciler, announcement: member.Member, predecessors: list[member.Member]
) -> bool:
    """Write the announcement and remove the predecessors' rows; return whether that succeeded.

    Both happen in one transaction, so that the other nodes learn of both at once. It requires that
    the node's row is unchanged, so that the store can't replace it late with an earlier one.
    """
    own_row = records.name_member_row(announcement.node)
    is_removal = node_module.is_removal(announcement)
    expected = {own_row: reconciler.own_row_version}
    writes = {own_row: None if is_removal else member.encode(announcement)}
    for name, departed in _list_expired(reconciler):
        expected[records.name_member_row(name)] = departed.version
        writes[records.name_member_row(name)] = None
    if predecessors:
        read = await reconciler.store.read(records.LEASES)
        if not isinstance(read, table.Rows):
            return False
        leases = {records.name_lease_row(predecessor.node) for predecessor in predecessors}
        writes.update(dict.fromkeys(leases & {row.name for row in read.rows}))
        writes.update(
            dict.fromkeys(records.name_member_row(predecessor.node) for predecessor in predecessors)
        )
    done = await reconciler.store.commit(expected, writes)
    if isinstance(done, table.Conflict):
        for row in done.rows:
            records.apply_row(reconciler, row)
    if not isinstance(done, table.Committed):
        return False
    reconciler.announced_version = done.version
    reconciler.own_row_version = table.MISSING if is_removal else done.version
    for predecessor in predecessors:
        records.drop_member(reconciler, predecessor.node)
        decision.record(
            log,
            logging.WARNING,
            "node-succeeded",
            member=predecessor.node,
            address=predecessor.address,
            target=predecessor.lifetime,
            reason="this node has its address",
        )
    return True


def _list_expired(
    reconciler: records.Reconciler,
) -> list[tuple[identity.NodeId, records.DepartedRow]]:
    """Return the rows of other nodes whose targets left long ago, the oldest first."""
    node = reconciler.node
    seen_before = node.now() - records.DEPARTED_RETENTION_S
    expired = [
        (name, departed)
        for name, departed in reconciler.departed_rows.items()
        if departed.seen_at <= seen_before and name != node.place.node
    ]
    return sorted(expired, key=lambda item: item[1].seen_at)[:MAX_EXPIRED_ROWS]
