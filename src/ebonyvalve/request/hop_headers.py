"""Builds and parses the headers that nodes exchange with forwarded requests and their replies."""

import logging

from ebonyvalve.connection import wire
from ebonyvalve.process import decision, decoding, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.load import lag, selection
from ebonyvalve.request import delivery, exchange, outcome

log = logging.getLogger(__name__)

SERVICE_HEADER = b"ebonyvalve-service"
DEADLINE_HEADER = b"ebonyvalve-deadline-ms"
ORIGIN_HEADER = b"ebonyvalve-origin"
RULES_HEADER = b"ebonyvalve-rules"
LOAD_HEADER = b"ebonyvalve-load"
REFUSED_HEADER = b"ebonyvalve-refused"
# Version of the newest operator row that the sender has applied.
VERSION_HEADER = b"ebonyvalve-seen"
OWNER_HEADER = b"ebonyvalve-owner"
# The client account of a request; nodes of earlier releases neither send nor read it.
ACCOUNT_HEADER = b"ebonyvalve-account"
RETRY_AFTER_HEADER = b"retry-after"
HEADER_PREFIX = b"ebonyvalve-"
MAX_RETRY_AFTER_S = 3600.0
MAX_WORK_MS = 3_600_000
RULES_FIELDS = 6
LOAD_FIELDS = 5
REASONS = {reason.value.encode(): reason for reason in outcome.Reason}
VERDICTS = {verdict.value.encode(): verdict for verdict in outcome.Verdict}


def read_refusal(value: bytes, headers: exchange.Headers) -> delivery.Completion:
    """Return the completion of a request that another node refused.

    If the headers cannot be parsed, the outcome is unknown: the request may have run.

    :param value: the value of the header with the verdict and the reason.
    :param headers: all headers of the reply.
    """
    raw_verdict, _, raw_reason = value.partition(b":")
    verdict = VERDICTS.get(raw_verdict)
    reason = REASONS.get(raw_reason)
    retry_after = wire.find_header(headers, RETRY_AFTER_HEADER) or b"0"
    retry_after_s = decoding.read_number(retry_after, max_value=MAX_RETRY_AFTER_S)
    named = wire.find_header(headers, OWNER_HEADER)
    owner = decoding.read_name(named) if named else ""
    if verdict is None or reason is None or retry_after_s is None or owner is None:
        decision.record(log, logging.WARNING, "refusal-unreadable", value=repr(value)[:100])
        return delivery.Completion(result=outcome.unknown(outcome.Reason.CONNECTION_LOST))
    is_not_run = verdict is outcome.Verdict.NOT_RUN
    return delivery.Completion(
        result=outcome.refuse(reason) if is_not_run else outcome.unknown(reason),
        retry_after_s=retry_after_s,
        owner=identity.NodeId(owner) if owner else None,
    )


def strip_headers(headers: exchange.Headers) -> exchange.Headers:
    """Return headers without the mesh's own.

    :param headers: pairs with names in lower case.
    """
    return [pair for pair in headers if not pair[0].startswith(HEADER_PREFIX)]


def build_headers(call: exchange.Call, now: float) -> exchange.Headers:
    """Return the headers that forward a request's service, deadline and rules to another node.

    :param call: the request, with its rules.
    :param now: seconds on the node's clock.
    """
    rules = call.rules
    assert rules is not None
    remaining_ms = max(1, int((call.deadline_at_s - now) * 1000))
    key_slot = "" if rules.key_slot is None else str(rules.key_slot)
    packed = (
        f"{int(rules.is_repeatable)},{rules.max_attempts},{rules.priority},"
        f"{int(rules.objective_s * 1000)},{key_slot},{rules.route}"
    )
    headers = [
        (SERVICE_HEADER, call.service.encode()),
        (DEADLINE_HEADER, str(remaining_ms).encode()),
        (ORIGIN_HEADER, rules.origin_service.encode()),
        (RULES_HEADER, packed.encode()),
    ]
    if rules.account:
        headers.append((ACCOUNT_HEADER, rules.account.encode()))
    return headers


def is_hop(headers: exchange.Headers) -> bool:
    """Return whether a request of another node is a forwarded one, not a message between nodes.

    :param headers: its headers.
    """
    return wire.find_header(headers, SERVICE_HEADER) is not None


def parse_headers(call: exchange.Call, headers: exchange.Headers) -> bool:
    """Set a request's service, deadline and rules from the headers of :func:`build_headers`.

    :param call: the request, as received from another node.
    :param headers: its headers.
    :return: whether all of the headers were present and valid.
    """
    found = {name: value for name, value in headers if name.startswith(HEADER_PREFIX)}
    service = decoding.read_name(found.get(SERVICE_HEADER, b""))
    origin_service = decoding.read_name(found.get(ORIGIN_HEADER, b""))
    remaining_ms = decoding.read_count(found.get(DEADLINE_HEADER, b""))
    account = decoding.read_name(found[ACCOUNT_HEADER]) if ACCOUNT_HEADER in found else ""
    rules = _read_rules(found.get(RULES_HEADER, b""), origin_service or "", account or "")
    if (
        service is None
        or origin_service is None
        or remaining_ms is None
        or rules is None
        or account is None
    ):
        decision.record(log, logging.WARNING, "hop-unreadable", cause=str(found)[:200])
        return False
    call.service = identity.ServiceId(service)
    call.deadline_at_s = call.arrived_at_s + remaining_ms / 1000
    call.rules = rules
    return True


def _read_rules(value: bytes, origin_service: str, account: str) -> exchange.Rules | None:
    """Return the rules in the value of a rules header, or ``None`` if it is invalid."""
    fields = value.split(b",", RULES_FIELDS - 1)
    if len(fields) != RULES_FIELDS:
        return None
    repeatable, raw_attempts, raw_priority, raw_objective_ms, key, route = fields
    numbers = [decoding.read_count(text) for text in (raw_attempts, raw_priority, raw_objective_ms)]
    key_slot = decoding.read_count(key, max_value=identity.LAST_KEY_SLOT)
    if None in numbers or (key and key_slot is None):
        return None
    max_attempts, priority, objective_ms = (number or 0 for number in numbers)
    return exchange.Rules(
        is_repeatable=repeatable == b"1",
        max_attempts=max_attempts,
        priority=priority,
        objective_s=objective_ms / 1000,
        origin_service=identity.ServiceId(origin_service),
        key_slot=key_slot,
        route=route.decode("ascii", "backslashreplace"),
        account=identity.AccountId(account),
    )


def record_load(view: selection.TargetView, headers: exchange.Headers, now: float) -> None:
    """Record the load that another node reports for its target; an invalid report is ignored.

    :param view: the state of the target as seen here.
    :param headers: headers of the other node's reply.
    :param now: seconds on the node's clock.
    """
    fields = (wire.find_header(headers, LOAD_HEADER) or b"").split(b",")
    if len(fields) != LOAD_FIELDS:
        return
    busy = decoding.read_count(fields[0], max_value=decoding.MAX_SLOTS)
    slots = decoding.read_count(fields[1], max_value=decoding.MAX_SLOTS)
    work_ms = decoding.read_count(fields[2], max_value=MAX_WORK_MS)
    offered = decoding.read_number(fields[3], max_value=decoding.MAX_LOAD)
    request_load = decoding.read_number(fields[4], max_value=decoding.MAX_LOAD)
    if busy is None or not slots or not work_ms or offered is None or request_load is None:
        return
    report = selection.LoadReport(
        busy=busy,
        slots=slots,
        work_s=work_ms / 1000,
        offered=offered,
        request_load=request_load,
    )
    selection.record_load(view, report, now)


def build_version_header(node: node_module.Node) -> exchange.Headers:
    """Return the header with the version of this node's operator rows.

    :param node: the node.
    """
    return [(VERSION_HEADER, str(node.operator_version).encode())]


def record_version(
    node: node_module.Node, headers: exchange.Headers, by: identity.NodeId | None = None
) -> None:
    """Record the version of the operator rows that another node advertises.

    :param node: the node.
    :param headers: headers of a request or reply of the other node.
    :param by: the other node, if it is known.
    """
    version = decoding.read_count(wire.find_header(headers, VERSION_HEADER) or b"")
    if version is not None:
        node_module.record_advertised(node, version, by)


def build_load_headers(node: node_module.Node) -> exchange.Headers:
    """Return the headers with the load of this node's target and its operator version.

    :param node: the node.
    """
    load = node_module.measure_load(node)
    # A node whose event loop lags replies late however fast its target is.
    work_ms = max(1, int((load.work_s + lag.expect_delay(node.loop_lag)) * 1000))
    value = f"{load.busy},{load.slots},{work_ms},{load.offered:.3f},{load.request_load:.5f}"
    return [(LOAD_HEADER, value.encode()), *build_version_header(node)]
