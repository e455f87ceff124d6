"""Tests of the planned stop of a node, through the real code of a small mesh."""

import functools

import h11
import pytest
import trio
import trio.testing

from bench import world as worlds
from ebonyvalve.connection import wire
from ebonyvalve.process import daemon, identity, lease
from ebonyvalve.request import handler
from ebonyvalve.version import objects
from tests.request import test_handler

SERVICE = identity.ServiceId("calendrier")
PAUSE_S = 0.02


async def open_connection(world: worlds.World, host: worlds.Host) -> wire.Wire:
    """Connect to a node as a caller does; raise OSError once it does not listen any longer."""
    return wire.open_client(await worlds.connect(world, worlds.CALLERS, host.cfg.caller_address))


async def begin(conn: wire.Wire, method: str, path: str, *, token: str = "") -> None:
    headers = [("host", "x"), ("transfer-encoding", "chunked")]
    headers += [("ebonyvalve-token", token)] if token else []
    await wire.send(conn, h11.Request(method=method, target=path, headers=headers))


async def ask(conn: wire.Wire, path: str) -> str:
    """Send a lookup and return the outcome that the whole reply reports."""
    await begin(conn, "GET", path)
    await wire.send(conn, h11.EndOfMessage())
    _, headers, _ = await test_handler.read_answer(conn)
    return headers["ebonyvalve-outcome"]


def find_path(host: worlds.Host, *, is_owner: bool) -> str:
    """Return the path of a key that a node serves, or of one that it does not."""
    assert host.node is not None
    service = objects.Service(name=SERVICE, partitions=64)
    for number in range(1000):
        key = identity.KeyId(f"salle-{number}")
        shard = handler.find_shard(host.node.here, service, key)
        assert shard is not None
        owner = lease.find_owner(host.node.here.read_node(), shard)
        if (owner == host.cfg.node) is is_owner:
            return f"/{SERVICE}/{key}/book"
    raise LookupError


async def stop_and_exit(world: worlds.World, host: worlds.Host) -> None:
    """Stop a node, and end its process as the program does."""
    assert host.node is not None
    await daemon.stop(host.node)
    worlds.kill_node(world, host)


async def start_world(nursery: trio.Nursery) -> tuple[worlds.World, worlds.Host]:
    world = worlds.build_world(worlds.SMALL, 1, nursery)
    await worlds.start(world, worlds.list_objects(worlds.SMALL, deadline_ms=4000))
    host = next(host for host in world.hosts.values() if host.cfg.service == SERVICE)
    return world, host


@pytest.mark.parametrize("is_owner", [False, True])
@pytest.mark.parametrize("body_pause_s", [0.0, 2.0])
async def test_stop_finishes_requests_that_have_begun(
    autojump_clock: trio.testing.MockClock, is_owner: bool, body_pause_s: float
) -> None:
    """Guards against a closed connection for a request that is read, or runs, when its node stops.

    Only requests at the node's own target were waited for, not those passed on to other nodes.
    """
    async with trio.open_nursery() as nursery:
        world, host = await start_world(nursery)
        path = find_path(host, is_owner=is_owner)
        conn = await open_connection(world, host)
        for other in world.hosts.values():
            other.toy.service_time_s = 1.0
        await begin(conn, "GET", path)
        nursery.start_soon(stop_and_exit, world, host)
        await trio.sleep(body_pause_s)
        await wire.send(conn, h11.EndOfMessage())
        status, headers, _ = await test_handler.read_answer(conn)
        nursery.cancel_scope.cancel()
    assert (status, headers["ebonyvalve-outcome"]) == (200, "answered")


@pytest.mark.parametrize("is_kept", [True, False])
async def test_stop_answers_requests_that_arrive(
    autojump_clock: trio.testing.MockClock, is_kept: bool
) -> None:
    """Guards against requests that a stopping node takes and closes without a reply."""
    outcomes = []
    async with trio.open_nursery() as nursery:
        world, host = await start_world(nursery)
        path = find_path(host, is_owner=True)

        async def ask_until_refused(delay_s: float) -> None:
            await trio.sleep(delay_s)
            while True:
                try:
                    conn = await open_connection(world, host)
                except OSError:
                    return
                outcomes.append(await ask(conn, path))
                while is_kept and wire.recycle(conn):
                    await trio.sleep(PAUSE_S)
                    outcomes.append(await ask(conn, path))
                await wire.close(conn)
                await trio.sleep(PAUSE_S)

        async with trio.open_nursery() as callers:
            for number in range(10):
                callers.start_soon(ask_until_refused, number * PAUSE_S / 10)
            await trio.sleep(0.2)
            assert host.node is not None
            callers.start_soon(functools.partial(stop_and_exit, world, host))
        nursery.cancel_scope.cancel()
    assert set(outcomes) <= {"answered", "not-run"}
    assert "answered" in outcomes
