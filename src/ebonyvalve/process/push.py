"""Pushes messages directly to other nodes, without the delay of the store."""

import collections.abc
import logging

from returns import result
import trio

from ebonyvalve.process import decision, http, identity, network
from ebonyvalve.process import node as node_module

log = logging.getLogger(__name__)

TIMEOUT_S = 0.5
# The answer to a pushed message is a status without a body.
MAX_ANSWER_BYTES = 1024


def list_service_peers(node: node_module.Node) -> set[identity.NodeId]:
    """Return the other nodes of this node's service.

    :param node: the node.
    """
    return {
        other.node
        for other in node.members.values()
        if other.service == node.place.service and other.node != node.place.node
    }


async def send(
    node: node_module.Node,
    connect: network.Connect,
    recipients: collections.abc.Set[identity.NodeId],
    path: str,
    body: bytes,
) -> None:
    """Send a message to other nodes. A message that is lost is not sent again.

    :param node: the node.
    :param connect: opens a connection.
    :param recipients: the other nodes; those that are not members are skipped.
    :param path: the path that identifies the kind of message.
    :param body: the message.
    """
    request = http.Request(method="POST", path=path, body=body)
    async with trio.open_nursery() as nursery:
        for recipient in list(node.members.values()):
            if recipient.node in recipients:
                nursery.start_soon(_send_to, connect, recipient.address, request)


async def _send_to(
    connect: network.Connect, address: identity.Address, request: http.Request
) -> None:
    sent = await http.fetch(
        connect, address, request, timeout_s=TIMEOUT_S, max_bytes=MAX_ANSWER_BYTES
    )
    if not isinstance(sent, result.Success):
        decision.record(
            log, logging.INFO, "push-failed", address=address, cause=sent.failure().value
        )
