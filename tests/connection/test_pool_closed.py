"""Tests of idle connections that the remote end has closed or has sent unsolicited bytes on."""

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
    pooled = (await pool.acquire(state, address, p99_s=None)).unwrap()
    liveness.record_idle(pooled.state, state.now())
    return pooled


async def test_closed_connection_is_not_used_again(nursery: trio.Nursery) -> None:
    """Guards against sending a request on a connection that the remote end has closed.

    During a rolling stop of the nodes in a Darkroom run, 141 attempts ended with 502 although none
    of them could have run. A stopped node resets the connection, and once a byte was sent it is
    unknown whether the request has run.
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
    """Guards against a new connection for each request, which costs money and a round trip."""
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
    """Guards against unsolicited bytes that are taken for the answer to the next request.

    A target repeated an earlier refusal, which was passed on for the next request. Not every answer
    of a faulty target carries a request id.
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
    """Guards against a repeated refusal that is taken for the answer to a retry.

    It carries the id of the retried request. Other requests may use the connection as before.
    """
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
    """Guards against a close that is overlooked because unread bytes of a second answer precede it.

    The next request was sent on that connection and lost.
    """
    address, accepted = await open_server(nursery)
    state = pool.Pool(connect=network.connect_tcp, now=trio.current_time)
    first = await idle_connection(state, address)
    await wait_accepted(accepted)
    await accepted[0].send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    await accepted[0].aclose()
    await trio.sleep(0.05)
    second = (await pool.acquire(state, address, p99_s=None)).unwrap()
    assert second.connection_id != first.connection_id
