"""Callers that leave before their requests have been sent on, or while targets work on them."""

import collections.abc
import socket
import time

import pytest
import trio

from ebonyvalve.process import network
from ebonyvalve.process.load import lag
from tests.platform import mesh as mesh_module

LONG = b"x" * 6000
WORK_S = 1.0


def build_request(method: str, path: str, name: str, body: bytes = b"") -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"host: {mesh_module.HOST}",
        f"x-attempt-id: {name}",
        "x-deadline-ms: 2000",
        "x-shard-key: 1",
        f"content-length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def wait_for(check: collections.abc.Callable[[], bool]) -> None:
    async def ask() -> bool:
        return check()

    await mesh_module.poll(ask)


def stand_still(seconds: float) -> None:
    """Give the loop no turn, as a freeze does."""
    time.sleep(seconds)


async def warm_up(mesh: mesh_module.Mesh) -> None:
    """Wait until all nodes serve both services; then forget what has reached the targets."""
    for address in mesh.outbound:
        client = await mesh_module.open_client(address)
        await mesh_module.wait_status(client, 200, "/orders/warm")
        await mesh_module.wait_status(client, 200, "/lookup/warm", x_shard_key="1")
    for one in mesh.targets:
        one.reached.clear()


@pytest.mark.parametrize("node", [0, 1])
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("body", [b"", LONG])
async def test_request_read_after_its_caller_has_left_is_not_sent_on(
    node: int, method: str, body: bytes
) -> None:
    """A node that was short of time found requests together with the ends of their callers.

    The watch for callers that leave had its first turn after the request had been sent.
    """
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        path = "/orders/x" if method == "POST" else "/lookup/x"
        for number in range(20):
            # Without a turn of the loop, so that the node finds the request and its end together.
            with socket.create_connection(network.split_address(mesh.outbound[node])) as sock:
                sock.sendall(build_request(method, path, f"r{number}", body))
        await trio.sleep(0.3)
        assert [one.reached for one in mesh.targets] == [[], []]


@pytest.mark.parametrize("node", [0, 1])
async def test_lookup_with_a_long_body_is_dropped_when_its_caller_leaves(node: int) -> None:
    """Callers of requests longer than the held prefix left, and their targets went on working."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        one = mesh.targets[1]
        one.work_s = WORK_S
        stream = await network.connect_tcp(mesh.outbound[node])
        await stream.send_all(build_request("GET", "/lookup/x", "r", LONG))
        await wait_for(lambda: one.reached == ["r"])
        await stream.aclose()
        await wait_for(lambda: one.running == 0)
        assert (one.reached, one.dropped) == (["r"], 1)


@pytest.mark.parametrize("node", [0, 1])
async def test_order_with_a_long_body_goes_on_when_its_caller_leaves(node: int) -> None:
    """Guards against an order that is half done because its caller is watched."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        one = mesh.targets[0]
        one.work_s = WORK_S
        one.ran.clear()
        stream = await network.connect_tcp(mesh.outbound[node])
        await stream.send_all(build_request("POST", "/orders/x", "r", LONG))
        await wait_for(lambda: one.reached == ["r"])
        await stream.aclose()
        await wait_for(lambda: one.running == 0)
        assert one.ran == ["r"]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("body", [b"", LONG])
async def test_queued_request_whose_caller_has_left_does_not_reach_its_target(
    method: str, body: bytes
) -> None:
    """A caller left while its request waited for room at the target beside its node."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        path, node = ("/orders/x", 0) if method == "POST" else ("/lookup/x", 1)
        one = mesh.targets[node]
        one.work_s = WORK_S
        busy = [await network.connect_tcp(mesh.outbound[node]) for _ in range(one.slots)]
        for number, stream in enumerate(busy):
            await stream.send_all(build_request(method, path, f"busy{number}"))
        await wait_for(lambda: one.running == one.slots)
        queued = await network.connect_tcp(mesh.outbound[node])
        await queued.send_all(build_request(method, path, "queued", body))
        await wait_for(lambda: len(mesh.daemons[node].node.admission.waiting) == 1)
        await queued.aclose()
        await wait_for(lambda: one.running == 0)
        await trio.sleep(0.2)
        assert sorted(one.reached) == [f"busy{number}" for number in range(one.slots)]


async def test_caller_that_has_sent_much_more_gets_its_answer() -> None:
    """A request ended without an answer, because its caller had sent the next ones already."""
    async with mesh_module.open_mesh(["orders", "lookup"], work_s=0.2) as mesh:
        await warm_up(mesh)
        stream = await network.connect_tcp(mesh.outbound[1])
        await stream.send_all(build_request("GET", "/lookup/x", "first"))
        await trio.sleep(0.05)
        await stream.send_all(build_request("POST", "/orders/x", "second", b"x" * 60_000))
        with trio.fail_after(2.0):
            assert (await stream.receive_some(65_536)).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("node", [0, 1])
@pytest.mark.parametrize("is_kept", [False, True])
async def test_time_that_a_request_waited_unread_counts(
    monkeypatch: pytest.MonkeyPatch, node: int, is_kept: bool
) -> None:
    """Targets were told of more time than the caller had left, after a node had stood still."""
    # How far the node is behind decides on the request before.
    monkeypatch.setattr(lag, "can_serve", lambda *_: True)
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        one = mesh.targets[0]
        with socket.create_connection(network.split_address(mesh.outbound[node])) as sock:
            if is_kept:
                sock.sendall(build_request("POST", "/orders/x", "first"))
                await trio.sleep(0.2)
            one.budgets_ms.clear()
            sock.sendall(build_request("POST", "/orders/x", "r"))
            stand_still(0.5)
            await trio.sleep(0.2)
        assert len(one.budgets_ms) == 1
        assert 1000 <= one.budgets_ms[0] <= 1520
