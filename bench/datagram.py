"""Measures the cost of heartbeats as authenticated datagrams, as docs/CAPACITY.md proposes.

``python -m bench.datagram`` starts a second process as coordinator and prints its CPU and traffic.
"""

import hashlib
import hmac
import subprocess
import sys
import time

import defopt
import msgspec
import trio

from bench import control
from ebonyvalve.process import message

KEY = b"0123456789abcdef0123456789abcdef"
TAG_BYTES = 16
DATAGRAM_BYTES = 1400
# IPv4 and UDP headers.
HEADER_BYTES = 28

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(message.Message)


def sign(body: message.Message) -> bytes:
    """Return the datagram of a message: an authentication tag and the encoded message.

    :param body: the message.
    """
    data = ENCODER.encode(body)
    return hmac.digest(KEY, data, hashlib.sha256)[:TAG_BYTES] + data


def verify(data: bytes) -> message.Message | None:
    """Return the message of a datagram, or ``None`` if its tag is wrong.

    :param data: the datagram.
    """
    tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
    if not hmac.compare_digest(tag, hmac.digest(KEY, body, hashlib.sha256)[:TAG_BYTES]):
        return None
    return DECODER.decode(body)


async def answer(sock: trio.socket.SocketType, count: int) -> tuple[float, int]:
    """Answer heartbeats; return the CPU seconds used and the bytes on the wire.

    :param sock: a bound socket.
    :param count: number of heartbeats to answer.
    """
    start_s = time.process_time()
    traffic = 0
    for _ in range(count):
        data, address = await sock.recvfrom(DATAGRAM_BYTES)
        request = verify(data)
        if request is None:
            continue
        reply = sign(control.make_reply(request))
        await sock.sendto(reply, address)
        traffic += len(data) + len(reply) + 2 * HEADER_BYTES
    return time.process_time() - start_s, traffic


async def run_coordinator(count: int) -> None:
    """Print the port, answer heartbeats on it, then print CPU seconds and bytes.

    :param count: number of heartbeats to answer.
    """
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    await sock.bind(("127.0.0.1", 0))
    print(sock.getsockname()[1], flush=True)
    seconds, traffic = await answer(sock, count)
    print(f"{seconds} {traffic}", flush=True)


async def send_paced(port: int, nodes: int, period_s: float, count: int) -> None:
    """Send heartbeats at the rate of a cell.

    :param port: the coordinator's port.
    :param nodes: number of nodes that send.
    :param period_s: seconds between the heartbeats of one node.
    :param count: number of heartbeats to send in all.
    """
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    heartbeat = sign(control.make_heartbeat())
    start_s = trio.current_time()
    for number in range(count):
        await trio.sleep_until(start_s + number * period_s / nodes)
        await sock.sendto(heartbeat, ("127.0.0.1", port))
        with trio.move_on_after(1.0):
            await sock.recvfrom(DATAGRAM_BYTES)


def measure(nodes: int, period_s: float, seconds: float) -> tuple[float, float, float]:
    """Return CPU seconds per heartbeat, share of a core and bytes per second at the coordinator.

    :param nodes: number of nodes of the cell.
    :param period_s: seconds between the heartbeats of one node.
    :param seconds: how long to measure, in seconds.
    """
    count = int(seconds * nodes / period_s)
    command = [sys.executable, "-m", "bench.datagram", "--coordinator", str(count)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        assert child.stdout is not None
        port = int(child.stdout.readline())
        trio.run(send_paced, port, nodes, period_s, count)
        cpu_s, traffic = map(float, child.stdout.readline().split())
    rate = nodes / period_s
    return cpu_s / count, cpu_s / count * rate, traffic / count * rate


def main(*, seconds: float = 8.0, coordinator: int = 0) -> None:
    """Print the cost of heartbeats as datagrams at a coordinator.

    :param seconds: how long to measure each case, in seconds.
    :param coordinator: set by the bench itself: act as coordinator for that many heartbeats.
    """
    if coordinator:
        trio.run(run_coordinator, coordinator)
        return
    print("| nodes | period | CPU per heartbeat | share of a core | traffic |")
    print("|---|---|---|---|---|")
    for nodes, period_s in ((14, 0.15), (24, 0.15), (24, 0.2)):
        heartbeat_s, share, traffic = measure(nodes, period_s, seconds)
        print(
            f"| {nodes} | {period_s * 1000:.0f} ms | {heartbeat_s * 1e6:.0f} µs | {share:.1%} "
            f"| {traffic / 1000:.1f} KB/s |"
        )


if __name__ == "__main__":
    defopt.run(main)
