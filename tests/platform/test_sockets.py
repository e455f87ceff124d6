"""Options of the sockets, on the machine's own kernel."""

import functools

import pytest
import trio

from ebonyvalve.platform import sockets

ANSWER = b"x" * 20_000_000


async def test_caller_that_reads_late_gets_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """An answer was cut when its caller didn't read for 3 s.

    ``TCP_USER_TIMEOUT`` ends a connection also while the other end acknowledges probes of a
    closed window.
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
