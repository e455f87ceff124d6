"""Sends small messages to other nodes on the kept connections that forwarded requests use too."""

import h11
from returns import result
import trio

from ebonyvalve.connection import liveness, pool, wire
from ebonyvalve.process import identity

OK = 200
MAX_ANSWER_BYTES = 65_536


async def post(
    peers: pool.Pool, address: identity.Address, path: str, body: bytes, timeout_s: float
) -> bytes | None:
    """Send a message, and return the body of the answer or ``None`` if it can't be used.

    A message that is lost is not sent again.

    :param peers: the connections to other nodes.
    :param address: the address of the other node.
    :param path: the path that identifies the kind of message.
    :param body: the message.
    :param timeout_s: seconds within which the answer must be complete.
    """
    with trio.move_on_after(timeout_s):
        acquired = await pool.acquire(peers, address, p99_s=None)
        if not isinstance(acquired, result.Success):
            return None
        connection = acquired.unwrap()
        pool.begin_request(connection, is_reply_begun=_is_reply_begun)
        answer: bytes | None = None
        try:
            with connection.scope:
                answer = await _exchange(peers, connection, address, path, body)
        finally:
            await pool.release(peers, address, connection)
        return answer
    return None


def _is_reply_begun() -> bool:
    """Return that no caller has received a part of the answer."""
    return False


async def _exchange(
    peers: pool.Pool,
    connection: pool.PooledConnection,
    address: identity.Address,
    path: str,
    body: bytes,
) -> bytes | None:
    conn = connection.conn
    assert conn is not None
    headers = [("host", address), ("content-length", str(len(body)))]
    head = h11.Request(method="POST", target=path, headers=headers)
    liveness.record_awaiting(connection.state, peers.now())
    sent = await wire.send(conn, head, h11.Data(data=body), h11.EndOfMessage())
    if not isinstance(sent, result.Success):
        return None
    status = 0
    answer = bytearray()
    while True:
        received = await wire.receive(conn)
        if not isinstance(received, result.Success):
            return None
        event = received.unwrap()
        liveness.record_progress(connection.state, peers.now())
        if isinstance(event, h11.Response):
            status = event.status_code
            connection.has_response_head = True
        elif isinstance(event, h11.Data):
            answer += event.data
            if len(answer) > MAX_ANSWER_BYTES:
                return None
        elif isinstance(event, h11.EndOfMessage):
            return bytes(answer) if status == OK else None
        elif not isinstance(event, h11.InformationalResponse):
            return None
