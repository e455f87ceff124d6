"""Tests of callers that leave before their request is forwarded, or while a target works on it."""

import collections.abc
import socket
import time

import pytest
import trio

from ebonyvalve.process import network
from ebonyvalve.process.load import lag
from tests.platform import mesh as mesh_module

LONG_BODY = b"x" * 6000
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


def block_loop(seconds: float) -> None:
    """Block the event loop, as a freeze of the process does."""
    time.sleep(seconds)


async def warm_up(mesh: mesh_module.Mesh) -> None:
    """Wait until all nodes serve both services, then clear the targets' records of requests."""
    for address in mesh.outbound:
        client = await mesh_module.open_client(address)
        await mesh_module.wait_status(client, 200, "/orders/warm")
        await mesh_module.wait_status(client, 200, "/lookup/warm", x_shard_key="1")
    for target in mesh.targets:
        target.received_ids.clear()


@pytest.mark.parametrize("node", [0, 1])
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("body", [b"", LONG_BODY])
async def test_request_read_after_its_caller_has_left_is_not_sent_on(
    node: int, method: str, body: bytes
) -> None:
    """Guards against forwarding a request whose caller has already left.

    A node that was short of CPU time read a request together with the close, and the task that
    watches for callers that leave first ran after the request had been forwarded.
    """
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        path = "/orders/x" if method == "POST" else "/lookup/x"
        for number in range(20):
            # No await in between, so that the node reads the request and the close at once.
            with socket.create_connection(network.split_address(mesh.outbound[node])) as sock:
                sock.sendall(build_request(method, path, f"r{number}", body))
        await trio.sleep(0.3)
        assert [target.received_ids for target in mesh.targets] == [[], []]


@pytest.mark.parametrize("node", [0, 1])
async def test_lookup_with_a_long_body_is_dropped_when_its_caller_leaves(node: int) -> None:
    """Guards against a target that keeps working on a repeatable request whose caller has left.

    Callers of requests with a body longer than the buffered prefix were not watched.
    """
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        target = mesh.targets[1]
        target.work_s = WORK_S
        stream = await network.connect_tcp(mesh.outbound[node])
        await stream.send_all(build_request("GET", "/lookup/x", "r", LONG_BODY))
        await wait_for(lambda: target.received_ids == ["r"])
        await stream.aclose()
        await wait_for(lambda: target.running == 0)
        assert (target.received_ids, target.dropped) == (["r"], 1)


@pytest.mark.parametrize("node", [0, 1])
async def test_order_with_a_long_body_goes_on_when_its_caller_leaves(node: int) -> None:
    """Guards against a non-idempotent request that is aborted midway when its caller leaves."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        target = mesh.targets[0]
        target.work_s = WORK_S
        target.completed_ids.clear()
        stream = await network.connect_tcp(mesh.outbound[node])
        await stream.send_all(build_request("POST", "/orders/x", "r", LONG_BODY))
        await wait_for(lambda: target.received_ids == ["r"])
        await stream.aclose()
        await wait_for(lambda: target.running == 0)
        assert target.completed_ids == ["r"]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("body", [b"", LONG_BODY])
async def test_queued_request_whose_caller_has_left_does_not_reach_its_target(
    method: str, body: bytes
) -> None:
    """Guards against sending a queued request whose caller left while it waited for its target."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        path, node = ("/orders/x", 0) if method == "POST" else ("/lookup/x", 1)
        target = mesh.targets[node]
        target.work_s = WORK_S
        busy = [await network.connect_tcp(mesh.outbound[node]) for _ in range(target.slots)]
        for number, stream in enumerate(busy):
            await stream.send_all(build_request(method, path, f"busy{number}"))
        await wait_for(lambda: target.running == target.slots)
        queued = await network.connect_tcp(mesh.outbound[node])
        await queued.send_all(build_request(method, path, "queued", body))
        await wait_for(lambda: len(mesh.daemons[node].node.admission.waiting) == 1)
        await queued.aclose()
        await wait_for(lambda: target.running == 0)
        await trio.sleep(0.2)
        assert sorted(target.received_ids) == [f"busy{number}" for number in range(target.slots)]


async def test_caller_that_has_sent_much_more_gets_its_answer() -> None:
    """Guards against a request that gets no answer because the next ones were sent early."""
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
    """Guards against a time budget that ignores how long a request waited unread.

    After a freeze of the node, targets got a budget larger than the caller's remaining time.
    """
    # How far the node is behind decides on the request before.
    monkeypatch.setattr(lag, "can_serve", lambda *_: True)
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        await warm_up(mesh)
        target = mesh.targets[0]
        with socket.create_connection(network.split_address(mesh.outbound[node])) as sock:
            if is_kept:
                sock.sendall(build_request("POST", "/orders/x", "first"))
                await trio.sleep(0.2)
            target.budgets_ms.clear()
            sock.sendall(build_request("POST", "/orders/x", "r"))
            block_loop(0.5)
            await trio.sleep(0.2)
        assert len(target.budgets_ms) == 1
        assert 1000 <= target.budgets_ms[0] <= 1520
