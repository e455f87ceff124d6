"""Reads what a peer sends behind the request that is being served."""

import collections.abc
import re

import h11
import trio

from ebonyvalve.connection import pipeline, wire

# The end of a head, as h11 recognises it.
BLANK_LINE = re.compile(rb"\n\r?\n")
# Bytes of an end of a head that may have come with the read before.
MAX_SPLIT_BYTES = 2


async def read_behind(conn: wire.Wire, now: collections.abc.Callable[[], float]) -> bytes:
    """Return the next bytes of the peer, empty if it has closed, and record when they arrived.

    :param conn: a server side on which no other task reads.
    :param now: returns the time in seconds.
    """
    try:
        data = bytes(await conn.stream.receive_some(wire.READ_BYTES))
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        data = b""
    if data:
        conn.received_bytes += len(data)
        record_arrival(conn, now)
    else:
        wire.record_left(conn)
    return data


def record_arrival(conn: wire.Wire, now: collections.abc.Callable[[], float]) -> None:
    """Record when the bytes arrived that were read last, unless that was done before.

    :param conn: the connection.
    :param now: returns the time in seconds.
    """
    if conn.arrivals is None:
        conn.arrivals = pipeline.Arrivals()
    if not pipeline.is_recorded(conn.arrivals, conn.received_bytes):
        arrived_at_s = now() - wire.read_data_age(conn)
        pipeline.record_arrival(conn.arrivals, conn.received_bytes, arrived_at_s)


def find_arrival(
    conn: wire.Wire, behind_bytes: int, now: collections.abc.Callable[[], float]
) -> float:
    """Return when the head that was read last arrived, in seconds.

    :param conn: the connection.
    :param behind_bytes: how many bytes were received behind the head.
    :param now: returns the time in seconds.
    """
    if conn.arrivals is not None:
        arrived_at_s = pipeline.find_arrival(conn.arrivals, conn.received_bytes - behind_bytes)
        if arrived_at_s is not None:
            return arrived_at_s
    return now() - wire.read_data_age(conn)


def take_head(behind: bytearray, scanned: int) -> bytes | None:
    """Remove a whole head from received bytes and return it, or ``None`` if it isn't complete.

    What is too long for a head is returned too, so that it is refused.

    :param behind: the bytes.
    :param scanned: how many of them are known to hold no end of a head.
    """
    found = BLANK_LINE.search(behind, max(0, scanned - MAX_SPLIT_BYTES))
    if found is None and len(behind) <= wire.MAX_HEAD_BYTES:
        return None
    end = len(behind) if found is None else found.end()
    head = bytes(behind[:end])
    del behind[:end]
    return head


def open_next(conn: wire.Wire) -> wire.Wire:
    """Return the state of the next request of a connection, which is answered by itself.

    :param conn: the connection, whose current request is still being answered.
    """
    following = wire.open_server(conn.stream)
    following.is_reused = True
    return following


def parse_head(conn: wire.Wire, head: bytes) -> h11.Request | wire.WireFailure:
    """Return a request whose head has been received in full.

    :param conn: from :func:`open_next`.
    :param head: the head's bytes.
    """
    conn.http.receive_data(head)
    try:
        event = conn.http.next_event()
    except h11.RemoteProtocolError:
        return wire.WireFailure.MALFORMED
    if not isinstance(event, h11.Request):
        return wire.WireFailure.MALFORMED
    conn.is_head_request = event.method == b"HEAD"
    return event


def parse_body(conn: wire.Wire, body: bytes) -> bool:
    """Read a body to its end; return whether it is complete.

    :param conn: the state of a request whose head was read.
    :param body: the body's bytes.
    """
    if body:
        conn.http.receive_data(body)
    event = wire.poll(conn)
    while isinstance(event, h11.Data):
        event = wire.poll(conn)
    return isinstance(event, h11.EndOfMessage)


def hand_over(conn: wire.Wire, following: wire.Wire, behind: bytearray) -> None:
    """Make a connection go on with its next request.

    :param conn: the connection; all of its requests have been answered.
    :param following: the state of the next request.
    :param behind: the bytes that were received and don't belong to ``following`` yet.
    """
    if behind:
        following.http.receive_data(bytes(behind))
    conn.http = following.http
    conn.is_head_request = following.is_head_request
    conn.is_reused = True
