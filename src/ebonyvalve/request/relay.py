"""The headers with which one node sends a request to another, and those of the answer."""

import logging

from ebonyvalve.connection import wire
from ebonyvalve.process import decision, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.load import choice, pace
from ebonyvalve.request import delivery, exchange, outcome

log = logging.getLogger(__name__)

SERVICE_HEADER = b"ebonyvalve-service"
DEADLINE_HEADER = b"ebonyvalve-deadline-ms"
ORIGIN_HEADER = b"ebonyvalve-origin"
RULES_HEADER = b"ebonyvalve-rules"
LOAD_HEADER = b"ebonyvalve-load"
REFUSED_HEADER = b"ebonyvalve-refused"
# The newest row of the operator that the sender has applied.
SEEN_HEADER = b"ebonyvalve-seen"
OWNER_HEADER = b"ebonyvalve-owner"
RETRY_AFTER_HEADER = b"retry-after"
PREFIX = b"ebonyvalve-"


def read_refusal(value: bytes, headers: exchange.Headers) -> delivery.Ended:
    verdict, _, reason = value.decode().partition(":")
    retry_after = wire.find_header(headers, RETRY_AFTER_HEADER) or b"0"
    owner = wire.find_header(headers, OWNER_HEADER)
    why = outcome.Reason(reason)
    is_not_run = verdict == outcome.Verdict.NOT_RUN.value
    return delivery.Ended(
        result=outcome.refuse(why) if is_not_run else outcome.doubt(why),
        retry_after_s=float(retry_after),
        owner=identity.NodeId(owner.decode()) if owner else None,
    )


def strip(headers: exchange.Headers) -> exchange.Headers:
    """Return headers without those of the mesh.

    :param headers: pairs with names in lower case.
    """
    return [pair for pair in headers if not pair[0].startswith(PREFIX)]


def dress_hop(call: exchange.Call, now: float) -> exchange.Headers:
    """Return the headers that tell another node what it needs of a request.

    :param call: the request, with its rules.
    :param now: seconds on the node's clock.
    """
    rules = call.rules
    assert rules is not None
    left_ms = max(1, int((call.deadline_at_s - now) * 1000))
    slot = "" if rules.slot is None else str(rules.slot)
    packed = (
        f"{int(rules.is_repeatable)},{rules.attempts},{rules.priority},"
        f"{int(rules.objective_s * 1000)},{slot},{rules.kind}"
    )
    return [
        (SERVICE_HEADER, call.service.encode()),
        (DEADLINE_HEADER, str(left_ms).encode()),
        (ORIGIN_HEADER, rules.origin.encode()),
        (RULES_HEADER, packed.encode()),
    ]


def undress_hop(call: exchange.Call, headers: exchange.Headers) -> bool:
    """Read what :func:`dress_hop` wrote into a request; return whether it was all there.

    :param call: the request, as read.
    :param headers: its headers.
    """
    found = {name: value.decode() for name, value in headers if name.startswith(PREFIX)}
    try:
        repeatable, attempts, priority, objective_ms, slot, kind = found[RULES_HEADER].split(",", 5)
        call.service = identity.ServiceId(found[SERVICE_HEADER])
        call.deadline_at_s = call.arrived_at_s + int(found[DEADLINE_HEADER]) / 1000
        call.rules = exchange.Rules(
            is_repeatable=repeatable == "1",
            attempts=int(attempts),
            priority=int(priority),
            objective_s=int(objective_ms) / 1000,
            origin=identity.ServiceId(found[ORIGIN_HEADER]),
            slot=int(slot) if slot else None,
            kind=kind,
        )
    except (KeyError, ValueError) as exc:
        decision.record(log, logging.WARNING, "hop-unreadable", cause=repr(exc))
        return False
    return True


def take_load(view: choice.View, headers: exchange.Headers, now: float) -> None:
    value = wire.find_header(headers, LOAD_HEADER)
    if value is None:
        return
    busy, slots, work_ms, offered, request_load = value.split(b",")
    report = choice.Report(
        busy=int(busy),
        slots=int(slots),
        work_s=int(work_ms) / 1000,
        offered=float(offered),
        request_load=float(request_load),
    )
    choice.note_load(view, report, now)


def list_seen(node: node_module.Node) -> exchange.Headers:
    """Return the header that tells another node how new this node's configuration is.

    :param node: the node.
    """
    return [(SEEN_HEADER, str(node.operator_version).encode())]


def take_seen(node: node_module.Node, headers: exchange.Headers) -> None:
    """Look for news in the store if another node has them.

    :param node: the node.
    :param headers: of a request or an answer of the other node.
    """
    value = wire.find_header(headers, SEEN_HEADER)
    if value is not None and value.isdigit():
        node_module.note_named(node, int(value))


def list_load(node: node_module.Node) -> exchange.Headers:
    """Return the header that tells another node the load of this node's target.

    :param node: the node.
    """
    load = node_module.measure(node)
    # A node that is behind answers late however fast its target is.
    work_ms = max(1, int((load.work_s + pace.expect_own(node.behind)) * 1000))
    value = f"{load.busy},{load.slots},{work_ms},{load.offered:.3f},{load.request_load:.5f}"
    return [(LOAD_HEADER, value.encode()), *list_seen(node)]
