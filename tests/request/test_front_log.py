"""Tests of the log lines about requests whose connection the node closes without an answer."""

import functools
import logging
import os

import pytest
import trio
import trio.testing

from ebonyvalve.request import exchange, front, outcome
from tests.request import test_front

PARTIAL = b"POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf"


def open_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    near, far = trio.socket.socketpair()
    return trio.SocketStream(near), trio.SocketStream(far)


def list_fields(caplog: pytest.LogCaptureFixture, event: str) -> list[dict[str, object]]:
    return [vars(entry)["fields"] for entry in caplog.records if entry.getMessage() == event]


@pytest.mark.parametrize("data", [test_front.GOOD, PARTIAL])
async def test_request_that_the_end_of_the_process_cuts_is_logged(
    data: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a log without the requests that were under way when the process ended."""
    listener = test_front.build_front()

    async def wait(_: exchange.Call, __: exchange.Caller) -> outcome.Outcome:
        await trio.sleep_forever()
        raise AssertionError

    listener.handle = wait
    near, far = open_pair()
    async with near, trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(front.serve, listener, far))
        await near.send_all(data)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    (fields,) = list_fields(caplog, "unanswered")
    assert (fields["begun"], fields["body_read"]) == (False, data == test_front.GOOD)


@pytest.mark.parametrize("is_sent", [False, True])
async def test_request_that_the_end_of_the_process_leaves_unread_is_logged(
    is_sent: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a log that can't tell an unread request from one that was passed on."""
    listener = test_front.build_front()
    near, far = open_pair()
    async with near, trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(front.serve, listener, far))
        await trio.testing.wait_all_tasks_blocked()
        if is_sent:
            # Not awaited, so that the listener is cancelled before it reads.
            os.write(near.socket.fileno(), test_front.GOOD)
        nursery.cancel_scope.cancel()
    assert len(list_fields(caplog, "request-unread")) == is_sent


async def test_answered_request_is_not_logged_as_unanswered(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against lines about requests that were answered, and callers that left."""
    caplog.set_level(logging.INFO)
    near, far = open_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(front.serve, test_front.build_front(), far))
        await near.send_all(test_front.GOOD)
        await near.receive_some(65_536)
        await near.send_all(PARTIAL)
        await near.aclose()
    assert not list_fields(caplog, "unanswered") + list_fields(caplog, "request-unread")
