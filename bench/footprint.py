"""Measures the CPU and memory of a mesh of separate processes that gets no requests.

``python -m bench.footprint`` starts the platform stand-in, 14 daemons and 14 toy targets.
"""

import os
import pathlib
import statistics
import tempfile
import time

import defopt

from bench import processes

READY_S = 8.0


def publish(mesh: processes.Mesh) -> None:
    """Retry publishing, which is refused until all targets have announced themselves.

    :param mesh: the processes.
    """
    objects = processes.write_objects(mesh)
    for _ in range(30):
        published = processes.run_tool(mesh, "publish", str(objects), "--note", "first")
        if published.returncode == 0:
            return
        time.sleep(0.5)
    raise RuntimeError(published.stdout + published.stderr)


def read_cpu(pid: int) -> float:
    """Return the CPU seconds that a process has used, in user and kernel mode.

    :param pid: the process.
    """
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory(pid: int) -> float:
    """Return the resident memory of a process in megabytes.

    :param pid: the process.
    """
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def main(*, nodes: int = 14, seconds: float = 20.0) -> None:
    """Print CPU and memory of the daemons while no request comes.

    :param nodes: number of daemons, each with a toy target.
    :param seconds: how long to measure, in seconds.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.open_mesh(pathlib.Path(folder), nodes) as mesh,
    ):
        publish(mesh)
        time.sleep(READY_S)
        before = [read_cpu(daemon.pid) for daemon in mesh.daemons]
        start_s = time.monotonic()
        time.sleep(seconds)
        elapsed_s = time.monotonic() - start_s
        shares = sorted(
            (read_cpu(daemon.pid) - before_s) / elapsed_s
            for daemon, before_s in zip(mesh.daemons, before, strict=True)
        )
        memory = sorted(read_memory(daemon.pid) for daemon in mesh.daemons)
    print(
        f"{nodes} nodes, {elapsed_s:.0f} s without requests, load average {os.getloadavg()[0]:.1f}"
    )
    print("| | least | median | most (the coordinator) |")
    print("|---|---|---|---|")
    cpu = [f"{share:.1%}" for share in summarise(shares)]
    print(f"| CPU, share of a core | {' | '.join(cpu)} |")
    resident = [f"{megabytes:.0f}" for megabytes in summarise(memory)]
    print(f"| resident memory, MB | {' | '.join(resident)} |")


def summarise(values: list[float]) -> tuple[float, float, float]:
    """Return the minimum, the median and the maximum.

    :param values: in ascending order.
    """
    return values[0], statistics.median(values), values[-1]


if __name__ == "__main__":
    defopt.run(main)
