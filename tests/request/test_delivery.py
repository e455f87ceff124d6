"""Tests of requests at a node's own target: refusals, keys in transit, deadlines and slots."""

import collections.abc
import dataclasses

import pytest
import trio
import trio.testing

from ebonyvalve.connection import liveness, wire
from ebonyvalve.process import identity, member, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.process.load import admission
from ebonyvalve.request import attempt, delivery, exchange, hop_headers, origin, outcome
from tests.request import test_origin

SERVICE = identity.ServiceId("lookup")
LIFETIME = identity.Lifetime("t@1")


def build_delivery() -> delivery.Delivery:
    """Return a node whose target is assigned all keys but has not been granted them yet."""
    state = test_origin.build_origin(0.0).delivery
    node = state.node
    node.target = node_module.Target(
        lifetime=LIFETIME,
        started_at_ms=1,
        slots=4,
        state=member.TargetState.READY,
        reported_at=trio.current_time(),
    )
    span = ledger.Span(first=0, last=identity.LAST_KEY_SLOT, fence=1, node="me", holder=LIFETIME)
    node.ledgers[SERVICE] = node_module.VersionedLedger(
        ledger=ledger.Ledger(spans=(span,)), version=1
    )
    return state


def build_call(remaining_s: float) -> exchange.Call:
    call = test_origin.build_call(is_repeatable=True)
    call.service = SERVICE
    call.deadline_at_s = trio.current_time() + remaining_s
    assert call.rules is not None
    call.rules = exchange.Rules(
        is_repeatable=True,
        max_attempts=2,
        priority=1,
        objective_s=0.5,
        origin_service=SERVICE,
        key_slot=7,
    )
    return call


async def run(state: delivery.Delivery, call: exchange.Call) -> delivery.Completion:
    return await delivery.run(state, call, test_origin.NO_CALLER)


def close_for_another_service(state: delivery.Delivery, call: exchange.Call) -> None:
    call.service = identity.ServiceId("another")


def close_by_evacuation(state: delivery.Delivery, call: exchange.Call) -> None:
    zone = state.node.place.zone
    node_module.set_evacuated(state.node, frozenset({zone}))


def close_by_leaving(state: delivery.Delivery, call: exchange.Call) -> None:
    target = state.node.target
    assert target is not None
    leaving = dataclasses.replace(target, state=member.TargetState.LEAVING)
    node_module.set_target(state.node, leaving, 0.0)


def close_by_ending(state: delivery.Delivery, call: exchange.Call) -> None:
    state.node.is_ending = True


@pytest.mark.parametrize(
    ("close", "reason"),
    [
        (close_for_another_service, outcome.Reason.MOVED),
        (close_by_evacuation, outcome.Reason.DRAINED),
        (close_by_leaving, outcome.Reason.DRAINED),
        (close_by_ending, outcome.Reason.STOPPING),
    ],
)
async def test_refused_request_is_not_sent_to_the_target(
    autojump_clock: trio.testing.MockClock,
    close: collections.abc.Callable[[delivery.Delivery, exchange.Call], None],
    reason: outcome.Reason,
) -> None:
    """Guards against sending the target a request that its node must refuse.

    A node may get requests for the service that its address had before, for an evacuated zone, or
    for a target that is leaving. They must be reported as not run, and nothing is sent.
    """
    state = build_delivery()
    node_module.notify_changed(state.node)
    call = build_call(2.0)
    assert call.rules is not None
    call.rules = dataclasses.replace(call.rules, key_slot=None)
    close(state, call)
    await trio.sleep(state.node.place.drain_s)
    call.deadline_at_s = trio.current_time() + 2.0
    completion = await run(state, call)
    assert completion.result.verdict is outcome.Verdict.NOT_RUN
    assert completion.result.reason is reason
    assert not state.node.admission.starts


async def test_request_that_expires_before_its_key_is_granted_is_refused_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against holding a request until its deadline when its key arrives too late for it.

    Keys are granted with the next report of the target.
    """
    state = build_delivery()
    started_at = trio.current_time()
    completion = await run(state, build_call(0.8))
    assert trio.current_time() == started_at
    assert completion.result.reason is outcome.Reason.LEASE_LAPSED
    # The node's heartbeat interval is 1 s.
    assert 1.0 <= completion.retry_after_s <= 1.5


async def test_request_waits_for_its_key_within_its_deadline(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against refusing a request that has time to wait until its key is granted.

    A retry by the caller would meet the same state, only later.
    """
    state = build_delivery()
    started_at = trio.current_time()
    completion = await run(state, build_call(2.0))
    assert completion.result.reason is outcome.Reason.LEASE_LAPSED
    assert 1.0 < trio.current_time() - started_at < 2.0


async def test_hop_that_waits_for_its_key_is_refused_before_its_connection_counts_as_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a request without its key that the other node aborts and reports as unknown.

    The wait for the key and the wait in the queue together are bounded.
    """
    state = build_delivery()
    started_at = trio.current_time()
    call = build_call(10.0)
    completion = await delivery.run(
        state, call, test_origin.NO_CALLER, max_queue_s=origin.MAX_HOP_QUEUE_S
    )
    assert trio.current_time() - started_at <= origin.MAX_HOP_QUEUE_S + 0.1
    assert completion.result == outcome.refuse(outcome.Reason.LEASE_LAPSED)


async def test_target_gets_the_remaining_time_as_budget(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a time budget that ignores the time that the request waited in the queue."""
    state = build_delivery()
    node_module.notify_changed(state.node)
    budgets: list[float] = []

    def build_headers(
        call: exchange.Call, lifetime: identity.Lifetime, budget_s: float
    ) -> exchange.Headers:
        budgets.append(budget_s)
        return []

    state.dialect = dataclasses.replace(state.dialect, build_headers=build_headers)
    call = build_call(2.0)
    assert call.rules is not None
    call.rules = dataclasses.replace(call.rules, key_slot=None)
    await trio.sleep(1.25)
    await run(state, call)
    assert budgets == [pytest.approx(0.75)]


async def test_slot_is_released_when_the_reply_begins(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against slots that stay occupied while a large reply is sent over a slow link.

    A target has finished its work when its reply begins; it was idle while requests were refused.
    """
    state = build_delivery()
    node_module.notify_changed(state.node)
    assert state.node.admission.slots == 1

    async def answer(stream: trio.abc.Stream) -> None:
        while await stream.receive_some():
            await trio.sleep(0.1)
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")

    async def connect(_: str) -> trio.abc.Stream:
        ours, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(answer, theirs)
        return ours

    async def take(*_: object) -> bool:
        return True

    async def take_slowly(*_: object) -> bool:
        await trio.sleep(1.0)
        return True

    state.pool.connect = connect
    ended_at: list[float] = []

    async def ask(write: collections.abc.Callable[..., collections.abc.Awaitable[bool]]) -> None:
        call = build_call(2.0)
        assert call.rules is not None
        call.rules = dataclasses.replace(call.rules, key_slot=None)
        call.headers = [(b"host", b"x")]
        caller = dataclasses.replace(
            test_origin.NO_CALLER,
            reply=take,
            write=write,
            finish=take,
            is_gone=lambda: False,
        )
        completion = await delivery.run(state, call, caller)
        assert completion.result.verdict is outcome.Verdict.ANSWERED
        ended_at.append(trio.current_time())

    started_at = trio.current_time()
    async with trio.open_nursery() as requests:
        requests.start_soon(ask, take_slowly)
        await trio.sleep(0.01)
        requests.start_soon(ask, take)
    first_at, last_at = (at - started_at for at in ended_at)
    assert first_at == pytest.approx(0.2)
    assert last_at == pytest.approx(1.1)
    assert state.node.admission.work_s == pytest.approx(0.1)


async def serve_behind_a_long_run(*, is_repeatable: bool) -> tuple[float, bytes | None]:
    """Return how long a hop waits for the only slot, and how its refusal is reported."""
    entry = test_origin.build_origin(0.0)
    entry.delivery = build_delivery()
    entry.node = entry.delivery.node
    entry.node.admission.slots = 1
    demand = admission.Demand(deadline_at=trio.current_time() + 9.0, objective_s=1.0, priority=1)
    admission.admit(entry.node.admission, demand, trio.current_time())
    call = build_call(4.0)
    assert call.rules is not None
    call.rules = dataclasses.replace(call.rules, key_slot=None, is_repeatable=is_repeatable)
    reported: list[bytes | None] = []

    async def reply(_: int, headers: exchange.Headers) -> bool:
        reported.append(wire.find_header(headers, hop_headers.REFUSED_HEADER.lower()))
        return False

    caller = dataclasses.replace(
        test_origin.NO_CALLER,
        reply=reply,
        wait_gone=trio.sleep_forever,
        is_gone=lambda: False,
    )
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run, entry.node.wakeups)
        nursery.start_soon(delivery.run_queue, entry.delivery)
        await origin.serve_hop(entry, call, caller)
        nursery.cancel_scope.cancel()
    return trio.current_time() - started_at, reported[0]


async def count_wake_ups(entry: delivery.Delivery, seconds: float) -> int:
    """Return how often the loop of the queue reads the clock in some seconds."""
    readings = 0

    def now() -> float:
        nonlocal readings
        readings += 1
        return trio.current_time()

    entry.node.now = now
    async with trio.open_nursery() as nursery:
        nursery.start_soon(delivery.run_queue, entry)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    return readings


async def test_node_at_rest_wakes_up_seldom(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a mesh of hundreds of nodes that spends its processor time on waking up.

    The queue was checked 33 times a second whether or not a request waited.
    """
    entry = build_delivery()
    entry.node.admission.slots = 1
    assert await count_wake_ups(entry, 10.0) < 10.0 * 3 / delivery.LAG_CHECK_INTERVAL_S
    demand = admission.Demand(deadline_at=trio.current_time() + 30, objective_s=9.0, priority=1)
    for _ in range(2):
        admission.admit(entry.node.admission, demand, trio.current_time())
    assert await count_wake_ups(entry, 10.0) > 10.0 / delivery.QUEUE_CHECK_INTERVAL_S


async def test_request_that_is_queued_at_rest_is_checked_soon(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a cold target whose first waiting request is started a quarter second late."""
    entry = build_delivery()
    entry.node.admission.slots = 1
    demand = admission.Demand(deadline_at=trio.current_time() + 30, objective_s=9.0, priority=1)
    running = admission.admit(entry.node.admission, demand, trio.current_time())
    waiting = admission.admit(entry.node.admission, demand, trio.current_time())
    assert running.ticket is not None and waiting.ticket is not None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(delivery.run_queue, entry)
        await trio.sleep(0.01)
        # The slot is freed without a wake-up, as time frees it at a cold target.
        admission.release(entry.node.admission, running.ticket, work_s=None)
        queued_at = trio.current_time()
        assert await delivery._wait_in_queue(entry, waiting.ticket)
        assert trio.current_time() - queued_at <= 2 * delivery.QUEUE_CHECK_INTERVAL_S
        nursery.cancel_scope.cancel()


async def test_queued_hop_is_refused_before_its_connection_counts_as_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a queued request that the other node aborts and reports as unknown.

    Issue 21: repeatable requests that had reached no target ended with 502 after 3 s in a queue.
    """
    waited_s, reported = await serve_behind_a_long_run(is_repeatable=True)
    assert waited_s < liveness.compute_silence_timeout(attempt.TYPICAL_P99_S)
    assert reported == b"not-run:queue-full"


async def test_queued_hop_that_is_never_aborted_waits_until_its_deadline(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against refusing queued non-idempotent requests early."""
    waited_s, reported = await serve_behind_a_long_run(is_repeatable=False)
    assert waited_s > liveness.compute_silence_timeout(attempt.TYPICAL_P99_S)
    assert reported == b"not-run:deadline"


async def test_hop_that_the_other_node_ends_is_not_recorded_as_a_deadline(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a log that blames the deadline for a request that the other node aborted."""
    entry = test_origin.build_origin(0.0)
    entry.delivery = build_delivery()
    entry.node = entry.delivery.node

    async def leave() -> None:
        await trio.sleep(0.5)

    caller = dataclasses.replace(test_origin.NO_CALLER, wait_gone=leave, is_gone=lambda: False)
    result = await origin.serve_hop(entry, build_call(2.0), caller)
    assert result.reason is outcome.Reason.CALLER_GONE
