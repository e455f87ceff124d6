"""Tests of the handling of one request from end to end, on in-memory streams."""

import collections.abc
import dataclasses
import functools
import math
import random

import h11
import pytest
from returns import result
import trio
import trio.testing

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import (
    accounting,
    identity,
    lease,
    limit,
    message,
    network,
    site,
    target,
    toy,
)
from ebonyvalve.request import front, handler
from ebonyvalve.version import objects, route

SERVICE = identity.ServiceId("calendrier")
HERE = identity.NodeId("vm-1")
THERE = identity.NodeId("vm-2")
TARGET = identity.Address("127.0.0.1:1")
INCARNATION = identity.Incarnation("1")


@dataclasses.dataclass(kw_only=True)
class World:
    """Two nodes with a target each, connected by in-memory streams.

    ``serve_target`` serves a connection to a target; the default is that of the toy target.
    """

    nursery: trio.Nursery
    serve_target: network.Serve | None = None
    target: toy.Toy = dataclasses.field(default_factory=lambda: toy.Toy(node=HERE))
    fronts: dict[str, front.Front] = dataclasses.field(default_factory=dict)
    sites: dict[identity.NodeId, site.Site] = dataclasses.field(default_factory=dict)
    handlers: dict[identity.NodeId, handler.Handler] = dataclasses.field(default_factory=dict)
    nodes: dict[identity.NodeId, lease.Node] = dataclasses.field(default_factory=dict)
    is_target_refusing: bool = False


def build_world(nursery: trio.Nursery, owner: identity.NodeId = HERE) -> World:
    world = World(nursery=nursery)
    for node in (HERE, THERE):
        world.nodes[node] = assign_shards(lease.Node(node=node, incarnation=INCARNATION), owner, 1)
        shared = build_handler(world, node)
        world.sites[node] = shared.here
        world.handlers[node] = shared
        for is_hop in (False, True):
            world.fronts[f"{'hop' if is_hop else 'caller'}-{node}"] = front.Front(
                now=trio.current_time,
                handle=functools.partial(handler.handle, shared),
                find_limits=lambda name: (1.0, 10_000_000),
                is_hop=is_hop,
            )
    return world


def assign_shards(node: lease.Node, owner: identity.NodeId, fence: int) -> lease.Node:
    """Assign every partition to one node, with a lease that does not expire."""
    shards = [identity.name_partition(SERVICE, identity.Partition(n)) for n in range(256)]
    holding = lease.HeldShard(fence=identity.Fence(fence))
    routes = {
        shard: message.Route(shard=shard, owner=owner, fence=identity.Fence(fence))
        for shard in shards
    }
    return dataclasses.replace(
        node,
        lease_end_s=math.inf,
        holdings=dict.fromkeys(shards, holding) if owner == node.node else {},
        routes=routes,
        members={name: describe(name) for name in (HERE, THERE)},
    )


def build_handler(world: World, node: identity.NodeId) -> handler.Handler:
    service = objects.Service(name=SERVICE, deadline_ms=1000, max_body_bytes=10_000_000)
    snapshot = route.build_snapshot(identity.ConfigVersion(1), [service])
    here = site.Site(
        node=node,
        zone=identity.ZoneId("a"),
        incarnation=INCARNATION,
        now=trio.current_time,
        read_node=lambda: world.nodes[node],
        random=random.Random(1),
        target=target.Target(state=target.TargetState.UP, address=TARGET, slots=10),
        admission=limit.create(slots=10, warm_up_s=0.0),
        account=accounting.Account(landmark_s=0.0),
    )
    connect_here = functools.partial(connect, world)
    return handler.Handler(
        here=here,
        snapshot=lambda: snapshot,
        target_pool=pool.Pool(connect=connect_here, now=trio.current_time),
        hop_pool=pool.Pool(connect=connect_here, now=trio.current_time),
    )


def describe(node: identity.NodeId) -> message.Member:
    return message.Member(
        node=node,
        incarnation=INCARNATION,
        zone=identity.ZoneId("a"),
        service=SERVICE,
        peer_address=identity.Address(""),
        hop_address=identity.Address(f"hop-{node}"),
        slots=10,
        is_target_up=True,
    )


async def connect(world: World, address: str) -> trio.abc.Stream:
    near, far = trio.testing.memory_stream_pair()
    if address in world.fronts:
        world.nursery.start_soon(front.serve, world.fronts[address], far)
    elif address != TARGET or world.is_target_refusing or world.target.state is toy.ToyState.DOWN:
        raise OSError("connection refused")
    else:
        serve_target = world.serve_target or functools.partial(toy.serve, world.target)
        world.nursery.start_soon(serve_target, far)
    return near


async def call(
    world: World,
    method: str,
    path: str,
    parts: collections.abc.Sequence[bytes] = (),
    *,
    token: str | None = None,
) -> tuple[int, dict[str, str], bytes]:
    conn = wire.open_client(await connect(world, f"caller-{HERE}"))
    headers = [("host", "x")]
    headers += [("transfer-encoding", "chunked")] if parts else []
    headers += [] if token is None else [("ebonyvalve-token", token)]
    try:
        await wire.send(conn, h11.Request(method=method, target=path, headers=headers))
        for part in parts:
            await wire.send(conn, h11.Data(data=part))
        await wire.send(conn, h11.EndOfMessage())
        return await read_answer(conn)
    finally:
        await wire.close(conn)


async def fetch_token(world: World, path: str) -> str:
    _, headers, _ = await call(world, "POST", path)
    return headers["ebonyvalve-token"]


async def read_answer(conn: wire.Wire) -> tuple[int, dict[str, str], bytes]:
    status, headers, body = 0, {}, b""
    while True:
        received = await wire.receive(conn)
        assert isinstance(received, result.Success), "the answer broke off"
        event = received.unwrap()
        if isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return status, headers, body


@pytest.mark.parametrize("owner", [HERE, THERE])
async def test_reaches_owner(
    owner: identity.NodeId, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against requests that run at a node other than the owner's."""
    async with trio.open_nursery() as nursery:
        world = build_world(nursery, owner)
        status, headers, _ = await call(world, "GET", "/calendrier/salle-1/slots")
        nursery.cancel_scope.cancel()
    assert (status, headers["ebonyvalve-outcome"]) == (200, "answered")
    assert [run.fence for run in world.target.runs] == [f"{SERVICE}/{find_partition('salle-1')}:1"]


def find_partition(key: str) -> int:
    service = objects.Service(name=SERVICE)
    return route.find_partition(service, identity.KeyId(key))


@pytest.mark.parametrize("owner", [HERE, THERE])
async def test_large_body_is_streamed_whole(
    owner: identity.NodeId, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against lost or repeated parts of bodies longer than the buffered prefix."""
    parts = [bytes([65 + number % 26]) * 50_000 for number in range(20)]
    async with trio.open_nursery() as nursery:
        world = build_world(nursery, owner)
        token = await fetch_token(world, "/calendrier/salle-1/sheet")
        status, _, _ = await call(world, "PUT", "/calendrier/salle-1/sheet", parts, token=token)
        nursery.cancel_scope.cancel()
    assert status == 200
    assert world.target.database.values["salle-1"].encode() == b"".join(parts)


async def test_refused_connection_is_not_run(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against "unknown" where no byte can have reached the target."""
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        world.is_target_refusing = True
        _, headers, _ = await call(world, "GET", "/calendrier/salle-1/slots")
        nursery.cancel_scope.cancel()
    assert headers["ebonyvalve-outcome"] == "not-run"
    assert world.target.runs == []


async def test_crash_of_target_is_unknown_and_quarantined(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against "not-run" after a crash, and against a second target that crashes."""
    path = "/calendrier/salle-1/crash"
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        token = await fetch_token(world, path)
        _, first, _ = await call(world, "POST", path, token=token)
        world.target.state = toy.ToyState.UP
        world.sites[HERE].target.state = target.TargetState.UP
        limit.resume(world.sites[HERE].admission, trio.current_time())
        token = await fetch_token(world, path)
        _, second, _ = await call(world, "POST", path, token=token)
        nursery.cancel_scope.cancel()
    assert first["ebonyvalve-outcome"] == "unknown"
    assert (second["ebonyvalve-outcome"], second["ebonyvalve-reason"]) == ("not-run", "quarantined")
    assert len(world.target.runs) == 1


async def test_resend_gets_recorded_outcome(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a booking that runs twice when its caller sends it again."""
    path = "/calendrier/salle-1/book"
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        token = await fetch_token(world, path)
        first = await call(world, "POST", path, [b"a"], token=token)
        second = await call(world, "POST", path, [b"a"], token=token)
        nursery.cancel_scope.cancel()
    assert (first[0], second[0]) == (200, 200)
    assert second[1]["ebonyvalve-reason"] == "token-used"
    assert world.target.database.counts["salle-1"] == 1


async def test_concurrent_resend_waits_for_the_first(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a second run, or a wrong "not-run", while the first request runs."""
    path = "/calendrier/salle-1/book"
    answers: list[tuple[int, dict[str, str], bytes]] = []
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        world.target.service_time_s = 0.3
        token = await fetch_token(world, path)

        async def send() -> None:
            answers.append(await call(world, "POST", path, [b"a"], token=token))

        async with trio.open_nursery() as senders:
            for _ in range(3):
                senders.start_soon(send)
        nursery.cancel_scope.cancel()
    assert [status for status, _, _ in answers] == [200, 200, 200]
    assert world.target.database.counts["salle-1"] == 1


async def test_caller_that_leaves_does_not_hide_the_outcome(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against "unknown" for a resend after the first caller's connection broke."""
    path = "/calendrier/salle-1/book"
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        world.target.service_time_s = 0.3
        token = await fetch_token(world, path)
        with trio.move_on_after(0.1):
            await call(world, "POST", path, [b"a"], token=token)
        await trio.sleep(0.5)
        status, headers, _ = await call(world, "POST", path, [b"a"], token=token)
        nursery.cancel_scope.cancel()
    assert (status, headers["ebonyvalve-outcome"]) == (200, "answered")
    assert world.target.database.counts["salle-1"] == 1


async def test_cancelled_order_stays_unknown(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a token left fresh although its request had been sent to the target."""
    path = "/calendrier/salle-1/book"
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        world.target.service_time_s = 0.5
        token = await fetch_token(world, path)
        answers = []

        async def send() -> None:
            answers.append(await call(world, "POST", path, [b"a"], token=token))

        async with trio.open_nursery() as senders:
            senders.start_soon(send)
            await trio.sleep(0.1)
            for flight in site.list_flights(world.sites[HERE]):
                flight.scope.cancel()
        answers.append(await call(world, "POST", path, [b"a"], token=token))
        nursery.cancel_scope.cancel()
    assert [headers["ebonyvalve-outcome"] for _, headers, _ in answers] == ["unknown", "unknown"]
    assert len(world.target.runs) == 1


async def test_frozen_target_ends_at_deadline(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against callers that wait forever for a target that accepts but never replies."""
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        toy.freeze(world.target)
        start = trio.current_time()
        _, headers, _ = await call(world, "GET", "/calendrier/salle-1/slots")
        nursery.cancel_scope.cancel()
    assert headers["ebonyvalve-outcome"] == "unknown"
    assert trio.current_time() - start == pytest.approx(1.0, abs=0.01)


async def test_request_waits_for_new_owner(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against refusals while a shard is handed over."""
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        granted = world.nodes[HERE]
        world.nodes[HERE] = dataclasses.replace(granted, holdings={}, routes={})

        async def hand_over() -> None:
            await trio.sleep(0.05)
            world.nodes[HERE] = granted
            site.notify(world.sites[HERE])

        nursery.start_soon(hand_over)
        status, _, _ = await call(world, "GET", "/calendrier/salle-1/slots")
        nursery.cancel_scope.cancel()
    assert status == 200


async def test_stale_route_is_corrected_once(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against endless hops between nodes whose routes are out of date."""
    async with trio.open_nursery() as nursery:
        world = build_world(nursery, THERE)
        away = identity.NodeId("vm-3")
        world.nodes[THERE] = assign_shards(world.nodes[THERE], away, 2)
        start = trio.current_time()
        _, headers, _ = await call(world, "GET", "/calendrier/salle-1/slots")
        nursery.cancel_scope.cancel()
    assert headers["ebonyvalve-outcome"] == "not-run"
    assert trio.current_time() - start <= 1.01


async def test_request_after_an_abandoned_one_is_not_stale(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against sending the target an expired grant after a caller left without a reply."""
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        world.target.service_time_s = 0.3
        await trio.sleep(1.0)
        with trio.move_on_after(0.1):
            await call(world, "GET", "/calendrier/salle-1/slots")
        await trio.sleep(1.0)
        start_s = trio.current_time()
        status, headers, _ = await call(world, "GET", "/calendrier/salle-1/slots")
        took_s = trio.current_time() - start_s
        nursery.cancel_scope.cancel()
    assert (status, headers["ebonyvalve-reason"]) == (200, "none")
    # A refused first attempt would be retried after a delay.
    assert took_s == pytest.approx(0.3, abs=0.01)


@pytest.mark.parametrize(("since_s", "outcome"), [(1.0, "answered"), (3.0, "not-run")])
async def test_drained_node_takes_no_new_work(
    since_s: float, outcome: str, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against running requests in a drained zone whose shards cannot move (store outage)."""
    async with trio.open_nursery() as nursery:
        world = build_world(nursery)
        await trio.sleep(5.0)
        world.sites[HERE].drained_since_s = trio.current_time() - since_s
        _, headers, _ = await call(world, "GET", "/calendrier/salle-1/slots")
        nursery.cancel_scope.cancel()
    assert headers["ebonyvalve-outcome"] == outcome
    assert len(world.target.runs) == (outcome == "answered")
