"""Tells the operator's rows on from node to node.

The store may refuse some nodes, and sends a configuration unpacked over links that are narrow.
"""

import logging
import zlib

import msgspec
from returns import result
import trio

from ebonyvalve.platform import operator
from ebonyvalve.process import decision, decoding, http, identity, network
from ebonyvalve.process import node as node_module
from ebonyvalve.process.store import table
from ebonyvalve.version import traffic

log = logging.getLogger(__name__)

GOSSIP_PATH = "/ebonyvalve/operator/"
# A configuration of 16 MiB is far above the store's bound for a row.
MAX_BYTES = 16 * 1024 * 1024
# Bounds a transfer over a narrow link that is busy.
PULL_TIMEOUT_S = 5.0
# Another node is asked after this, or twice this.
PULL_INTERVAL_S = 0.4
MAX_CONCURRENT_PULLS = 3
OK = 200


class GossipRow(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """One row of the operator."""

    key: str
    version: decoding.Count
    is_removed: bool
    value: bytes


class GossipUpdate(msgspec.Struct, kw_only=True, frozen=True):
    """Rows that are complete up to a version, since the one asked for or from the beginning."""

    version: decoding.Count
    is_whole: bool
    rows: list[GossipRow]


def encode_update(node: node_module.Node, path: str) -> bytes | None:
    """Return the operator's rows that another node lacks, or ``None`` for an unreadable question.

    :param node: the node.
    :param path: names the newest version that the other node has.
    """
    known_version = decoding.read_count(path.removeprefix(GOSSIP_PATH).encode())
    if known_version is None:
        return None
    # A row that was removed before is only noticed by its absence.
    is_whole = known_version < node.operator_removals_since
    rows = [
        GossipRow(key=row.name.key, version=row.version, is_removed=row.is_removed, value=row.value)
        for row in node.operator_rows.values()
        if is_whole or row.version > known_version
    ]
    update = GossipUpdate(version=node.operator_version, is_whole=is_whole, rows=rows)
    return zlib.compress(msgspec.msgpack.encode(update), level=1)


def apply_update(node: node_module.Node, current: traffic.CurrentTraffic, body: bytes) -> bool:
    """Apply what another node tells; return whether it could be read.

    :param node: the node.
    :param current: gets the configuration.
    :param body: the answer to the question of :func:`tell`.
    """
    decoded = decoding.decode_compressed(body, GossipUpdate, max_bytes=MAX_BYTES)
    if not isinstance(decoded, result.Success):
        decision.record(log, logging.ERROR, "news-unreadable", cause=decoded.failure())
        return False
    update = decoded.unwrap()
    rows = tuple(
        table.Row(
            name=table.Name(table=operator.OPERATOR_TABLE, key=row.key),
            value=row.value,
            version=row.version,
            is_removed=row.is_removed,
        )
        for row in update.rows
    )
    read = table.Rows(rows=rows, version=update.version, clock=None)
    operator.apply(node, current, read, is_whole=update.is_whole, complete_to=update.version)
    return True


async def pull_updates(
    node: node_module.Node, current: traffic.CurrentTraffic, connect: network.Connect
) -> None:
    """Ask other nodes for rows of the operator that they have and the store has not told here.

    :param node: the node.
    :param current: gets the configuration.
    :param connect: opens a connection.
    """
    while True:
        advertised = node.advertised
        if not node_module.is_operator_stale(node):
            await advertised.wait()
            continue
        await operator.await_update(node)
        if node_module.is_operator_stale(node):
            await _pull_from_peers(node, current, connect)


async def _pull_from_peers(
    node: node_module.Node, current: traffic.CurrentTraffic, connect: network.Connect
) -> None:
    """Ask one node after the other until the rows are here, from wherever.

    An answer over a busy link takes longer than another node is waited for, so that it goes on
    beside the next question.
    """
    before = node.operator_version
    asked: set[identity.NodeId] = set()
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            while node_module.is_operator_stale(node):
                await node.changed.wait()
            nursery.cancel_scope.cancel()

        async def ask(teller: identity.NodeId) -> None:
            asked.add(teller)
            await _pull_from(node, current, connect, teller)
            asked.discard(teller)
            if node_module.is_operator_stale(node) and not asked:
                # No node could tell, and the store's answer may be lost.
                node_module.restart_operator_follow(node)

        nursery.start_soon(watch)
        while True:
            source = choose_source(node)
            if source is not None and source not in asked and len(asked) < MAX_CONCURRENT_PULLS:
                nursery.start_soon(ask, source)
            await node_module.pause(node, PULL_INTERVAL_S * (1 + node.draw()))
            node.advertised_by = None
    if node.operator_version > before:
        # The store need not go on with what has come.
        node_module.restart_operator_follow(node)


def choose_source(node: node_module.Node) -> identity.NodeId | None:
    """Return the node that named the news, or any other.

    :param node: the node.
    """
    if node.advertised_by in node.members:
        return node.advertised_by
    others = sorted(name for name in node.members if name != node.place.node)
    return others[int(node.draw() * len(others)) % len(others)] if others else None


async def _pull_from(
    node: node_module.Node,
    current: traffic.CurrentTraffic,
    connect: network.Connect,
    source: identity.NodeId,
) -> None:
    known = node.members.get(source)
    if known is None:
        # It has left since it was chosen.
        return
    request = http.Request(method="GET", path=f"{GOSSIP_PATH}{node.operator_version}")
    sent = await http.fetch(connect, known.address, request, timeout_s=PULL_TIMEOUT_S)
    reply = sent.unwrap() if isinstance(sent, result.Success) else None
    is_taken = reply is not None and reply.status == OK and apply_update(node, current, reply.body)
    decision.record(
        log, logging.INFO, "news", teller=source, taken=is_taken, version=node.operator_version
    )
