"""Tests of changes of the configuration in each phase of a request, on the product's own path."""

import collections.abc
import dataclasses
import functools

import h11
import pytest
import trio
import trio.testing

from ebonyvalve.connection import wire
from ebonyvalve.process import daemon, identity, limit, metrics, settings
from ebonyvalve.request import front
from ebonyvalve.version import objects, route
from tests.request import test_handler

SERVICE = test_handler.SERVICE
ADDRESS = identity.Address("127.0.0.1:1")
SETTINGS = settings.Settings(
    node=test_handler.HERE,
    zone=identity.ZoneId("a"),
    service=SERVICE,
    caller_address=ADDRESS,
    hop_address=ADDRESS,
    peer_address=ADDRESS,
    operator_address=ADDRESS,
    announce_address=ADDRESS,
    platform_address=ADDRESS,
)
WORK_S = 0.5
BEFORE: dict[str, object] = {"name": SERVICE, "deadline_ms": 3000, "max_body_bytes": 20_000}
# The fields of the service that change; ``None`` removes it.
CHANGES: dict[str, dict[str, object] | None] = {
    "removed": None,
    "deadline-shorter": {"deadline_ms": 200},
    "deadline-longer": {"deadline_ms": 60_000},
    "body-smaller": {"max_body_bytes": 5000},
    "body-larger": {"max_body_bytes": 200_000},
    "partitions-fewer": {"partitions": 16},
    "unkeyed": {"is_keyed": False},
    "idempotent-more": {"idempotent_methods": ["GET", "PUT"]},
    "idempotent-fewer": {"idempotent_methods": []},
    "token-life-shorter": {"token_life_s": 0.1},
    "without-fence": {"checks_fence": False},
}


@dataclasses.dataclass(kw_only=True)
class World:
    """Two nodes that may differ in their configuration."""

    inner: test_handler.World
    snapshots: dict[identity.NodeId, route.Snapshot]
    metrics: metrics.Metrics


def build_snapshot(version: int, fields: dict[str, object] | None) -> route.Snapshot:
    services = [] if fields is None else [objects.Service(**{**BEFORE, **fields})]  # type: ignore[arg-type]
    return route.build_snapshot(identity.ConfigVersion(version), services)


def build_world(nursery: trio.Nursery, owner: identity.NodeId) -> World:
    inner = test_handler.build_world(nursery, owner)
    inner.target.service_time_s = WORK_S
    # The grants of these nodes are shorter than the work.
    inner.target.checks_fence = False
    snapshots = dict.fromkeys((test_handler.HERE, test_handler.THERE), build_snapshot(1, {}))
    world = World(inner=inner, snapshots=snapshots, metrics=metrics.build_metrics())
    metrics.set_services(world.metrics, [SERVICE])
    for node in snapshots:
        shared = dataclasses.replace(
            test_handler.build_handler(inner, node),
            snapshot=functools.partial(snapshots.__getitem__, node),
            observe=functools.partial(daemon._count_request, world.metrics),
        )
        shared.here.admission = limit.create(slots=1, warm_up_s=0.0)
        inner.sites[node] = shared.here
        for is_hop in (False, True):
            inner.fronts[f"{'hop' if is_hop else 'caller'}-{node}"] = daemon._build_front(
                SETTINGS, shared, trio.current_time, is_hop=is_hop
            )
    return world


Apply = collections.abc.Callable[[], None]
Answer = tuple[int, dict[str, str], bytes]
Phase = collections.abc.Callable[[World, Apply], collections.abc.Awaitable[list[Answer]]]


async def open_client(world: World) -> wire.Wire:
    stream = await test_handler.connect(world.inner, f"caller-{test_handler.HERE}")
    return wire.open_client(stream)


def build_head(method: str, **headers: str) -> bytes:
    lines = [f"{method} /{SERVICE}/salle-1/x HTTP/1.1", "host: x"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def ask(conn: wire.Wire, *parts: bytes, apply: Apply = lambda: None) -> Answer:
    """Send a request in parts, the change after the first one, and return its answer."""
    conn.http.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    conn.http.send(h11.EndOfMessage())
    await conn.stream.send_all(parts[0])
    await trio.sleep(0.1)
    apply()
    for part in parts[1:]:
        await trio.sleep(0.1)
        await conn.stream.send_all(part)
    answer = await test_handler.read_answer(conn)
    wire.recycle(conn)
    return answer


async def begin(world: World, apply: Apply) -> list[Answer]:
    """The request has not been sent, and the nodes may differ in their configuration."""
    conn = await open_client(world)
    token = (await ask(conn, build_head("PUT")))[1]["ebonyvalve-token"]
    apply()
    head = build_head("PUT", content_length="15000", ebonyvalve_token=token)
    return [await ask(conn, head + b"b" * 15_000)]


async def wait_idle(world: World, apply: Apply) -> list[Answer]:
    """The connection is idle, for four fifths of its idle time."""
    conn = await open_client(world)
    await ask(conn, build_head("GET"))
    apply()
    await trio.sleep(0.8 * front.IDLE_TIMEOUT_S)
    return [await ask(conn, build_head("GET"))]


async def read_head(world: World, apply: Apply) -> list[Answer]:
    """A part of the head has been read."""
    head = build_head("GET")
    return [await ask(await open_client(world), head[:20], head[20:], apply=apply)]


async def read_body(world: World, apply: Apply) -> list[Answer]:
    """A part of a body with a length has been read."""
    conn = await open_client(world)
    token = (await ask(conn, build_head("PUT")))[1]["ebonyvalve-token"]
    head = build_head("PUT", content_length="15000", ebonyvalve_token=token)
    return [await ask(conn, head + b"b" * 5000, b"b" * 10_000, apply=apply)]


async def read_chunks(world: World, apply: Apply) -> list[Answer]:
    """Some chunks of a body have been read."""
    conn = await open_client(world)
    token = (await ask(conn, build_head("PUT")))[1]["ebonyvalve-token"]
    head = build_head("PUT", transfer_encoding="chunked", ebonyvalve_token=token)
    chunk = b"1000\r\n" + b"b" * 4096 + b"\r\n"
    return [await ask(conn, head + chunk, chunk, chunk, b"0\r\n\r\n", apply=apply)]


async def run_work(world: World, apply: Apply) -> list[Answer]:
    """The target works."""
    return [await ask(await open_client(world), build_head("GET"), apply=apply)]


async def await_admission(world: World, apply: Apply) -> list[Answer]:
    """Requests wait for the only slot of their target."""
    answers = []

    async def ask_once() -> None:
        answers.append(await ask(await open_client(world), build_head("GET")))

    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(ask_once)
        await trio.sleep(0.2)
        apply()
    return answers


async def await_owner(world: World, apply: Apply) -> list[Answer]:
    """The key has no owner for a moment."""
    nodes = dict(world.inner.nodes)
    for node, state in nodes.items():
        world.inner.nodes[node] = dataclasses.replace(state, holdings={}, routes={})

    def restore() -> None:
        apply()
        world.inner.nodes.update(nodes)
        for here in world.inner.sites.values():
            here.changed.set()
            here.changed = trio.Event()

    return [await ask(await open_client(world), build_head("GET"), apply=restore)]


async def repeat(world: World, apply: Apply) -> list[Answer]:
    """The other node refuses connections for a moment."""
    name = f"hop-{test_handler.THERE}"
    hop_front = world.inner.fronts.pop(name)

    def restore() -> None:
        apply()
        world.inner.fronts[name] = hop_front

    return [await ask(await open_client(world), build_head("GET"), apply=restore)]


# Phases before the request has been read.
EARLY: list[Phase] = [begin, wait_idle, read_head]
ROUTED: list[Phase] = [read_body, read_chunks, run_work, await_admission, await_owner, repeat]
# What a caller may be told of a request that is read by the new version.
STATUSES = {
    "removed": {404},
    # The deadline of 0.2 s passes while the target works.
    "deadline-shorter": {502, 504},
    "body-smaller": {200, 400},
    # The caller's token is of the shard that its key was in, or of its key.
    "partitions-fewer": {200, 409},
    "unkeyed": {200, 400},
    "idempotent-fewer": {200, 428},
}
# What is allowed if only the other node, where the request runs, has read it by the new version.
SECOND_STATUSES = {
    "removed": {503},
    "deadline-shorter": {502, 504},
    "idempotent-fewer": {200, 428},
    "partitions-fewer": {200, 409},
    "unkeyed": {200, 400},
}


@pytest.mark.parametrize("nodes", ["here", "there", "both"])
@pytest.mark.parametrize("owner", [test_handler.HERE, test_handler.THERE])
@pytest.mark.parametrize("phase", EARLY + ROUTED)
@pytest.mark.parametrize("change", CHANGES)
async def test_request_beside_a_change_is_answered(
    autojump_clock: trio.testing.MockClock,
    change: str,
    phase: Phase,
    owner: identity.NodeId,
    nodes: str,
) -> None:
    """Guards against a request beside a change of the configuration that gets no answer.

    ``nodes`` are the nodes that apply the change; the request enters ``here``.
    """
    async with trio.open_nursery() as nursery:
        world = build_world(nursery, owner)

        def apply() -> None:
            for node in world.snapshots:
                if nodes == "both" or (nodes == "here") == (node == test_handler.HERE):
                    world.snapshots[node] = build_snapshot(2, CHANGES[change])
            services = world.snapshots[test_handler.HERE].services
            metrics.set_services(world.metrics, services)

        answers = await phase(world, apply)
        nursery.cancel_scope.cancel()
    allowed = {200}
    if phase in EARLY and nodes != "there":
        allowed = STATUSES.get(change, allowed)
    elif phase in (*EARLY, await_owner, repeat) and owner != test_handler.HERE and nodes != "here":
        allowed = SECOND_STATUSES.get(change, allowed)
    assert {status for status, _, _ in answers} <= allowed


@pytest.mark.parametrize("before", [None, build_snapshot(1, None)])
async def test_request_waits_until_the_owner_knows_its_service(
    autojump_clock: trio.testing.MockClock, before: route.Snapshot | None
) -> None:
    """Guards against 404 for a service that was added, from a node that has an older version.

    The entry node passed that answer on, and callers do not repeat a request after it.
    """
    async with trio.open_nursery() as nursery:
        world = build_world(nursery, test_handler.THERE)
        after = world.snapshots[test_handler.THERE]
        world.snapshots[test_handler.THERE] = before  # type: ignore[assignment]

        def apply() -> None:
            world.snapshots[test_handler.THERE] = after

        status, _, _ = await ask(await open_client(world), build_head("GET"), apply=apply)
        nursery.cancel_scope.cancel()
    assert status == 200
