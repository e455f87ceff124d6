"""Tests of changes of the configuration that fall in each phase of a request."""

import collections.abc
import dataclasses
import functools

import pytest
import trio
import trio.testing

from ebonyvalve.platform import reload
from tests.platform import change as world_module
from tests.platform import mesh

Apply = collections.abc.Callable[[], None]
Answer = tuple[int, bytes]
Phase = collections.abc.Callable[
    [world_module.World, str, Apply], collections.abc.Awaitable[list[Answer]]
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A change of the configuration, and its effect on requests that are routed after it.

    ``status`` is the status that they get, ``body_status`` that of a request with a body of 15 kB,
    and ``targets`` are the targets that may run them.
    """

    fields: dict[str, object]
    status: int = 200
    body_status: int = 0
    targets: str = "bc"


PREFIXES = ("/brief/", "/orders/", "/reads/", "/lookup/")
SPLIT = [{"backend": "orders", "weight": 0}, {"backend": "spare", "weight": 1}]


def change_routes(**fields: object) -> dict[str, object]:
    return {"routes": dict.fromkeys(PREFIXES, fields)}


def change_service(name: str, **fields: object) -> dict[str, object]:
    return {"services": {name: fields}}


def change_limits(**fields: object) -> dict[str, object]:
    return {"limits": fields}


REMOVED: dict[str, object] = {"routes": dict.fromkeys(PREFIXES)}
CHANGES = {
    "route-moved": Change(fields=change_routes(backend="spare"), targets="d"),
    "route-removed": Change(fields=REMOVED, status=404),
    "route-added": Change(fields={"routes": {"/orders/new/": {"backend": "spare"}}}),
    "services-removed": Change(
        fields={**REMOVED, "services": {"orders": None, "lookup": None}}, status=404
    ),
    "weights": Change(fields=change_routes(split=SPLIT), targets="d"),
    "with-keys": Change(fields=change_service("orders", sharded=True), status=503),
    "without-keys": Change(fields=change_service("lookup", sharded=False)),
    "connections-fewer": Change(fields=change_service("orders", max_conns=1)),
    "timeout-shorter": Change(fields={"timeout_s": 0.3}, status=504),
    "timeout-longer": Change(fields={"timeout_s": 30.0}),
    "body-smaller": Change(fields=change_limits(max_body_bytes=5000), body_status=400),
    "body-larger": Change(fields=change_limits(max_body_bytes=200_000)),
    "header-smaller": Change(fields=change_limits(max_header_bytes=100)),
    "header-larger": Change(fields=change_limits(max_header_bytes=32_000)),
    "header-time-shorter": Change(fields=change_limits(header_timeout_s=0.1)),
    "header-time-longer": Change(fields=change_limits(header_timeout_s=9.0)),
    "idle-shorter": Change(fields=change_limits(idle_timeout_s=2.0)),
    "idle-longer": Change(fields=change_limits(idle_timeout_s=20.0)),
    # The settings file, by SIGHUP.
    "settings": Change(fields={}),
}
SETTINGS = mesh.write_settings(9, "spare", [9001, 9002, 9003, 9004, 9005], 9006)
BODY = b"b" * 15_000
CHUNKS = [b"1000\r\n" + b"b" * 4096 + b"\r\n"] * 3 + [b"0\r\n\r\n"]


async def begin(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """The request has not been sent, and the nodes may differ in their configuration."""
    apply()
    client = await world_module.open_client(world, entry)
    head = world_module.build_head(client, "/orders/work", "r1", body="content-length: 15000")
    await client.stream.send_all(head + BODY)
    return [await world_module.receive(client)]


async def wait_idle(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """The connection is idle, for four fifths of the longest idle time that the caller knows."""
    client = await world_module.open_client(world, entry)
    await client.stream.send_all(world_module.build_head(client, "/reads/fast", "r0"))
    assert (await world_module.receive(client))[0] == 200
    await trio.sleep(0.5)
    before_s = read_idle_timeout(world, entry)
    apply()
    idle_s = max(before_s, read_idle_timeout(world, entry))
    await trio.sleep(0.8 * idle_s - 0.5)
    await client.stream.send_all(world_module.build_head(client, "/orders/work", "r1"))
    return [await world_module.receive(client)]


def read_idle_timeout(world: world_module.World, entry: str) -> float:
    config = world.daemons[entry].origin.current.traffic
    assert config is not None
    return config.limits.idle_timeout_s


async def read_head(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """A part of the head has been read."""
    client = await world_module.open_client(world, entry)
    head = world_module.build_head(client, "/orders/work", "r1")
    await client.stream.send_all(head[:40])
    await trio.sleep(0.5)
    apply()
    await trio.sleep(0.5)
    await client.stream.send_all(head[40:])
    return [await world_module.receive(client)]


async def read_head_after_idle(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """A part of the head has been read on a connection that had been idle."""
    client = await world_module.open_client(world, entry)
    await client.stream.send_all(world_module.build_head(client, "/reads/fast", "r0"))
    assert (await world_module.receive(client))[0] == 200
    await trio.sleep(0.8 * read_idle_timeout(world, entry))
    head = world_module.build_head(client, "/orders/work", "r1")
    await client.stream.send_all(head[:40])
    apply()
    await trio.sleep(2.5)
    await client.stream.send_all(head[40:])
    return [await world_module.receive(client)]


async def read_body(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """A part of a body with a length has been read."""
    client = await world_module.open_client(world, entry)
    head = world_module.build_head(client, "/orders/work", "r1", body="content-length: 15000")
    await client.stream.send_all(head + BODY[:5000])
    await trio.sleep(0.2)
    apply()
    await trio.sleep(0.2)
    await client.stream.send_all(BODY[5000:])
    return [await world_module.receive(client)]


async def read_chunks(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """Some chunks of a body have been read."""
    client = await world_module.open_client(world, entry)
    head = world_module.build_head(client, "/orders/work", "r1", body="transfer-encoding: chunked")
    await client.stream.send_all(head + CHUNKS[0])
    await trio.sleep(0.2)
    apply()
    for chunk in CHUNKS[1:]:
        await trio.sleep(0.1)
        await client.stream.send_all(chunk)
    return [await world_module.receive(client)]


async def await_admission(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """Requests wait for a free slot of their target."""
    answers: list[Answer] = []

    async def ask(number: int) -> None:
        client = await world_module.open_client(world, entry)
        head = world_module.build_head(client, "/orders/work", f"r{number}")
        await client.stream.send_all(head)
        answers.append(await world_module.receive(client))

    async with trio.open_nursery() as nursery:
        for number in range(6):
            nursery.start_soon(ask, number)
            await trio.sleep(0.01)
        apply()
    return answers


async def run_work(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """The target works, beside the entry node or beside another one."""
    client = await world_module.open_client(world, entry)
    await client.stream.send_all(world_module.build_head(client, "/orders/work", "r1"))
    await trio.sleep(0.1)
    apply()
    return [await world_module.receive(client)]


async def await_key(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """The request waits until its key is granted to the target."""
    owner = world.daemons["a"]
    client = await world_module.open_client(world, entry)
    world_module.set_granted(owner, is_granted=False)
    await client.stream.send_all(world_module.build_head(client, "/lookup/fast", "r1"))
    await trio.sleep(0.2)
    apply()
    await trio.sleep(0.2)
    world_module.set_granted(owner, is_granted=True)
    return [await world_module.receive(client)]


async def send_reply(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """The caller has a part of the answer."""
    client = await world_module.open_client(world, entry)
    await client.stream.send_all(world_module.build_head(client, "/orders/large", "r1"))
    await trio.sleep(1.2 * world_module.WORK_S)
    apply()
    status, body = await world_module.receive(client)
    assert len(body) == world_module.LARGE_BYTES
    return [(status, world_module.find_ran(world, "r1"))]


async def repeat(world: world_module.World, entry: str, apply: Apply) -> list[Answer]:
    """The first target broke off; the request is about to be sent to another one."""
    client = await world_module.open_client(world, entry)
    await client.stream.send_all(world_module.build_head(client, "/reads/break", "r1"))
    await trio.sleep(world_module.WORK_S)
    apply()
    return [await world_module.receive(client)]


# Phases before the request has a route.
EARLY: list[Phase] = [begin, wait_idle, read_head, read_head_after_idle]
ROUTED: list[Phase] = [
    read_body,
    read_chunks,
    await_admission,
    await_key,
    run_work,
    send_reply,
    repeat,
]


def apply_change(world: world_module.World, nursery: trio.Nursery, change: str, nodes: str) -> None:
    """Apply a change of ``CHANGES`` at some nodes."""
    config = world_module.build_config(2, **CHANGES[change].fields)  # type: ignore[arg-type]
    for name in nodes:
        running = world.daemons[name]
        world_module.apply_config(running, config, 2)
        if change == "settings":
            nursery.start_soon(reload.apply, running.node, running.client, SETTINGS)


# The node where the request enters, and those at which the change takes effect. The target of a
# keyed request is beside "a", those of the others are beside "b" and "c".
PLACES = [("a", "a"), ("a", "bcd"), ("a", "abcd"), ("b", "abcd")]


@pytest.mark.parametrize(("entry", "nodes"), PLACES)
@pytest.mark.parametrize("phase", EARLY + ROUTED)
@pytest.mark.parametrize("change", CHANGES)
async def test_request_beside_a_change_is_answered(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    change: str,
    phase: Phase,
    entry: str,
    nodes: str,
) -> None:
    """Guards against a request beside a change of the configuration that gets no answer.

    A request that has a route keeps what it was read under.
    """
    async with trio.open_nursery() as nursery:
        world = await world_module.open_world(nursery, monkeypatch)
        apply = functools.partial(apply_change, world, nursery, change, nodes)
        answers = await phase(world, entry, apply)
        nursery.cancel_scope.cancel()
    is_read_after = phase in EARLY and entry in nodes
    expected = CHANGES[change] if is_read_after else Change(fields={})
    status = expected.status
    if phase is begin and expected.body_status:
        status = expected.body_status
    assert [answer[0] for answer in answers] == [status] * len(answers)
    targets = "a" if phase is await_key else expected.targets
    assert status != 200 or {body[:1].decode() for _, body in answers} <= set(targets)


@pytest.mark.parametrize("is_reused", [False, True])
async def test_head_may_take_as_long_as_the_configuration_allows(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, is_reused: bool
) -> None:
    """Guards against closing a connection without an answer in the middle of an allowed head.

    The time for a head was 10 s, whatever the configuration said.
    """
    async with trio.open_nursery() as nursery:
        world = await world_module.open_world(nursery, monkeypatch)
        config = world_module.build_config(2, limits={"header_timeout_s": 30.0})
        world_module.apply_config(world.daemons["a"], config, 2)
        client = await world_module.open_client(world, "a")
        if is_reused:
            await client.stream.send_all(world_module.build_head(client, "/reads/fast", "r0"))
            assert (await world_module.receive(client))[0] == 200
        head = world_module.build_head(client, "/orders/work", "r1")
        await client.stream.send_all(head[:40])
        await trio.sleep(25.0)
        await client.stream.send_all(head[40:])
        # The time of the route counts from the last bytes of the head.
        assert (await world_module.receive(client))[0] == 200
        nursery.cancel_scope.cancel()
