"""Tests of requests and answers that are cut: none of them may look complete."""

import contextlib
import dataclasses

import h11
import pytest
import trio

from ebonyvalve.process import identity, network
from tests.platform import mesh as mesh_module

# Larger than the reply buffer, so that the caller gets the beginning before the answer breaks off.
LONG_BODY = b"x" * 100_000
OWN_HEAD = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: r1\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("node", [0, 1])
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize(
    "framing", [CHUNKED + b"%x\r\n" % len(LONG_BODY), b"content-length: 100001\r\n\r\n"]
)
async def test_broken_answer_does_not_look_complete_to_any_version(
    node: int, version: bytes, framing: bytes
) -> None:
    """Guards against a cut answer that HTTP/1.0 frames by an orderly end of the connection."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh, trio.open_nursery() as nursery:
        client = await mesh_module.open_client(mesh.outbound[1])
        await mesh_module.wait_status(client, 200, "/orders/warm")

        async def answer(stream: trio.abc.Stream) -> None:
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.receive_some(65_536)
                await stream.send_all(OWN_HEAD + framing + LONG_BODY)
            await stream.aclose()

        (port,) = mesh_module.find_ports(1)
        nursery.start_soon(network.listen_tcp, f"127.0.0.1:{port}", answer)
        place = mesh.daemons[0].node.place
        mesh.daemons[0].node.place = dataclasses.replace(
            place, target_address=identity.Address(f"127.0.0.1:{port}")
        )
        head = b"GET /orders/x HTTP/%s\r\nhost: shop.example\r\nx-attempt-id: r1\r\n\r\n"
        stream = await network.connect_tcp(mesh.outbound[node])
        await stream.send_all(head % version)
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        protocol.send(h11.EndOfMessage())
        with pytest.raises((h11.RemoteProtocolError, trio.BrokenResourceError)):
            while not isinstance(event := protocol.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    protocol.receive_data(bytes(await stream.receive_some(65_536)))
        nursery.cancel_scope.cancel()
