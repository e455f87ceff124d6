"""Callers that leave before their requests have been sent on, or while targets work on them."""

import trio

from ebonyvalve.process import network
from tests.platform import mesh as mesh_module


def build_request(method: str, path: str, name: str, body: bytes = b"") -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"host: {mesh_module.HOST}",
        f"x-attempt-id: {name}",
        "x-shard-key: 1",
        f"content-length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def warm_up(mesh: mesh_module.Mesh) -> None:
    """Wait until all nodes serve both services; then forget what has reached the targets."""
    for address in mesh.outbound:
        client = await mesh_module.open_client(address)
        await mesh_module.wait_status(client, 200, "/orders/warm")
        await mesh_module.wait_status(client, 200, "/lookup/warm", x_shard_key="1")
    for one in mesh.targets:
        one.reached.clear()


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
