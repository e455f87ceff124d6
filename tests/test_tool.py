"""Tests of the command line against an in-memory platform and nodes on memory streams."""

import collections.abc
import contextlib
import dataclasses
import datetime
import json
import pathlib
import typing

import msgspec
import pytest
import trio
import trio.testing

from ebonyvalve import tool
from ebonyvalve.process import http, identity, network, platform, report, timer
from ebonyvalve.version import publish

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
ANDINAFLOTA = str(EXAMPLES / "andinaflota")
DRAIN = str(EXAMPLES / "andinaflota-drain")
NODES = ["n1", "n2", "n3"]


@dataclasses.dataclass(kw_only=True)
class World:
    """Simulated platform, nodes and terminal."""

    directory: pathlib.Path
    memory: platform.Memory = dataclasses.field(default_factory=platform.Memory)
    # Nodes that never adopt a new version, and nodes that do not answer.
    stuck: set[str] = dataclasses.field(default_factory=set)
    silent: set[str] = dataclasses.field(default_factory=set)
    coordinator: str = "n2"
    targets: list[report.Target] = dataclasses.field(default_factory=list)
    output: list[str] = dataclasses.field(default_factory=list)
    errors: list[str] = dataclasses.field(default_factory=list)


def build_status(world: World, node: str) -> report.Status:
    row = world.memory.rows.get(publish.HEAD_KEY)
    version = json.loads(row.value)["version"] if row and node not in world.stuck else 0
    return report.Status(
        node=identity.NodeId(node),
        zone=identity.ZoneId("ambato"),
        incarnation=identity.Incarnation("i"),
        role=report.Role.COORDINATOR if node == world.coordinator else report.Role.MEMBER,
        coordinator=identity.NodeId("n2"),
        term=identity.Term(4),
        lease=report.LeaseState.HELD,
        lease_left_ms=400,
        config_version=identity.ConfigVersion(version),
        does_store_answer=True,
        targets=world.targets,
    )


def serve_node(world: World, node: str) -> http.Respond:
    async def respond(request: http.Request) -> http.Reply:
        if request.path == "/status":
            return http.Reply(status=200, body=msgspec.json.encode(build_status(world, node)))
        if request.path != "/explain/inventario/flota%2Fa":
            return http.Reply(status=404, body=b"no such service")
        found = report.Explanation(
            node=identity.NodeId(node),
            service=identity.ServiceId("inventario"),
            key=identity.KeyId("flota/a"),
            config_version=identity.ConfigVersion(1),
            shard=identity.ShardId("inventario/7"),
            owner=identity.NodeId("n3"),
            owner_zone=identity.ZoneId("ambato"),
            fence=identity.Fence(12),
            owned_for_s=60.0,
            cause="moved after the loss of n9",
            route=report.RouteKind.HOP,
            route_node=identity.NodeId("n3"),
        )
        return http.Reply(status=200, body=msgspec.json.encode(found))

    return respond


def open_environment(world: World) -> tool.Environment:
    async def connect(address: str) -> trio.abc.Stream:
        node = NODES[int(address.rpartition(":")[2]) - 1]
        if node in world.silent:
            raise OSError("refused")
        ours, theirs = trio.testing.memory_stream_pair()
        trio.lowlevel.spawn_system_task(http.serve, serve_node(world, node), theirs)
        return ours

    @contextlib.asynccontextmanager
    async def open_platform(
        chosen: tool.ToolSettings,
    ) -> collections.abc.AsyncIterator[platform.Platform]:
        yield platform.open_memory(world.memory)

    return tool.Environment(
        connect=lambda chosen: connect,
        open_platform=open_platform,
        write=world.output.append,
        write_error=world.errors.append,
        clock=timer.read_boot_clock,
        read_time=lambda: datetime.datetime(2026, 1, 2, 3, 4, 5, tzinfo=datetime.UTC),
        draw_id=lambda: f"id-{len(world.output)}",
    )


@pytest.fixture
def world(tmp_path: pathlib.Path) -> World:
    settings = {
        "platform_address": "127.0.0.1:9",
        "nodes": {node: f"127.0.0.1:{index + 1}" for index, node in enumerate(NODES)},
        "author": "ana",
    }
    (tmp_path / "tool.json").write_text(json.dumps(settings))
    return World(directory=tmp_path)


def run(world: World, *arguments: str) -> int:
    world.output.clear()
    world.errors.clear()
    settings = ["--settings", str(world.directory / "tool.json")]
    return tool.run([*arguments, *settings], open_environment(world))


def read_json(world: World) -> typing.Any:
    (line,) = world.output
    return json.loads(line)


def test_exit_statuses_without_network(world: World) -> None:
    """Guards against a successful exit status after a refusal or a usage error."""
    faulty = str(EXAMPLES / "faulty" / "two-owners-rules")
    assert run(world, "check", ANDINAFLOTA) == 0
    assert world.output == ["accepted, 0 warnings"]
    assert run(world, "check", faulty) == 1
    assert run(world, "check", faulty, "--json") == 1
    assert read_json(world)["findings"][0]["code"] == "two-owners"
    assert run(world, "check") == 2
    assert run(world, "unknown") == 2
    assert run(world, "publish") == 2
    assert tool.run(["--version"], open_environment(world)) == 0
    (world.directory / "tool.json").write_text('{"platform_address": "here"}')
    assert run(world, "status") == 2
    assert "not of the form IP:port" in world.errors[0]


def test_plan_publish_and_history(world: World) -> None:
    """Guards against a command that reports a version other than the one in the store."""
    assert run(world, "plan", ANDINAFLOTA) == 0
    assert world.output[-1] == "safe to publish"
    assert run(world, "publish", ANDINAFLOTA, "--note", "first") == 0
    assert world.output[-1] == "version 1 is in force everywhere"
    assert run(world, "publish", ANDINAFLOTA) == 0
    assert world.output[-1] == "nothing to publish: these objects are in force"
    assert run(world, "publish", ANDINAFLOTA, "--add", DRAIN, "--json") == 0
    assert read_json(world)["published"]["state"] == "accepted"
    assert run(world, "publish", "--from", "1") == 0
    assert run(world, "history") == 0
    assert [line.split(" at ")[0] for line in world.output] == [
        "version 3",
        "version 2",
        "version 1",
    ]
    assert world.output[0].endswith("by ana: again version 1 [in force]")
    assert run(world, "publish", "--from", "9") == 1


def test_publish_names_the_nodes_that_lag(world: World) -> None:
    """Guards against reporting success while a node still has an older version."""
    world.stuck = {"n1"}
    world.silent = {"n3"}
    world.coordinator = ""
    assert run(world, "publish", ANDINAFLOTA, "--wait-s", "0.3") == 3
    assert "version 1: 1 of 3 nodes; waiting for n1, n3" in world.output
    assert "not in force at n1: has version 0" in world.output
    cause = "no answer from 127.0.0.1:3: unreachable"
    assert f"not in force at n3: version not known ({cause})" in world.output


def test_members_count_and_not_the_settings(world: World) -> None:
    """Guards against waiting for a VM that was replaced, and not for its replacement."""
    world.silent = {"n3"}
    world.targets = [
        report.Target(
            node=identity.NodeId(node),
            zone=identity.ZoneId("ambato"),
            service=identity.ServiceId("otro"),
            slots=10,
            is_up=True,
            config_version=None if version is None else identity.ConfigVersion(version),
        )
        for node, version in (("n1", 1), ("n2", 1), ("n4", 1), ("n5", 0))
    ]
    assert run(world, "publish", ANDINAFLOTA, "--wait-s", "0.3") == 3
    assert "version 1: 3 of 4 nodes; waiting for n5" in world.output
    assert "not in force at n5: has version 0 (not in the tool's settings)" in world.output


def test_publish_refuses_a_stale_plan(world: World) -> None:
    """Guards against replacing a version that was published after the operator's plan."""
    assert run(world, "publish", ANDINAFLOTA) == 0
    assert run(world, "publish", ANDINAFLOTA, "--add", DRAIN, "--base", "0") == 1
    assert any("ana published version 1" in line for line in world.output)
    assert len([key for key in world.memory.rows if key.startswith(publish.LOG_PREFIX)]) == 1


def test_targets_seen_by_the_nodes_decide(world: World) -> None:
    """Guards against accepting a drain although the remaining targets are down."""
    assert run(world, "publish", ANDINAFLOTA) == 0
    world.targets = [
        report.Target(
            node=identity.NodeId(f"t{index}"),
            zone=identity.ZoneId(zone),
            service=identity.ServiceId(service),
            slots=10,
            is_up=zone != "riobamba",
        )
        for service in ("inventario", "ordenes", "paquetes")
        for index, zone in enumerate(
            ["quito-norte", "quito-sur", "quito-sur", "ambato", "riobamba"]
        )
    ]
    assert run(world, "plan", ANDINAFLOTA, "--add", DRAIN) == 1
    assert world.output[-1].startswith("not safe to publish: ")
    assert run(world, "check", ANDINAFLOTA, "--live", "--add", DRAIN) == 1


def test_silence_is_not_success(world: World) -> None:
    """Guards against exit status 0, or a stack trace, when the store or all nodes do not answer."""
    world.memory.is_down = True
    for command in (["plan", ANDINAFLOTA], ["publish", ANDINAFLOTA], ["history"]):
        assert run(world, *command) == 3
        assert "unavailable" in world.errors[0]
    world.silent = set(NODES)
    assert run(world, "status") == 3
    assert run(world, "explain", "inventario", "flota/a") == 3
    world.memory.is_down = False
    world.memory.rows[publish.HEAD_KEY] = platform.Row(value=b"{", version=1)
    assert run(world, "history") == 3
    assert world.errors[0].startswith("config/head holds no valid entry")

    def fail(chosen: tool.ToolSettings) -> network.Connect:
        raise TypeError("a fault of the program")

    broken = dataclasses.replace(open_environment(world), connect=fail)
    assert tool.run(["status", "--settings", str(world.directory / "tool.json")], broken) == 3
    assert world.errors[-1].startswith("internal error: TypeError")


def test_status_and_explain(world: World) -> None:
    """Guards against omitting a node that does not answer, and keys not encoded in the path."""
    world.silent = {"n1"}
    assert run(world, "status") == 0
    assert world.output[-1] == "node n1: no answer from 127.0.0.1:1: unreachable"
    assert run(world, "status", "--json") == 0
    assert [node["node"] for node in read_json(world)["nodes"]] == ["n2", "n3"]
    assert run(world, "explain", "inventario", "flota/a") == 0
    assert "shard inventario/7 is owned by n3 in ambato, fencing token 12" in world.output
    assert "a request now: hop to n3" in world.output
    assert run(world, "explain", "nothing", "a") == 1
