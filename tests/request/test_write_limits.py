"""Tests of the time limits and shields of the writes of answers."""

import pytest
import trio
import trio.testing

from ebonyvalve import errors
from ebonyvalve.connection import wire
from ebonyvalve.platform import daemon
from ebonyvalve.process import http
from ebonyvalve.request import buffering, exchange
from tests.platform import mesh as mesh_module
from tests.request import test_ahead, test_closing_answers, test_front_log

MEDIUM = test_closing_answers.MEDIUM
LARGE = test_closing_answers.LARGE
WITH_TIMEOUT = test_closing_answers.WITH_TIMEOUT
TIMEOUT_S = test_closing_answers.TIMEOUT_S


@pytest.mark.parametrize("has_timeout", [False, True])
async def test_producer_that_waits_long_for_its_turn_is_answered_whole(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, has_timeout: bool
) -> None:
    """Guards against a part of an answer that is sent, and closes the connection.

    The answers behind the first one exceed what may be held, so that a producer waits for its turn.
    The wait exceeds the limit for the sending of a whole answer.
    """
    answer_after = test_closing_answers.answer_after
    scripts = {
        f"_{i}": answer_after(0.1, test_closing_answers.build_answer(f"{i}", 2 * MEDIUM))
        for i in (1, 2)
    }
    scripts["_0"] = answer_after(2 * buffering.MAX_DELIVERY_S)
    async with test_closing_answers.open_node(monkeypatch, **scripts) as node:
        extra = ["", WITH_TIMEOUT, WITH_TIMEOUT, ""] if has_timeout else [""] * 4
        await node.world.near.send_all(
            b"".join(
                test_ahead.write_request(str(i), extra=headers) for i, headers in enumerate(extra)
            )
        )
        received = await test_ahead.receive_all(node.world, b"[3]")
        assert received.count(b"HTTP/1.1 ") == 4
        names = test_ahead.list_names(received)
        assert names[-1] == "3" and names == sorted(names)
        assert received.count(b"x" * 2 * MEDIUM) == len(names) - 2
        assert node.world.listener.pipelining.dropped == 0


@pytest.mark.parametrize("position", [0, 1])
async def test_slow_caller_has_the_time_of_its_request_for_a_whole_answer(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against a whole answer that is cut long before the deadline of its request."""
    scripts = {"_1": test_closing_answers.answer_after(0.5)}
    async with test_closing_answers.open_node(monkeypatch, **scripts) as node:
        text = f"[{position}]".encode()
        stall = test_closing_answers.stall_within(text, 1.5 * buffering.MAX_DELIVERY_S)
        test_closing_answers.replace_send(node.far, stall)
        received = await test_closing_answers.ask_three(node.world)
        assert test_ahead.list_names(received) == ["0", "1", "2"]


async def test_caller_that_takes_bytes_all_the_time_is_not_given_up(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a limit for silent callers that cuts one which reads slowly but steadily."""
    script = test_closing_answers.answer_after(0.5, test_closing_answers.build_answer("0", LARGE))
    async with test_closing_answers.open_node(monkeypatch, _0=script) as node:

        def change(plain: test_closing_answers.Write) -> test_closing_answers.Write:
            async def send_all(data: bytes) -> None:
                if b"[0]" not in bytes(data):
                    await plain(data)
                    return
                for start in range(0, len(data), 2000):
                    await trio.sleep(1.2)
                    await plain(data[start : start + 2000])

            return send_all

        test_closing_answers.replace_send(node.far, change)
        received = await test_closing_answers.ask_three(node.world)
        assert test_ahead.list_names(received) == ["0", "1", "2"]
        assert received.count(b"x") == LARGE


async def test_time_out_while_the_end_of_a_streamed_answer_is_written(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an answer that is cut in its end, whose write began before the time-out."""
    body = b"[0]" + b"x" * buffering.MAX_AWAITED_BYTES
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
    script = test_closing_answers.answer_after(TIMEOUT_S - 0.1, data % (len(body), body))
    async with test_closing_answers.open_node(monkeypatch, _0=script) as node:
        end = b"0\r\n\r\n"

        def change(plain: test_closing_answers.Write) -> test_closing_answers.Write:
            async def send_all(data: bytes) -> None:
                if bytes(data) == end:
                    # Until after the time-out.
                    await trio.sleep(0.1 + wire.MAX_SHIELDED_WRITE_S / 2)
                await plain(data)

            return send_all

        test_closing_answers.replace_send(node.far, change)
        received = await test_closing_answers.ask_three(node.world, WITH_TIMEOUT)
        assert test_ahead.list_names(received) == ["0", "1", "2"]


async def test_dropped_producers_of_whole_answers_do_not_count_as_left_by_their_caller(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against log lines that blame the caller when the node closes the connection.

    The producer has its answer whole and waits for its turn.
    """
    answer_after = test_closing_answers.answer_after
    build_answer = test_closing_answers.build_answer
    cut = answer_after(0.5, build_answer("cut", LARGE)[:-1], closes=True)
    waiting = {
        f"_{i}": answer_after(0.1, build_answer(f"{i}", buffering.MAX_BUFFERED_BYTES - 100))
        for i in (1, 2)
    }
    async with test_closing_answers.open_node(monkeypatch, _0=cut, **waiting) as node:
        await test_closing_answers.ask_three(node.world)
        assert node.world.listener.pipelining.delayed >= 1
    causes = [fields["ended_by"] for fields in test_front_log.list_fields(caplog, "attempt")]
    assert "caller" not in causes
    assert ("unknown", "caller-gone") not in test_closing_answers.count_outcomes(node)


async def test_limit_of_a_write_does_not_count_as_left_by_the_caller(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a limit of the node's own that counts as a close by the caller."""
    async with test_closing_answers.open_node(monkeypatch) as node:
        stall = test_closing_answers.stall_within(b"[0]", 1e6)
        test_closing_answers.replace_send(node.far, stall)
        await node.world.near.send_all(test_ahead.write_request("0", extra=WITH_TIMEOUT))
        await test_ahead.receive_all(node.world)
        causes = [fields["ended_by"] for fields in test_front_log.list_fields(caplog, "attempt")]
        assert "caller" not in causes
        assert ("unknown", "caller-gone") not in test_closing_answers.count_outcomes(node)


@pytest.mark.parametrize("is_expecting", [False, True])
async def test_shielded_writes_do_not_hold_up_the_end_of_the_process(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, is_expecting: bool
) -> None:
    """Guards against a process that is killed because a caller does not read a few bytes.

    What is left of the grace period after the last answers is all that the exit may take.
    """
    pair = trio.testing.memory_stream_pair()
    async with test_ahead.open_world(pair=lambda: pair) as world:
        if is_expecting:
            stall = test_closing_answers.stall_within(b"HTTP/1.1 100", 1e6)
            request = test_ahead.write_request(
                "0", body=b"body", method="PUT", extra="Expect: 100-continue\r\n"
            )[:-4]
        else:
            stall = test_closing_answers.stall_within(b"[0]", 1e6)
            request = test_ahead.write_request("0")
        test_closing_answers.replace_send(pair[1], stall)
        await world.near.send_all(request)
        await trio.sleep(0.1)
        ended_at_s = trio.current_time()
        buffering.end_deliveries(world.listener.usage)
        world.nursery.cancel_scope.cancel()
    remaining_s = daemon.EXIT_MARGIN_S - daemon.LAST_ANSWERS_S
    assert trio.current_time() - ended_at_s <= remaining_s


async def test_reply_that_is_whole_is_returned_although_the_time_out_passes(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a reply that counts as missing because the time-out meets the close."""
    near, far = trio.testing.memory_stream_pair()
    plain = near.receive_some

    async def receive_some(max_bytes: int | None = None) -> bytes:
        data = await plain(max_bytes)
        autojump_clock.jump(2.0)
        return bytes(data)

    near.receive_some = receive_some  # type: ignore[method-assign]

    async def connect(_: str) -> trio.abc.Stream:
        return near

    await far.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    request = http.Request(method="GET", path="/")
    fetched = await http.fetch(connect, "x:1", request, timeout_s=1.0)
    assert fetched.unwrap().body == b"ok"


async def test_sending_of_a_whole_answer_does_not_hold_up_a_process_that_fails() -> None:
    """Guards against a process that serves nobody, but does not end, after a violated invariant."""
    failed_at_s = 0.0

    async def wait(*_: object) -> bool:
        await trio.sleep_forever()
        raise AssertionError

    async def fail() -> None:
        raise errors.InvariantError("planted")

    with pytest.raises(ExceptionGroup):
        async with mesh_module.open_mesh(["lookup"]) as mesh:
            running = mesh.daemons[0]
            caller = exchange.Caller(
                receive=wait,  # type: ignore[arg-type]
                reply=wait,
                write=wait,
                finish=wait,
                wait_gone=wait,  # type: ignore[arg-type]
                is_gone=lambda: False,
                is_reply_begun=lambda: False,
            )
            buffer = buffering.Buffer(usage=running.origin.buffer_usage)
            buffered = buffering.buffer_reply(caller, buffer)
            await buffered.reply(200, [])
            assert running.callers.nursery is not None
            running.callers.nursery.start_soon(buffered.finish)
            await trio.sleep(0.1)
            failed_at_s = trio.current_time()
            running.callers.nursery.start_soon(fail)
            await trio.sleep_forever()
    assert trio.current_time() - failed_at_s < buffering.MAX_DELIVERY_S / 2
