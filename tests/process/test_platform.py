"""Contract tests of the platform, on the stand-in in memory and over HTTP."""

import collections.abc
import contextlib
import functools

import pytest
from returns import result
import trio

from ebonyvalve.process import commit, platform, remote

Opened = tuple[platform.Platform, platform.Memory]
Opener = collections.abc.Callable[[], contextlib.AbstractAsyncContextManager[Opened]]
Scenario = collections.abc.Callable[
    [platform.Platform, platform.Memory], collections.abc.Coroutine[None, None, None]
]

COMMITTED = platform.CommitState.COMMITTED
CONFLICT = platform.CommitState.CONFLICT
UNKNOWN = platform.CommitState.UNKNOWN
UNAVAILABLE = result.Failure(platform.StoreFailure.UNAVAILABLE)


@contextlib.asynccontextmanager
async def open_in_memory() -> collections.abc.AsyncIterator[Opened]:
    memory = platform.Memory()
    yield platform.open_memory(memory), memory


@contextlib.asynccontextmanager
async def open_over_http() -> collections.abc.AsyncIterator[Opened]:
    memory = platform.Memory()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            functools.partial(remote.serve, memory, host="127.0.0.1", port=0)
        )
        async with remote.open_client(host="127.0.0.1", port=port, timeout_s=1.0) as services:
            yield services, memory
        nursery.cancel_scope.cancel()


def row(value: bytes, version: int) -> platform.RowResult:
    return result.Success(platform.Row(value=value, version=version))


async def check_versions(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a version that is used twice, with which a stale writer would win."""
    table = services.table
    assert await table.read("a") == row(b"", 0)
    assert await table.commit({"a": 0}, {"a": b"\x00\xff"}) is COMMITTED
    assert await table.read("a") == row(b"\x00\xff", 1)
    assert await table.commit({"a": 0}, {"a": b"other"}) is CONFLICT
    assert await table.commit({"a": 1}, {"a": b"two"}) is COMMITTED
    assert await table.read("a") == row(b"two", 2)


async def check_several_rows(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a commit that is applied in part, which would give a key two owners."""
    table = services.table
    assert await table.commit({"a": 0, "b": 0}, {"a": b"1", "b": b"1"}) is COMMITTED
    assert await table.commit({"a": 1, "b": 7}, {"a": b"2", "b": b"2", "c": b"2"}) is CONFLICT
    assert await table.read("a") == row(b"1", 1)
    assert await table.read("c") == row(b"", 0)
    # A condition on a row that is not written.
    assert await table.commit({"b": 1}, {"a": b"3"}) is COMMITTED
    assert await table.read("b") == row(b"1", 1)


async def check_deletes(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a row that restarts at version 1 after its deletion.

    A stale writer would take it for the row that it had read before.
    """
    table = services.table
    await table.commit({}, {"a": b"1"})
    assert await table.commit({"a": 1}, {"a": None}) is COMMITTED
    assert await table.read("a") == row(b"", 0)
    assert await table.scan("") == result.Success({})
    assert await table.commit({"a": 1}, {"a": b"2"}) is CONFLICT
    assert await table.commit({"a": 0}, {"a": b"2"}) is COMMITTED
    assert (await table.read("a")).unwrap().version > 2


async def check_empty_value(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against an empty value that reads as a missing row."""
    assert await services.table.commit({"a": 0}, {"a": b""}) is COMMITTED
    assert await services.table.read("a") == row(b"", 1)


async def check_scan(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a scan that returns rows of a longer prefix.

    It would mix the pages of two services.
    """
    table = services.table
    await table.commit({}, {"page/a/1": b"1", "page/a/2": b"2", "page/ab/1": b"3", "é\n": b"4"})
    rows = (await table.scan("page/a/")).unwrap()
    assert list(rows) == ["page/a/1", "page/a/2"]
    assert rows["page/a/2"] == platform.Row(value=b"2", version=1)
    assert list((await table.scan("é")).unwrap()) == ["é\n"]


async def check_lost_reply(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a lost reply that is reported as a conflict.

    The writer would give up what it owns.
    """
    memory.lost_replies = 1
    assert await services.table.commit({"a": 0}, {"a": b"1"}) is UNKNOWN
    assert await services.table.read("a") == row(b"1", 1)
    assert await services.table.commit({"a": 1}, {"a": b"2"}) is COMMITTED


async def check_outage(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against an outage that reads as a missing row, and lets a cell be claimed twice."""
    await services.objects.put("body", b"1")
    memory.is_down = True
    assert await services.table.read("a") == UNAVAILABLE
    assert await services.table.scan("") == UNAVAILABLE
    assert await services.objects.get("body") == UNAVAILABLE
    assert await services.objects.get("missing") == UNAVAILABLE
    assert await services.objects.put("body", b"2") == UNAVAILABLE
    assert await services.table.commit({"a": 0}, {"a": b"1"}) is UNKNOWN
    memory.is_down = False
    assert await services.table.read("a") == row(b"", 0)
    assert await services.objects.get("body") == result.Success(b"1")


async def check_objects(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a missing object that reads as an outage, and against truncated bodies."""
    assert await services.objects.get("none") == result.Failure(platform.StoreFailure.MISSING)
    body = bytes(range(256)) * 8192
    assert await services.objects.put("body", body) == result.Success(None)
    assert await services.objects.get("body") == result.Success(body)


async def check_parallel_writers(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against concurrent commits that both succeed on one version.

    Both writers would own the row.
    """
    states: list[platform.CommitState] = []

    async def write(number: int) -> None:
        states.append(await services.table.commit({"a": 0}, {"a": str(number).encode()}))

    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(write, number)
    assert sorted(state.value for state in states) == ["committed"] + ["conflict"] * 19


async def check_verified_lost_reply(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a writer that does not learn that its write was applied.

    The reply to the write was lost.
    """
    memory.lost_replies = 1
    state = await commit.commit_and_verify(services.table, {"a": 0}, {"a": b"me 1"})
    assert state is COMMITTED
    assert await services.table.read("a") == row(b"me 1", 1)


async def check_verified_conflict(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a conflict that verification reports as something else."""
    await services.table.commit({"a": 0}, {"a": b"other"})
    assert await commit.commit_and_verify(services.table, {"a": 0}, {"a": b"me"}) is CONFLICT


async def check_verified_outage(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against an outage that verification reports as a commit or a conflict."""
    memory.is_down = True
    assert await commit.commit_and_verify(services.table, {"a": 0}, {"a": b"me"}) is UNKNOWN


async def check_verified_short_outage(services: platform.Platform, memory: platform.Memory) -> None:
    """Guards against a write that is lost in a short outage and not sent again."""
    memory.is_down = True
    async with trio.open_nursery() as nursery:

        async def recover() -> None:
            await trio.sleep(0.1)
            memory.is_down = False

        nursery.start_soon(recover)
        assert await commit.commit_and_verify(services.table, {"a": 0}, {"a": b"me"}) is COMMITTED
    assert await services.table.read("a") == row(b"me", 1)


SCENARIOS: dict[str, Scenario] = {
    "versions": check_versions,
    "several rows": check_several_rows,
    "deletes": check_deletes,
    "empty value": check_empty_value,
    "scan": check_scan,
    "lost reply": check_lost_reply,
    "outage": check_outage,
    "objects": check_objects,
    "parallel writers": check_parallel_writers,
    "verified lost reply": check_verified_lost_reply,
    "verified conflict": check_verified_conflict,
    "verified outage": check_verified_outage,
    "verified short outage": check_verified_short_outage,
}
OPENERS: dict[str, Opener] = {"memory": open_in_memory, "http": open_over_http}


@pytest.mark.parametrize("opener", OPENERS.values(), ids=OPENERS.keys())
@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS.keys())
async def test_contract(scenario: Scenario, opener: Opener) -> None:
    """Guards against differences between the HTTP client and the stand-in that other tests use."""
    async with opener() as (services, memory):
        await scenario(services, memory)
