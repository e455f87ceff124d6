"""Detects crashes of this node's target, and quarantines the requests that it was running."""

import collections
import collections.abc
import dataclasses
import logging

import msgspec
from returns import result
import trio

from ebonyvalve.connection import pool
from ebonyvalve.process import decision, decoding, identity, network, push
from ebonyvalve.process import node as node_module
from ebonyvalve.process.load import crashes
from ebonyvalve.request import exchange, fingerprints

log = logging.getLogger(__name__)

CRASH_PATH = "/ebonyvalve/crash"
# Delay between two refused connections that confirm a crash. A process that has ended refuses all
# connections until it has restarted; one with a full backlog may refuse a single one.
CONFIRM_DELAY_S = 0.1
# A crash breaks all connections of the target at once and is confirmed soon after, so older broken
# requests are not suspected.
BROKEN_RETENTION_S = 1.0


async def ask_nobody() -> None:
    """Learn nothing, at a node that shares its memory with no other."""


@dataclasses.dataclass(kw_only=True)
class Detector:
    """Evidence of crashes of the target.

    ``broken_requests`` holds the requests whose connections broke lately, with the time in seconds
    on the node's clock. ``check_requested`` is set when the target must be checked. ``ask_others``
    adds the crashes that other nodes remember to the quarantine.
    """

    node: node_module.Node
    pool: pool.Pool
    connect: network.Connect
    quarantine: crashes.Quarantine = dataclasses.field(default_factory=crashes.Quarantine)
    broken_requests: collections.deque[tuple[float, exchange.Call]] = dataclasses.field(
        default_factory=collections.deque
    )
    check_requested: trio.Event = dataclasses.field(default_factory=trio.Event)
    ask_others: collections.abc.Callable[[], collections.abc.Awaitable[object]] = ask_nobody


def record_refused_connection(detector: Detector) -> None:
    """Record that the target refused a connection, and request a check of the target.

    :param detector: the state.
    """
    detector.check_requested.set()


def record_broken_request(detector: Detector, call: exchange.Call) -> None:
    """Record that the target broke off a request, and request a check of the target.

    :param detector: the state.
    :param call: the request.
    """
    now = detector.node.now()
    detector.broken_requests.append((now, call))
    _forget_broken(detector, now)
    detector.check_requested.set()


def record_answered_request(detector: Detector, call: exchange.Call) -> None:
    """Record that the target has answered a request, which therefore does not crash it.

    :param detector: the state.
    :param call: the request.
    """
    if detector.quarantine.crashes:
        crashes.record_answer(detector.quarantine, fingerprint(call))


def is_quarantined(detector: Detector, call: exchange.Call) -> bool:
    """Return whether a request has crashed so many targets that it must not run.

    :param detector: the state.
    :param call: the request.
    """
    # Crashes are rare, so most requests need no fingerprint.
    if not detector.quarantine.crashes:
        return False
    return crashes.is_quarantined(detector.quarantine, fingerprint(call), detector.node.now())


def fingerprint(call: exchange.Call) -> identity.Fingerprint:
    """Return the fingerprint of a request, which stays the same when a caller sends it again.

    :param call: the request; only the beginning of its body counts.
    """
    key_slot = call.rules.key_slot if call.rules is not None else None
    return fingerprints.compute_fingerprint(
        service=call.service,
        key=None if key_slot is None else identity.KeyId(str(key_slot)),
        method=call.method,
        path=call.path,
        length=call.length,
        head=call.prefix,
    )


async def run(detector: Detector) -> None:
    """Check whether the target has crashed whenever a check is requested, until cancelled.

    :param detector: the state.
    """
    while True:
        await detector.check_requested.wait()
        detector.check_requested = trio.Event()
        target = detector.node.target
        if target is None or target.is_dead:
            continue
        is_connection_refused = await _is_connection_refused(detector)
        # Also limits how often a target is checked that breaks connections without crashing.
        await node_module.pause(detector.node, CONFIRM_DELAY_S)
        if not is_connection_refused or not await _is_connection_refused(detector):
            continue
        current = detector.node.target
        if current is not None and current.lifetime == target.lifetime:
            node_module.set_target_gone(detector.node, "refuses connections", is_dead=True)
            await _report_crash(detector)


async def _is_connection_refused(detector: Detector) -> bool:
    """Return whether the target refuses a new connection."""
    address = detector.node.place.target_address
    opened = await pool.open_new(detector.pool, address)
    if isinstance(opened, result.Success):
        await pool.discard(detector.pool, address, opened.unwrap())
        return False
    return opened.failure() is pool.PoolFailure.REFUSED


def _forget_broken(detector: Detector, now: float) -> None:
    while detector.broken_requests and detector.broken_requests[0][0] < now - BROKEN_RETENTION_S:
        detector.broken_requests.popleft()


async def _report_crash(detector: Detector) -> None:
    """Record the requests that the target was running, and report them to the service's nodes."""
    node = detector.node
    now = node.now()
    node_module.record_crash(node)
    _forget_broken(detector, now)
    crash_fingerprints = sorted({fingerprint(call) for _, call in detector.broken_requests})
    detector.broken_requests.clear()
    if not crash_fingerprints:
        return
    crashes.record_crash(detector.quarantine, crash_fingerprints, now)
    decision.record(log, logging.WARNING, "target-crashed", suspects=len(crash_fingerprints))
    service_peers = push.list_service_peers(node)
    await push.send(
        node, detector.connect, service_peers, CRASH_PATH, msgspec.json.encode(crash_fingerprints)
    )
    # This node may have missed the reports of earlier crashes of the same requests.
    await detector.ask_others()


def receive_push(detector: Detector, body: bytes) -> bool:
    """Record the requests that another node's target was running when it crashed.

    :param detector: the state.
    :param body: the fingerprints, as a JSON list.
    :return: whether the body was readable.
    """
    decoded = decoding.decode(body, list[str])
    if not isinstance(decoded, result.Success):
        cause = decoded.failure()
        decision.record(log, logging.ERROR, "push-unreadable", path=CRASH_PATH, cause=cause)
        return False
    crash_fingerprints = [identity.Fingerprint(name) for name in decoded.unwrap()]
    crashes.record_crash(detector.quarantine, crash_fingerprints, detector.node.now())
    return True
