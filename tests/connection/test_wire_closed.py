"""Tests of callers that close their connection while a request is in flight."""

import h11
import pytest
import trio

from ebonyvalve.connection import wire

SHORT_REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_REQUEST = b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"


async def open_pair() -> tuple[wire.Wire, trio.SocketStream]:
    """Return the server's side of a connection on loopback, and its peer."""
    ours, theirs = trio.socket.socketpair()
    return wire.open_server(trio.SocketStream(ours)), trio.SocketStream(theirs)


@pytest.mark.parametrize("data", [b"", LONG_REQUEST, SHORT_REQUEST + SHORT_REQUEST])
async def test_close_is_seen_behind_unread_bytes(data: bytes) -> None:
    """Guards against forwarding a request whose caller has left.

    The close was overlooked because unread bytes preceded it.
    """
    conn, peer = await open_pair()
    await peer.send_all(SHORT_REQUEST)
    assert isinstance((await wire.receive(conn)).unwrap(), h11.Request)
    await peer.send_all(data)
    await peer.aclose()
    assert wire.is_closed_by_peer(conn)


async def test_check_for_close_consumes_no_bytes() -> None:
    """Guards against a pipelined request that the check for a close loses or reads twice."""
    conn, peer = await open_pair()
    await peer.send_all(SHORT_REQUEST)
    for _ in range(2):
        assert isinstance((await wire.receive(conn)).unwrap(), h11.Request)
        assert isinstance((await wire.receive(conn)).unwrap(), h11.EndOfMessage)
        await peer.send_all(SHORT_REQUEST)
        assert not wire.is_closed_by_peer(conn)
        await wire.send(conn, h11.Response(status_code=204, headers=[]), h11.EndOfMessage())
        assert wire.recycle(conn)


async def test_pipelined_bytes_are_not_taken_for_a_close() -> None:
    """Guards against taking many pipelined bytes for a close.

    A request ended without an answer because its caller had already sent the next ones.
    """
    conn, peer = await open_pair()
    async with trio.open_nursery() as nursery:
        await peer.send_all(SHORT_REQUEST)
        await wire.receive(conn)
        await wire.receive(conn)
        nursery.start_soon(peer.send_all, b"x" * 2 * wire.MAX_HEAD_BYTES)
        with trio.move_on_after(0.2) as scope:
            await wire.wait_closed(conn)
        assert scope.cancelled_caught
    await peer.aclose()
    with trio.fail_after(1.0):
        await wire.wait_closed(conn)


async def test_close_is_seen_while_a_body_is_unread() -> None:
    """Guards against overlooking that the caller of a request with a long body has left."""
    conn, peer = await open_pair()
    await peer.send_all(LONG_REQUEST + b"x" * 10_000)
    await wire.receive(conn)
    with trio.move_on_after(0.1) as scope:
        await wire.wait_closed(conn)
    assert scope.cancelled_caught
    assert isinstance((await wire.receive(conn)).unwrap(), h11.Data)
    await peer.send_all(b"x" * 10_000)
    await peer.aclose()
    with trio.fail_after(1.0):
        await wire.wait_closed(conn)
    # The body is left for the task that forwards it as fast as the target reads.
    assert conn.http.trailing_data[0] == b""
    assert isinstance((await wire.receive(conn)).unwrap(), h11.Data)
