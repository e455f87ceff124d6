"""Nodes that stop answering: without power, frozen, or only slow."""

import dataclasses

import pytest
import trio
import trio.testing

from ebonyvalve.connection import liveness, pool
from ebonyvalve.process import identity
from ebonyvalve.process import node as node_module
from ebonyvalve.request import reachability
from tests.request import test_origin

NAME = test_origin.NAMES[0]
ADDRESS = identity.Address(f"{NAME}:1")


@dataclasses.dataclass(kw_only=True)
class Peer:
    """Another node. A frozen one accepts connections and bytes, and answers nothing.

    ``delay_s`` is what each packet from it waits for in the queue of its link.
    """

    is_frozen: bool = False
    delay_s: float = 0.0
    answer: bytes = b"HTTP/1.1 204 No Content\r\n\r\n"


def build_watch(nursery: trio.Nursery, peer: Peer) -> reachability.Monitor:
    async def serve(stream: trio.abc.Stream) -> None:
        await stream.receive_some()
        if not peer.is_frozen:
            await trio.sleep(peer.delay_s)
            await stream.send_all(peer.answer)
        await trio.sleep_forever()

    async def connect(_: str) -> trio.abc.Stream:
        await trio.sleep(peer.delay_s)
        ours, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(serve, theirs)
        return ours

    node = test_origin.build_origin(0.0).node
    peers = pool.Pool(connect=connect, now=trio.current_time)
    return reachability.Monitor(node=node, peers=peers, connect=connect)


async def send(watch: reachability.Monitor, *, is_repeatable: bool = True) -> pool.PooledConnection:
    """Begin a request that the node does not answer."""
    slot = (await pool.acquire(watch.peers, ADDRESS, p99_s=None)).unwrap()
    slot.is_repeatable = is_repeatable
    liveness.record_awaiting(slot.state, trio.current_time())
    return slot


async def watch_for(watch: reachability.Monitor, seconds: float) -> None:
    for _ in range(round(seconds / 0.25)):
        await trio.sleep(0.25)
        await reachability.check_peers(watch)


async def test_requests_to_a_frozen_node_end(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Frozen nodes on a day of Andinaflota: 923 requests were held until their deadlines.

    Connections to a frozen machine open as usual, so that a new one proved nothing.
    """
    watch = build_watch(nursery, Peer(is_frozen=True))
    slot = await send(watch)
    await watch_for(watch, 1.5)
    assert slot.scope.cancel_called
    assert NAME in watch.unreachable
    assert node_module.read_view(watch.node, NAME).avoid_until > trio.current_time()


async def test_orders_to_a_frozen_node_have_more_patience(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """An order that is given up ends with an unknown outcome and can't be tried elsewhere."""
    watch = build_watch(nursery, Peer(is_frozen=True))
    slot = await send(watch, is_repeatable=False)
    await watch_for(watch, 1.5)
    assert NAME in watch.unreachable
    assert not slot.scope.cancel_called
    await watch_for(watch, 2.5)
    assert slot.scope.cancel_called


async def test_stopping_node_takes_lookups_to_their_end(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Issue 15, Darkroom grown: a lookup was given up 0.24 s after SIGTERM while its target worked.

    Its node had missed a ping.
    """
    watch = build_watch(nursery, Peer(is_frozen=True))
    watch.node.is_stopping = True
    slot = await send(watch)
    await watch_for(watch, 1.5)
    assert NAME in watch.unreachable
    assert not slot.scope.cancel_called
    await watch_for(watch, 2.5)
    assert slot.scope.cancel_called


async def test_slow_answers_are_waited_for(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """A node with a long queue answers pings, and what it was sent is left alone."""
    watch = build_watch(nursery, Peer())
    slot = await send(watch)
    await watch_for(watch, 3.0)
    assert not slot.scope.cancel_called
    assert not watch.unreachable


async def test_node_behind_a_busy_link_is_not_lost(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Issue 15: pings waited behind large answers, and nodes were lost that sent all the while.

    A ping on a connection of its own passes the queue twice.
    """
    watch = build_watch(nursery, Peer(delay_s=0.24))
    slot = await send(watch)
    await watch_for(watch, 3.0)
    assert not watch.unreachable
    assert not slot.scope.cancel_called


async def test_process_that_is_behind_reads_answers_late(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """A node short of processor time must not take the others for lost."""
    peer = Peer()
    watch = build_watch(nursery, peer)
    watch.node.loop_lag.late_s = 0.05
    await send(watch)
    peer.delay_s = 0.5
    await watch_for(watch, 3.0)
    assert not watch.unreachable


async def test_process_that_is_far_behind_finds_a_frozen_node(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Patience for its own lateness must not outlast the time that requests have."""
    watch = build_watch(nursery, Peer(is_frozen=True))
    watch.node.loop_lag.late_s = 1.0
    await send(watch)
    await trio.sleep(1.5)
    with trio.move_on_after(reachability.PING_TIMEOUT_S + reachability.ABORT_ALL_AFTER_S + 0.01):
        await reachability.check_peers(watch)
    assert NAME in watch.unreachable


async def test_node_that_wakes_is_used_again(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """It is pinged until it answers, so that no request has to find out."""
    peer = Peer(is_frozen=True)
    watch = build_watch(nursery, peer)
    await send(watch)
    await watch_for(watch, 2.0)
    view = node_module.read_view(watch.node, NAME)
    assert view.avoid_until > trio.current_time()
    peer.is_frozen = False
    await watch_for(watch, 0.5)
    assert not watch.unreachable
    assert view.avoid_until <= trio.current_time()


@pytest.mark.parametrize("is_member", [True, False])
async def test_lost_nodes_that_have_left_are_forgotten(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, is_member: bool
) -> None:
    """A machine that was replaced is not pinged for ever."""
    watch = build_watch(nursery, Peer(is_frozen=True))
    await send(watch)
    await watch_for(watch, 1.5)
    if not is_member:
        del watch.node.members[NAME]
    assert (NAME in reachability.list_suspects(watch)) is is_member


async def test_another_node_at_the_address_of_a_lost_one(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Incident inc-c150 of Andinaflota: its answers were taken for those of the lost node.

    What is under way to the address is meant for the node that has it now.
    """
    peer = Peer(is_frozen=True)
    watch = build_watch(nursery, peer)
    await send(watch)
    await watch_for(watch, 1.5)
    peer.is_frozen = False
    peer.answer = b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n"
    slot = await send(watch)
    await watch_for(watch, 1.5)
    assert NAME in watch.unreachable
    assert not slot.scope.cancel_called


@pytest.mark.parametrize(
    ("path", "status"),
    [
        (f"{reachability.PING_PATH}me", 204),
        (f"{reachability.PING_PATH}{NAME}", 421),
    ],
)
def test_pings_name_the_node_that_is_meant(path: str, status: int) -> None:
    node = test_origin.build_origin(0.0).node
    assert reachability.answer_ping(node, path) == status
