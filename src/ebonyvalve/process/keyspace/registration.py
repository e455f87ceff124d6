"""Announces this node in the table, and removes the rows of nodes whose address it has got.

An address is given away only after its machine has ended for good. The node that has it now is the
only one that knows this at first hand; for all others the lost node's lease must run out.
"""

import logging

from ebonyvalve.process import decision, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import records
from ebonyvalve.process.store import table

log = logging.getLogger(__name__)


def list_predecessors(node: node_module.Node) -> list[member.Member]:
    """Return the other nodes that are announced at this node's address and have ended.

    A node that was only renamed has the target that its row names, so that nothing is known of it
    until the target has reported.

    :param node: the node.
    """
    target = node.target
    if target is None or target.is_assumed:
        return []
    return [
        one
        for one in node.members.values()
        if one.node != node.place.node
        and one.address == node.place.peers_address
        and one.lifetime != target.lifetime
    ]


async def announce(steward: records.Reconciler) -> None:
    """Write the node's own announcement whenever it changes, until cancelled.

    :param steward: the state.
    """
    node = steward.node
    while True:
        changed = node.changed
        own = node_module.build_member(node)
        ended = list_predecessors(node)
        if own is None or (own == steward.announced_member and not ended):
            await changed.wait()
            continue
        if await _write(steward, own, ended):
            steward.announced_member = own
        else:
            await node_module.pause(node, records.RETRY_S)


async def _write(
    steward: records.Reconciler, own: member.Member, ended: list[member.Member]
) -> bool:
    """Write the announcement and end those before it at once, so that others learn of both."""
    is_gone = own.state is member.TargetState.GONE
    writes = {records.name_member_row(own.node): None if is_gone else member.encode(own)}
    if ended:
        read = await steward.store.read(records.LEASES)
        if not isinstance(read, table.Rows):
            return False
        leases = {records.name_lease_row(one.node) for one in ended}
        writes.update(dict.fromkeys(leases & {row.name for row in read.rows}))
        writes.update(dict.fromkeys(records.name_member_row(one.node) for one in ended))
    done = await steward.store.commit({}, writes)
    if not isinstance(done, table.Committed):
        return False
    for one in ended:
        records.drop_member(steward, one.node)
        decision.record(
            log,
            logging.WARNING,
            "node-succeeded",
            member=one.node,
            address=one.address,
            target=one.lifetime,
            reason="this node has its address",
        )
    return True
