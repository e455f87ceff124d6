"""Starts nodes, targets and the platform stand-in as separate processes on loopback.

Used by tests/test_mesh.py and bench.footprint.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys

import msgspec

from ebonyvalve.process import demo, identity, settings

NODES = 6


@dataclasses.dataclass(kw_only=True)
class Mesh:
    """The processes of a mesh and the settings of its nodes.

    ``others`` holds the platform stand-in; ``lost`` the indexes of nodes that a test has killed.
    """

    folder: pathlib.Path
    cfgs: list[settings.Settings] = dataclasses.field(default_factory=list)
    daemons: list[subprocess.Popen[bytes]] = dataclasses.field(default_factory=list)
    targets: list[subprocess.Popen[bytes]] = dataclasses.field(default_factory=list)
    others: list[subprocess.Popen[bytes]] = dataclasses.field(default_factory=list)
    lost: set[int] = dataclasses.field(default_factory=set)


def start(*args: str, log: pathlib.Path) -> subprocess.Popen[bytes]:
    """Start a module of this project in a new process.

    :param args: the module and its arguments.
    :param log: file for its output and errors.
    """
    with log.open("wb") as output:
        return subprocess.Popen([sys.executable, "-m", *args], stderr=output, stdout=output)


@contextlib.contextmanager
def open_mesh(folder: pathlib.Path, nodes: int = NODES) -> collections.abc.Iterator[Mesh]:
    """Start the platform stand-in and nodes with their targets; kill them all on exit.

    :param folder: directory for settings, objects and logs.
    :param nodes: number of nodes.
    """
    mesh = Mesh(folder=folder)
    store = demo.pick_addresses(1)[0]
    host, _, port = store.rpartition(":")
    log = folder / "store.log"
    try:
        mesh.others.append(
            start("ebonyvalve.process.remote", "--host", host, "--port", port, log=log)
        )
        for index in range(nodes):
            start_vm(mesh, index, store)
        write_tool_settings(mesh, store)
        yield mesh
    finally:
        for process in [*mesh.daemons, *mesh.targets, *mesh.others]:
            process.kill()
            process.wait()


def start_vm(mesh: Mesh, index: int, store: identity.Address) -> None:
    """Start a node and its target.

    :param mesh: receives the processes.
    :param index: the node's number, from 0.
    :param store: address of the platform stand-in.
    """
    cfg = msgspec.structs.replace(demo.build_settings(index), platform_address=store)
    path = mesh.folder / f"{cfg.node}.json"
    path.write_bytes(msgspec.json.encode(cfg))
    mesh.cfgs.append(cfg)
    log = mesh.folder / f"{cfg.node}.log"
    mesh.daemons.append(start("ebonyvalve.process.daemon", str(path), log=log))
    args = ["--address", demo.pick_addresses(1)[0], "--announce-address", cfg.announce_address]
    log = mesh.folder / f"{cfg.node}-target.log"
    mesh.targets.append(start("ebonyvalve.process.toy", *args, "--node", cfg.node, log=log))


def write_tool_settings(mesh: Mesh, store: identity.Address) -> None:
    """Write the settings of the operators' tool.

    :param mesh: the processes.
    :param store: address of the platform stand-in.
    """
    nodes = {cfg.node: cfg.operator_address for cfg in mesh.cfgs}
    tool_settings = {"platform_address": store, "nodes": nodes, "author": "test"}
    (mesh.folder / "tool.json").write_text(json.dumps(tool_settings))


def describe_ended(mesh: Mesh) -> str:
    """Return exit status and end of the log of each node and target that exited without SIGKILL.

    :param mesh: the processes.
    """
    started = [*mesh.daemons, *mesh.targets]
    logs = [f"{cfg.node}{kind}.log" for kind in ("", "-target") for cfg in mesh.cfgs]
    return "\n".join(
        f"{log}: status {process.poll()}: {(mesh.folder / log).read_text()[-400:]}"
        for process, log in zip(started, logs, strict=True)
        if process.poll() not in (None, -signal.SIGKILL)
    )


def write_objects(mesh: Mesh) -> pathlib.Path:
    """Write the configuration objects of the mesh and return their directory.

    :param mesh: the processes.
    """
    folder = mesh.folder / "objects"
    folder.mkdir(exist_ok=True)
    counts = collections.Counter(str(cfg.zone) for cfg in mesh.cfgs)
    zones: list[dict[str, object]] = [
        {"kind": "AvailabilityZone", "name": zone, "targets": {demo.SERVICE: counts[zone]}}
        for zone in demo.ZONES
    ]
    service = {
        "kind": "Service",
        "name": demo.SERVICE,
        "slots": 6,
        "partitions": 64,
        "deadline_ms": 2000,
        "needed_slots": 20,
        "warm_up_s": 1.0,
    }
    objects: list[dict[str, object]] = [service, *zones]
    (folder / "all.json").write_text(json.dumps(objects))
    return folder


def run_tool(mesh: Mesh, *args: str) -> subprocess.CompletedProcess[str]:
    """Run the operators' tool and return its exit status and output.

    :param mesh: the processes.
    :param args: the command and its arguments.
    """
    command = [sys.executable, "-m", "ebonyvalve.tool", *args]
    command += ["--settings", str(mesh.folder / "tool.json"), "--json"]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
