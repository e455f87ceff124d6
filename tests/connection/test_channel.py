"""Tests of the control channel on loopback."""

import collections.abc
import contextlib
import functools
import threading

from returns import result
import trio

from ebonyvalve.connection import channel
from ebonyvalve.process import identity, message, peer

LOOPBACK = identity.Address("127.0.0.1:0")


async def echo(request: message.Message) -> message.Message:
    """Reply with the request; a ``Leave`` is answered after as many seconds as its node says."""
    if isinstance(request, message.Leave):
        await trio.sleep(float(request.node))
    return request


@contextlib.asynccontextmanager
async def serving(
    server: channel.Channel, handle: peer.Handle = echo, address: identity.Address = LOOPBACK
) -> collections.abc.AsyncIterator[identity.Address]:
    async with trio.open_nursery() as nursery:
        yield await nursery.start(functools.partial(server.serve, handle, address))
        nursery.cancel_scope.cancel()


def fetch(version: int) -> message.FetchConfig:
    return message.FetchConfig(version=identity.ConfigVersion(version))


def leave(delay_s: float) -> message.Leave:
    return message.Leave(
        node=identity.NodeId(str(delay_s)), incarnation=identity.Incarnation("test")
    )


async def test_replies_match_their_requests() -> None:
    """Guards against a reply given to another request when many are in flight."""
    replies: dict[int, peer.AskResult] = {}

    async with channel.open_channel() as both, serving(both) as address:

        async def ask(version: int) -> None:
            replies[version] = await both.ask(address, fetch(version), 5.0)

        async with trio.open_nursery() as nursery:
            for version in range(50):
                nursery.start_soon(ask, version)
    assert replies == {version: result.Success(fetch(version)) for version in range(50)}


async def test_slow_reply_does_not_block_a_later_one() -> None:
    """Guards against replies that are forced into the order of their requests."""
    finished: list[str] = []

    async with channel.open_channel() as both, serving(both) as address:

        async def ask(name: str, body: message.Message) -> None:
            assert result.Success(body) == await both.ask(address, body, 5.0)
            finished.append(name)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "slow", leave(0.2))
            await trio.sleep(0.05)
            nursery.start_soon(ask, "fast", fetch(1))
    assert finished == ["fast", "slow"]


async def test_no_thread_is_started() -> None:
    """Guards against name resolution or an asyncio helper that starts a second thread."""
    before = set(threading.enumerate())
    async with channel.open_channel() as both, serving(both) as address:
        assert await both.ask(address, fetch(1), 5.0) == result.Success(fetch(1))
        assert set(threading.enumerate()) <= before
