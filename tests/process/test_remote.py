"""Tests of the platform's HTTP stand-in with faults of the network and of its clients."""

import collections.abc
import contextlib
import functools
import random
import threading
import time

from returns import result
import trio

from ebonyvalve.process import platform, remote

HOST = "127.0.0.1"


@contextlib.asynccontextmanager
async def open_server(memory: platform.Memory) -> collections.abc.AsyncIterator[int]:
    async with trio.open_nursery() as nursery:
        yield await nursery.start(functools.partial(remote.serve, memory, host=HOST, port=0))
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_scripted_server(reply: bytes) -> collections.abc.AsyncIterator[int]:
    """Run a server that answers every connection with the same bytes and closes it."""

    async def accept(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(reply)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(functools.partial(trio.serve_tcp, accept, 0, host=HOST))
        yield listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


async def test_late_reply_of_a_commit_is_unknown() -> None:
    """Guards against a late reply that is guessed, or taken for the reply to the next request."""
    memory = platform.Memory(delay_s=0.3)
    async with (
        open_server(memory) as port,
        remote.open_client(host=HOST, port=port, timeout_s=0.1) as services,
    ):
        start_s = time.monotonic()
        state = await services.table.commit({"a": 0}, {"a": b"1"})
        assert time.monotonic() - start_s < 0.25
        assert state is platform.CommitState.UNKNOWN
        memory.delay_s = 0.0
        assert await services.table.read("b") == result.Success(platform.Row())
        await trio.sleep(0.4)
        assert await services.table.read("a") == result.Success(platform.Row(value=b"1", version=1))


async def test_refused_connect() -> None:
    """Guards against an exception from a client whose server does not listen."""
    async with open_server(platform.Memory()) as port:
        pass
    async with remote.open_client(host=HOST, port=port) as services:
        assert await services.table.read("a") == result.Failure(platform.StoreFailure.UNAVAILABLE)
        assert await services.table.commit({}, {"a": b""}) is platform.CommitState.UNKNOWN


async def test_broken_replies() -> None:
    """Guards against a malformed reply that counts as an answer or raises an exception."""
    ok = b"HTTP/1.1 200 OK\r\ncontent-length: "
    replies = [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        ok + b'50\r\n\r\n{"state":"committed"}',
        ok + b'2\r\n\r\n{"',
        ok + b'19\r\n\r\n{"state":"perhaps"}',
        ok + b"-1\r\n\r\n",
        b"SSH-2.0-server\r\n",
        b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 500 No\r\ncontent-length: 21\r\n\r\n" + b'{"state":"committed"}',
    ]
    for reply in replies:
        async with (
            open_scripted_server(reply) as port,
            remote.open_client(host=HOST, port=port, timeout_s=0.5) as services,
        ):
            state = await services.table.commit({}, {"a": b""})
            assert state is platform.CommitState.UNKNOWN, reply
            assert isinstance(await services.table.read("a"), result.Failure), reply


async def test_malformed_requests_do_not_stop_the_server() -> None:
    """Guards against malformed requests that end the server."""
    rng = random.Random(20261204)
    head = b"POST /table/commit HTTP/1.1\r\nhost: a\r\ncontent-length: "
    payloads = [rng.randbytes(500) for _ in range(10)]
    payloads += [
        b"",
        head + b"2\r\n\r\n{}",
        head + b"5\r\n\r\n[[[[[",
        head + b'39\r\n\r\n{"expected":{"a":"x"},"writes":{"a":1}}',
        head + b"999999999999\r\n\r\n",
        head + b"x\r\n\r\n",
        b"GET /table/read HTTP/1.1\r\nhost: a\r\n\r\n",
        b"POST /none HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n",
    ]
    async with open_server(platform.Memory()) as port:
        for payload in payloads:
            async with await trio.open_tcp_stream(HOST, port) as stream:
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(payload)
                    await stream.send_eof()
                    with trio.fail_after(1.0):
                        await stream.receive_some()
        async with remote.open_client(host=HOST, port=port) as services:
            assert await services.table.read("a") == result.Success(platform.Row())


async def test_faults_are_set_over_http() -> None:
    """Guards against a simulated outage that cannot be ended because the server refuses calls."""
    memory = platform.Memory()
    async with open_server(memory) as port, remote.open_client(host=HOST, port=port) as services:
        outage = remote.Faults(is_down=True, delay_s=0.01, lost_replies=2)
        assert await remote.set_faults(host=HOST, port=port, faults=outage)
        assert await services.table.read("a") == result.Failure(platform.StoreFailure.UNAVAILABLE)
        assert await remote.set_faults(host=HOST, port=port, faults=remote.Faults(lost_replies=1))
        assert await services.table.commit({}, {"a": b"1"}) is platform.CommitState.UNKNOWN
        assert await services.table.commit({}, {"a": b"2"}) is platform.CommitState.COMMITTED


async def test_restarted_server_is_reached_again() -> None:
    """Guards against idle connections to a stopped server that fail requests to the next one."""
    memory = platform.Memory()
    async with contextlib.AsyncExitStack() as stack:
        async with open_server(memory) as port:
            services = await stack.enter_async_context(remote.open_client(host=HOST, port=port))
            assert await services.table.commit({}, {"a": b"1"}) is platform.CommitState.COMMITTED
        async with trio.open_nursery() as nursery:
            await nursery.start(functools.partial(remote.serve, memory, host=HOST, port=port))
            assert await services.table.read("a") == result.Success(
                platform.Row(value=b"1", version=1)
            )
            nursery.cancel_scope.cancel()


async def test_client_bounds_its_connections() -> None:
    """Guards against a new connection for every request while the table is slow."""
    memory = platform.Memory(delay_s=0.02)
    async with (
        open_server(memory) as port,
        remote.open_client(host=HOST, port=port, connections=3) as services,
    ):
        start_s = time.monotonic()
        async with trio.open_nursery() as nursery:
            for _ in range(9):
                nursery.start_soon(services.table.read, "a")
        assert time.monotonic() - start_s >= 0.06


async def test_no_thread_is_started() -> None:
    """Guards against an address look-up that starts a thread; the program uses only one."""
    before = set(threading.enumerate())
    async with (
        open_server(platform.Memory()) as port,
        remote.open_client(host=HOST, port=port) as services,
    ):
        assert await services.table.read("a") == result.Success(platform.Row())
        assert set(threading.enumerate()) <= before
