"""Tests of passing the operator's rows from node to node."""

import functools
import zlib

import msgspec
import pytest
import trio
import trio.testing

from ebonyvalve.platform import gossip, operator
from ebonyvalve.process import http, identity, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process.store import table
from ebonyvalve.request import hop_headers
from ebonyvalve.version import traffic
from tests.platform import mesh as mesh_module
from tests.platform import test_operator
from tests.request import test_origin

SOURCE = test_origin.NAMES[2]


async def refuse_commit(*_: object) -> table.Failure:
    return table.Failure.UNAVAILABLE


async def fail_to_connect(asked: list[str], address: str) -> trio.abc.Stream:
    asked.append(address)
    raise OSError("unreachable")


def build_refusing_store(rows: list[table.Row], follows: list[float]) -> table.Store:
    """Return a store that answers the first read and then refuses this node."""

    async def read(_: table.TableName) -> table.Rows:
        version = max(row.version for row in rows)
        return table.Rows(rows=tuple(rows), version=version, clock=None)

    async def follow(*_: object) -> table.Failure:
        follows.append(trio.current_time())
        await trio.sleep(0.004)
        return table.Failure.UNAVAILABLE

    return table.Store(read=read, follow=follow, commit=refuse_commit)


def apply(node: node_module.Node, *rows: table.Row, is_whole: bool = False) -> None:
    newest = max(row.version for row in rows)
    # The store's version counts other rows too, so that it is ahead of the operator's rows.
    version = newest if is_whole else newest + 20
    read = table.Rows(rows=rows, version=version, clock=None)
    operator.apply(node, traffic.CurrentTraffic(), read, is_whole=is_whole)


async def test_node_that_the_store_refuses_gets_rows_from_others(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a node that is late because the store refuses it.

    In the run "grown trouble-1" with 88 nodes, 31 applied a configuration 4 to 9 s late (CONFIG,
    EVAC): the store refused them, and other nodes only advertised the version that they had.
    """
    node = test_origin.build_origin(0.0).node
    source = test_origin.build_origin(0.0).node
    nursery.start_soon(timer.run, node.wakeups)
    first = test_operator.build_row("config", 4, mesh_module.build_config(2))
    asked: list[str] = []

    async def respond(request: http.Request) -> http.Reply:
        body = gossip.encode_update(source, request.path)
        return http.Reply(status=200, body=body or b"")

    async def connect(address: str) -> trio.abc.Stream:
        asked.append(address)
        ours, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(functools.partial(http.serve, respond, theirs))
        return ours

    current = traffic.CurrentTraffic()
    store = build_refusing_store([first], [])
    nursery.start_soon(operator.follow, node, current, store)
    nursery.start_soon(gossip.pull_updates, node, current, connect)
    await trio.sleep(1.0)
    assert node.config == 2
    apply(source, first, is_whole=True)
    apply(
        source,
        test_operator.build_row("config", 9, mesh_module.build_config(7)),
        test_operator.build_row("evacuate/z2", 10, b"{}"),
    )
    hop_headers.record_version(node, hop_headers.build_version_header(source), SOURCE)
    await trio.sleep(0.2)
    assert node.config == 7
    assert node.evacuated == {"z2"}
    assert current.traffic is not None and current.traffic.version == 7
    assert asked == [f"{SOURCE}:1"]
    apply(source, test_operator.build_row("evacuate/z2", 12, None))
    hop_headers.record_version(node, hop_headers.build_version_header(source), SOURCE)
    await trio.sleep(0.2)
    assert node.evacuated == frozenset()
    # Older rows that the store sends later change nothing.
    apply(node, test_operator.build_row("evacuate/z2", 10, b"{}"))
    assert node.evacuated == frozenset()


async def test_configuration_that_another_node_has_is_not_read_from_the_store(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against reading a configuration from the store that another node has already sent.

    In a grown Darkroom run, a configuration of 1,522 routes took 0.66 to 3.4 s over links of
    10 Mbit/s, and the small row of an evacuation that was written after it had to wait (EVAC).
    """
    node = test_origin.build_origin(0.0).node
    source = test_origin.build_origin(0.0).node
    nursery.start_soon(timer.run, node.wakeups)
    first = test_operator.build_row("config", 4, mesh_module.build_config(2))
    newer = test_operator.build_row("config", 9, mesh_module.build_config(7))
    followed: list[int] = []
    is_changed = trio.Event()

    async def read(_: table.TableName) -> table.Rows:
        return table.Rows(rows=(first,), version=4, clock=None)

    async def follow(_: table.TableName, after: int, wait_s: float) -> table.Rows:
        followed.append(after)
        await is_changed.wait()
        await trio.sleep(3.0 if after < 9 else wait_s)
        return table.Rows(rows=(newer,) if after < 9 else (), version=9, clock=None)

    async def respond(request: http.Request) -> http.Reply:
        return http.Reply(status=200, body=gossip.encode_update(source, request.path) or b"")

    async def connect(_: str) -> trio.abc.Stream:
        ours, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(functools.partial(http.serve, respond, theirs))
        return ours

    current = traffic.CurrentTraffic()
    store = table.Store(read=read, follow=follow, commit=refuse_commit)
    nursery.start_soon(operator.follow, node, current, store)
    nursery.start_soon(gossip.pull_updates, node, current, connect)
    await trio.sleep(1.0)
    is_changed.set()
    apply(source, newer, is_whole=True)
    hop_headers.record_version(node, hop_headers.build_version_header(source), SOURCE)
    await trio.sleep(0.2)
    assert node.config == 7
    assert followed == [4, 9]


async def test_answer_over_a_busy_link_is_not_given_up(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against aborting transfers over a busy link.

    In a grown Darkroom run, a node applied a configuration 4.5 s late: 3 answers were aborted after
    1.5 s each, and so was the store's, as downloads filled its link of 10 Mbit/s.
    """
    node = test_origin.build_origin(0.0).node
    source = test_origin.build_origin(0.0).node
    nursery.start_soon(timer.run, node.wakeups)
    first = test_operator.build_row("config", 4, mesh_module.build_config(2))
    newer = test_operator.build_row("config", 9, mesh_module.build_config(7))
    asked: list[str] = []
    followed: list[int] = []

    async def respond(request: http.Request) -> http.Reply:
        await trio.sleep(1.8)
        return http.Reply(status=200, body=gossip.encode_update(source, request.path) or b"")

    async def connect(address: str) -> trio.abc.Stream:
        asked.append(address)
        ours, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(functools.partial(http.serve, respond, theirs))
        return ours

    async def read(_: table.TableName) -> table.Rows:
        return table.Rows(rows=(first,), version=4, clock=None)

    async def follow(_: table.TableName, after: int, wait_s: float) -> table.Rows:
        followed.append(after)
        await trio.sleep(wait_s)
        return table.Rows(rows=(), version=after, clock=None)

    store = table.Store(read=read, follow=follow, commit=refuse_commit)
    current = traffic.CurrentTraffic()
    nursery.start_soon(operator.follow, node, current, store)
    nursery.start_soon(gossip.pull_updates, node, current, connect)
    await trio.sleep(1.0)
    apply(source, newer, is_whole=True)
    hop_headers.record_version(node, hop_headers.build_version_header(source), SOURCE)
    await trio.sleep(2.0)
    assert node.config == 7
    assert asked[0] == f"{SOURCE}:1"
    assert len(asked) <= gossip.MAX_CONCURRENT_PULLS
    # The store's own answer continued meanwhile.
    assert followed == [4, 9]


async def test_rows_that_the_store_sends_at_once_are_not_pulled(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a call to another node for each change.

    The store sends a change to all nodes within milliseconds of each other.
    """
    node = test_origin.build_origin(0.0).node
    nursery.start_soon(timer.run, node.wakeups)
    asked: list[str] = []
    nursery.start_soon(
        gossip.pull_updates,
        node,
        traffic.CurrentTraffic(),
        functools.partial(fail_to_connect, asked),
    )
    apply(node, test_operator.build_row("config", 4, mesh_module.build_config(2)), is_whole=True)
    before = node.follow_restart
    node_module.record_advertised(node, 9, SOURCE)
    await trio.sleep(0.01)
    apply(node, test_operator.build_row("config", 9, mesh_module.build_config(7)))
    await trio.sleep(1.0)
    assert asked == []
    # The follow of members and ledgers isn't restarted.
    assert node.follow_restart is before


async def test_unreachable_source_is_not_asked_repeatedly(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against asking an unreachable node in a tight loop.

    Other nodes are asked next, a few times a second.
    """
    node = test_origin.build_origin(0.0).node
    nursery.start_soon(timer.run, node.wakeups)
    asked: list[str] = []
    nursery.start_soon(
        gossip.pull_updates,
        node,
        traffic.CurrentTraffic(),
        functools.partial(fail_to_connect, asked),
    )
    node_module.record_advertised(node, 9, SOURCE)
    await trio.sleep(2.0)
    assert 3 <= len(asked) <= 8
    assert asked[0] == f"{SOURCE}:1"


async def test_removal_that_the_source_has_not_seen_itself(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an evacuation that is never lifted.

    A node that started after the evacuation ended has no row of it, so that it sends all its rows
    and the removal shows by the absence.
    """
    late = test_origin.build_origin(0.0).node
    source = test_origin.build_origin(0.0).node
    config = test_operator.build_row("config", 4, mesh_module.build_config(2))
    apply(late, config, test_operator.build_row("evacuate/z2", 6, b"{}"), is_whole=True)
    newer = test_operator.build_row("config", 9, mesh_module.build_config(7))
    apply(source, newer, is_whole=True)
    update = gossip.encode_update(source, f"{gossip.GOSSIP_PATH}{late.operator_version}")
    assert update is not None and gossip.apply_update(late, traffic.CurrentTraffic(), update)
    assert late.config == 7
    assert late.evacuated == frozenset()
    assert late.operator_version == 9
    # The node can pass on what it received.
    third = test_origin.build_origin(0.0).node
    apply(third, config, test_operator.build_row("evacuate/z2", 6, b"{}"), is_whole=True)
    update = gossip.encode_update(late, f"{gossip.GOSSIP_PATH}{third.operator_version}")
    assert update is not None and gossip.apply_update(third, traffic.CurrentTraffic(), update)
    assert third.evacuated == frozenset()


def pack(version: int) -> bytes:
    return zlib.compress(msgspec.msgpack.encode({"version": version, "is_whole": True, "rows": []}))


ODD_UPDATES = [
    *(b"", b"{", b"x\x9c", b"\x00" * 64),
    *(pack(-1), pack(2**63), zlib.compress(b"\x91" * 100_000 + b"\x90")),
]


@pytest.mark.parametrize("body", ODD_UPDATES, ids=range(len(ODD_UPDATES)))
async def test_unreadable_updates(body: bytes, autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an undecodable update that changes anything or raises."""
    node = test_origin.build_origin(0.0).node
    assert not gossip.apply_update(node, traffic.CurrentTraffic(), body)
    assert node.operator_version == 0
    assert gossip.encode_update(node, f"{gossip.GOSSIP_PATH}x") is None


async def test_node_answers_what_it_knows_of_the_operator() -> None:
    """Guards against a running daemon that doesn't answer on its port for other nodes."""
    async with mesh_module.open_mesh([mesh_module.ORDERS]) as mesh:
        entry = mesh.daemons[0]
        address = entry.node.place.peers_address

        async def is_known() -> bool:
            return entry.node.config is not None

        await mesh_module.poll(is_known)
        request = http.Request(method="GET", path=f"{gossip.GOSSIP_PATH}0")
        fetched = await http.fetch(entry.reconciler.connect, address, request, timeout_s=2.0)
        other = test_origin.build_origin(0.0).node
        assert gossip.apply_update(other, traffic.CurrentTraffic(), fetched.unwrap().body)
        assert other.config == identity.ConfigVersion(1)
