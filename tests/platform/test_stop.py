"""Tests of the planned stop of a node, with callers and other nodes that go on sending."""

import pytest
import trio

from ebonyvalve.platform import daemon
from ebonyvalve.process import network
from ebonyvalve.standin import metadata
from tests.platform import mesh as mesh_module

# The grace period of the nodes in the mesh.
GRACE_S = 6.0


@pytest.mark.parametrize("is_hop", [False, True], ids=["caller", "node"])
@pytest.mark.parametrize("sent", [20, -3], ids=["part-of-head", "part-of-body"])
async def test_stop_waits_for_a_request_that_is_arriving(sent: int, is_hop: bool) -> None:
    """Guards against a process that ends early while a request arrives, which is then lost."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        client = await mesh_module.open_client(mesh.outbound[1])
        await mesh_module.wait_status(client, 200, "/orders/warm")
        place = mesh.daemons[0].node.place
        request = (
            f"POST /orders/x HTTP/1.1\r\nhost: {mesh_module.HOST}\r\nx-attempt-id: late\r\n"
            "content-length: 6\r\n"
        )
        if is_hop:
            request += (
                "ebonyvalve-service: orders\r\nebonyvalve-deadline-ms: 2000\r\n"
                "ebonyvalve-origin: lookup\r\nebonyvalve-rules: 0,2,1,300,,r\r\n"
            )
        data = f"{request}\r\nabcdef".encode()
        address = place.peers_address if is_hop else place.callers_address
        stream = await network.connect_tcp(address)
        stopped = trio.Event()

        async def stop() -> None:
            await daemon.stop(mesh.daemons[0])
            stopped.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            await trio.sleep(daemon.UNREADY_S - 0.5)
            await stream.send_all(data[:sent])
            await trio.sleep(1.5)
            assert sent < 0 or not stopped.is_set()
            await stream.send_all(data[sent:])
            assert b"503" in bytes(await stream.receive_some(4096)).split(b"\r\n")[0]
            await stream.aclose()
        assert "late" not in mesh.targets[0].received_ids


async def test_idle_node_ends_soon() -> None:
    """Guards against a stop that takes the whole grace period though nobody sends a request."""
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        client = await mesh_module.open_client(mesh.outbound[1])
        await mesh_module.wait_status(client, 200, "/orders/warm")
        with trio.fail_after(GRACE_S - 1.0):
            await daemon.stop(mesh.daemons[0])


async def test_requests_at_the_end_of_the_grace_get_answers() -> None:
    """Guards against closing connections without an answer at the end of the grace period.

    A request that waits is refused when the node takes no more, and one that its target works on is
    not broken off before the end.
    """
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        for entry in mesh.outbound:
            client = await mesh_module.open_client(entry)
            await mesh_module.wait_status(client, 200, "/orders/warm")
        config = mesh_module.build_config(2, timeout_s=20.0, goal_s=20.0)
        metadata.put(mesh.state, "op", "config", config)

        async def is_applied() -> bool:
            return all(running.node.config == 2 for running in mesh.daemons)

        await mesh_module.poll(is_applied)
        mesh.targets[0].work_s = 30.0
        answered: dict[str, tuple[int, float]] = {}
        slots = mesh.targets[0].slots
        started_at = trio.current_time()

        async def order(name: str, entry: int) -> None:
            caller = await mesh_module.open_client(mesh.outbound[entry])
            status, _, _ = await mesh_module.ask(
                caller, "POST", "/orders/x", x_attempt_id=name, x_deadline_ms="20000"
            )
            answered[name] = status, trio.current_time() - started_at

        async with trio.open_nursery() as nursery:
            for number in range(slots):
                nursery.start_soon(order, f"working-{number}", number % 2)
            await trio.sleep(0.3)
            nursery.start_soon(order, "waiting-0", 0)
            nursery.start_soon(order, "waiting-1", 1)
            await daemon.stop(mesh.daemons[0])
            mesh.scopes[0].cancel()
        for number in range(slots):
            status, after_s = answered[f"working-{number}"]
            assert status == 502, (answered, mesh.targets[0].received_ids)
            assert after_s > GRACE_S - daemon.EXIT_MARGIN_S - 0.1
        assert [answered[f"waiting-{entry}"][0] for entry in range(2)] == [503, 503]
        assert not any(name.startswith("waiting") for name in mesh.targets[0].received_ids)
