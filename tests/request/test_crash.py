"""Tests of crash detection and of the quarantine of requests that crash targets."""

import collections.abc
import dataclasses
import errno

import pytest
import trio
import trio.testing

from ebonyvalve.connection import pool
from ebonyvalve.process import identity, member, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process.load import crashes
from ebonyvalve.request import crash, delivery, exchange, outcome
from tests.request import test_delivery, test_origin


@dataclasses.dataclass(kw_only=True)
class Target:
    """A target that can be made to refuse connections."""

    is_up: bool = True
    opened: int = 0
    error: OSError = dataclasses.field(default_factory=ConnectionRefusedError)


def build_watch(nursery: trio.Nursery, target: Target) -> crash.Detector:
    async def connect(_: str) -> trio.abc.Stream:
        target.opened += 1
        if not target.is_up:
            raise target.error
        ours, _ = trio.testing.memory_stream_pair()
        return ours

    entry = test_origin.build_origin(0.0)
    entry.node.target = start_target(entry.node, 1)
    entry.node.members.clear()
    detector = crash.Detector(
        node=entry.node,
        pool=pool.Pool(connect=connect, now=trio.current_time),
        connect=connect,
    )
    nursery.start_soon(timer.run, entry.node.wakeups)
    nursery.start_soon(crash.run, detector)
    return detector


def start_target(node: node_module.Node, born: int) -> node_module.Target:
    return node_module.Target(
        lifetime=identity.Lifetime(f"t@{born}"),
        started_at_ms=born,
        slots=4,
        state=member.TargetState.READY,
        reported_at=node.now(),
    )


def build_call(path: str) -> exchange.Call:
    return dataclasses.replace(test_origin.build_call(is_repeatable=True), path=path)


async def test_broken_connection_shows_a_crash_without_a_further_request(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a crash that goes unnoticed until the next request.

    The target's keys can be moved before the next caller meets the crash.
    """
    target = Target(is_up=False)
    detector = build_watch(nursery, target)
    crash.record_broken_request(detector, build_call("/a"))
    await trio.sleep(2 * crash.CONFIRM_DELAY_S)
    assert detector.node.target is not None and detector.node.target.is_dead
    assert detector.quarantine.crashes.keys() == {crash.fingerprint(build_call("/a"))}


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
async def test_node_without_descriptors_does_not_take_its_target_for_dead(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, code: int
) -> None:
    """Guards against a node that is short of descriptors and gives up the keys of its target."""
    target = Target(is_up=False, error=OSError(code, ""))
    detector = build_watch(nursery, target)
    crash.record_broken_request(detector, build_call("/a"))
    await trio.sleep(2 * crash.CONFIRM_DELAY_S)
    assert detector.node.target is not None and not detector.node.target.is_dead


async def test_broken_replies_are_not_taken_for_a_crash(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against taking broken replies for a crash, and against a new connection for each."""
    target = Target()
    detector = build_watch(nursery, target)
    for _ in range(100):
        crash.record_broken_request(detector, build_call("/a"))
        await trio.sleep(0.01)
    assert detector.node.target is not None and not detector.node.target.is_dead
    assert detector.quarantine.crashes == {}
    assert target.opened <= 12


async def test_request_that_crashes_targets_is_refused(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a request that crashes one target after another.

    Its retries have the same path and body but other ids; it is refused after three crashes.
    """
    target = Target()
    detector = build_watch(nursery, target)
    for born in range(1, 4):
        detector.node.target = start_target(detector.node, born)
        target.is_up = False
        assert not crash.is_quarantined(detector, build_call("/poison"))
        crash.record_broken_request(detector, build_call("/poison"))
        crash.record_broken_request(detector, build_call(f"/beside-{born}"))
        await trio.sleep(3.0)
        target.is_up = True
    assert crash.is_quarantined(detector, build_call("/poison"))
    assert not crash.is_quarantined(detector, build_call("/beside-1"))
    assert not crash.is_quarantined(detector, build_call("/other"))


async def test_quarantined_request_is_not_run(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against running a quarantined request, and against an early retry by its caller."""
    state = test_delivery.build_delivery()
    node = state.node
    assert node.target is not None
    node.grantor.granted = ((0, identity.LAST_KEY_SLOT),)
    node.grantor.ends_at = trio.current_time() + 10.0
    call = test_delivery.build_call(1.0)
    for _ in range(crashes.QUARANTINE_CRASHES):
        crashes.record_crash(state.crash_detector.quarantine, [crash.fingerprint(call)], node.now())
        await trio.sleep(1.0)
    call = test_delivery.build_call(1.0)
    completion: delivery.Completion = await test_delivery.run(state, call)
    assert completion.result.verdict is outcome.Verdict.NOT_RUN
    assert completion.result.reason is outcome.Reason.QUARANTINED
    assert completion.retry_after_s > 10.0


@pytest.mark.parametrize(
    "change",
    [{"path": "/b"}, {"method": "PUT"}, {"prefix": b"x"}, {"length": 7}],
)
async def test_other_requests_have_other_fingerprints(
    change: collections.abc.Mapping[str, object],
) -> None:
    """Guards against quarantining another request, and against missing a retry of the same one."""
    call = build_call("/a")
    other = dataclasses.replace(call, **change)  # type: ignore[arg-type]
    again = dataclasses.replace(call, request_id="another", headers=[(b"x", b"y")])
    assert crash.fingerprint(other) != crash.fingerprint(call) == crash.fingerprint(again)


async def test_crash_reports_of_other_nodes_count(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against counting only the crashes of a node's own target."""
    detector = build_watch(nursery, Target())
    name = crash.fingerprint(build_call("/poison"))
    for _ in range(3):
        assert crash.receive_push(detector, f'["{name}"]'.encode())
        await trio.sleep(1.0)
    assert crash.is_quarantined(detector, build_call("/poison"))
    assert not crash.receive_push(detector, b"{")
