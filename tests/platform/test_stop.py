"""Tests of the planned stop of a node, with callers and other nodes that go on sending."""

import dataclasses
import itertools
import time

import h11
import pytest
import trio

from ebonyvalve.platform import daemon
from ebonyvalve.process import http, network
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


@dataclasses.dataclass(kw_only=True)
class Traffic:
    """Requests of callers that go on until ``ends_at``, in seconds of Trio's clock.

    ``answers`` maps the id of each request to the status of its answer, or to 0 if its connection
    ended without a complete one; ``ended_at`` says when.
    """

    ends_at: float = float("inf")
    answers: dict[str, int] = dataclasses.field(default_factory=dict)
    ended_at: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Style:
    """How a caller sends: ``split_at`` is where it pauses in the head; 0 for no pause."""

    method: str
    body: bytes
    is_kept: bool
    split_at: int

    @property
    def name(self) -> str:
        return f"{self.method}-{len(self.body)}-{'kept' if self.is_kept else 'new'}-{self.split_at}"


STYLES = [
    Style(method=method, body=body, is_kept=is_kept, split_at=split_at)
    for method, body in (("GET", b""), ("POST", b""), ("POST", b"a" * 9000))
    for is_kept in (False, True)
    for split_at in (0, 30)
]


async def send_one(client: mesh_module.Client, style: Style, path: str, name: str) -> int:
    """Return the status of the complete answer, or 0 if there is none."""
    headers = {
        "host": mesh_module.HOST,
        "content-length": str(len(style.body)),
        "x-attempt-id": name,
        "x-deadline-ms": "2000",
        "x-shard-key": "7",
    }
    head = h11.Request(method=style.method, target=path, headers=list(headers.items()))
    data = client.http.send(head) or b""
    if style.body:
        data += client.http.send(h11.Data(data=style.body)) or b""
    data += client.http.send(h11.EndOfMessage()) or b""
    try:
        if style.split_at:
            await client.stream.send_all(data[: style.split_at])
            await trio.sleep(0.05)
        await client.stream.send_all(data[style.split_at :])
        reply, _ = await http.receive_message(client.stream, client.http)
    except (trio.BrokenResourceError, h11.RemoteProtocolError):
        return 0
    return reply.status_code if isinstance(reply, h11.Response) else 0


async def keep_sending(traffic: Traffic, address: str, path: str, style: Style, name: str) -> None:
    client: mesh_module.Client | None = None
    for number in itertools.count():
        if trio.current_time() >= traffic.ends_at:
            return
        try:
            stream = client.stream if client else await network.connect_tcp(address)
        except OSError:
            await trio.sleep(0.01)
            continue
        client = client or mesh_module.Client(stream=stream, http=h11.Connection(h11.CLIENT))
        request_id = f"{name}-{style.name}-{number}"
        traffic.answers[request_id] = await send_one(client, style, path, request_id)
        traffic.ended_at[request_id] = trio.current_time()
        if style.is_kept and client.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            client.http.start_next_cycle()
        else:
            await client.stream.aclose()
            client = None
        await trio.sleep(0.02)


@pytest.mark.parametrize(
    ("services", "entries"),
    [
        pytest.param(["orders", "orders", "lookup"], [0, 2], id="both-nodes"),
        pytest.param(["orders", "lookup", "lookup"], [1], id="other-node"),
        pytest.param(["lookup", "orders", "orders"], [1], id="other-node-with-keys"),
    ],
)
async def test_requests_until_the_end_are_answered_or_truly_refused(
    services: list[str], entries: list[int]
) -> None:
    """Guards against requests that a stopping node loses, runs twice or runs after a refusal."""
    async with mesh_module.open_mesh(services, work_s=0.02) as mesh:
        for entry in mesh.outbound:
            client = await mesh_module.open_client(entry)
            await mesh_module.wait_status(client, 200, "/orders/warm")
            await mesh_module.wait_status(client, 200, "/lookup/warm", x_shard_key="7")
        traffic = Traffic()
        async with trio.open_nursery() as nursery:
            for entry in entries:
                for style, path in itertools.product(STYLES, ("/orders/x", "/lookup/x")):
                    name = f"{entry}{path}"
                    nursery.start_soon(
                        keep_sending, traffic, mesh.outbound[entry], path, style, name
                    )
            started_at = trio.current_time()
            await daemon.stop(mesh.daemons[0])
            ended_at = trio.current_time()
            mesh.scopes[0].cancel()
            traffic.ends_at = ended_at + 0.3
        received = [name for target in mesh.targets for name in target.received_ids]
        completed = [name for target in mesh.targets for name in target.completed_ids]
        for name, status in traffic.answers.items():
            if status == 0:
                # It crossed the end of the process.
                assert name.startswith("0") and traffic.ended_at[name] >= ended_at
                assert name not in received
            elif status == 503:
                assert name not in completed
            else:
                assert (name, status) == (name, 200)
            if "POST" in name:
                assert completed.count(name) <= 1
        # Other nodes hear of the stop, so that it does not take the whole grace period.
        assert 0 in entries or ended_at - started_at < GRACE_S - daemon.EXIT_MARGIN_S


async def test_callers_that_go_on_sending_do_not_delay_the_end() -> None:
    """Guards against a node that is away for the whole grace period as callers come back to it."""
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh:
        client = await mesh_module.open_client(mesh.outbound[0])
        await mesh_module.wait_status(client, 200, "/orders/warm")
        traffic = Traffic()
        style = Style(method="POST", body=b"", is_kept=False, split_at=0)
        async with trio.open_nursery() as nursery:
            address = mesh.outbound[0]
            nursery.start_soon(keep_sending, traffic, address, "/orders/x", style, "0")
            with trio.fail_after(GRACE_S - daemon.EXIT_MARGIN_S - 0.5):
                await daemon.stop(mesh.daemons[0])
            mesh.scopes[0].cancel()
            nursery.cancel_scope.cancel()
        assert set(traffic.answers.values()) <= {200, 503}


@pytest.mark.parametrize(
    ("grace_s", "paused_s"),
    [
        pytest.param(daemon.EXIT_MARGIN_S + 0.3, 0.0, id="short-grace"),
        pytest.param(daemon.UNREADY_S + 0.7, daemon.UNREADY_S + 0.7, id="paused-process"),
    ],
)
async def test_stop_refuses_requests_if_its_grace_ends_in_the_drain(
    grace_s: float, paused_s: float
) -> None:
    """Guards against requests that a node leaves unanswered if its grace ends before it refuses.

    The grace period may be shorter than the time for which callers are served after the signal, or
    the process may be paused until it is over.
    """
    async with mesh_module.open_mesh(["orders", "lookup"]) as mesh:
        client = await mesh_module.open_client(mesh.outbound[0])
        await mesh_module.wait_status(client, 200, "/orders/warm")
        stopping = mesh.daemons[0]
        stopping.node.place = dataclasses.replace(stopping.node.place, grace_s=grace_s)
        stream = await network.connect_tcp(mesh.outbound[0])
        await stream.send_all(
            f"POST /orders/x HTTP/1.1\r\nhost: {mesh_module.HOST}\r\nx-attempt-id: late\r\n"
            "content-length: 6\r\n\r\nabc".encode()
        )
        # Blocks the event loop during the stop, as a process that is stopped by a signal is.
        trio.lowlevel.current_trio_token().run_sync_soon(time.sleep, paused_s)
        await daemon.stop(stopping)
        mesh.scopes[0].cancel()
        assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 503")
