"""Finds out that the target beside this node has crashed, and what it was running then."""

import collections
import dataclasses
import logging

import msgspec
from returns import result
import trio

from ebonyvalve.connection import pool
from ebonyvalve.process import decision, decoding, identity, network, push
from ebonyvalve.process import node as node_module
from ebonyvalve.process.load import suspicion
from ebonyvalve.request import exchange, quarantine

log = logging.getLogger(__name__)

CRASH_PATH = "/ebonyvalve/crash"
# A process that has ended refuses connections at once and for as long as it takes to start; a full
# one may refuse a single connection.
CONFIRM_S = 0.1
# The connections of a crashed target break together; the crash is confirmed soon after.
BROKEN_MEMORY_S = 1.0


@dataclasses.dataclass(kw_only=True)
class Watch:
    """What points to a crash. ``broken`` are the requests whose connections broke lately."""

    node: node_module.Node
    pool: pool.Pool
    connect: network.Connect
    suspected: suspicion.Suspicion = dataclasses.field(default_factory=suspicion.Suspicion)
    broken: collections.deque[tuple[float, exchange.Call]] = dataclasses.field(
        default_factory=collections.deque
    )
    doubt: trio.Event = dataclasses.field(default_factory=trio.Event)


def note_refused(watch: Watch) -> None:
    """Note that the target has refused a connection.

    :param watch: the state.
    """
    watch.doubt.set()


def note_broken(watch: Watch, call: exchange.Call) -> None:
    """Note that the target broke off a request.

    :param watch: the state.
    :param call: the request.
    """
    now = watch.node.now()
    watch.broken.append((now, call))
    _forget_broken(watch, now)
    watch.doubt.set()


def is_guilty(watch: Watch, call: exchange.Call) -> bool:
    """Return whether a request has crashed so many targets that it must not run.

    :param watch: the state.
    :param call: the request.
    """
    # Hardly ever is there anything to compare with, so that requests pay nothing.
    if not watch.suspected.crashes:
        return False
    return suspicion.is_guilty(watch.suspected, fingerprint(call), watch.node.now())


def fingerprint(call: exchange.Call) -> identity.Fingerprint:
    """Return what stays the same when a caller sends a request again.

    :param call: the request; only the beginning of its body counts.
    """
    slot = call.rules.slot if call.rules is not None else None
    return quarantine.fingerprint(
        service=call.service,
        key=None if slot is None else identity.KeyId(str(slot)),
        method=call.method,
        path=call.path,
        length=call.length,
        head=call.prefix,
    )


async def run(watch: Watch) -> None:
    """Look whether the target is there whenever that is in doubt, until cancelled.

    :param watch: the state.
    """
    while True:
        await watch.doubt.wait()
        watch.doubt = trio.Event()
        target = watch.node.target
        if target is None or target.is_dead:
            continue
        is_refused = await _is_refused(watch)
        # Also the least time between two looks at a target that breaks connections and lives.
        await node_module.pause(watch.node, CONFIRM_S)
        if not is_refused or not await _is_refused(watch):
            continue
        present = watch.node.target
        if present is not None and present.lifetime == target.lifetime:
            node_module.set_gone(watch.node, "refuses connections", is_dead=True)
            await _accuse(watch)


async def _is_refused(watch: Watch) -> bool:
    address = watch.node.place.target_address
    opened = await pool.open_new(watch.pool, address)
    if isinstance(opened, result.Success):
        await pool.discard(watch.pool, address, opened.unwrap())
        return False
    return opened.failure() is pool.PoolFailure.REFUSED


def _forget_broken(watch: Watch, now: float) -> None:
    while watch.broken and watch.broken[0][0] < now - BROKEN_MEMORY_S:
        watch.broken.popleft()


async def _accuse(watch: Watch) -> None:
    """Note what the target was running, and tell the service's other nodes."""
    node = watch.node
    now = node.now()
    _forget_broken(watch, now)
    suspects = sorted({fingerprint(call) for _, call in watch.broken})
    watch.broken.clear()
    if not suspects:
        return
    suspicion.note_crash(watch.suspected, suspects, now)
    decision.record(log, logging.WARNING, "target-crashed", suspects=len(suspects))
    # A node that is not told has one crash less to judge by.
    names = push.list_colleagues(node)
    await push.send(node, watch.connect, names, CRASH_PATH, msgspec.json.encode(suspects))


def take_push(watch: Watch, body: bytes) -> bool:
    """Take what another node's target was running when it crashed; return whether it was readable.

    :param watch: the state.
    :param body: the fingerprints.
    """
    decoded = decoding.decode(body, list[str])
    if not isinstance(decoded, result.Success):
        cause = decoded.failure()
        decision.record(log, logging.ERROR, "push-unreadable", path=CRASH_PATH, cause=cause)
        return False
    names = [identity.Fingerprint(name) for name in decoded.unwrap()]
    suspicion.note_crash(watch.suspected, names, watch.node.now())
    return True
