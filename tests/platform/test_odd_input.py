"""Tests of invalid input on every listener.

An exception in the handler of one connection cancels all tasks and ends the process.
"""

import contextlib
import dataclasses
import functools

import msgspec
import pytest
import trio

from ebonyvalve.process import http, identity, network
from tests.platform import mesh as mesh_module

DIGITS = "9" * 5000
DEEP = b"[" * 100_000 + b"]" * 100_000
CHUNKED = b"POST /orders/a HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n"
REPORT: dict[str, object] = {
    "address": "10.0.0.9:8080",
    "born": 5,
    "info": {"backend": "orders", "slots": 6},
    "status": {"state": "ready", "seq": 4},
}


def build_request(method: str, path: str, *headers: str, body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "host: shop.example", f"content-length: {len(body)}"]
    return "\r\n".join([*lines, *headers, "", ""]).encode("latin-1") + body


def build_hop(**changed: str) -> bytes:
    """Return a request that is forwarded by another node, with some headers changed."""
    headers = {
        "ebonyvalve-service": "orders",
        "ebonyvalve-deadline-ms": "1000",
        "ebonyvalve-origin": "lookup",
        "ebonyvalve-rules": "1,2,1,300,,r",
        "ebonyvalve-seen": "1",
        **{f"ebonyvalve-{name}": value for name, value in changed.items()},
    }
    return build_request(
        "GET", "/orders/a", *(f"{name}: {value}" for name, value in headers.items())
    )


CALLERS = [
    build_request("GET", "/lookup/a", f"x-shard-key: {DIGITS}"),
    build_request("GET", "/lookup/a", "x-shard-key: -1"),
    build_request("GET", "/lookup/a", "x-shard-key: \xb2"),
    build_request("GET", "/orders/a", "x-deadline-ms: nan"),
    build_request("GET", "/orders/a", "x-deadline-ms: -inf"),
    build_request("GET", "/orders/a", f"x-deadline-ms: {DIGITS}"),
    build_request("GET", "/orders/a", "x-attempt-id: \xff\xfe"),
    build_request("HEAD", "/orders/a"),
    build_request("HEAD", "/nowhere/a"),
    build_request("CONNECT", "/orders/a"),
    build_request("GET", "/orders/a", "upgrade: websocket", "connection: upgrade"),
    build_request("GET", "/orders/a", "expect: 100-continue"),
    build_request("OPTIONS", "*"),
    b"GET /orders/a HTTP/1.0\r\nhost: shop.example\r\n\r\n",
    b"GET /orders/a HTTP/1.0\r\n\r\n",
    build_request("GET", "/orders/a", "host: other.example"),
    # Headers that a Connection header names are not passed on.
    build_request("GET", "/orders/a", "connection: host"),
    build_request("POST", "/orders/a", "connection: content-length", body=b"abc"),
    build_request("GET", "/orders/a", "connection: x-attempt-id, x-deadline-ms"),
    CHUNKED + b"ffffffffffffffffffff\r\n",
    CHUNKED + b"zz\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
    b"\r\n" * 50,
]
PEERS = [
    build_hop(service="\xff"),
    build_hop(service="\xe9\xe9"),
    build_hop(**{"deadline-ms": DIGITS}),
    build_hop(**{"deadline-ms": "9" * 400}),
    build_hop(**{"deadline-ms": "-1"}),
    build_hop(**{"deadline-ms": "nan"}),
    build_hop(rules="1,2,1,300,99999999,r"),
    build_hop(rules="1,2,1,300,-5,r"),
    build_hop(rules=f"1,2,1,{'9' * 400},,r"),
    build_hop(rules=f"1,2,{'9' * 400},300,,r"),
    build_hop(rules="1,2"),
    build_hop(seen=DIGITS),
    build_hop(seen="\xb2"),
    build_hop(owner="\xff"),
    build_hop(load="\xff"),
    build_hop().replace(b"\r\n\r\n", b"\r\nconnection: host\r\n\r\n"),
    build_hop().replace(b"HTTP/1.1\r\nhost: shop.example", b"HTTP/1.0"),
    build_request("GET", f"/ebonyvalve/operator/{DIGITS}"),
    build_request("GET", "/ebonyvalve/operator/\xb2"),
    build_request("GET", "/ebonyvalve/ping/%ff%00"),
    build_request("HEAD", "/ebonyvalve/ping/n0"),
    build_request("POST", f"/ebonyvalve/ledger/lookup/{DIGITS}", body=b'{"spans":[]}'),
    build_request("POST", "/ebonyvalve/ledger/lookup/99", body=b'{"x":' + DEEP + b"}"),
    build_request("POST", "/ebonyvalve/ledger/lookup/99", body=b'{"spans":[]}'),
    build_request("POST", "/ebonyvalve/ledger/lookup/x", body=b"\xff"),
    build_request("POST", "/ebonyvalve/crash", body=DEEP),
    build_request("POST", "/ebonyvalve/crash", body=b"[1e400]"),
]
READY = [
    build_request("HEAD", "/readyz"),
    build_request("GET", f"/explain?host=shop.example&path=/lookup/a&key={DIGITS}"),
    build_request("GET", "/explain?host=shop.example&path=/lookup/a&key=%C2%B2"),
    build_request("GET", "/explain?" + "&".join(f"a{n}=1" for n in range(5000))),
    build_request("CONNECT", "/readyz"),
    build_request("POST", "/readyz", body=DEEP),
    b"\xff" * 300,
]
CONTROL = [
    build_request("PUT", "/instances/i-0", body=b'{"x":' + DEEP + b"}"),
    build_request("PUT", "/instances/i-0", body=DEEP),
    build_request("PUT", "/instances/", body=msgspec.json.encode(REPORT)),
    build_request("HEAD", "/instances/i-0"),
    build_request("DELETE", "/instances/%ff"),
]
CASES = [
    (listener, raw)
    for listener, requests in [
        ("callers_address", CALLERS),
        ("peers_address", PEERS),
        ("ready_address", READY),
        ("reports_address", CONTROL),
    ]
    for raw in requests
]


@pytest.mark.parametrize(
    ("listener", "raw"), CASES, ids=[f"{name}-{n}" for n, (name, _) in enumerate(CASES)]
)
async def test_odd_bytes_cost_their_own_connection_only(listener: str, raw: bytes) -> None:
    """Guards against bytes that make a handler raise, which ended the daemon and its requests."""
    async with mesh_module.open_mesh(["orders"]) as mesh:
        client = await mesh_module.open_client(mesh.outbound[0])
        await mesh_module.wait_status(client, 200, "/orders/warm")
        address = getattr(mesh.daemons[0].node.place, listener)
        stream = await network.connect_tcp(address)
        with trio.move_on_after(0.5):
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(raw)
                await stream.receive_some(65_536)
        await trio.aclose_forcefully(stream)
        assert (await mesh_module.ask(client, "GET", "/orders/x"))[0] == 200


ODD_ANSWERS = [
    b"HTTP/1.1 200 OK\r\ncontent-length: " + DIGITS.encode() + b"\r\n\r\n",
    b"HTTP/1.1 999 \xff\r\n\r\n",
    b"HTTP/1.1 000 no\r\n\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" * 50,
    b"HTTP/1.1 200 OK\r\nx: \x00\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + b"f" * 30 + b"\r\n",
    b"HTTP/1.1 204 No Content\r\ncontent-length: 5\r\nx-response-seal: s\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nconnection: \xff, \xfe\r\nx-response-seal: \xff\r\n\r\n",
    b"HTTP/1.1 503 no\r\nx-not-executed: \xff\r\nretry-after: nan\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nx: " + b"y" * 100_000 + b"\r\n\r\n",
    b"SSH-2.0-OpenSSH\r\n",
    b"\x00" * 100,
    b"",
]


@pytest.mark.parametrize("answer", ODD_ANSWERS, ids=range(len(ODD_ANSWERS)))
async def test_odd_answers_of_a_target_cost_their_own_request(answer: bytes) -> None:
    """Guards against an answer of a faulty target that ends its node or another one."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh, trio.open_nursery() as nursery:
        client = await mesh_module.open_client(mesh.outbound[1])
        await mesh_module.wait_status(client, 200, "/orders/warm")

        async def reply(stream: trio.abc.Stream) -> None:
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await stream.receive_some(65_536)
                await stream.send_all(answer)
            await stream.aclose()

        (port,) = mesh_module.find_ports(1)
        nursery.start_soon(network.listen_tcp, f"127.0.0.1:{port}", reply)
        node = mesh.daemons[0].node
        node.place = dataclasses.replace(
            node.place, target_address=identity.Address(f"127.0.0.1:{port}")
        )
        for address in mesh.outbound:
            stream = await network.connect_tcp(address)
            await stream.send_all(build_request("GET", "/orders/x", "x-deadline-ms: 300"))
            with trio.move_on_after(0.5):
                await stream.receive_some(65_536)
            await trio.aclose_forcefully(stream)
        await mesh_module.poll(functools.partial(are_ready, mesh))
        nursery.cancel_scope.cancel()


async def are_ready(mesh: mesh_module.Mesh) -> bool:
    """Return whether all nodes are ready; a node has to read the store first after its start."""
    request = http.Request(method="GET", path="/readyz")
    for address in mesh.ready:
        fetched = await http.fetch(network.connect_tcp, address, request, timeout_s=2.0)
        if fetched.unwrap().status != 200:
            return False
    return True
