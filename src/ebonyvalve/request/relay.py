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
    """Return what another node says of a request that it has not answered.

    What can't be read, such as a reason of a later release, proves nothing.

    :param value: of the refusal's header.
    :param headers: all headers of its answer.
    """
    verdict, _, reason = value.decode("latin-1").partition(":")
    retry_after = wire.find_header(headers, RETRY_AFTER_HEADER) or b"0"
    named = wire.find_header(headers, OWNER_HEADER)
    try:
        owner = identity.NodeId(named.decode()) if named else None
        why = outcome.Reason(reason)
        retry_after_s = float(retry_after)
    except ValueError as exc:
        decision.record(log, logging.WARNING, "refusal-unreadable", cause=repr(exc))
        return delivery.Ended(result=outcome.doubt(outcome.Reason.CONNECTION_LOST))
    is_not_run = verdict == outcome.Verdict.NOT_RUN.value
    return delivery.Ended(
        result=outcome.refuse(why) if is_not_run else outcome.doubt(why),
        retry_after_s=retry_after_s,
        owner=owner,
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


def undress_hop(call: exchange.Call, headers: exchange.Headers, now: float) -> bool:
    """Read what :func:`dress_hop` wrote into a request; return whether it was all there.

    :param call: the request, as read.
    :param headers: its headers.
    :param now: seconds on the node's clock.
    """
    try:
        found = {name: value.decode() for name, value in headers if name.startswith(PREFIX)}
        repeatable, attempts, priority, objective_ms, slot, kind = found[RULES_HEADER].split(",", 5)
        call.service = identity.ServiceId(found[SERVICE_HEADER])
        call.deadline_at_s = now + int(found[DEADLINE_HEADER]) / 1000
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
    """Note the load that another node's answer tells; one that can't be read tells nothing.

    :param view: what is known of the other node's target.
    :param headers: of its answer.
    :param now: seconds on the node's clock.
    """
    value = wire.find_header(headers, LOAD_HEADER)
    if value is None:
        return
    try:
        busy, slots, work_ms, offered, request_load = value.split(b",")
        report = choice.Report(
            busy=int(busy),
            slots=int(slots),
            work_s=int(work_ms) / 1000,
            offered=float(offered),
            request_load=float(request_load),
        )
    except ValueError as exc:
        decision.record(log, logging.WARNING, "load-unreadable", cause=repr(exc))
        return
    choice.note_load(view, report, now)


def list_seen(node: node_module.Node) -> exchange.Headers:
    """Return the header that tells another node how new this node's configuration is.

    :param node: the node.
    """
    return [(SEEN_HEADER, str(node.operator_version).encode())]


def take_seen(
    node: node_module.Node, headers: exchange.Headers, by: identity.NodeId | None = None
) -> None:
    """Note that another node may have news.

    :param node: the node.
    :param headers: of a request or an answer of the other node.
    :param by: the other node, if that is known.
    """
    value = wire.find_header(headers, SEEN_HEADER)
    if value is not None and value.isdigit():
        node_module.note_named(node, int(value), by)


def list_load(node: node_module.Node) -> exchange.Headers:
    """Return the header that tells another node the load of this node's target.

    :param node: the node.
    """
    load = node_module.measure(node)
    # A node that is behind answers late however fast its target is.
    work_ms = max(1, int((load.work_s + pace.expect_own(node.behind)) * 1000))
    value = f"{load.busy},{load.slots},{work_ms},{load.offered:.3f},{load.request_load:.5f}"
    return [(LOAD_HEADER, value.encode()), *list_seen(node)]
