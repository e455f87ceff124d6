"""What the nodes of a service remember for each other, since a restarted process knows nothing.

A process asks when it starts, and when it finds that it may have missed something.
"""

import dataclasses
import logging

import msgspec
from returns import result
import trio

from ebonyvalve.process import decision, decoding, http, identity, member, network, push
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import records, registration
from ebonyvalve.process.load import crashes

log = logging.getLogger(__name__)

MEMORY_PATH = "/ebonyvalve/memory"
DEPARTURE_PATH = "/ebonyvalve/departure"
# How long the store is given to record a departure before the other nodes are told, and before the
# target is answered that it is not recorded. The target waits for 1 s.
RECORD_WAIT_S = 0.15
ANSWER_WAIT_S = 0.8
# How many nodes are asked at a time, and how often until one has answered. All of them may have
# started at the same moment.
MAX_ASKED = 2
MAX_ROUNDS = 4
ROUND_INTERVAL_S = 0.5
TIMEOUT_S = 1.0
MAX_BYTES = 2 * 1024 * 1024
OK = 200


class Entries(msgspec.Struct, kw_only=True, frozen=True):
    """What a node remembers.

    ``crashes`` has the ages in seconds of the crashes in which requests were running.
    ``departures`` has the targets that were leaving while the store could not record it.
    """

    crashes: list[tuple[identity.Fingerprint, list[decoding.Seconds]]] = []
    departures: list[member.Departure] = []


@dataclasses.dataclass(kw_only=True)
class Memory:
    """The memory of a process."""

    node: node_module.Node
    connect: network.Connect
    quarantine: crashes.Quarantine


async def load(memory: Memory) -> None:
    """Ask until another node has answered, after the start of the process.

    :param memory: the state.
    """
    node = memory.node
    while not node.is_mesh_known:
        await node.changed.wait()
    asked: set[identity.NodeId] = set()
    for number in range(MAX_ROUNDS):
        if not push.list_service_peers(node) or await ask(memory, asked):
            break
        await node_module.pause(node, ROUND_INTERVAL_S * (number + 1) * (1 + node.draw()))
    node.is_informed = True
    node_module.notify_changed(node)


async def ask(memory: Memory, asked: set[identity.NodeId] | None = None) -> bool:
    """Add what other nodes of the service remember; return whether one of them has answered.

    :param memory: the state.
    :param asked: nodes that have been asked in vain, to which these are added. Others are asked
        first: those that started at the same moment as this one remember nothing.
    """
    node = memory.node
    in_vain = set() if asked is None else asked
    peers = sorted(push.list_service_peers(node))
    peers = sorted(peers, key=lambda peer: (peer in in_vain, node.draw()))[:MAX_ASKED]
    in_vain.update(peers)
    answers: list[identity.NodeId] = []

    async def ask_peer(peer: identity.NodeId, address: identity.Address) -> None:
        request = http.Request(method="GET", path=MEMORY_PATH)
        fetched = await http.fetch(
            memory.connect, address, request, timeout_s=TIMEOUT_S, max_bytes=MAX_BYTES
        )
        reply = fetched.unwrap() if isinstance(fetched, result.Success) else None
        if reply is not None and reply.status == OK and apply_entries(memory, reply.body):
            answers.append(peer)

    async with trio.open_nursery() as nursery:
        for peer in peers:
            nursery.start_soon(ask_peer, peer, node.members[peer].address)
    decision.record(
        log,
        logging.INFO,
        "memory-asked",
        answers=",".join(answers),
        crashes=len(memory.quarantine.crashes),
    )
    return bool(answers)


def apply_entries(memory: Memory, body: bytes) -> bool:
    """Add what another node remembers; return whether the body was readable.

    :param memory: the state.
    :param body: made by :func:`encode_entries` of the other node.
    """
    decoded = decoding.decode(body, Entries, _find_fault)
    if not isinstance(decoded, result.Success):
        decision.record(log, logging.ERROR, "memory-unreadable", cause=decoded.failure())
        return False
    entries = decoded.unwrap()
    crashes.import_entries(memory.quarantine, entries.crashes, memory.node.now())
    for departure in entries.departures:
        node_module.record_departure(memory.node, departure)
    return True


def _find_fault(entries: Entries) -> str:
    faults = map(member.find_departure_fault, entries.departures)
    return next(filter(None, faults), "")


def encode_entries(memory: Memory) -> bytes | None:
    """Return what this node remembers, or ``None`` if it has just started itself.

    :param memory: the state.
    """
    node = memory.node
    if not node.is_informed:
        return None
    entries = Entries(
        crashes=crashes.export_entries(memory.quarantine, node.now()),
        departures=[
            member.Departure(lifetime=lifetime, state=state)
            for lifetime, state in node.departures.items()
        ],
    )
    return msgspec.json.encode(entries)


async def confirm_departure(memory: Memory, reconciler: records.Reconciler) -> bool:
    """Wait until the store has it that the target leaves; return whether that was in time.

    An acknowledgement binds all later processes, and all nodes may restart while the store is down.
    If the store does not record the departure soon, the other nodes are told, since callers must
    not meet the target even if its leave is not acknowledged.

    :param memory: the state.
    :param reconciler: the node's rows in the store.
    """
    node = memory.node
    answer_at = trio.current_time() + ANSWER_WAIT_S
    with trio.move_on_after(RECORD_WAIT_S):
        await _wait_announced(reconciler)
    target = node.target
    if target is None or registration.is_announced(reconciler):
        return True
    departure = member.Departure(lifetime=target.lifetime, state=target.state)
    with trio.move_on_at(answer_at):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_share_departure, memory, departure)
            await _wait_announced(reconciler)
    is_recorded = registration.is_announced(reconciler)
    if not is_recorded:
        decision.record(
            log, logging.WARNING, "leave-unrecorded", target=target.lifetime, state=target.state
        )
    return is_recorded


async def _wait_announced(reconciler: records.Reconciler) -> None:
    while not registration.is_announced(reconciler):
        await reconciler.node.changed.wait()


async def _share_departure(memory: Memory, departure: member.Departure) -> None:
    """Tell the other nodes of the service that the target leaves."""
    await push.send(
        memory.node,
        memory.connect,
        push.list_service_peers(memory.node),
        DEPARTURE_PATH,
        msgspec.json.encode(departure),
    )


def receive_departure(memory: Memory, body: bytes) -> bool:
    """Record that another node's target leaves; return whether the body was readable.

    :param memory: the state.
    :param body: the departure.
    """
    decoded = decoding.decode(body, member.Departure, member.find_departure_fault)
    if not isinstance(decoded, result.Success):
        cause = decoded.failure()
        decision.record(log, logging.ERROR, "push-unreadable", path=DEPARTURE_PATH, cause=cause)
        return False
    node_module.record_departure(memory.node, decoded.unwrap())
    return True
