"""Tests of socket options and of invalid addresses, with real sockets."""

import functools

import pytest
import trio

from ebonyvalve.platform import sockets
from ebonyvalve.process import network

ANSWER = b"x" * 20_000_000


async def test_caller_that_reads_late_gets_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against aborting an answer because its caller doesn't read for 3 s.

    ``TCP_USER_TIMEOUT`` ends a connection even while the remote end acknowledges probes of a closed
    window.
    """
    monkeypatch.setattr(sockets, "USER_TIMEOUT_MS", 300)

    async def answer(stream: trio.abc.Stream) -> None:
        await stream.send_all(ANSWER)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(trio.serve_tcp, sockets.build_serve(answer), 0, host="127.0.0.1")
        )
        caller = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        await trio.sleep(2.5)
        size = 0
        while data := await caller.receive_some(1_000_000):
            size += len(data)
        assert size == len(ANSWER)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1:", "nowhere", "", ":80"]
    + ["a..b:80", "a\0b:80", "é" * 70 + ":80", "127.0.0.1:" + "9" * 5000, "\ud800:80"],
)
async def test_address_that_cannot_be_connected_to_is_unreachable(address: str) -> None:
    """Guards against exceptions other than OSError, the only one that is handled.

    OverflowError, ValueError and UnicodeError ended the process.
    """
    for connect in (sockets.connect, network.connect_tcp):
        with pytest.raises(OSError):
            await connect(address)
