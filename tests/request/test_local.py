"""Tests of requests at the target beside a node whose target is slow, or answers wrongly."""

import dataclasses
import enum
import functools

import h11
import pytest
import trio
import trio.testing

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import (
    daemon,
    handover,
    http,
    identity,
    limit,
    monitor,
    site,
    straggler,
    target,
    timer,
    toy,
)
from ebonyvalve.request import front
from tests.request import test_handler

PATH = "/calendrier/salle-1/book"
STRAY = b"HTTP/1.1 200 OK\r\nEbonyvalve-Request-Id: other\r\nContent-Length: 0\r\n\r\n"


async def sweep_pools(world: test_handler.World) -> None:
    """Sweep the pools of both nodes as the daemon does."""
    while True:
        await trio.sleep(daemon.SWEEP_PERIOD_S)
        for shared in world.handlers.values():
            latencies = shared.here.latencies[test_handler.SERVICE]
            p99_s = straggler.read_quantile(latencies, 0.99)
            await pool.sweep(shared.target_pool, p99_s=p99_s)
            await pool.sweep(shared.hop_pool, p99_s=p99_s)


async def look_up(world: test_handler.World) -> None:
    status, _, _ = await test_handler.call(world, "GET", "/calendrier/salle-1/slots")
    assert status == 200


@pytest.mark.parametrize("owner", [test_handler.HERE, test_handler.THERE])
async def test_slow_order_survives_the_silence_of_its_connection(
    owner: identity.NodeId, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against ending a non-idempotent request because other connections bring bytes.

    Its outcome was reported as unknown long before its deadline.
    """
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery, owner)
        nursery.start_soon(sweep_pools, world)
        token = await test_handler.fetch_token(world, PATH)
        # The concurrency limit of a new target starts at one request.
        for _ in range(20):
            await look_up(world)
        world.target.service_time_s = 0.8
        answers = []

        async def order() -> None:
            answers.append(await test_handler.call(world, "POST", PATH, [b"a"], token=token))

        async with trio.open_nursery() as callers:
            callers.start_soon(order)
            await trio.sleep(0.05)
            world.target.service_time_s = 0.001
            for _ in range(8):
                await trio.sleep(0.1)
                await look_up(world)
        nursery.cancel_scope.cancel()
    (answer,) = answers
    assert (answer[0], answer[1]["ebonyvalve-outcome"]) == (200, "answered")


@dataclasses.dataclass(kw_only=True)
class FaultyTarget:
    """A target that answers lookups and refuses all other requests.

    ``is_named`` says whether its refusals name the request, and ``stray`` is sent before each.
    ``orders`` counts the requests that it refused.
    """

    is_named: bool
    stray: bytes = b""
    orders: int = 0


async def serve(faulty: FaultyTarget, stream: trio.abc.Stream) -> None:
    while True:
        head, _ = await http.receive_message(stream, h11.Connection(h11.SERVER))
        if not isinstance(head, h11.Request):
            return
        request_id = dict(head.headers)[b"ebonyvalve-request-id"]
        named = b"Ebonyvalve-Request-Id: %s\r\n" % request_id
        if head.method == b"GET":
            await stream.send_all(b"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n" % named)
            continue
        faulty.orders += 1
        refusal = b"HTTP/1.1 503 No\r\nEbonyvalve-Outcome: not-run\r\nContent-Length: 0\r\n"
        await stream.send_all(
            faulty.stray + refusal + (named if faulty.is_named else b"") + b"\r\n"
        )


@pytest.mark.parametrize(
    ("is_named", "is_reused", "has_stray", "outcome"),
    [
        (False, False, False, "not-run"),
        (True, True, False, "not-run"),
        (True, False, True, "not-run"),
        (False, True, False, "unknown"),
        (False, False, True, "unknown"),
    ],
)
async def test_refusal_that_may_be_an_earlier_one_is_not_believed(
    autojump_clock: trio.testing.MockClock,
    is_named: bool,
    is_reused: bool,
    has_stray: bool,
    outcome: str,
) -> None:
    """Guards against "not-run" for a request that the target may be running.

    A resend with the same token would then run it a second time.
    """
    faulty = FaultyTarget(is_named=is_named, stray=STRAY if has_stray else b"")
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery)
        world.serve_target = functools.partial(serve, faulty)
        token = await test_handler.fetch_token(world, PATH)
        if is_reused:
            await look_up(world)
        _, first, _ = await test_handler.call(world, "POST", PATH, [b"a"], token=token)
        _, resent, _ = await test_handler.call(world, "POST", PATH, [b"a"], token=token)
        nursery.cancel_scope.cancel()
    assert (first["ebonyvalve-outcome"], resent["ebonyvalve-outcome"]) == (outcome, outcome)
    assert faulty.orders == (2 if outcome == "not-run" else 1)


async def test_slot_is_free_while_a_reply_is_transferred(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against refusing requests because callers read the replies of others slowly."""
    is_next_answered = trio.Event()

    async def serve_slowly(stream: trio.abc.Stream) -> None:
        head, _ = await http.receive_message(stream, h11.Connection(h11.SERVER))
        assert isinstance(head, h11.Request)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
        if head.target.endswith(b"/sheet"):
            await is_next_answered.wait()
        await stream.send_all(b"b")

    statuses = []
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery)
        world.serve_target = serve_slowly
        assert limit.read_limit(world.sites[test_handler.HERE].admission) == 1

        async def fetch_sheet() -> None:
            status, _, body = await test_handler.call(world, "GET", "/calendrier/salle-1/sheet")
            statuses.append((status, body))

        nursery.start_soon(fetch_sheet)
        await trio.sleep(0.1)
        await look_up(world)
        is_next_answered.set()
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert statuses == [(200, b"ab")]


class Suspicion(enum.Enum):
    """Why a node may take its target, or its own lease, for lost."""

    LEASE_LAPSED = "lease-lapsed"
    PROBES_MISSED = "probes-missed"


async def suspect(nursery: trio.Nursery, here: site.Site, suspicion: Suspicion) -> None:
    """Let the node's lease lapse, or its target miss probes."""
    if suspicion is Suspicion.LEASE_LAPSED:
        handover.cancel_requests(here, list(here.flights))
        return

    async def hang(_: str) -> trio.abc.Stream:
        await trio.sleep_forever()
        raise AssertionError

    clock = timer.Timer(clock=trio.current_time)
    probes = monitor.Monitor(here=here, timer=clock, connect=hang, drop_idle=trio.sleep)
    nursery.start_soon(timer.run, clock)
    nursery.start_soon(monitor.run, probes)
    while target.is_up(here.target):
        await here.changed.wait()


async def test_missed_probes_quarantine_nothing(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against refusing requests at all nodes because a busy target missed two probes."""
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery)
        here = world.sites[test_handler.HERE]
        world.target.service_time_s = 0.9

        async with trio.open_nursery() as callers:
            callers.start_soon(look_up, world)
            await trio.sleep(0.1)
            await suspect(nursery, here, Suspicion.PROBES_MISSED)
            world.target.service_time_s = 0.01
            entry = target.Announcement(
                address=test_handler.TARGET, incarnation=here.target.incarnation
            )
            assert not target.announce(here.target, entry, here.now())
            limit.resume(here.admission, here.now())
            site.notify(here)
        nursery.cancel_scope.cancel()


async def answer_in_two_parts(stream: trio.abc.Stream) -> None:
    await http.receive_message(stream, h11.Connection(h11.SERVER))
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
    await trio.sleep(0.8)
    await stream.send_all(b"b")


@pytest.mark.parametrize("suspicion", list(Suspicion))
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_suspicion_ends_only_what_can_be_sent_again(
    autojump_clock: trio.testing.MockClock, suspicion: Suspicion, method: str
) -> None:
    """Guards against ending orders, and cutting begun replies, after missed probes or heartbeats.

    The order's outcome was unknown although its target was running it; the caller of a lookup whose
    reply had begun got a part of it.
    """
    answers = []
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery)
        here = world.sites[test_handler.HERE]
        token = await test_handler.fetch_token(world, PATH)
        # The order ends within its grant.
        world.target.service_time_s = 0.4
        if method == "GET":
            world.serve_target = answer_in_two_parts

        async def ask() -> None:
            answers.append(await test_handler.call(world, method, PATH, [b"a"], token=token))

        async with trio.open_nursery() as callers:
            callers.start_soon(ask)
            await trio.sleep(0.1)
            await suspect(nursery, here, suspicion)
        nursery.cancel_scope.cancel()
    assert [(status, headers["ebonyvalve-outcome"]) for status, headers, _ in answers] == [
        (200, "answered")
    ]


@pytest.mark.parametrize(("method", "outcome"), [("GET", "answered"), ("POST", "unknown")])
async def test_release_does_not_wait_for_a_lost_target(
    autojump_clock: trio.testing.MockClock, method: str, outcome: str
) -> None:
    """Guards against keys that stay unavailable until the deadline of an order at a lost target.

    Once the grant has ended the target cannot run the order any longer. A reply that has begun at
    its caller goes on.
    """
    answers = []
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery)
        here = world.sites[test_handler.HERE]
        clock = timer.Timer(clock=trio.current_time)
        nursery.start_soon(timer.run, clock)
        token = await test_handler.fetch_token(world, PATH)
        toy.freeze(world.target)
        if method == "GET":
            world.serve_target = answer_in_two_parts

        async def ask() -> None:
            answers.append(await test_handler.call(world, method, PATH, [b"a"], token=token))

        async with trio.open_nursery() as callers:
            callers.start_soon(ask)
            await trio.sleep(0.1)
            await suspect(nursery, here, Suspicion.PROBES_MISSED)
            shards = list(here.flights)
            grant_end_s = here.sent_grant_end_s
            await handover.release(here, clock, shards)
            released_at = trio.current_time()
            assert not [flight for flight in site.list_flights(here) if not flight.is_reply_begun()]
        nursery.cancel_scope.cancel()
    assert released_at <= grant_end_s + 2 * handover.RECHECK_INTERVAL_S
    assert [headers["ebonyvalve-outcome"] for _, headers, _ in answers] == [outcome]


async def test_slow_connect_is_not_taken_for_a_crash(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against quarantined requests because a busy target accepts a connection late.

    A target may close a connection at any time, which shows no crash either.
    """
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery)
        targets = world.handlers[test_handler.HERE].target_pool
        connect = targets.connect
        opened = 0

        async def connect_late(address: str) -> trio.abc.Stream:
            nonlocal opened
            opened += 1
            if opened == 2:
                await trio.sleep_forever()
            return await connect(address)

        async def break_first(stream: trio.abc.Stream) -> None:
            if opened > 1:
                await toy.serve(world.target, stream)
                return
            await stream.receive_some()
            await stream.aclose()

        targets.connect = connect_late
        world.serve_target = break_first
        await look_up(world)
        await look_up(world)
        assert target.is_up(world.sites[test_handler.HERE].target)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("owner", [test_handler.HERE, test_handler.THERE])
async def test_slow_upload_is_not_blamed_on_the_target(
    owner: identity.NodeId, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a target that is taken as down because callers don't send their bodies."""
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery, owner)
        await look_up(world)
        for _ in range(target.MISSES_TO_DOWN):
            connection = await test_handler.connect(world, f"caller-{test_handler.HERE}")
            conn = wire.open_client(connection)
            headers = [("host", "x"), ("transfer-encoding", "chunked")]
            path = "/calendrier/salle-1/slots"
            await wire.send(conn, h11.Request(method="GET", target=path, headers=headers))
            await wire.send(conn, h11.Data(data=bytes(2 * front.PREFIX_BYTES)))
            status, _, _ = await test_handler.read_answer(conn)
            assert status == 504
        latencies = world.sites[test_handler.HERE].latencies[test_handler.SERVICE]
        nursery.cancel_scope.cancel()
    assert target.is_up(world.sites[owner].target)
    assert latencies.targets[owner].mean_s < 0.1
