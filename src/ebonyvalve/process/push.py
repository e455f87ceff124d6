"""Tells other nodes what they should not wait for."""

import collections.abc
import logging

from returns import result
import trio

from ebonyvalve.process import decision, http, identity, network
from ebonyvalve.process import node as node_module

log = logging.getLogger(__name__)

TIMEOUT_S = 0.5
# Other nodes answer with a status only.
MAX_ANSWER_BYTES = 1024


def list_service_peers(node: node_module.Node) -> set[identity.NodeId]:
    """Return the other nodes of the own service.

    :param node: the node.
    """
    return {
        one.node
        for one in node.members.values()
        if one.service == node.place.service and one.node != node.place.node
    }


async def send(
    node: node_module.Node,
    connect: network.Connect,
    names: collections.abc.Set[identity.NodeId],
    path: str,
    body: bytes,
) -> None:
    """Send a message to other nodes; one that is lost is not repeated.

    :param node: the node.
    :param connect: opens a connection.
    :param names: the other nodes; those that are no members are left out.
    :param path: names the message.
    :param body: the message.
    """
    request = http.Request(method="POST", path=path, body=body)
    async with trio.open_nursery() as nursery:
        for one in list(node.members.values()):
            if one.node in names:
                nursery.start_soon(_send_to, connect, one.address, request)


async def _send_to(
    connect: network.Connect, address: identity.Address, request: http.Request
) -> None:
    sent = await http.fetch(
        connect, address, request, timeout_s=TIMEOUT_S, most_bytes=MAX_ANSWER_BYTES
    )
    if not isinstance(sent, result.Success):
        decision.record(
            log, logging.INFO, "push-failed", address=address, cause=sent.failure().value
        )
