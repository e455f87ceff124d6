"""Tests of a faulty target that sends an earlier refusal again on a reused connection."""

import dataclasses
import logging

import h11
import pytest
import trio
import trio.testing

from ebonyvalve.connection import pool, wire
from ebonyvalve.platform import dialect
from ebonyvalve.process import http, identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.request import delivery, exchange, hop_headers, origin, outcome
from tests.request import test_origin

# Seconds between the faulty target's extra reply and the real one.
WORK_S = 0.05


@dataclasses.dataclass(kw_only=True)
class Target:
    """A target that refuses each of ``refused_ids`` once, and repeats refusals as ``when`` says.

    ``ran`` lists the ids of the requests that it started to run.
    """

    status: int = 503
    is_named: bool = True
    when: str = "before-answer"
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    answer_headers: str = ""
    # Sent before every reply but the first on a connection.
    extra_reply: bytes = b""
    ran: list[str] = dataclasses.field(default_factory=list)
    opened: int = 0
    nursery: trio.Nursery

    async def connect(self, _: str) -> trio.abc.Stream:
        ours, theirs = trio.testing.memory_stream_pair()
        self.opened += 1
        self.nursery.start_soon(self.serve, theirs)
        return ours

    async def serve(self, stream: trio.abc.Stream) -> None:
        try:
            await self._serve(stream)
        except (trio.BrokenResourceError, h11.ProtocolError):
            return

    async def _serve(self, stream: trio.abc.Stream) -> None:
        repeated = b""
        is_reused = False
        while True:
            protocol = h11.Connection(h11.SERVER)
            head, _ = await http.receive_message(stream, protocol)
            if not isinstance(head, h11.Request):
                return
            name = dict(head.headers)[dialect.REQUEST_ID].decode()
            if name in self.refused_ids:
                self.refused_ids.discard(name)
                repeated = build_refusal(self.status, name if self.is_named else None)
                is_twice = self.when == "with-refusal"
                await stream.send_all(repeated * (2 if is_twice else 1))
                if self.when == "idle":
                    await trio.sleep(WORK_S)
                    await stream.send_all(repeated)
                continue
            self.ran.append(name)
            if self.when == "before-answer" and repeated:
                await stream.send_all(repeated)
            if is_reused:
                await stream.send_all(self.extra_reply)
            is_reused = True
            await trio.sleep(WORK_S)
            await stream.send_all(build_answer(name, self.answer_headers))


def build_refusal(status: int, name: str | None) -> bytes:
    named = f"X-Attempt-Id: {name}\r\n" if name else ""
    return f"HTTP/1.1 {status} No\r\n{named}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()


def build_answer(name: str, headers: str = "") -> bytes:
    head = f"X-Attempt-Id: {name}\r\nX-Response-Seal: s\r\n{headers}Content-Length: 2\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\n" + head.encode("latin-1") + b"ok"


def build_caller() -> exchange.Caller:
    async def reply(status: int, headers: exchange.Headers) -> bool:
        return True

    async def write(data: bytes) -> bool:
        return True

    async def finish() -> bool:
        return True

    def is_gone() -> bool:
        return False

    return dataclasses.replace(
        test_origin.NO_CALLER,
        reply=reply,
        write=write,
        finish=finish,
        wait_gone=trio.sleep_forever,
        is_gone=is_gone,
    )


def build_entry(target: Target) -> origin.Origin:
    """Return a node of the orders service whose own target is the faulty one."""
    entry = test_origin.build_origin(2.0)
    node = entry.node
    node.place = dataclasses.replace(node.place, service=test_origin.ORDERS)
    node.members.clear()
    node.target = node_module.Target(
        lifetime=identity.Lifetime("t@1"),
        started_at_ms=1,
        slots=4,
        state=member.TargetState.READY,
        reported_at=node.now(),
    )
    node_module.notify_changed(node)
    entry.delivery.dialect = dialect.build_dialect()
    entry.delivery.pool = pool.Pool(connect=target.connect, now=trio.current_time)
    return entry


def build_member(entry: origin.Origin, name: str) -> member.Member:
    return member.Member(
        node=identity.NodeId(name),
        address=identity.Address(f"{name}:1"),
        zone=entry.node.place.zone,
        service=test_origin.ORDERS,
        lifetime=identity.Lifetime(f"{name}@1"),
        slots=4,
        state=member.TargetState.READY,
    )


def build_order(name: str) -> exchange.Call:
    call = test_origin.build_call(is_repeatable=False)
    call.request_id = name
    call.headers = [(b"host", b"shop.example"), (dialect.REQUEST_ID, name.encode())]
    return call


async def ask(entry: origin.Origin, name: str) -> outcome.Outcome:
    completion = await delivery.run(entry.delivery, build_order(name), build_caller())
    return completion.result


@pytest.mark.parametrize("when", ["with-refusal", "idle", "before-answer"])
@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("again", ["r1", "r2"])
async def test_earlier_refusal_is_never_taken_for_that_of_a_running_request(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    again: str,
    status: int,
    is_named: bool,
    when: str,
) -> None:
    """Guards against reporting "not run" for an order that a target is running (REFUSED).

    The target sends its refusal of an order again on the reused connection, where the reply to
    another order, or to a retry of the same one, is expected.
    """
    target = Target(
        nursery=nursery, status=status, is_named=is_named, when=when, refused_ids={"r1"}
    )
    entry = build_entry(target)
    first = await ask(entry, "r1")
    assert first.verdict is outcome.Verdict.NOT_RUN
    await trio.sleep(2 * WORK_S)
    second = await ask(entry, again)
    assert target.ran == [again]
    assert second.verdict is not outcome.Verdict.NOT_RUN
    # A refusal that is recognised as another request's does not cost the reply.
    assert second.verdict is outcome.Verdict.ANSWERED


@pytest.mark.parametrize("status", [503, 429, 421, 400, 404, 500])
async def test_reply_without_a_request_id_is_trusted_only_on_a_new_connection(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    caplog: pytest.LogCaptureFixture,
    status: int,
) -> None:
    """Guards against accepting a reply that names no request on a reused connection.

    Targets name the request in their replies; one without a name may belong to any earlier request.
    """
    unnamed_reply = build_refusal(status, None)
    if status in (404, 500):
        unnamed_reply = unnamed_reply.replace(b"X-Not-Executed: 1\r\n", b"")
    target = Target(nursery=nursery, extra_reply=unnamed_reply)
    entry = build_entry(target)
    caplog.set_level(logging.INFO)
    assert (await ask(entry, "r1")).verdict is outcome.Verdict.ANSWERED
    assert (await ask(entry, "r2")).verdict is outcome.Verdict.UNKNOWN
    assert target.ran == ["r1", "r2"]
    # The log shows operators why the outcome is unknown.
    assert [record.message for record in caplog.records if record.message == "answer-spoiled"]
    assert (await ask(entry, "r3")).verdict is outcome.Verdict.ANSWERED
    assert target.opened == 2


async def test_earlier_refusal_sends_no_running_order_to_a_second_target(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order that runs at a second target while the first runs it (TWICE)."""
    target = Target(nursery=nursery, is_named=False, refused_ids={"r1"})
    other = Target(nursery=nursery)
    entry = build_entry(target)
    node = entry.node
    entry.peers = pool.Pool(connect=other.connect, now=trio.current_time)
    for name in ("me", "other"):
        node.members[identity.NodeId(name)] = build_member(entry, name)
    picks = iter(["me", "other"])
    monkeypatch.setattr(origin, "_choose_node", lambda *_, **__: identity.NodeId(next(picks)))
    await ask(entry, "r1")
    await origin._try_all(entry, build_order("r2"), build_caller(), [])
    assert target.ran == ["r2"]
    assert other.ran == []


async def test_target_cannot_send_its_node_headers(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against taking a faulty target's headers for a refusal by its node."""
    target = Target(nursery=nursery, answer_headers="Ebonyvalve-Refused: not-run:target-shed\r\n")
    entry = build_entry(target)
    replies: list[exchange.Headers] = []

    async def reply(status: int, headers: exchange.Headers) -> bool:
        replies.append(headers)
        return True

    caller = dataclasses.replace(build_caller(), reply=reply)
    await origin.serve_hop(entry, build_order("r1"), caller)
    assert target.ran == ["r1"]
    assert wire.find_header(replies[0], hop_headers.REFUSED_HEADER) is None
    assert wire.find_header(replies[0], hop_headers.LOAD_HEADER) is not None


@pytest.mark.parametrize(
    "headers",
    [
        [(hop_headers.REFUSED_HEADER, b"not-run:a-later-reason")],
        [(hop_headers.REFUSED_HEADER, b"not-run:target-shed"), (b"retry-after", b"soon")],
        [(hop_headers.REFUSED_HEADER, b"\xff")],
        [(hop_headers.REFUSED_HEADER, b"not-run:moved"), (hop_headers.OWNER_HEADER, b"\xff")],
        [(hop_headers.LOAD_HEADER, b"1,2")],
    ],
)
async def test_unreadable_reply_of_a_node_does_not_end_the_process(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, headers: exchange.Headers
) -> None:
    """Guards against a node that fails on headers of another release, or trusts invalid ones."""
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers).decode("latin-1")
    other = Target(nursery=nursery, answer_headers=lines)
    entry = build_entry(Target(nursery=nursery))
    entry.peers = pool.Pool(connect=other.connect, now=trio.current_time)
    name = identity.NodeId("other")
    entry.node.members[name] = build_member(entry, "other")
    view = node_module.read_view(entry.node, name)
    completion = await origin._forward(entry, build_order("r1"), build_caller(), name, view)
    assert completion.result.verdict is not outcome.Verdict.NOT_RUN
