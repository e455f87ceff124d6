"""Tests of nodes that stop answering: powered off, frozen, or only slow."""

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
    """Another node, which when frozen accepts connections and data but answers nothing.

    ``delay_s`` is the time in seconds that each packet from it waits in the queue of its link.
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


async def send(
    monitor: reachability.Monitor, *, is_repeatable: bool = True
) -> pool.PooledConnection:
    """Send a request that the node does not answer."""
    connection = (await pool.acquire(monitor.peers, ADDRESS, p99_s=None)).unwrap()
    connection.is_repeatable = is_repeatable
    liveness.record_awaiting(connection.state, trio.current_time())
    return connection


async def watch_for(monitor: reachability.Monitor, seconds: float) -> None:
    for _ in range(round(seconds / 0.25)):
        await trio.sleep(0.25)
        await reachability.check_peers(monitor)


async def test_requests_to_a_frozen_node_end(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against requests that wait for a frozen node until their deadlines.

    923 requests did so on one day at Andinaflota. A frozen machine accepts connections as usual, so
    a new connection does not show that the node is alive.
    """
    monitor = build_watch(nursery, Peer(is_frozen=True))
    connection = await send(monitor)
    await watch_for(monitor, 1.5)
    assert connection.scope.cancel_called
    assert NAME in monitor.unreachable
    assert node_module.read_view(monitor.node, NAME).avoid_until > trio.current_time()


async def test_non_idempotent_requests_to_a_frozen_node_wait_longer(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against aborting non-idempotent requests as early as others.

    Their outcome is then unknown, and they cannot be retried at another node.
    """
    monitor = build_watch(nursery, Peer(is_frozen=True))
    connection = await send(monitor, is_repeatable=False)
    await watch_for(monitor, 1.5)
    assert NAME in monitor.unreachable
    assert not connection.scope.cancel_called
    await watch_for(monitor, 2.5)
    assert connection.scope.cancel_called


async def test_stopping_node_does_not_abort_requests_early(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a stopping node that aborts a request after one missed ping.

    Issue 15, Darkroom grown: a lookup was aborted 0.24 s after SIGTERM while its target worked.
    """
    monitor = build_watch(nursery, Peer(is_frozen=True))
    monitor.node.is_stopping = True
    connection = await send(monitor)
    await watch_for(monitor, 1.5)
    assert NAME in monitor.unreachable
    assert not connection.scope.cancel_called
    await watch_for(monitor, 2.5)
    assert connection.scope.cancel_called


async def test_slow_replies_are_awaited(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against aborting requests at a node that is slow but answers pings."""
    monitor = build_watch(nursery, Peer())
    connection = await send(monitor)
    await watch_for(monitor, 3.0)
    assert not connection.scope.cancel_called
    assert not monitor.unreachable


async def test_node_behind_a_busy_link_stays_reachable(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against taking a node for unreachable while its link is busy with large replies.

    Issue 15: the replies to pings waited behind them. A ping on its own connection waits in the
    link's queue twice.
    """
    monitor = build_watch(nursery, Peer(delay_s=0.24))
    connection = await send(monitor)
    await watch_for(monitor, 3.0)
    assert not monitor.unreachable
    assert not connection.scope.cancel_called


async def test_lagging_process_allows_more_time_for_pings(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a node short of processor time that takes the others for unreachable."""
    peer = Peer()
    monitor = build_watch(nursery, peer)
    monitor.node.loop_lag.late_s = 0.05
    await send(monitor)
    peer.delay_s = 0.5
    await watch_for(monitor, 3.0)
    assert not monitor.unreachable


async def test_very_lagging_process_detects_a_frozen_node(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an allowance for the event loop's lag that exceeds the requests' deadlines."""
    monitor = build_watch(nursery, Peer(is_frozen=True))
    monitor.node.loop_lag.late_s = 1.0
    await send(monitor)
    await trio.sleep(1.5)
    with trio.move_on_after(reachability.PING_TIMEOUT_S + reachability.ABORT_ALL_AFTER_S + 0.01):
        await reachability.check_peers(monitor)
    assert NAME in monitor.unreachable


async def test_node_that_answers_again_is_used_again(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an unreachable node that only a failing request would test again.

    The node is pinged until it answers.
    """
    peer = Peer(is_frozen=True)
    monitor = build_watch(nursery, peer)
    await send(monitor)
    await watch_for(monitor, 2.0)
    view = node_module.read_view(monitor.node, NAME)
    assert view.avoid_until > trio.current_time()
    peer.is_frozen = False
    await watch_for(monitor, 0.5)
    assert not monitor.unreachable
    assert view.avoid_until <= trio.current_time()


@pytest.mark.parametrize("is_member", [True, False])
async def test_unreachable_nodes_that_have_left_are_forgotten(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, is_member: bool
) -> None:
    """Guards against endless pings of a machine that was replaced."""
    monitor = build_watch(nursery, Peer(is_frozen=True))
    await send(monitor)
    await watch_for(monitor, 1.5)
    if not is_member:
        del monitor.node.members[NAME]
    assert (NAME in reachability.list_suspects(monitor)) is is_member


async def test_another_node_at_the_address_of_an_unreachable_one(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against taking the answers of another node at the same address for the lost node's.

    Incident inc-c150 of Andinaflota. Requests in flight to the address belong to its present node.
    """
    peer = Peer(is_frozen=True)
    monitor = build_watch(nursery, peer)
    await send(monitor)
    await watch_for(monitor, 1.5)
    peer.is_frozen = False
    peer.answer = b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n"
    connection = await send(monitor)
    await watch_for(monitor, 1.5)
    assert NAME in monitor.unreachable
    assert not connection.scope.cancel_called


@pytest.mark.parametrize(
    ("path", "status"),
    [
        (f"{reachability.PING_PATH}me", 204),
        (f"{reachability.PING_PATH}{NAME}", 421),
    ],
)
def test_pings_name_the_intended_node(path: str, status: int) -> None:
    """Guards against a node that answers a ping for another node that had its address before."""
    node = test_origin.build_origin(0.0).node
    assert reachability.answer_ping(node, path) == status
