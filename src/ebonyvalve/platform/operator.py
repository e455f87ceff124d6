"""Follows the operator's rows of the store: the configuration and the evacuated zones."""

import collections.abc
import dataclasses
import functools
import logging

import trio

from ebonyvalve.platform import configuration
from ebonyvalve.process import decision, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.store import era, table
from ebonyvalve.process.store import follow as follow_module
from ebonyvalve.version import traffic

log = logging.getLogger(__name__)

OPERATOR_TABLE = table.TableName("op")
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
# Longest duration of one long poll, in seconds.
FOLLOW_WAIT_S = 10.0
RETRY_S = 0.25
# The store answers all nodes that follow it within this many seconds of each other.
PROPAGATION_S = 0.05
# Keeps the log line readable, in characters; the node's status page has all reasons.
MAX_REASONS_LENGTH = 4000
# Bounds the lines about one configuration; the last line gives the number of further entries.
MAX_SKIPPED_LINES = 50


async def follow(
    node: node_module.Node, current: traffic.CurrentTraffic, store: table.Store
) -> None:
    """Apply the operator's rows from the store as they change, by long polling, until cancelled.

    :param node: the node.
    :param current: gets the configuration.
    :param store: the platform's store.
    """
    version = 0
    while True:
        is_whole = not node.is_operator_state_known
        answer: table.Rows | table.Failure | None
        if is_whole:
            answer = await store.read(OPERATOR_TABLE)
        else:
            # Without a wait, the store says at once whether it has the version that another node
            # advertised.
            wait_s = 0.0 if may_store_have_advertised(node, version) else FOLLOW_WAIT_S
            answer = await follow_module.run_interruptible(
                functools.partial(store.follow, OPERATOR_TABLE, version, wait_s),
                node.operator_follow_restart.wait,
            )
            if answer is None:
                # Rows that other nodes have sent in the meantime need not be read.
                version = max(version, node.operator_version)
                continue
        if isinstance(answer, table.Rows):
            base = era.find_base(node.eras)
            apply(node, current, demote_copied(answer, base), is_whole=is_whole, kept_to=base)
            if base and not is_whole and not may_store_have_advertised(node, version):
                # A node that is still there advertises it again.
                node.advertised_version = min(node.advertised_version, node.operator_version)
            version = max(version, answer.version)
            if not answer.is_relayed:
                node.operator_read_version = max(node.operator_read_version, version)
                # A version beyond that of the store would hide all that are advertised after it.
                node.advertised_version = min(node.advertised_version, version)
            node.is_operator_state_known = True
        elif answer is table.Failure.HISTORY_GONE:
            node.is_operator_state_known = False
        else:
            await node_module.pause(node, RETRY_S * (1 + node.draw()))


def may_store_have_advertised(node: node_module.Node, version: int) -> bool:
    """Return whether the store may have the rows that another node has advertised.

    It does not have those that were lost when it was restored, and those up to the first version
    that this node has seen afterwards have been read.

    :param node: the node.
    :param version: the version up to which the rows of the store were read.
    """
    advertised = node.advertised_version
    return (
        node_module.is_operator_stale(node)
        and advertised > era.find_base(node.eras)
        and era.find_era(advertised) >= era.find_era(version)
    )


def demote_copied(received: table.Rows, base: int) -> table.Rows:
    """Return rows of which those that may come from a copy count as older than all others.

    So they are applied only by a node that knows no other, and other nodes that do tell it.

    :param received: rows from the store.
    :param base: the version up to which rows may come from the copy; 0 if the store was never
        restored.
    """
    rows = tuple(
        (
            dataclasses.replace(row, version=era.find_own_version(row.version))
            if row.version <= base
            else row
        )
        for row in received.rows
    )
    return dataclasses.replace(received, rows=rows) if base else received


async def await_update(node: node_module.Node) -> None:
    """Wait up to ``PROPAGATION_S`` for rows that another node has already applied.

    :param node: the node.
    """
    with trio.move_on_after(PROPAGATION_S):
        while node_module.is_operator_stale(node):
            await node.changed.wait()


def apply(
    node: node_module.Node,
    current: traffic.CurrentTraffic,
    received: table.Rows,
    *,
    is_whole: bool,
    complete_to: int = 0,
    kept_to: int = 0,
) -> None:
    """Apply those rows of the operator that are newer than the known ones.

    Rows arrive from the store and from other nodes, in any order.

    :param node: the node.
    :param current: gets the configuration.
    :param received: the rows.
    :param is_whole: whether these are all rows of the operator, so that others were removed.
    :param complete_to: the version of the operator's rows up to which they are complete, or 0 if
        unknown. The version of ``received`` may be that of the store, which counts other rows too.
    :param kept_to: known rows up to this version are kept although they are missing from all rows.
        The store may have lost them in a restore.
    """
    known_rows = node.operator_rows
    newer = [row for row in received.rows if row.version > _find_known_version(node, row.name.key)]
    known_rows.update({row.name.key: row for row in newer})
    newest = max((row.version for row in received.rows), default=0)
    node.operator_version = max(node.operator_version, newest, complete_to)
    if is_whole:
        names = {row.name.key for row in received.rows}
        for key, row in list(known_rows.items()):
            if key not in names and kept_to < row.version <= received.version:
                del known_rows[key]
        if not kept_to:
            node.operator_snapshot_version = max(node.operator_snapshot_version, received.version)
        # The versions at which the missing rows were removed are unknown.
        node.operator_removals_since = node.operator_version
    for row in newer:
        if row.name.key == CONFIG_KEY and not row.is_removed:
            _apply_config(node, current, row)
    zones = list_evacuated(known_rows.values())
    if zones != node.evacuated:
        decision.record(log, logging.INFO, "evacuation", zones=",".join(sorted(zones)))
        node_module.set_evacuated(node, zones)
    node_module.notify_changed(node)


def _find_known_version(node: node_module.Node, key: str) -> int:
    """Return the version of a known row, or of the last full set of rows if the row is unknown."""
    row = node.operator_rows.get(key)
    return node.operator_snapshot_version if row is None else row.version


def list_evacuated(rows: collections.abc.Iterable[table.Row]) -> frozenset[identity.ZoneId]:
    """Return the evacuated zones, whose targets get no requests.

    :param rows: the rows of the operator.
    """
    return frozenset(
        identity.ZoneId(row.name.key.removeprefix(EVACUATE_PREFIX))
        for row in rows
        if row.name.key.startswith(EVACUATE_PREFIX) and not row.is_removed
    )


def _apply_config(node: node_module.Node, current: traffic.CurrentTraffic, row: table.Row) -> None:
    loaded = configuration.load(row.value)
    if isinstance(loaded, list):
        is_logged = node.refusal_reasons == tuple(loaded)
        node.refusal_reasons = tuple(loaded)
        if not is_logged:
            reasons = "; ".join(loaded)[:MAX_REASONS_LENGTH]
            decision.record(log, logging.ERROR, "configuration-refused", reasons=reasons)
        return
    accepted = loaded.traffic
    if node.config is not None and accepted.version <= node.config:
        return
    decision.record(
        log,
        logging.INFO,
        "configuration",
        version=accepted.version,
        before=node.config,
        routes=len(accepted.routes),
    )
    _log_skipped(accepted.version, loaded.skipped)
    current.traffic = accepted
    node.skipped_entries = loaded.skipped
    node_module.set_config(node, accepted.version, accepted.services)


def _log_skipped(version: identity.ConfigVersion, skipped: tuple[str, ...]) -> None:
    event = "configuration-skipped"
    for reason in skipped[:MAX_SKIPPED_LINES]:
        decision.record(log, logging.ERROR, event, version=version, reason=reason)
    if len(skipped) > MAX_SKIPPED_LINES:
        more = len(skipped) - MAX_SKIPPED_LINES
        decision.record(log, logging.ERROR, event, version=version, more=more)
