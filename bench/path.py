"""Measures latency and CPU of the request path over loopback sockets, in one process.

``python -m bench.path`` sends requests one after the other on a keep-alive connection to the toy
target directly, through the target's node, and through another node with one hop. CPU is that of
the whole process, so it includes the caller and the target; the CPU of the idle mesh is subtracted.
A node's own cost is the difference to the direct call.
"""

import contextlib
import dataclasses
import functools
import logging
import os
import random
import time

import defopt
import h11
import msgspec
from returns import result
import trio

from bench import table
from ebonyvalve.connection import channel, wire
from ebonyvalve.process import (
    daemon,
    decision,
    demo,
    identity,
    lease,
    network,
    platform,
    timer,
    toy,
)
from ebonyvalve.version import route

NODES = 3
WARM_UP = 200
IDLE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """Latencies in seconds, in ascending order, and CPU seconds per request."""

    latencies: list[float]
    cpu_s: float


def build_mesh(control: channel.Channel, share: float) -> demo.Mesh:
    """Assemble a mesh like that of the demo.

    :param control: the control channel that its nodes share.
    :param share: share of the answered requests to log, 0 to 1.
    """
    store = platform.open_memory(platform.Memory())
    edges = demo.build_environment(control, store, random.Random(1))
    settings = [
        msgspec.structs.replace(demo.build_settings(index), log_answered_share=share)
        for index in range(NODES)
    ]
    nodes = [daemon.assemble(cfg, edges) for cfg in settings]
    return demo.Mesh(
        nodes=nodes,
        targets=[
            toy.Toy(
                node=cfg.node,
                slots=6,
                clock=timer.read_boot_clock,
                service_time_s=0.0,
                checks_fence=False,
            )
            for cfg in settings
        ],
        target_addresses=demo.pick_addresses(NODES),
        store=store,
    )


async def measure(
    address: identity.Address, path: str, count: int, idle_cpu_share: float
) -> Measurement:
    """Send requests one after the other on one connection.

    :param address: address of a node or a target.
    :param path: the request target.
    :param count: number of requests to measure, after those of the warm-up.
    :param idle_cpu_share: CPU seconds per second that the idle mesh takes, to be subtracted.
    """
    conn = wire.open_client(await network.connect_tcp(address))
    latencies = []
    cpu_s, measured_from_s = 0.0, 0.0
    try:
        for number in range(WARM_UP + count):
            if number == WARM_UP:
                cpu_s, measured_from_s = time.process_time(), time.monotonic()
            start_s = time.monotonic()
            await exchange(conn, path)
            if number >= WARM_UP:
                latencies.append(time.monotonic() - start_s)
    finally:
        await wire.close(conn)
    spent_s = time.process_time() - cpu_s - idle_cpu_share * (time.monotonic() - measured_from_s)
    return Measurement(latencies=sorted(latencies), cpu_s=spent_s / count)


async def exchange(conn: wire.Wire, path: str) -> None:
    """Send one request and read its answer.

    :param conn: a keep-alive connection.
    :param path: the request target.
    """
    head = h11.Request(method="GET", target=path, headers=[("host", "x")])
    await wire.send(conn, head, h11.EndOfMessage())
    while True:
        received = await wire.receive(conn)
        if isinstance(received, result.Failure):
            raise RuntimeError(f"the connection failed: {received.failure()}")
        event = received.unwrap()
        if isinstance(event, h11.Response) and event.status_code != 200:
            raise RuntimeError(f"status {event.status_code}")
        if isinstance(event, h11.EndOfMessage):
            wire.recycle(conn)
            return


async def run(count: int, share: float) -> dict[str, Measurement]:
    """Measure all paths of one mesh.

    :param count: number of requests for each path.
    :param share: share of the answered requests to log, 0 to 1.
    """
    async with channel.open_channel() as control, trio.open_nursery() as nursery:
        mesh = build_mesh(control, share)
        for target, address in zip(mesh.targets, mesh.target_addresses, strict=True):
            serve = functools.partial(toy.serve, target)
            nursery.start_soon(network.listen_tcp, address, serve)
        for node in mesh.nodes:
            nursery.start_soon(daemon.run, node)
        await trio.sleep(0.2)
        await demo.publish_objects(mesh.store, demo.list_objects(), mesh.nodes[0].timer)
        await demo._announce_all(mesh)
        await demo._wait_ready(mesh)
        await trio.sleep(1.0)
        cpu_s = time.process_time()
        await trio.sleep(IDLE_S)
        idle_cpu_share = (time.process_time() - cpu_s) / IDLE_S
        owner, other, path = find_path(mesh)
        target_address = mesh.target_addresses[mesh.nodes.index(owner)]
        measurements = {
            "direct": await measure(target_address, path, count, idle_cpu_share),
            "one node": await measure(owner.cfg.caller_address, path, count, idle_cpu_share),
            "two nodes": await measure(other.cfg.caller_address, path, count, idle_cpu_share),
        }
        nursery.cancel_scope.cancel()
    return measurements


def find_path(mesh: demo.Mesh) -> tuple[daemon.Node, daemon.Node, str]:
    """Return the owner of a key, another node and the request target.

    :param mesh: a running mesh.
    """
    state = mesh.nodes[0].here.read_node()
    key = identity.KeyId("k")
    snapshot = mesh.nodes[0].snapshot
    if snapshot is None:
        raise RuntimeError("the mesh has no configuration")
    shard = identity.name_partition(
        demo.SERVICE, route.find_partition(snapshot.services[demo.SERVICE], key)
    )
    name = lease.find_owner(state, shard)
    owner = next(node for node in mesh.nodes if node.cfg.node == name)
    other = next(node for node in mesh.nodes if node.cfg.node != name)
    return owner, other, f"/{demo.SERVICE}/{key}/look"


def main(*, count: int = 1500) -> None:
    """Print latency and CPU of the request path.

    :param count: number of requests for each path.
    """
    # Log lines are formatted and written as in the daemon, but to the null device.
    with open(os.devnull, "w") as sink:
        with contextlib.redirect_stderr(sink):
            decision.configure(decision.LogForm.KEY_VALUE, "info")
        sampled = trio.run(run, count, 0.01)
        logged = trio.run(run, count, 1.0)
        logging.getLogger().handlers.clear()
    rows = []
    for share, measurements in (("1 %", sampled), ("all", logged)):
        direct = measurements["direct"]
        for name, entry in measurements.items():
            node_cpu_s = entry.cpu_s - direct.cpu_s
            rows.append(
                [
                    name,
                    share,
                    f"{1000 * find_quantile(entry, 0.5):.2f}",
                    f"{1000 * find_quantile(entry, 0.99):.2f}",
                    f"{find_quantile(entry, 0.5) / find_quantile(direct, 0.5):.1f}",
                    f"{1e6 * entry.cpu_s:.0f}",
                    f"{1e6 * node_cpu_s:.0f}" if node_cpu_s > 0 else "-",
                    f"{1 / node_cpu_s:.0f}" if node_cpu_s > 0 else "-",
                ]
            )
    heads = ["path", "logged", "p50 ms", "p99 ms", "p50 ratio", "CPU us", "CPU us of nodes"]
    table.show([*heads, "requests/s per core"], rows)


def find_quantile(measurement: Measurement, share: float) -> float:
    """Return a quantile of the latency in seconds.

    :param measurement: the measurements of one path.
    :param share: the quantile, 0 to 1.
    """
    return measurement.latencies[int(share * (len(measurement.latencies) - 1))]


if __name__ == "__main__":
    defopt.run(main)
