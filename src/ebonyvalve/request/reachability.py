"""Pings nodes that are slow to reply, and aborts the requests that wait for unreachable nodes.

The kernel of a machine whose processes are frozen still accepts connections and data, so only a
reply shows that a node is alive.
"""

import dataclasses
import logging
import urllib.parse

from returns import result
import trio

from ebonyvalve.connection import liveness, pool
from ebonyvalve.process import decision, http, identity, network, push
from ebonyvalve.process import node as node_module
from ebonyvalve.process.load import lag, selection

log = logging.getLogger(__name__)

# Followed by the name of the intended node, since its address may now belong to another node.
PING_PATH = "/ebonyvalve/ping/"
# Followed by the name of a node whose process is about to end.
ENDING_PATH = "/ebonyvalve/ending/"
ANSWERED_STATUS = 204
OTHER_NODE_STATUS = 421
# Most replies come within this time. A node that owes one and has sent no bytes for longer is
# pinged.
SUSPECT_AFTER_S = 0.4
# A node that is short of processor time still answers a ping within this time; one that does not is
# as good as lost to its callers.
PING_TIMEOUT_S = 0.35
# Limit for the reply to a ping, which is a status without a body.
PING_BYTES = 1024
# A node that has answered a ping is not pinged again for this long, however slow its requests are.
TRUST_AFTER_PING_S = 1.0
# Aborting a non-idempotent request leaves its outcome unknown, and aborting a reply that is
# arriving loses it. Both are done only when a node has not answered for this long.
ABORT_ALL_AFTER_S = 1.5


@dataclasses.dataclass(kw_only=True)
class Monitor:
    """Reachability of the other nodes. Times are seconds on the node's clock.

    ``answered_at`` maps nodes to their last answer to a ping. ``unreachable`` maps the nodes that
    do not answer to when that was detected.
    """

    node: node_module.Node
    peers: pool.Pool
    connect: network.Connect
    answered_at: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    unreachable: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)


async def check_peers(monitor: Monitor) -> None:
    """Ping the nodes whose replies are overdue and those that are unreachable.

    :param monitor: the state.
    """
    suspects = list_suspects(monitor)
    if not suspects:
        return
    async with trio.open_nursery() as nursery:
        for name, address in suspects.items():
            nursery.start_soon(_ping, monitor, name, address)


def list_suspects(monitor: Monitor) -> dict[identity.NodeId, identity.Address]:
    """Return the nodes to ping now, and forget unreachable ones that have left the mesh.

    :param monitor: the state.
    """
    members = monitor.node.members
    for name in [name for name in monitor.unreachable if name not in members]:
        del monitor.unreachable[name]
    # The silence timeout is SILENT_FACTOR times p99_s, so this sets it to SUSPECT_AFTER_S.
    unresponsive = set(
        pool.find_unresponsive(monitor.peers, p99_s=SUSPECT_AFTER_S / liveness.SILENT_FACTOR)
    )
    trusted_since = monitor.node.now() - TRUST_AFTER_PING_S
    return {
        name: peer.address
        for name, peer in members.items()
        if name in monitor.unreachable
        or (peer.address in unresponsive and monitor.answered_at.get(name, 0.0) < trusted_since)
    }


async def _ping(monitor: Monitor, name: identity.NodeId, address: identity.Address) -> None:
    """Ping a node and record the result."""
    sent_at = monitor.node.now()
    request = http.Request(method="GET", path=PING_PATH + urllib.parse.quote(name, safe=""))
    status = await _fetch_status(monitor, address, request)
    if status == OTHER_NODE_STATUS:
        # Requests in flight to this address are not aborted: the other node answers them.
        record_unreachable(monitor, name, "another node has its address")
    else:
        record_ping(monitor, name, address, is_answered=status == ANSWERED_STATUS, sent_at=sent_at)


async def _fetch_status(
    monitor: Monitor, address: identity.Address, request: http.Request
) -> int | None:
    """Return the status of the reply to a ping, or ``None`` if none came in time.

    Connecting and replying have the same time limit each: both wait for what the other node's link
    is sending, and a frozen node accepts connections at once.
    """
    # When the event loop lags, replies that arrived in time are read late.
    timeout_s = PING_TIMEOUT_S + min(ABORT_ALL_AFTER_S, lag.expect_delay(monitor.node.loop_lag))
    stream: trio.abc.Stream | None = None
    with trio.move_on_after(timeout_s):
        try:
            stream = await monitor.connect(address)
        except (OSError, trio.BrokenResourceError):
            return None
    if stream is None:
        return None
    connected = stream

    async def connect(_: str) -> trio.abc.Stream:
        return connected

    fetched = await http.fetch(connect, address, request, timeout_s=timeout_s, max_bytes=PING_BYTES)
    return fetched.unwrap().status if isinstance(fetched, result.Success) else None


def answer_ping(node: node_module.Node, path: str) -> int:
    """Return the status code of the reply to a ping.

    :param node: the node that was pinged.
    :param path: the ping's path, which names the intended node.
    """
    intended_node = urllib.parse.unquote(path.removeprefix(PING_PATH))
    return ANSWERED_STATUS if intended_node == node.place.node else OTHER_NODE_STATUS


def record_ping(
    monitor: Monitor,
    name: identity.NodeId,
    address: identity.Address,
    *,
    is_answered: bool,
    sent_at: float,
) -> None:
    """Record the result of a ping, and abort requests at a node that did not answer.

    Data that arrived for a request since the ping counts as an answer too.

    :param monitor: the state.
    :param name: the node.
    :param address: the address that was pinged.
    :param is_answered: whether the node answered in time.
    :param sent_at: when it was pinged, in seconds on the node's clock.
    """
    if is_answered or pool.has_progressed(monitor.peers, address, sent_at):
        monitor.answered_at[name] = monitor.node.now()
        if monitor.unreachable.pop(name, None) is not None:
            selection.record_reachable(node_module.read_view(monitor.node, name))
            decision.record(log, logging.INFO, "peer-regained", peer=name)
        return
    unreachable_s = record_unreachable(monitor, name, "no answer to a ping")
    now = monitor.node.now()
    cautious_cutoff = now - ABORT_ALL_AFTER_S if unreachable_s >= ABORT_ALL_AFTER_S else None
    # A stopping node aborts no request early: little time remains to retry it elsewhere.
    cutoff = cautious_cutoff if monitor.node.is_stopping else min(sent_at, now - SUSPECT_AFTER_S)
    pool.abort(monitor.peers, address, cutoff=cutoff, cautious_cutoff=cautious_cutoff)


def record_unreachable(monitor: Monitor, name: identity.NodeId, reason: str) -> float:
    """Record that a node is unreachable; return for how many seconds it has been.

    :param monitor: the state.
    :param name: the node.
    :param reason: the evidence, for the log.
    """
    now = monitor.node.now()
    since = monitor.unreachable.setdefault(name, now)
    if since == now:
        decision.record(log, logging.WARNING, "peer-lost", peer=name, reason=reason)
    selection.record_unreachable(node_module.read_view(monitor.node, name), now)
    return now - since


async def announce_end(monitor: Monitor) -> None:
    """Tell the other nodes that this process is about to end, so that they send it nothing.

    A node that misses the message is refused, and learns it from that.

    :param monitor: the state.
    """
    node = monitor.node
    path = ENDING_PATH + urllib.parse.quote(node.place.node, safe="")
    others = set(node.members) - {node.place.node}
    await push.send(node, monitor.connect, others, path, b"")


def receive_end(node: node_module.Node, path: str) -> bool:
    """Record that the process of another node is about to end.

    :param node: this node.
    :param path: the path of the message, which names the other node.
    :return: whether the other node is a member.
    """
    name = identity.NodeId(urllib.parse.unquote(path.removeprefix(ENDING_PATH)))
    if name not in node.members:
        return False
    selection.record_ending(node_module.read_view(node, name), node.now())
    decision.record(log, logging.INFO, "peer-ending", peer=name)
    return True
