"""What the operator writes reaches every node, whatever becomes of single calls."""

import collections.abc

import msgspec
import trio
import trio.testing

from ebonyvalve.platform import news, operator
from ebonyvalve.process import node as node_module
from ebonyvalve.process import timer
from ebonyvalve.process.store import table
from ebonyvalve.version import traffic
from tests.platform import mesh as mesh_module
from tests.request import test_origin


def build_row(key: str, version: int, value: bytes | None) -> table.Row:
    return table.Row(
        name=table.Name(table=operator.OPERATOR, key=key),
        value=value or b"",
        version=version,
        is_removed=value is None,
    )


def build_store(
    rows: list[table.Row], silent: list[bool]
) -> tuple[table.Store, collections.abc.Callable[[], int]]:
    """Return a store whose follow never answers once it has fallen silent."""
    version = [0]

    async def read(_: table.TableName) -> table.Rows:
        version[0] = max(row.version for row in rows)
        return table.Rows(rows=tuple(rows), version=version[0], clock=None)

    async def follow(_: table.TableName, after: int, wait_s: float) -> table.Rows:
        if silent[0]:
            await trio.sleep_forever()
        newer = tuple(row for row in rows if row.version > after)
        if not newer:
            await trio.sleep(wait_s)
        return table.Rows(rows=newer, version=max(row.version for row in rows), clock=None)

    async def commit(*_: object) -> table.Trouble:
        return table.Trouble.UNAVAILABLE

    return table.Store(read=read, follow=follow, commit=commit), lambda: version[0]


async def test_news_that_another_node_names_are_read_at_once(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """A follow that was lost with the store stays silent; other nodes' requests name the news."""
    node = test_origin.build_origin(0.0).node
    current = traffic.Current()
    rows = [build_row("config", 4, mesh_module.build_config(2))]
    silent = [False]
    store, _ = build_store(rows, silent)

    async def connect(_: str) -> trio.abc.Stream:
        raise OSError("unreachable")

    nursery.start_soon(timer.run, node.wakeups)
    nursery.start_soon(operator.follow, node, current, store)
    nursery.start_soon(news.learn, node, current, connect)
    await trio.sleep(0.1)
    assert node.config == 2
    silent[0] = True
    await trio.sleep(operator.FOLLOW_S + 1)
    rows[:] = [
        build_row("config", 9, mesh_module.build_config(7)),
        build_row("evacuate/z2", 10, b"{}"),
    ]
    silent[0] = False
    await trio.sleep(1.0)
    assert node.config == 2
    node_module.note_named(node, 10)
    await trio.sleep(0.1)
    assert node.config == 7
    assert node.evacuated == {"z2"}
    before = node.named
    node_module.note_named(node, 10)
    assert node.named is before


async def test_versions_never_go_back(autojump_clock: trio.testing.MockClock) -> None:
    """A late or repeated row must not undo a newer one."""
    node = test_origin.build_origin(0.0).node
    current = traffic.Current()
    for version, expected in ((5, 5), (3, 5), (6, 6)):
        row = build_row("config", version, mesh_module.build_config(version))
        rows = table.Rows(rows=(row,), version=version, clock=None)
        operator.apply(node, current, rows, is_whole=False)
        assert node.config == expected


async def test_bad_configuration_is_refused_with_every_reason(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The last good one stays."""
    node = test_origin.build_origin(0.0).node
    current = traffic.Current()
    good = build_row("config", 1, mesh_module.build_config(1))
    document = msgspec.json.decode(mesh_module.build_config(2))
    document["resources"][0]["spec"]["prefix"] = "/lookup"
    bad = build_row("config", 2, msgspec.json.encode(document))
    for row in (good, bad):
        rows = table.Rows(rows=(row,), version=row.version, clock=None)
        operator.apply(node, current, rows, is_whole=False)
    assert node.config == 1
