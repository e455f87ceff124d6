"""Passes the operator's rows of the store (configuration, evacuated zones) from node to node.

The store may refuse some nodes, and it sends a configuration uncompressed over links of limited
bandwidth.
"""

import logging
import zlib

import msgspec
from returns import result
import trio

from ebonyvalve.platform import operator
from ebonyvalve.process import decision, decoding, http, identity, network
from ebonyvalve.process import node as node_module
from ebonyvalve.process.store import relay, table
from ebonyvalve.version import traffic

log = logging.getLogger(__name__)

GOSSIP_PATH = "/ebonyvalve/operator/"
# Limit of a decompressed update. 16 MiB is far above the store's limit for a row.
MAX_BYTES = 16 * 1024 * 1024
# Allows for a transfer over a busy link of low bandwidth.
PULL_TIMEOUT_S = 5.0
# Another node is asked after 1 to 2 times this long; see _pull_from_peers.
PULL_INTERVAL_S = 0.4
MAX_CONCURRENT_PULLS = 3
OK = 200


class GossipUpdate(msgspec.Struct, kw_only=True, frozen=True):
    """The operator's rows up to ``version``.

    With ``is_whole`` these are all rows, otherwise those after the version that was asked for.
    """

    version: decoding.Count
    is_whole: bool
    rows: list[relay.EncodedRow]


def encode_update(node: node_module.Node, path: str) -> bytes | None:
    """Return the compressed rows that another node lacks, or ``None`` if its request is invalid.

    :param node: the node.
    :param path: the request's path, which ends with the newest version that the other node has.
    """
    known_version = decoding.read_count(path.removeprefix(GOSSIP_PATH).encode())
    if known_version is None:
        return None
    # This node doesn't know which rows were removed before operator_removals_since, so the other
    # node has to find them by their absence from the full set.
    is_whole = known_version < node.operator_removals_since
    rows = [
        relay.encode_row(row)
        for row in node.operator_rows.values()
        if is_whole or row.version > known_version
    ]
    update = GossipUpdate(version=node.operator_version, is_whole=is_whole, rows=rows)
    return zlib.compress(msgspec.msgpack.encode(update), level=1)


def apply_update(node: node_module.Node, current: traffic.CurrentTraffic, body: bytes) -> bool:
    """Apply an update from another node; return whether it could be decoded.

    :param node: the node.
    :param current: gets the configuration.
    :param body: made by :func:`encode_update`.
    """
    decoded = decoding.decode_compressed(body, GossipUpdate, max_bytes=MAX_BYTES)
    if not isinstance(decoded, result.Success):
        decision.record(log, logging.ERROR, "news-unreadable", cause=decoded.failure())
        return False
    update = decoded.unwrap()
    rows = tuple(relay.decode_row(operator.OPERATOR_TABLE, row) for row in update.rows)
    received = table.Rows(rows=rows, version=update.version, clock=None)
    operator.apply(node, current, received, is_whole=update.is_whole, complete_to=update.version)
    return True


async def pull_updates(
    node: node_module.Node, current: traffic.CurrentTraffic, connect: network.Connect
) -> None:
    """Fetch rows that other nodes advertise and the store has not delivered, until cancelled.

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
    """Ask one node after the other until the rows have arrived, from a node or from the store.

    A transfer over a busy link may take longer than the pause before the next node is asked, so it
    continues concurrently, up to ``MAX_CONCURRENT_PULLS``.
    """
    before = node.operator_version
    pulling: set[identity.NodeId] = set()
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            while node_module.is_operator_stale(node):
                await node.changed.wait()
            nursery.cancel_scope.cancel()

        async def pull(source: identity.NodeId) -> None:
            pulling.add(source)
            await _pull_from(node, current, connect, source)
            pulling.discard(source)
            if node_module.is_operator_stale(node) and not pulling:
                # No node could provide the rows, and the store's answer may be lost.
                node_module.restart_operator_follow(node)

        nursery.start_soon(watch)
        while True:
            source = choose_source(node)
            if source is not None and source not in pulling and len(pulling) < MAX_CONCURRENT_PULLS:
                nursery.start_soon(pull, source)
            await node_module.pause(node, PULL_INTERVAL_S * (1 + node.draw()))
            # Unless the version is advertised again, the next round asks a random node.
            node.advertised_by = None
    if node.operator_version > before:
        # The store need not continue to send the rows that have arrived.
        node_module.restart_operator_follow(node)


def choose_source(node: node_module.Node) -> identity.NodeId | None:
    """Return the node that advertised the newest version, or a random other node.

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
    member = node.members.get(source)
    if member is None:
        # The node has left since it was chosen.
        return
    request = http.Request(method="GET", path=f"{GOSSIP_PATH}{node.operator_version}")
    fetched = await http.fetch(connect, member.address, request, timeout_s=PULL_TIMEOUT_S)
    reply = fetched.unwrap() if isinstance(fetched, result.Success) else None
    is_applied = (
        reply is not None and reply.status == OK and apply_update(node, current, reply.body)
    )
    decision.record(
        log, logging.INFO, "news", teller=source, taken=is_applied, version=node.operator_version
    )
