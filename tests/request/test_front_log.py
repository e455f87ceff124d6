"""Tests of the log lines about requests whose connection the node closes without an answer."""

import functools
import logging
import os

import pytest
import trio
import trio.testing

from ebonyvalve.request import exchange, front, outcome, unanswered
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


@pytest.mark.parametrize("is_passed_on", [False, True])
async def test_request_that_the_node_cuts_is_counted_if_it_was_passed_on(
    is_passed_on: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a count that includes requests whose callers may safely send them again."""
    listener = test_front.build_front()

    async def wait(call: exchange.Call, __: exchange.Caller) -> outcome.Outcome:
        call.may_have_run = is_passed_on
        await trio.sleep_forever()
        raise AssertionError

    listener.handle = wait
    near, far = open_pair()
    async with near, trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(front.serve, listener, far))
        await near.send_all(test_front.GOOD)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    (fields,) = list_fields(caplog, "unanswered")
    assert (fields["cause"], fields["passed_on"]) == (unanswered.Cause.CUT, is_passed_on)
    assert listener.tracker.counts == ({("callers", "cut"): 1} if is_passed_on else {})


async def test_close_that_was_not_noticed_hides_no_cut_answer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against taking a cut for the work of a caller that closed after it."""
    caplog.set_level(logging.INFO)
    near, far = open_pair()
    listener = test_front.build_front()

    async def break_off(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        call.may_have_run = True
        await caller.reply(200, [(b"content-length", b"10")])
        await caller.write(b"half")
        await near.aclose()
        return outcome.unknown(outcome.Reason.CONNECTION_LOST)

    listener.handle = break_off
    async with trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(front.serve, listener, far))
        await near.send_all(test_front.GOOD)
    (fields,) = list_fields(caplog, "unanswered")
    assert (fields["cause"], fields["peer_closed"]) == (unanswered.Cause.CUT, True)
    assert listener.tracker.counts == {("callers", "cut"): 1}
    assert not list_fields(caplog, "caller-left")


@pytest.mark.parametrize("is_hop", [False, True])
@pytest.mark.parametrize("notices", ["watch", "check", "write"])
async def test_caller_that_leaves_during_its_only_request_is_logged(
    is_hop: bool, notices: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a line that needs pipelining, and nodes that end attempts as noise."""
    caplog.set_level(logging.DEBUG)
    near, far = open_pair()
    listener = test_front.build_front()
    listener.is_hop = is_hop

    async def leave(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        call.may_have_run = True
        await near.aclose()
        if notices == "watch":
            await caller.wait_gone()
        elif notices == "check":
            assert caller.is_gone()
        else:
            assert not await caller.reply(200, [(b"content-length", b"0")])
        return outcome.unknown(outcome.Reason.CALLER_GONE)

    listener.handle = leave
    async with trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(front.serve, listener, far))
        await near.send_all(test_front.GOOD)
    (fields,) = list_fields(caplog, "caller-left")
    assert (fields["requests"], fields["passed_on"], fields["hop"]) == (1, 1, is_hop)
    assert fields["oldest_id"] == fields["newest_id"]
    (level,) = [entry.levelno for entry in caplog.records if entry.getMessage() == "caller-left"]
    assert level == (logging.DEBUG if is_hop else logging.INFO)
    assert listener.tracker.counts == {("peers" if is_hop else "callers", "caller-left"): 1}
    assert not list_fields(caplog, "unanswered")


async def test_caller_that_leaves_after_its_answer_is_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against lines about callers that close connections without a request."""
    caplog.set_level(logging.DEBUG)
    near, far = open_pair()
    listener = test_front.build_front()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(front.serve, listener, far))
        await near.send_all(test_front.GOOD)
        assert await test_front.receive_reply(near)
        await near.aclose()
    assert not list_fields(caplog, "caller-left")
    assert not listener.tracker.counts


@pytest.mark.parametrize(
    ("has_left", "is_behind", "cause", "logged"),
    [
        (False, False, unanswered.Cause.CUT, [False, True]),
        (False, True, unanswered.Cause.BEHIND, [True]),
        (True, False, unanswered.Cause.CALLER_LEFT, []),
        (True, True, unanswered.Cause.CALLER_LEFT, []),
    ],
)
def test_cause(
    has_left: bool, is_behind: bool, cause: unanswered.Cause, logged: list[bool]
) -> None:
    """Guards against causes that overlap, and lines for requests that have one already."""
    assert unanswered.choose_cause(has_left=has_left, is_behind=is_behind) is cause
    passed_on = [ran for ran in (False, True) if unanswered.needs_line(cause, may_have_run=ran)]
    assert passed_on == logged
