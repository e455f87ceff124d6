"""Callers that close their connection while a request of theirs is under way."""

import h11
import pytest
import trio

from ebonyvalve.connection import wire

FIRST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
LONG = b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"


async def open_pair() -> tuple[wire.Wire, trio.SocketStream]:
    """Return the server's side of a connection on loopback, and its peer."""
    ours, theirs = trio.socket.socketpair()
    return wire.open_server(trio.SocketStream(ours)), trio.SocketStream(theirs)


@pytest.mark.parametrize("data", [b"", LONG, FIRST + FIRST])
async def test_close_is_seen_behind_unread_bytes(data: bytes) -> None:
    """A request whose caller had left was sent on, because bytes lay before the close."""
    conn, peer = await open_pair()
    await peer.send_all(FIRST)
    assert isinstance((await wire.receive(conn)).unwrap(), h11.Request)
    await peer.send_all(data)
    await peer.aclose()
    assert wire.find_closed(conn)


async def test_looking_for_a_close_takes_no_bytes_from_who_reads() -> None:
    """Guards against a pipelined request that is lost or read by two tasks."""
    conn, peer = await open_pair()
    await peer.send_all(FIRST)
    for _ in range(2):
        assert isinstance((await wire.receive(conn)).unwrap(), h11.Request)
        assert isinstance((await wire.receive(conn)).unwrap(), h11.EndOfMessage)
        await peer.send_all(FIRST)
        assert not wire.find_closed(conn)
        await wire.send(conn, h11.Response(status_code=204, headers=[]), h11.EndOfMessage())
        assert wire.recycle(conn)
