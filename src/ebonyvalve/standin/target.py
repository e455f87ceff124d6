"""A stand-in of a platform target, which gets fenced grants in reply to its status reports."""

import collections.abc
import dataclasses

import h11
import msgspec
from returns import result
import trio

from ebonyvalve.process import http, identity, network

SERVED = 200
MISDIRECTED = 421
FULL = 503


@dataclasses.dataclass(kw_only=True)
class Target:
    """The state of a target.

    ``holds`` lists the granted ranges of key slots as first, last and fencing token, which are
    valid until the time ``until`` in seconds; ``released`` lists those to report as released, their
    tokens as texts. A request takes ``work_s`` seconds, and a status report is sent every
    ``heartbeat_s`` seconds.
    ``received_ids`` lists the ids of the requests received, ``budgets_ms`` their remaining time in
    milliseconds, and ``completed_ids`` the ids of the requests completed. ``callers`` lists the
    services that called, and ``dropped`` counts the requests dropped because their connection
    closed. ``tenants`` and ``credentials`` list the headers ``X-Tenant`` and ``Authorization`` of
    the completed requests, empty for none.
    """

    name: str
    service: str
    address: str
    reports_address: str
    is_keyed: bool
    slots: int = 4
    work_s: float = 0.0
    heartbeat_s: float = 0.2
    born_ms: int = 1
    sequence: int = 0
    state: str = "ready"
    running: int = 0
    until: float = 0.0
    holds: list[tuple[int, int, int]] = dataclasses.field(default_factory=list)
    released: list[tuple[int, int, str]] = dataclasses.field(default_factory=list)
    received_ids: list[str] = dataclasses.field(default_factory=list)
    completed_ids: list[str] = dataclasses.field(default_factory=list)
    budgets_ms: list[int] = dataclasses.field(default_factory=list)
    callers: list[str] = dataclasses.field(default_factory=list)
    tenants: list[str] = dataclasses.field(default_factory=list)
    credentials: list[str] = dataclasses.field(default_factory=list)
    dropped: int = 0


async def serve(target: Target, stream: trio.abc.Stream) -> None:
    """Serve one connection of the router.

    :param target: the target.
    :param stream: the connection.
    """
    protocol = h11.Connection(h11.SERVER)
    try:
        while True:
            head, body = await http.receive_message(stream, protocol)
            if not isinstance(head, h11.Request):
                return
            answer = await _run_unless_closed(target, stream, head, body)
            if answer is None:
                return
            reply, content = answer
            await http.send_message(stream, protocol, reply, content)
            protocol.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
        # The router closed the connection or aborted the request.
        return
    finally:
        await trio.aclose_forcefully(stream)


async def _run_unless_closed(
    target: Target, stream: trio.abc.Stream, head: h11.Request, body: bytes
) -> tuple[h11.Response, bytes] | None:
    """Run a request; return ``None`` if its connection closes before it ends."""
    answer: tuple[h11.Response, bytes] | None = None
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            await stream.receive_some(1)
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        answer = await _run(target, head, body)
        nursery.cancel_scope.cancel()
    if answer is None:
        target.dropped += 1
    return answer


async def _run(target: Target, head: h11.Request, body: bytes) -> tuple[h11.Response, bytes]:
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    request_id = headers.get("x-attempt-id", "")
    id_header = ("x-attempt-id", request_id)
    target.received_ids.append(request_id)
    target.budgets_ms.append(int(headers.get("x-deadline-ms", "0")))
    if headers.get("x-expect-instance") != target.name or not _may_run(target, headers):
        return _reply(MISDIRECTED, [id_header, ("x-not-executed", "1")], b"")
    if target.running >= target.slots:
        return _reply(FULL, [id_header, ("x-not-executed", "1")], b"")
    target.running += 1
    try:
        await trio.sleep(target.work_s)
    finally:
        target.running -= 1
    target.completed_ids.append(request_id)
    target.callers.append(headers.get("x-caller-service", ""))
    target.tenants.append(_join_values(head, b"x-tenant"))
    target.credentials.append(_join_values(head, b"authorization"))
    content = body or f"{target.name} {head.target.decode()}".encode()
    reply_headers = [id_header, ("x-response-seal", "seal")]
    return _reply(SERVED, reply_headers, content)


def _join_values(head: h11.Request, name: bytes) -> str:
    return ", ".join(value.decode("latin-1") for found, value in head.headers if found == name)


def _may_run(target: Target, headers: dict[str, str]) -> bool:
    if not target.is_keyed:
        return True
    key_slot = int(headers.get("x-shard-key", "-1"))
    is_held = any(first <= key_slot <= last for first, last, _ in target.holds)
    return is_held and trio.current_time() < target.until


def _reply(
    status: int, headers: collections.abc.Sequence[tuple[str, str]], body: bytes
) -> tuple[h11.Response, bytes]:
    all_headers = [*headers, ("content-length", str(len(body)))]
    head = [(name.encode(), value.encode("latin-1")) for name, value in all_headers]
    return h11.Response(status_code=status, headers=head), body


async def report(target: Target) -> None:
    """Send status reports periodically until cancelled.

    :param target: the target.
    """
    while True:
        sent_at = trio.current_time()
        reply = await http.fetch(
            network.connect_tcp, target.reports_address, build_report(target), timeout_s=1.0
        )
        is_pending = False
        if isinstance(reply, result.Success) and reply.unwrap().status == SERVED:
            is_pending = _apply_reply(target, msgspec.json.decode(reply.unwrap().body), sent_at)
        # Released ranges are reported soon, so that they can be granted to another target.
        await trio.sleep(0.1 if is_pending else target.heartbeat_s)


def build_report(target: Target) -> http.Request:
    """Return the next status report of a target.

    :param target: the target.
    """
    target.sequence += 1
    body = {
        "address": target.address,
        "born": target.born_ms,
        "info": {"backend": target.service, "slots": target.slots, "zone": "z1", "version": "v1"},
        "status": {"state": target.state, "seq": target.sequence, "cold_left_s": 0},
        "holds": target.holds,
        "released": target.released,
    }
    return http.Request(
        method="PUT", path=f"/instances/{target.name}", body=msgspec.json.encode(body)
    )


def _apply_reply(target: Target, answer: dict[str, object], sent_at: float) -> bool:
    """Apply the reply to a report; return whether it revoked ranges, which are now released."""
    target.released = []
    rows = answer.get("holds")
    if not isinstance(rows, list):
        return False
    granted = [(first, last, fence) for first, last, fence, _ in rows]
    revoked = [row for row in target.holds if row not in granted]
    target.released = [(first, last, f"h{fence}") for first, last, fence in revoked]
    target.holds = granted
    hold_s = answer.get("hold_s", 0.0)
    target.until = sent_at + (hold_s if isinstance(hold_s, float | int) else 0.0)
    return bool(revoked)


def count_keys(target: Target) -> int:
    """Return the number of key slots that the target holds.

    :param target: the target.
    """
    return sum(
        last - first + 1 for first, last, _ in target.holds if last <= identity.LAST_KEY_SLOT
    )
