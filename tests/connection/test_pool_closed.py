"""Connections that the other end has closed while they were idle."""

import pytest
import trio

from ebonyvalve.connection import liveness, pool
from ebonyvalve.process import identity, network


async def open_server(nursery: trio.Nursery) -> tuple[identity.Address, list[trio.SocketStream]]:
    """Return the address of a server on loopback and the connections that it has accepted."""
    accepted: list[trio.SocketStream] = []

    async def serve(stream: trio.SocketStream) -> None:
        accepted.append(stream)
        await trio.sleep_forever()

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    return identity.Address(f"127.0.0.1:{port}"), accepted


async def wait_accepted(accepted: list[trio.SocketStream]) -> None:
    for _ in range(500):
        if accepted:
            return
        await trio.sleep(0.01)


async def idle_connection(state: pool.Pool, address: identity.Address) -> pool.PooledConnection:
    slot = (await pool.acquire(state, address, p99_s=None)).unwrap()
    liveness.record_idle(slot.state, state.now())
    return slot


async def test_closed_connection_is_not_used_again(nursery: trio.Nursery) -> None:
    """A rolling stop of the Darkroom: 141 tries ended with 502 although nothing could have run.

    A node that has stopped resets what is sent on a kept connection, and after a byte was sent
    nobody can say that the request has not run.
    """
    address, accepted = await open_server(nursery)
    state = pool.Pool(connect=network.connect_tcp, now=trio.current_time)
    first = await idle_connection(state, address)
    await wait_accepted(accepted)
    await accepted[0].aclose()
    await trio.sleep(0.05)
    second = (await pool.acquire(state, address, p99_s=None)).unwrap()
    assert second.connection_id != first.connection_id


async def test_open_connection_is_used_again(nursery: trio.Nursery) -> None:
    """New connections are priced, and take a round trip."""
    address, _ = await open_server(nursery)
    state = pool.Pool(connect=network.connect_tcp, now=trio.current_time)
    first = await idle_connection(state, address)
    second = (await pool.acquire(state, address, p99_s=None)).unwrap()
    assert second.connection_id == first.connection_id


@pytest.mark.parametrize(
    "extra",
    [
        b"HTTP/1.1 503 No\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"\0",
    ],
)
async def test_connection_with_unasked_bytes_is_not_used_again(
    nursery: trio.Nursery, extra: bytes
) -> None:
    """A target that wrote an earlier refusal once more was believed for the next request.

    Not all of what a faulty target writes names a request.
    """
    address, accepted = await open_server(nursery)
    state = pool.Pool(connect=network.connect_tcp, now=trio.current_time)
    first = await idle_connection(state, address)
    await wait_accepted(accepted)
    await accepted[0].send_all(extra)
    await trio.sleep(0.05)
    second = (await pool.acquire(state, address, p99_s=None)).unwrap()
    assert second.connection_id != first.connection_id


async def test_request_gets_no_connection_on_which_it_was_refused(nursery: trio.Nursery) -> None:
    """Its own refusal, written once more, bears its name; other requests go on as before."""
    address, _ = await open_server(nursery)
    state = pool.Pool(connect=network.connect_tcp, now=trio.current_time)
    first = await idle_connection(state, address)
    pool.record_refusal(first, "r1", names_request=True)
    second = (await pool.acquire(state, address, p99_s=None, request_id="r2")).unwrap()
    assert second.connection_id == first.connection_id
    liveness.record_idle(second.state, state.now())
    third = (await pool.acquire(state, address, p99_s=None, request_id="r1")).unwrap()
    assert third.connection_id != first.connection_id


async def test_connection_closed_behind_late_bytes_is_not_used_again(
    nursery: trio.Nursery,
) -> None:
    """A second answer lay before the close, so that the next request was sent and lost."""
    address, accepted = await open_server(nursery)
    state = pool.Pool(connect=network.connect_tcp, now=trio.current_time)
    first = await idle_connection(state, address)
    await wait_accepted(accepted)
    await accepted[0].send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    await accepted[0].aclose()
    await trio.sleep(0.05)
    second = (await pool.acquire(state, address, p99_s=None)).unwrap()
    assert second.connection_id != first.connection_id
