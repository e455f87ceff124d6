"""Tests of the memory of a daemon process while many peers send without end at the same time."""

import collections.abc
import contextlib
import functools
import pathlib

import h11
import trio

from ebonyvalve.connection import wire
from ebonyvalve.platform import settings
from ebonyvalve.process import http, network, place
from ebonyvalve.standin import metadata, target
from tests.platform import mesh as mesh_module
from tests.platform import test_process

CONNECTIONS = 100
FLOOD_S = 1.0
# The route's time limit is 2 s, but a busy test machine may be slow.
MAX_ANSWER_S = 10.0
# A connection has a head or a piece of a body, as received and as passed on, in two copies each.
MAX_CONNECTION_BYTES = 4 * (wire.MAX_HEAD_BYTES + wire.READ_BYTES)
# For modules that are loaded on demand, and for what the allocator keeps.
ALLOWANCE_BYTES = 16_777_216

SEALED = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: r1\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
PIECE = b"a" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"


def build_head(method: str, path: str, framing: bytes) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nhost: {mesh_module.HOST}\r\nx-attempt-id: r1\r\n"
    return head.encode() + framing


# What the target sends in answer to a request for a path: first, and then without end.
ANSWERS = {
    "/orders/garbage": (b"", PIECE),
    "/orders/head": (b"HTTP/1.1 200 OK\r\nx: ", PIECE),
    "/orders/hints": (b"", (b"HTTP/1.1 103 Hints\r\nx: " + b"a" * 30_000 + b"\r\n\r\n") * 2),
    "/orders/stray": (SEALED.replace(b"r1", b"r0") + CHUNKED, CHUNK),
    "/orders/chunks": (SEALED + CHUNKED, CHUNK),
    "/orders/close": (SEALED + b"\r\n", PIECE),
    "/orders/trailers": (SEALED + CHUNKED + b"0\r\n", b"x-a: b\r\n" * 8192),
}
# The listener, what its clients send first, and then without end; or that they read nothing.
FLOODS = [
    *(("callers", build_head("GET", path, b"\r\n"), b"", True) for path in ANSWERS),
    ("callers", build_head("GET", "/orders/chunks", b"\r\n"), b"", False),
    ("callers", build_head("GET", "/orders/x", b"x: "), PIECE, True),
    ("callers", build_head("POST", "/orders/x", CHUNKED), CHUNK, True),
    ("callers", build_head("POST", "/orders/x", CHUNKED + b"0\r\n"), b"x: a\r\n" * 8192, True),
    ("peers", build_head("POST", "/ebonyvalve/ledger/orders/5", CHUNKED), CHUNK, True),
    ("ready", build_head("POST", "/readyz", CHUNKED), CHUNK, True),
    ("ready", build_head("POST", "/readyz", b"content-length: 99999999\r\n\r\n"), PIECE, True),
    ("reports", build_head("PUT", "/instances/i-0", CHUNKED), CHUNK, True),
]


async def serve_target(stream: trio.abc.Stream) -> None:
    """Answer requests, or send without end as ``ANSWERS`` says."""
    with contextlib.suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
        while True:
            protocol = h11.Connection(h11.SERVER)
            head, _ = await http.receive_message(stream, protocol)
            if not isinstance(head, h11.Request):
                break
            if head.target.decode() in ANSWERS:
                first, unit = ANSWERS[head.target.decode()]
                await stream.send_all(first)
                while True:
                    await stream.send_all(unit)
            name = dict(head.headers)[b"x-attempt-id"]
            answer = SEALED.replace(b"r1", name) + b"content-length: 2\r\n\r\nok"
            await stream.send_all(answer)
    await trio.aclose_forcefully(stream)


async def flood(address: str, first: bytes, unit: bytes, reads: bool) -> None:
    """Send to an address without end, and read what comes unless ``reads`` is false."""
    stream = await network.connect_tcp(address)

    async def read() -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some(wire.READ_BYTES):
                pass

    async with trio.open_nursery() as nursery:
        if reads:
            nursery.start_soon(read)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(first)
            while unit:
                await stream.send_all(unit)
        if not reads:
            await trio.sleep_forever()


async def ask_meanwhile(
    address: str, floods: collections.abc.Sequence[collections.abc.Callable[[], object]]
) -> list[int]:
    """Return the statuses of requests that are made one by one during floods."""
    statuses = []
    with trio.move_on_after(FLOOD_S) as scope:
        async with trio.open_nursery() as nursery:
            for run in floods:
                nursery.start_soon(run)
            client = await mesh_module.open_client(address)
            while trio.current_time() < scope.deadline:
                with trio.CancelScope(shield=True), trio.fail_after(MAX_ANSWER_S):
                    statuses.append((await mesh_module.ask(client, "GET", "/orders/x"))[0])
                await trio.sleep(0.02)
    return statuses


def read_peak_bytes(pid: int) -> int:
    """Return the peak resident memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def list_addresses(here: place.Place) -> dict[str, str]:
    return {
        "callers": here.callers_address,
        "peers": here.peers_address,
        "ready": here.ready_address,
        "reports": here.reports_address,
    }


async def test_memory_stays_bounded_while_many_send_without_end(tmp_path: pathlib.Path) -> None:
    """Guards against a process that grows beyond its memory with the bytes of faulty peers."""
    store_port, *ports = mesh_module.find_ports(6)
    state = metadata.Metadata(now=trio.current_time)
    metadata.put(state, "op", "config", mesh_module.build_config(1))
    raw = mesh_module.write_settings(0, "orders", ports, store_port)
    here = settings.decode(raw)
    reporter = target.Target(
        name="i-0",
        service="orders",
        address=here.target_address,
        reports_address=here.reports_address,
        is_keyed=False,
    )
    respond = metadata.build_respond(state, "")
    max_growth = CONNECTIONS * MAX_CONNECTION_BYTES + ALLOWANCE_BYTES
    with test_process.open_daemon(tmp_path, raw) as process:
        async with trio.open_nursery() as nursery:
            store = functools.partial(http.serve, respond)
            nursery.start_soon(network.listen_tcp, f"127.0.0.1:{store_port}", store)
            nursery.start_soon(network.listen_tcp, here.target_address, serve_target)
            nursery.start_soon(target.report, reporter)
            client = await mesh_module.open_client(here.callers_address)
            await mesh_module.wait_status(client, 200, "/orders/warm")
            before = read_peak_bytes(process.pid)
            for listener, first, unit, reads in FLOODS:
                address = list_addresses(here)[listener]
                run = functools.partial(flood, address, first, unit, reads)
                statuses = await ask_meanwhile(here.callers_address, [run] * CONNECTIONS)
                growth = read_peak_bytes(process.pid) - before
                assert growth <= max_growth, (listener, first, growth)
                # Beside floods on one core, a request may be refused or reach its time limit.
                assert statuses and set(statuses) <= {200, 503, 504}, (listener, first, statuses)
                await mesh_module.wait_status(client, 200, "/orders/x")
            nursery.cancel_scope.cancel()
