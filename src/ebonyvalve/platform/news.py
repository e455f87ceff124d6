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

NEWS_PATH = "/ebonyvalve/operator/"
# A configuration of 16 MiB is far above the store's bound for a row.
MOST_BYTES = 16 * 1024 * 1024
# Bounds a transfer over a narrow link that is busy.
ASK_TIMEOUT_S = 5.0
# Another node is asked after this, or twice this.
ASK_PAUSE_S = 0.4
MOST_ASKED = 3
OK = 200


class WireRow(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """One row of the operator."""

    key: str
    version: decoding.Count
    is_removed: bool
    value: bytes


class WireNews(msgspec.Struct, kw_only=True, frozen=True):
    """Rows that are complete up to a version, since the one asked for or from the beginning."""

    version: decoding.Count
    is_whole: bool
    rows: list[WireRow]


def tell(node: node_module.Node, path: str) -> bytes | None:
    """Return the operator's rows that another node lacks, or ``None`` for an unreadable question.

    :param node: the node.
    :param path: names the newest version that the other node has.
    """
    asked = decoding.read_count(path.removeprefix(NEWS_PATH).encode())
    if asked is None:
        return None
    # A row that was removed before is only noticed by its absence.
    is_whole = asked < node.operator_since
    rows = [
        WireRow(key=row.name.key, version=row.version, is_removed=row.is_removed, value=row.value)
        for row in node.operator_rows.values()
        if is_whole or row.version > asked
    ]
    told = WireNews(version=node.operator_version, is_whole=is_whole, rows=rows)
    return zlib.compress(msgspec.msgpack.encode(told), level=1)


def take(node: node_module.Node, current: traffic.CurrentTraffic, body: bytes) -> bool:
    """Apply what another node tells; return whether it could be read.

    :param node: the node.
    :param current: gets the configuration.
    :param body: the answer to the question of :func:`tell`.
    """
    decoded = decoding.decode_packed(body, WireNews, most=MOST_BYTES)
    if not isinstance(decoded, result.Success):
        decision.record(log, logging.ERROR, "news-unreadable", cause=decoded.failure())
        return False
    told = decoded.unwrap()
    rows = tuple(
        table.Row(
            name=table.Name(table=operator.OPERATOR, key=row.key),
            value=row.value,
            version=row.version,
            is_removed=row.is_removed,
        )
        for row in told.rows
    )
    read = table.Rows(rows=rows, version=told.version, clock=None)
    operator.apply(node, current, read, is_whole=told.is_whole, reached=told.version)
    return True


async def learn(
    node: node_module.Node, current: traffic.CurrentTraffic, connect: network.Connect
) -> None:
    """Ask other nodes for rows of the operator that they have and the store has not told here.

    :param node: the node.
    :param current: gets the configuration.
    :param connect: opens a connection.
    """
    while True:
        named = node.named
        if not node_module.is_behind(node):
            await named.wait()
            continue
        await operator.await_news(node)
        if node_module.is_behind(node):
            await _ask_around(node, current, connect)


async def _ask_around(
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
            while node_module.is_behind(node):
                await node.changed.wait()
            nursery.cancel_scope.cancel()

        async def ask(teller: identity.NodeId) -> None:
            asked.add(teller)
            await _ask(node, current, connect, teller)
            asked.discard(teller)
            if node_module.is_behind(node) and not asked:
                # No node could tell, and the store's answer may be lost.
                node_module.look_for_orders(node)

        nursery.start_soon(watch)
        while True:
            teller = choose_teller(node)
            if teller is not None and teller not in asked and len(asked) < MOST_ASKED:
                nursery.start_soon(ask, teller)
            await node_module.pause(node, ASK_PAUSE_S * (1 + node.draw()))
            node.named_by = None
    if node.operator_version > before:
        # The store need not go on with what has come.
        node_module.look_for_orders(node)


def choose_teller(node: node_module.Node) -> identity.NodeId | None:
    """Return the node that named the news, or any other.

    :param node: the node.
    """
    if node.named_by in node.members:
        return node.named_by
    others = sorted(name for name in node.members if name != node.place.node)
    return others[int(node.draw() * len(others)) % len(others)] if others else None


async def _ask(
    node: node_module.Node,
    current: traffic.CurrentTraffic,
    connect: network.Connect,
    teller: identity.NodeId,
) -> None:
    known = node.members.get(teller)
    if known is None:
        # It has left since it was chosen.
        return
    request = http.Request(method="GET", path=f"{NEWS_PATH}{node.operator_version}")
    sent = await http.fetch(connect, known.address, request, timeout_s=ASK_TIMEOUT_S)
    reply = sent.unwrap() if isinstance(sent, result.Success) else None
    is_taken = reply is not None and reply.status == OK and take(node, current, reply.body)
    decision.record(
        log, logging.INFO, "news", teller=teller, taken=is_taken, version=node.operator_version
    )
