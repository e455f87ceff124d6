"""Follows what the operator writes into the store: the configuration and evacuated zones."""

import functools
import logging

from ebonyvalve.platform import configuration
from ebonyvalve.process import decision, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.store import table
from ebonyvalve.version import traffic

log = logging.getLogger(__name__)

OPERATOR = table.TableName("op")
CONFIG = "config"
EVACUATE = "evacuate/"
FOLLOW_S = 10.0
RETRY_S = 0.25
# A line of the log is read as a whole; the status of the node has all reasons.
MOST_REASONS = 4000


async def follow(node: node_module.Node, current: traffic.Current, store: table.Store) -> None:
    """Apply the operator's rows as they change, until cancelled.

    :param node: the node.
    :param current: gets the configuration.
    :param store: the platform's store.
    """
    version = 0
    while True:
        is_whole = not node.is_operator_known
        read: table.Rows | table.Trouble | None
        if is_whole:
            read = await store.read(OPERATOR)
        else:
            read = await node_module.interrupt(
                node, functools.partial(store.follow, OPERATOR, version, FOLLOW_S)
            )
            if read is None:
                continue
        if isinstance(read, table.Rows):
            apply(node, current, read, is_whole=is_whole)
            version = max(version, read.version)
            # A version beyond what the store has hides all that are named after it.
            node.named_version = min(node.named_version, version)
            node.is_operator_known = node.config is not None
            if is_whole and not node.is_operator_known:
                await node_module.pause(node, RETRY_S)
        elif read is table.Trouble.HISTORY_GONE:
            node.is_operator_known = False
        else:
            await node_module.pause(node, RETRY_S * (1 + node.draw()))


def apply(
    node: node_module.Node, current: traffic.Current, read: table.Rows, *, is_whole: bool
) -> None:
    """Apply rows of the operator.

    :param node: the node.
    :param current: gets the configuration.
    :param read: the rows.
    :param is_whole: whether they are all there are.
    """
    newest = max((row.version for row in read.rows), default=0)
    node.operator_version = max(node.operator_version, newest)
    zones = set() if is_whole else set(node.evacuated)
    for row in read.rows:
        if row.name.key == CONFIG and not row.is_removed:
            _apply_config(node, current, row)
        elif row.name.key.startswith(EVACUATE):
            zone = identity.ZoneId(row.name.key.removeprefix(EVACUATE))
            if row.is_removed:
                zones.discard(zone)
            else:
                zones.add(zone)
    if zones != node.evacuated:
        decision.record(log, logging.INFO, "evacuation", zones=",".join(sorted(zones)))
        node_module.set_evacuated(node, frozenset(zones))
    node_module.pulse(node)


def _apply_config(node: node_module.Node, current: traffic.Current, row: table.Row) -> None:
    decoded = configuration.decode(row.value)
    if isinstance(decoded, list):
        is_logged = node.refused == tuple(decoded)
        node.refused = tuple(decoded)
        if not is_logged:
            reasons = "; ".join(decoded)[:MOST_REASONS]
            decision.record(log, logging.ERROR, "configuration-refused", reasons=reasons)
        return
    if node.config is not None and decoded.version <= node.config:
        return
    decision.record(
        log,
        logging.INFO,
        "configuration",
        version=decoded.version,
        before=node.config,
        routes=len(decoded.routes),
    )
    current.traffic = decoded
    node_module.set_config(node, decoded.version, decoded.services)
