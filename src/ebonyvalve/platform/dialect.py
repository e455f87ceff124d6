"""The platform's HTTP headers on requests and answers."""

import collections.abc

import h11

from ebonyvalve.connection import wire
from ebonyvalve.process import decoding, identity, member
from ebonyvalve.request import correlation, delivery, exchange, front, hop_headers, origin

REQUEST_ID = b"x-attempt-id"
# Milliseconds that the caller still waits; a target stops work on the request after this time.
BUDGET_MS = b"x-deadline-ms"
# Shows that a successful answer comes from the target itself.
SEAL = b"x-response-seal"
EXPECT_TARGET = b"x-expect-instance"
NOT_RUN = b"x-not-executed"
# The service of the VM on which the request originated.
CALLER_SERVICE = b"x-caller-service"
SHARD_KEY = b"x-shard-key"
CONTENT_ENCODING = b"content-encoding"
AUTHORIZATION = b"authorization"
# The client account of a request, for the target.
TENANT = b"x-tenant"
MISDIRECTED = 421
# With these statuses a caller may rely on it that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, 503})
# The node sets these on requests to a target and removes them from what callers send.
ROUTER_HEADERS = {BUDGET_MS, EXPECT_TARGET, CALLER_SERVICE}
# Nodes remove these from what callers send if the configuration holds client accounts.
ACCOUNT_HEADERS = {AUTHORIZATION, TENANT}


def build_dialect() -> delivery.Dialect:
    """Return the functions that build requests to targets and interpret their answers."""
    return delivery.Dialect(
        build_headers=build_headers, classify_reply=classify_reply, correlate=correlate
    )


def build_headers(
    call: exchange.Call, lifetime: identity.Lifetime, budget_s: float
) -> exchange.Headers:
    """Return the headers that the node sets on a request to a target.

    :param call: the request, with its rules.
    :param lifetime: the lifetime of the target that is to handle the request.
    :param budget_s: seconds that remain for the request.
    """
    rules = call.rules
    assert rules is not None
    headers = [
        (BUDGET_MS, str(max(1, int(budget_s * 1000))).encode()),
        (EXPECT_TARGET, member.read_target_id(lifetime).encode()),
        (CALLER_SERVICE, rules.origin_service.encode()),
    ]
    if rules.account:
        headers.append((TENANT, rules.account.encode()))
    return headers


def classify_reply(status: int, headers: exchange.Headers) -> delivery.ReplyKind:
    """Return what an answer of the target means.

    An answer with a content coding, a successful one without a seal, and one with a status of
    ``NOT_RUN_STATUSES`` but without the header ``NOT_RUN`` can't be passed on to the caller.

    :param status: its status code.
    :param headers: its headers, with names in lower case.
    """
    names = {name for name, _ in headers}
    if status == MISDIRECTED:
        return delivery.ReplyKind.WRONG_TARGET
    if NOT_RUN in names:
        return delivery.ReplyKind.NOT_RUN
    is_unsealed = 200 <= status < 300 and SEAL not in names
    if CONTENT_ENCODING in names or is_unsealed or status in NOT_RUN_STATUSES:
        return delivery.ReplyKind.UNTRUSTED
    return delivery.ReplyKind.ANSWER


def correlate(headers: exchange.Headers, request_id: str) -> correlation.Correlation:
    """Return whether an answer carries the id of the request that was sent.

    Targets repeat the request id in their answers. A sealed answer without an id can't be told
    apart from a second answer to an earlier request.

    :param headers: its headers.
    :param request_id: the request that was sent.
    """
    answered_id = wire.find_header(headers, REQUEST_ID)
    if answered_id is None:
        is_sealed = wire.find_header(headers, SEAL) is not None
        return correlation.Correlation.MISMATCH if is_sealed else correlation.Correlation.UNNAMED
    return (
        correlation.Correlation.MATCH
        if answered_id == request_id.encode("latin-1")
        else correlation.Correlation.MISMATCH
    )


def build_parse(
    now: collections.abc.Callable[[], float],
) -> collections.abc.Callable[[front.Front, h11.Request], exchange.Call | str]:
    """Return a function that parses the heads of requests.

    :param now: returns the time in seconds.
    """

    def parse(_: front.Front, head: h11.Request) -> exchange.Call | str:
        headers = list(head.headers)
        arrived_at_s = now()
        request_id = wire.find_header(headers, REQUEST_ID) or b""
        return exchange.Call(
            request_id=request_id.decode("latin-1"),
            service=identity.ServiceId(""),
            key=identity.KeyId(""),
            method=head.method.decode("ascii"),
            path=head.target.decode("latin-1"),
            headers=headers,
            length=front.find_length(headers),
            deadline_at_s=arrived_at_s + 60.0,
            is_hop=False,
            arrived_at_s=arrived_at_s,
        )

    return parse


def read_host(call: exchange.Call) -> str:
    """Return the host that a request names, without its port.

    :param call: the request.
    """
    host = wire.find_header(call.headers, b"host") or b""
    return host.decode("latin-1").partition(":")[0].lower()


def read_head(call: exchange.Call, *, uses_accounts: bool = False) -> origin.RequestHead:
    """Return the routing fields of a request's head, and remove headers that the node itself sets.

    :param call: the request; its headers are replaced.
    :param uses_accounts: whether client accounts are in use, so that the headers about them are
        removed too.
    """
    host = read_host(call)
    budget = wire.find_header(call.headers, BUDGET_MS)
    key_slot_header = wire.find_header(call.headers, SHARD_KEY)
    authorization = tuple(value for name, value in call.headers if name == AUTHORIZATION)
    call.headers = [
        pair
        for pair in call.headers
        if pair[0] not in ROUTER_HEADERS and not pair[0].startswith(hop_headers.HEADER_PREFIX)
    ]
    if uses_accounts:
        # Some servers take underscores in names of headers for hyphens.
        call.headers = [
            pair for pair in call.headers if pair[0].replace(b"_", b"-") not in ACCOUNT_HEADERS
        ]
    return origin.RequestHead(
        request_id=call.request_id,
        host=host,
        timeout_s=_read_ms(budget),
        key_slot=(
            None
            if key_slot_header is None
            else decoding.read_count(key_slot_header, max_value=identity.LAST_KEY_SLOT)
        ),
        authorization=authorization,
        # A target names its calls by the id of the request that it runs, a dot and a suffix.
        parent_id=call.request_id.rpartition(".")[0],
    )


def _read_ms(value: bytes | None) -> float | None:
    try:
        return None if value is None else max(0.0, float(value)) / 1000
    except ValueError:
        # Without a valid budget, only the time-out of the route applies.
        return None
