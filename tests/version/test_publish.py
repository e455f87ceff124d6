"""Tests of publishing on a platform that loses, delays and reorders writes."""

import collections.abc
import contextlib
import dataclasses
import itertools

import pytest
import trio
import trio.testing

from ebonyvalve.process import identity, platform, report, timer
from ebonyvalve.version import objects, publish


def make_set(slots: int) -> objects.ObjectSet:
    return objects.sort_objects(
        [
            objects.Service(name=identity.ServiceId("store"), slots=slots),
            objects.AvailabilityZone(name=identity.ZoneId("north")),
        ]
    )


def make_request(author: str, *, base: int = 0, slots: int = 10) -> publish.PublishRequest:
    return publish.PublishRequest(
        body=objects.encode_body(make_set(slots)),
        base=identity.ConfigVersion(base),
        author=author,
        note=f"slots {slots}",
        at="2026-01-02T03:04:05Z",
        publication=f"{author}-{base}-{slots}",
    )


@contextlib.asynccontextmanager
async def open_clock() -> collections.abc.AsyncIterator[timer.Timer]:
    clock = timer.Timer(clock=trio.current_time)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run, clock)
        yield clock
        nursery.cancel_scope.cancel()


def fail_call(memory: platform.Memory, index: int, fault: str) -> platform.Platform:
    """Return a platform in which call number ``index`` fails in the given way."""
    working_platform = platform.open_memory(memory)
    calls = itertools.count()
    late: list[tuple[platform.Expected, platform.Writes]] = []

    def is_due() -> bool:
        while late:
            platform.apply_commit(memory, *late.pop())
        return next(calls) == index

    async def read(key: str) -> platform.RowResult:
        memory.is_down = is_due()
        try:
            return await working_platform.table.read(key)
        finally:
            memory.is_down = False

    async def commit(expected: platform.Expected, writes: platform.Writes) -> platform.CommitState:
        if not is_due():
            return await working_platform.table.commit(expected, writes)
        if fault == "reply-lost":
            platform.apply_commit(memory, expected, writes)
        elif fault == "applied-late":
            late.append((expected, writes))
        return platform.CommitState.UNKNOWN

    async def put(name: str, body: bytes) -> platform.PutResult:
        memory.is_down = is_due() and fault != "reply-lost"
        try:
            return await working_platform.objects.put(name, body)
        finally:
            memory.is_down = False

    return platform.Platform(
        table=dataclasses.replace(working_platform.table, read=read, commit=commit),
        objects=dataclasses.replace(working_platform.objects, put=put),
    )


async def list_authors(memory: platform.Memory) -> list[str]:
    history = await publish.read_history(platform.open_memory(memory).table)
    return [entry.author for entry in history.unwrap()]


@pytest.mark.parametrize("fault", ["request-lost", "reply-lost", "applied-late"])
@pytest.mark.parametrize("index", range(5))
async def test_every_lost_reply_is_resolved(
    index: int, fault: str, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a wrong result, or two entries, when a request or reply is lost or late."""
    memory = platform.Memory()
    async with open_clock() as clock:
        outcome = await publish.publish(fail_call(memory, index, fault), make_request("ana"), clock)
    authors = await list_authors(memory)
    assert outcome.state in (publish.State.ACCEPTED, publish.State.UNAVAILABLE)
    assert authors == (["ana"] if outcome.state is publish.State.ACCEPTED else [])
    # Only the first read of the head may fail without a second attempt.
    assert (outcome.state is publish.State.UNAVAILABLE) == (index == 0)


async def test_lost_reply_followed_by_another_publication(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against reporting a conflict after a lost reply when a later publication succeeded."""
    memory = platform.Memory(lost_replies=1)
    working_platform = platform.open_memory(memory)
    async with open_clock() as clock:

        async def commit(
            expected: platform.Expected, writes: platform.Writes
        ) -> platform.CommitState:
            state = await working_platform.table.commit(expected, writes)
            later = await publish.publish(
                working_platform, make_request("luc", base=1, slots=6), clock
            )
            assert later.state is publish.State.ACCEPTED
            return state

        table = dataclasses.replace(working_platform.table, commit=commit)
        services = dataclasses.replace(working_platform, table=table)
        outcome = await publish.publish(services, make_request("ana"), clock)
    assert outcome.state is publish.State.ACCEPTED
    assert await list_authors(memory) == ["ana", "luc"]


async def test_silent_store_leaves_the_outcome_unknown(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against reporting success or refusal when the store never confirms the outcome."""
    memory = platform.Memory()
    working_platform = platform.open_memory(memory)

    async def commit(expected: platform.Expected, writes: platform.Writes) -> platform.CommitState:
        memory.is_down = True
        return platform.CommitState.UNKNOWN

    services = dataclasses.replace(
        working_platform, table=dataclasses.replace(working_platform.table, commit=commit)
    )
    async with open_clock() as clock:
        outcome = await publish.publish(services, make_request("ana"), clock)
    assert outcome.state is publish.State.UNKNOWN
    assert "ana-0-10" in outcome.cause


async def test_concurrent_publications(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against accepting two publications with the same base, or an unexplained refusal."""
    memory = platform.Memory()
    services = platform.open_memory(memory)
    outcomes: dict[str, publish.Published] = {}
    async with open_clock() as clock:
        first = await publish.publish(services, make_request("eva"), clock)
        assert first.state is publish.State.ACCEPTED
        memory.delay_s = 0.05

        async def run(request: publish.PublishRequest) -> None:
            outcomes[request.author] = await publish.publish(services, request, clock)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, make_request("ana", base=1, slots=6))
            nursery.start_soon(run, make_request("luc", base=1, slots=8))
    states = sorted(published.state.value for published in outcomes.values())
    assert states == ["accepted", "conflict"]
    refused = next(
        outcome for outcome in outcomes.values() if outcome.state is publish.State.CONFLICT
    )
    winner = next(name for name, outcome in outcomes.items() if outcome is not refused)
    slots = {"ana": 6, "luc": 8}[winner]
    assert f"{winner} published version 2 at 2026-01-02T03:04:05Z (slots {slots})" in refused.cause
    assert refused.differences == [
        f"{winner}: changed Service store: slots 10 -> {slots} (you change it too)"
    ]
    assert await list_authors(memory) == ["eva", winner]


async def test_stale_base_is_refused(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against replacing a version that the plan was not based on."""
    memory = platform.Memory()
    services = platform.open_memory(memory)
    async with open_clock() as clock:
        for base in (0, 1):
            await publish.publish(services, make_request("eva", base=base, slots=10 + base), clock)
        outcome = await publish.publish(services, make_request("ana"), clock)
    assert outcome.state is publish.State.CONFLICT
    assert await list_authors(memory) == ["eva", "eva"]
    head = (await publish.read_head(services.table)).unwrap()
    assert publish.find_version(head) == 2
    read = (await publish.read_objects(services.objects, head.entry)).unwrap()
    assert read == make_set(11)
    assert head.entry is not None
    memory.bodies[head.entry.digest] += b" "
    assert "digest" in (await publish.read_objects(services.objects, head.entry)).failure()


async def test_wait_names_the_nodes_that_lag(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against reporting a version as in force while a node does not have it."""
    started = trio.current_time()
    shown: list[tuple[int, int, list[str]]] = []

    async def fetch() -> list[report.NodeVersion]:
        age_s = trio.current_time() - started
        versions = {"a": 2, "b": 2 if age_s > 1 else 1, "c": None if age_s < 3 else 2}
        return [
            report.NodeVersion(
                node=identity.NodeId(node),
                version=None if version is None else identity.ConfigVersion(version),
            )
            for node, version in versions.items()
        ]

    async def wait(clock: timer.Timer, within_s: float) -> list[report.NodeVersion]:
        return await publish.wait_in_force(
            version=identity.ConfigVersion(2),
            fetch=fetch,
            progress=lambda done, total, lag: shown.append((done, total, [n.node for n in lag])),
            clock=clock,
            within_s=within_s,
        )

    async with open_clock() as clock:
        assert [node.node for node in await wait(clock, 2.0)] == ["c"]
        assert shown == [(1, 3, ["b", "c"]), (2, 3, ["c"])]
        assert await wait(clock, 10.0) == []
