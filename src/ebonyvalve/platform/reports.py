"""Receives the status reports of the target beside this node."""

import functools
import logging

from ebonyvalve.platform import announcement
from ebonyvalve.process import decision, http, identity, member, memory, network
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import grant, reconciliation, records

log = logging.getLogger(__name__)

REPORT_BYTES = 65_536
OK = 200
# The target reports again, or exits by itself.
UNRECORDED = http.Reply(status=503, body=b"{}")


def build_report_server(reconciler: records.Reconciler, remembered: memory.Memory) -> network.Serve:
    """Return the server for the status reports of the target beside this node.

    :param reconciler: the node's state in the store's tables.
    :param remembered: what nodes remember for each other.
    """

    async def respond(request: http.Request) -> http.Reply:
        name = request.path.partition("?")[0].removeprefix(announcement.PATH)
        if request.method == "PUT":
            refusal = apply_report(reconciler, name, request.body)
            if refusal is not None:
                return refusal
            if not await may_acknowledge(reconciler, remembered):
                return UNRECORDED
            await reconciliation.await_keys(reconciler)
            issued = reconciliation.answer_report(reconciler)
            return http.Reply(status=200, body=announcement.encode(issued))
        if request.method == "DELETE":
            reply = apply_leave(reconciler, name, request.body)
            if reply.status == OK and not await may_acknowledge(reconciler, remembered):
                return UNRECORDED
            return reply
        return http.Reply(status=404, body=b"{}")

    return functools.partial(http.serve, respond, max_bytes=REPORT_BYTES)


async def may_acknowledge(reconciler: records.Reconciler, remembered: memory.Memory) -> bool:
    """Return whether a report or leave may be acknowledged, after waiting for the store.

    What it says of the target's end binds all later processes, so that the store must have it.

    :param reconciler: the node's state in the store's tables.
    :param remembered: what nodes remember for each other.
    """
    return not is_leaving(reconciler.node) or await memory.confirm_departure(remembered, reconciler)


def is_leaving(node: node_module.Node) -> bool:
    """Return whether the target beside this node is leaving or gone.

    :param node: the node.
    """
    return node.target is not None and node.target.state is not member.TargetState.READY


def apply_report(reconciler: records.Reconciler, name: str, body: bytes) -> http.Reply | None:
    """Apply a status report; return the response if it is refused.

    :param reconciler: the node's state in the store's tables.
    :param name: the target's id.
    :param body: the report.
    """
    node = reconciler.node
    decoded = announcement.decode(name, body)
    if isinstance(decoded, str):
        decision.record(log, logging.WARNING, "report-unreadable", cause=decoded)
        return http.Reply(status=400, body=b"{}")
    if decoded.service != node.place.service or decoded.address != node.place.target_address:
        decision.record(
            log, logging.WARNING, "report-of-another", target=name, address=decoded.address
        )
        return http.Reply(status=409, body=b"{}")
    current = node.target
    if current is not None and is_late(node, current, decoded):
        decision.record(
            log, logging.INFO, "report-late", target=name, sequence=decoded.report.sequence
        )
        return http.Reply(status=409, body=b"{}")
    grant.record_report(node.grantor, decoded.report)
    node_module.set_target(
        node,
        node_module.Target(
            lifetime=decoded.report.lifetime,
            started_at_ms=decoded.started_at_ms,
            slots=decoded.slots,
            state=decoded.state,
            reported_at=node.now(),
        ),
        decoded.cold_left_s,
    )
    return None


def is_late(
    node: node_module.Node, current: node_module.Target, decoded: announcement.Announcement
) -> bool:
    """Return whether a report is older than the state of the target.

    :param node: the node.
    :param current: the current state of the target.
    :param decoded: the report.
    """
    if decoded.report.lifetime == current.lifetime:
        # The last report may have been a late one of an earlier lifetime.
        is_counted = node.grantor.lifetime == current.lifetime
        return is_counted and decoded.report.sequence <= node.grantor.sequence
    return decoded.started_at_ms < node_module.read_started_at(current)


def apply_leave(reconciler: records.Reconciler, name: str, body: bytes) -> http.Reply:
    """Mark a target as gone that reports that it is leaving.

    The node may not know its lifetime yet: its process may have started while the store was down.

    :param reconciler: the node's state in the store's tables.
    :param name: the target's id.
    :param body: the leave, which names the start of the lifetime.
    """
    node = reconciler.node
    decoded = announcement.decode_leave(name, body)
    if isinstance(decoded, str):
        decision.record(log, logging.WARNING, "leave-unreadable", cause=decoded)
        return http.Reply(status=400, body=b"{}")
    target = node.target
    if decoded.born is None:
        if target is None:
            decision.record(log, logging.WARNING, "leave-unknown", target=name)
            return http.Reply(status=503, body=b"{}")
        if member.read_target_id(target.lifetime) == name:
            node_module.record_leave(node, target.lifetime)
        return http.Reply(status=200, body=b"{}")
    lifetime = member.name_lifetime(name, decoded.born)
    if target is not None and _is_earlier(lifetime, target):
        decision.record(log, logging.INFO, "leave-late", target=lifetime)
        return http.Reply(status=200, body=b"{}")
    node_module.record_leave(node, lifetime)
    return http.Reply(status=200, body=b"{}")


def _is_earlier(lifetime: identity.Lifetime, target: node_module.Target) -> bool:
    """Return whether a lifetime has ended before that of the present target began."""
    is_other = lifetime != target.lifetime
    return is_other and member.read_started_at(lifetime) <= node_module.read_started_at(target)
