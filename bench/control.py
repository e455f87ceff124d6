"""Measures the cost of the control channel in CPU, bytes per message and memory per idle stream.

Two processes communicate over loopback: this one, the asker, sends requests as the nodes of a cell
do, and a second one, the answerer, replies as the coordinator does. CPU is that of
``time.process_time``. Messages are sent at the rate of the design, not back to back, because a
message that wakes an idle process costs more.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import enum
import functools
import gc
import json
import os
import pathlib
import random
import socket
import ssl
import statistics
import subprocess
import sys
import tempfile
import time

import defopt
import grpclib.client
import grpclib.const
import grpclib.server
from returns import result
import trio
import trio_asyncio
import trustme

from ebonyvalve.connection import channel
from ebonyvalve.process import identity, message

HEARTBEAT_S = 0.150
CONSENT_S = 0.100
HOST = "127.0.0.1"
UNARY = "/ebonyvalve.Bench/Unary"
# Headers of Ethernet, IP and TCP with timestamps. Each message takes one segment, which the next
# message acknowledges.
SEGMENT_BYTES = 14 + 20 + 32
MAX_CORE_PERCENT = 3.0
MAX_TRAFFIC_KB = 19.0
ROUTES_VERSION = 100_000
# For a service with 256 partitions and 6 instances.
SHARDS_PER_NODE = 43
STREAMS_FOR_MEMORY = 50
OPENINGS = 50
OPENING_PAUSE_S = 0.02
WARM_UP_S = 0.3
# Each case is measured in several rounds, because other load on the machine changes the cost.
ROUNDS = 5
# Commands to the answerer: print a sample, or collect garbage first.
SAMPLE = b"sample\n"
COLLECT = b"collect\n"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Transport(enum.Enum):
    """The transport of requests. ``ECHO`` is a plain trio stream that returns the same bytes."""

    STREAM = "stream"
    TLS = "tls"
    UNARY = "unary"
    ECHO = "echo"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One row of the table: the request, the number of nodes that send it, and their interval."""

    name: str
    nodes: int
    period_s: float
    request: message.Message
    transport: Transport = Transport.STREAM


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """CPU seconds and messages since the start of a process, and its resident bytes."""

    cpu_s: float
    messages: int
    resident_bytes: int


@dataclasses.dataclass(kw_only=True)
class Answerer:
    """The process that answers; ``received`` is output of it that was not read as a line yet."""

    process: trio.Process
    folder: str
    addresses: dict[Transport, identity.Address] = dataclasses.field(default_factory=dict)
    received: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """The results of one case. Times are CPU microseconds per request."""

    case: Case
    asker_us: float
    answerer_us: float
    request_bytes: float
    reply_bytes: float


def name_shard(number: int) -> identity.ShardId:
    """Return the shard of a partition."""
    return identity.name_partition(identity.ServiceId("inventario"), identity.Partition(number))


def make_member(number: int) -> message.Member:
    """Return a member with names and addresses of realistic length."""
    return message.Member(
        node=identity.NodeId(f"inventario-{number:03}"),
        incarnation=identity.Incarnation("0123456789abcdef"),
        zone=identity.ZoneId(f"ec-sierra-{number % 4}"),
        service=identity.ServiceId("inventario"),
        peer_address=identity.Address(f"10.20.{number % 256}.17:7100"),
        hop_address=identity.Address(f"10.20.{number % 256}.17:7200"),
        slots=10,
        is_target_up=True,
    )


def make_heartbeat(*, routes: int = 0, loads: int = 0) -> message.Heartbeat:
    """Return a heartbeat.

    :param routes: how many of the latest routes the node does not know yet.
    :param loads: how many shard loads it reports.
    """
    return message.Heartbeat(
        member=make_member(1),
        term=identity.Term(12),
        routes_version=ROUTES_VERSION - routes,
        members_version=1000,
        config_version=identity.ConfigVersion(500),
        loads=[
            message.ShardLoad(shard=name_shard(number), load=number / 7) for number in range(loads)
        ],
    )


def make_consent() -> message.AskConsent:
    """Return a request of the coordinator for the consent of a standby."""
    return message.AskConsent(
        term=identity.Term(12),
        coordinator=identity.NodeId("inventario-001"),
        incarnation=identity.Incarnation("0123456789abcdef"),
    )


def make_reply(request: message.Message) -> message.Message:
    """Return the reply to a request, as large as the coordinator's or the standby's."""
    if isinstance(request, message.AskConsent):
        return message.Consent(term=request.term)
    assert isinstance(request, message.Heartbeat)
    return message.Renewal(
        term=request.term,
        lease_s=0.45,
        coordinator=identity.NodeId("inventario-001"),
        config_version=request.config_version,
        routes_version=ROUTES_VERSION,
        routes=[
            message.Route(
                shard=name_shard(number),
                owner=identity.NodeId(f"inventario-{number % 24:03}"),
                fence=identity.Fence(70_000 + number),
            )
            for number in range(ROUTES_VERSION - request.routes_version)
        ],
        members_version=request.members_version,
        members=[],
        quarantine=[],
    )


def list_cases() -> list[Case]:
    """Return all cases; :func:`print_slopes` and :func:`print_limits` rely on their order."""
    heartbeat = make_heartbeat()
    return [
        Case(name="heartbeat", nodes=14, period_s=HEARTBEAT_S, request=heartbeat),
        Case(name="heartbeat", nodes=24, period_s=HEARTBEAT_S, request=heartbeat),
        Case(
            name="heartbeat, half the rate", nodes=24, period_s=2 * HEARTBEAT_S, request=heartbeat
        ),
        Case(
            name=f"heartbeat, {SHARDS_PER_NODE} loads",
            nodes=24,
            period_s=HEARTBEAT_S,
            request=make_heartbeat(loads=SHARDS_PER_NODE),
        ),
        Case(
            name="renewal, 64 routes",
            nodes=24,
            period_s=HEARTBEAT_S,
            request=make_heartbeat(routes=64),
        ),
        Case(
            name="renewal, 256 routes",
            nodes=24,
            period_s=HEARTBEAT_S,
            request=make_heartbeat(routes=256),
        ),
        Case(name="consent", nodes=2, period_s=CONSENT_S, request=make_consent()),
        Case(
            name="heartbeat, unary call",
            nodes=24,
            period_s=HEARTBEAT_S,
            request=heartbeat,
            transport=Transport.UNARY,
        ),
        Case(
            name="heartbeat, mutual TLS",
            nodes=24,
            period_s=HEARTBEAT_S,
            request=heartbeat,
            transport=Transport.TLS,
        ),
        Case(
            name="echo on plain trio",
            nodes=24,
            period_s=HEARTBEAT_S,
            request=heartbeat,
            transport=Transport.ECHO,
        ),
    ]


def take_sample(messages: int) -> Sample:
    """Return a sample of this process."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return Sample(cpu_s=time.process_time(), messages=messages, resident_bytes=pages * PAGE_BYTES)


async def answer(folder: str) -> None:
    """Answer requests on one port per transport; print a sample for every line of input."""
    messages = 0

    async def handle(request: message.Message) -> message.Message:
        nonlocal messages
        messages += 1
        return make_reply(request)

    async with (
        channel.open_channel(limits=channel.Limits(accepted_streams=1000)) as opened,
        trio_asyncio.open_loop() as loop,
        trio.open_nursery() as nursery,
    ):
        address = identity.Address(f"{HOST}:0")
        stream_address = await nursery.start(functools.partial(opened.serve, handle, address))
        tls = channel.load_server_tls(list_files(folder))
        tls_address = await nursery.start(functools.partial(opened.serve, handle, address, tls))
        unary_address = await nursery.start(serve_unary, handle, loop)

        async def echo(stream: trio.SocketStream) -> None:
            nonlocal messages
            async for data in stream:
                messages += 1
                await stream.send_all(data)

        listeners = await nursery.start(functools.partial(trio.serve_tcp, echo, 0, host=HOST))
        addresses = {
            Transport.STREAM.value: stream_address,
            Transport.TLS.value: tls_address,
            Transport.UNARY.value: unary_address,
            Transport.ECHO.value: f"{HOST}:{listeners[0].socket.getsockname()[1]}",
        }
        print(json.dumps(addresses), flush=True)
        async for line in trio.lowlevel.FdStream(os.dup(sys.stdin.fileno())):
            if line == COLLECT:
                gc.collect()
            print(json.dumps(dataclasses.asdict(take_sample(messages))), flush=True)
        nursery.cancel_scope.cancel()


async def serve_unary(
    handle: collections.abc.Callable[
        [message.Message], collections.abc.Coroutine[None, None, message.Message]
    ],
    loop: trio_asyncio.TrioEventLoop,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve requests as unary gRPC calls; report the address when ready."""

    async def call(stream: grpclib.server.Stream[bytes, bytes]) -> None:
        payload = await stream.recv_message()
        assert payload is not None
        request = channel.decode(payload)
        assert request is not None and request.body is not None
        reply = await trio_asyncio.trio_as_aio(handle)(request.body)
        await stream.send_message(
            channel.encode(channel.Envelope(sequence=request.sequence, body=reply))
        )

    handler = grpclib.const.Handler(call, grpclib.const.Cardinality.UNARY_UNARY, bytes, bytes)

    async def start() -> str:
        server = grpclib.server.Server(
            [channel.Servable(handlers={UNARY: handler})], codec=channel.PayloadCodec()
        )
        listener = socket.create_server((HOST, 0))
        await server.start(sock=listener)
        return f"{HOST}:{listener.getsockname()[1]}"

    task_status.started(await trio_asyncio.aio_as_trio(start, loop=loop)())
    await trio.sleep_forever()


async def read_line(answerer: Answerer) -> str:
    """Return the next line of output of the answerer."""
    assert answerer.process.stdout is not None
    while b"\n" not in answerer.received:
        data = await answerer.process.stdout.receive_some()
        if not data:
            raise RuntimeError("the answering process has ended")
        answerer.received += data
    line, _, answerer.received = answerer.received.partition(b"\n")
    return line.decode()


async def sample_answerer(answerer: Answerer, command: bytes = SAMPLE) -> Sample:
    """Return a sample of the answerer."""
    assert answerer.process.stdin is not None
    await answerer.process.stdin.send_all(command)
    return Sample(**json.loads(await read_line(answerer)))


# Sends one request; returns the failure, or None.
SendRequest = collections.abc.Callable[[message.Message], collections.abc.Awaitable[str | None]]


@contextlib.asynccontextmanager
async def open_streams(
    address: identity.Address, count: int, tls: ssl.SSLContext | None = None
) -> collections.abc.AsyncIterator[list[SendRequest]]:
    """Yield one request function per node, each with its own control channel."""

    def bind(opened: channel.Channel) -> SendRequest:
        async def ask(request: message.Message) -> str | None:
            reply = await opened.ask(address, request, 2.0)
            return None if isinstance(reply, result.Success) else reply.failure().value

        return ask

    async with contextlib.AsyncExitStack() as stack:
        yield [
            bind(await stack.enter_async_context(channel.open_channel(tls=tls)))
            for _ in range(count)
        ]


@contextlib.asynccontextmanager
async def open_unary(
    address: identity.Address, count: int
) -> collections.abc.AsyncIterator[list[SendRequest]]:
    """Yield one request function per node, each with its own connection for unary calls."""
    endpoint = channel.split_address(address)
    assert endpoint is not None

    async with trio_asyncio.open_loop() as loop:

        def bind(connection: grpclib.client.Channel) -> SendRequest:
            method = grpclib.client.UnaryUnaryMethod(connection, UNARY, bytes, bytes)

            async def ask(request: message.Message) -> str | None:
                payload = channel.encode(channel.Envelope(sequence=1, body=request))
                reply = await trio_asyncio.aio_as_trio(method, loop=loop)(payload)
                return None if channel.decode(reply) is not None else "malformed"

            return ask

        async def connect() -> grpclib.client.Channel:
            return grpclib.client.Channel(*endpoint, codec=channel.PayloadCodec())

        connections = [await trio_asyncio.aio_as_trio(connect, loop=loop)() for _ in range(count)]
        yield [bind(connection) for connection in connections]
        for connection in connections:
            connection.close()
        await trio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_echoes(
    address: identity.Address, count: int
) -> collections.abc.AsyncIterator[list[SendRequest]]:
    """Yield one request function per node, each with its own plain TCP connection."""
    host, port = address.split(":")

    def bind(stream: trio.SocketStream) -> SendRequest:
        async def ask(request: message.Message) -> str | None:
            payload = channel.encode(channel.Envelope(sequence=1, body=request))
            await stream.send_all(payload)
            return None if await stream.receive_some() == payload else "malformed"

        return ask

    async with contextlib.AsyncExitStack() as stack:
        streams = [await trio.open_tcp_stream(host, int(port)) for _ in range(count)]
        yield [bind(await stack.enter_async_context(stream)) for stream in streams]


def open_requesters(
    transport: Transport, address: identity.Address, count: int, folder: str
) -> contextlib.AbstractAsyncContextManager[list[SendRequest]]:
    """Return the context manager that opens the request functions for a transport."""
    if transport is Transport.UNARY:
        return open_unary(address, count)
    if transport is Transport.ECHO:
        return open_echoes(address, count)
    if transport is Transport.TLS:
        return open_streams(address, count, channel.load_client_tls(list_files(folder)))
    return open_streams(address, count)


def list_files(folder: str) -> channel.TlsFiles:
    """Return the paths of the TLS files in a directory."""
    return channel.TlsFiles(
        certificate=f"{folder}/node.pem", key=f"{folder}/node.pem", authority=f"{folder}/ca.pem"
    )


def write_files(folder: str) -> None:
    """Write a test authority and a certificate that both processes use."""
    authority = trustme.CA()
    authority.cert_pem.write_to_path(f"{folder}/ca.pem")
    node = authority.issue_cert(HOST)
    node.private_key_and_cert_chain_pem.write_to_path(f"{folder}/node.pem")


async def repeat(ask: SendRequest, case: Case, phase_s: float, failures: list[str]) -> None:
    """Send the request of a case at its interval, after a delay, until cancelled."""
    next_s = trio.current_time() + phase_s
    while True:
        await trio.sleep_until(next_s)
        next_s += case.period_s
        failure = await ask(case.request)
        if failure is not None:
            failures.append(failure)


async def measure(
    case: Case,
    answerer: Answerer,
    seconds: float,
    rng: random.Random,
) -> Row:
    """Measure one case.

    :param case: the case.
    :param answerer: the process that answers.
    :param seconds: how long to measure, in seconds.
    :param rng: draws the phases at which nodes send.
    """
    address = answerer.addresses[case.transport]
    opened = open_requesters(case.transport, address, case.nodes, answerer.folder)
    failures: list[str] = []
    async with opened as requesters, trio.open_nursery() as nursery:
        for ask in requesters:
            phase_s = rng.uniform(0.0, case.period_s)
            nursery.start_soon(repeat, ask, case, phase_s, failures)
        await trio.sleep(WARM_UP_S)
        before, asker_cpu_before_s = await sample_answerer(answerer), time.process_time()
        await trio.sleep(seconds)
        asker_cpu_s = time.process_time() - asker_cpu_before_s
        after = await sample_answerer(answerer)
        nursery.cancel_scope.cancel()
    if failures:
        raise RuntimeError(f"{case.name}: requests failed: {collections.Counter(failures)}")
    messages = after.messages - before.messages
    sent, received = await count_bytes(case, address, answerer.folder)
    return Row(
        case=case,
        asker_us=asker_cpu_s / messages * 1e6,
        answerer_us=(after.cpu_s - before.cpu_s) / messages * 1e6,
        request_bytes=sent,
        reply_bytes=received,
    )


def take_median(rows: list[Row]) -> Row:
    """Return one row with the median of each figure."""
    return Row(
        case=rows[0].case,
        asker_us=statistics.median(row.asker_us for row in rows),
        answerer_us=statistics.median(row.answerer_us for row in rows),
        request_bytes=statistics.median(row.request_bytes for row in rows),
        reply_bytes=statistics.median(row.reply_bytes for row in rows),
    )


async def count_bytes(case: Case, address: identity.Address, folder: str) -> tuple[float, float]:
    """Return TCP payload bytes per request and per reply, as counted by a TCP relay."""
    exchanges = 50
    byte_counts = {"sent": 0, "received": 0}

    async def forward(name: str, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        async for data in source:
            byte_counts[name] += len(data)
            await sink.send_all(data)

    async def relay(near: trio.SocketStream) -> None:
        host, port = address.split(":")
        with contextlib.suppress(trio.BrokenResourceError):
            async with (
                await trio.open_tcp_stream(host, int(port)) as far,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(forward, "received", far, near)
                await forward("sent", near, far)
                nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(functools.partial(trio.serve_tcp, relay, 0, host=HOST))
        port = listeners[0].socket.getsockname()[1]
        relay_address = identity.Address(f"{HOST}:{port}")
        async with open_requesters(case.transport, relay_address, 1, folder) as requesters:
            await requesters[0](case.request)
            before = dict(byte_counts)
            for _ in range(exchanges):
                await requesters[0](case.request)
                await trio.sleep(0.002)
            after = dict(byte_counts)
        nursery.cancel_scope.cancel()
    return tuple((after[name] - before[name]) / exchanges for name in ("sent", "received"))  # type: ignore[return-value]


async def measure_idle(
    answerer: Answerer, address: identity.Address, seconds: float
) -> tuple[float, float, float, float]:
    """Return KB per idle stream of asker and answerer, then percent of a core for all streams."""
    gc.collect()
    answerer_before, asker_before = await sample_answerer(answerer, COLLECT), take_sample(0)
    async with open_streams(address, STREAMS_FOR_MEMORY) as requesters:
        for ask in requesters:
            await ask(make_heartbeat())
        gc.collect()
        answerer_after, asker_after = await sample_answerer(answerer, COLLECT), take_sample(0)
        before, asker_cpu_before_s = await sample_answerer(answerer), time.process_time()
        await trio.sleep(seconds)
        asker_cpu_s = time.process_time() - asker_cpu_before_s
        after = await sample_answerer(answerer)

    def per_stream(first: Sample, last: Sample) -> float:
        return (last.resident_bytes - first.resident_bytes) / STREAMS_FOR_MEMORY / 1000

    return (
        per_stream(asker_before, asker_after),
        per_stream(answerer_before, answerer_after),
        asker_cpu_s / seconds * 100,
        (after.cpu_s - before.cpu_s) / seconds * 100,
    )


async def measure_open(answerer: Answerer, transport: Transport) -> tuple[float, float]:
    """Return CPU milliseconds of asker and answerer to reopen a stream and send one request."""
    address = answerer.addresses[transport]
    tls = None
    if transport is Transport.TLS:
        tls = channel.load_client_tls(list_files(answerer.folder))
    async with channel.open_channel(tls=tls) as opened:
        await opened.ask(address, make_heartbeat(), 2.0)
        before, asker_cpu_before_s = await sample_answerer(answerer), time.process_time()
        for _ in range(OPENINGS):
            opened.close(address)
            await trio.sleep(OPENING_PAUSE_S)
            await opened.ask(address, make_heartbeat(), 2.0)
        asker_cpu_s = time.process_time() - asker_cpu_before_s
        after = await sample_answerer(answerer)
    return asker_cpu_s / OPENINGS * 1e3, (after.cpu_s - before.cpu_s) / OPENINGS * 1e3


def print_rows(rows: list[Row]) -> None:
    """Print the table of cases."""
    print(
        f"{'exchange':26} {'nodes':>5} {'per s':>6} | {'CPU asker':>9} {'answerer':>9} "
        f"| {'request':>8} {'reply':>7} | {'asker':>15} | {'answerer':>16}"
    )
    print(
        f"{'':26} {'':>5} {'':>6} | {'us':>9} {'us':>9} | {'bytes':>8} {'bytes':>7} "
        f"| {'% core':>6} {'KB/s':>8} | {'% core':>6} {'KB/s':>9}"
    )
    for row in rows:
        node_rate = 1 / row.case.period_s
        rate = row.case.nodes * node_rate
        wire_bytes = row.request_bytes + row.reply_bytes + 2 * SEGMENT_BYTES
        print(
            f"{row.case.name:26} {row.case.nodes:5} {rate:6.0f} "
            f"| {row.asker_us:9.0f} {row.answerer_us:9.0f} "
            f"| {row.request_bytes:8.0f} {row.reply_bytes:7.0f} "
            f"| {row.asker_us * node_rate / 1e4:6.2f} {wire_bytes * node_rate / 1000:8.2f} "
            f"| {row.answerer_us * rate / 1e4:6.2f} {wire_bytes * rate / 1000:9.2f}"
        )


def print_slopes(rows: list[Row]) -> None:
    """Print the cost of one more node, heartbeat, route or load, from pairs of cases."""
    small, base, half_rate, loads, few_routes, many_routes = rows[:6]
    requests = many_routes.case.request, few_routes.case.request
    assert isinstance(requests[0], message.Heartbeat) and isinstance(requests[1], message.Heartbeat)
    more_routes = requests[1].routes_version - requests[0].routes_version
    rate = 1 / HEARTBEAT_S

    def percent(row: Row) -> float:
        return row.answerer_us * row.case.nodes / row.case.period_s / 1e4

    print(
        f"per node at the coordinator: "
        f"{(percent(base) - percent(small)) / (base.case.nodes - small.case.nodes):.3f} % of a core"
    )
    print(
        "per heartbeat/s at the coordinator: "
        f"{(percent(base) - percent(half_rate)) / (24 * rate - 24 * rate / 2):.4f} % of a core"
    )
    print(
        "per route in a renewal: "
        f"asker {(many_routes.asker_us - few_routes.asker_us) / more_routes:.2f} us, "
        f"coordinator {(many_routes.answerer_us - few_routes.answerer_us) / more_routes:.2f} us, "
        f"{(many_routes.reply_bytes - few_routes.reply_bytes) / more_routes:.1f} bytes"
    )
    print(
        "per load in a heartbeat: "
        f"asker {(loads.asker_us - base.asker_us) / SHARDS_PER_NODE:.2f} us, "
        f"coordinator {(loads.answerer_us - base.answerer_us) / SHARDS_PER_NODE:.2f} us, "
        f"{(loads.request_bytes - base.request_bytes) / SHARDS_PER_NODE:.1f} bytes"
    )


def print_limits(rows: list[Row]) -> None:
    """Print how many heartbeats a coordinator can answer, and the mean cost per node."""
    row = rows[1]
    wire_bytes = row.request_bytes + row.reply_bytes + 2 * SEGMENT_BYTES
    by_cpu = MAX_CORE_PERCENT * 1e4 / row.answerer_us
    by_traffic = MAX_TRAFFIC_KB * 1000 / wire_bytes
    print(
        f"heartbeats/s a coordinator can answer within the limits: {by_cpu:.0f} by CPU, "
        f"{by_traffic:.0f} by traffic ({wire_bytes:.0f} bytes each)"
    )
    nodes = row.case.nodes
    rate = 1 / row.case.period_s
    cpu_us = (row.asker_us + row.answerer_us) * rate
    print(
        f"mean over {nodes} nodes, coordinator included: {cpu_us / 1e4:.2f} % of a core, "
        f"{2 * wire_bytes * rate / 1000:.2f} KB/s"
    )


async def ask_all(seconds: float, seed: int, folder: str) -> None:
    """Measure every case against a second process and print the tables."""
    rng = random.Random(seed)
    write_files(folder)
    command = [sys.executable, "-m", "bench.control", "--role", "answer", "--folder", folder]
    process = await trio.lowlevel.open_process(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    try:
        answerer = Answerer(process=process, folder=folder)
        for transport, address in json.loads(await read_line(answerer)).items():
            answerer.addresses[Transport(transport)] = address
        idle = await measure_idle(answerer, answerer.addresses[Transport.STREAM], seconds)
        opening = await measure_open(answerer, Transport.STREAM)
        opening_tls = await measure_open(answerer, Transport.TLS)
        cases = list_cases()
        samples: list[list[Row]] = [[] for _ in cases]
        for _ in range(ROUNDS):
            for number in rng.sample(range(len(cases)), len(cases)):
                row = await measure(cases[number], answerer, seconds / ROUNDS, rng)
                samples[number].append(row)
        rows = [take_median(rows) for rows in samples]
    finally:
        process.kill()
        await process.wait()
    print_rows(rows)
    print_slopes(rows)
    print(
        f"idle stream: asker {idle[0]:.0f} KB, answerer {idle[1]:.0f} KB; "
        f"{STREAMS_FOR_MEMORY} idle streams: "
        f"asker {idle[2]:.2f} %, answerer {idle[3]:.2f} % of a core"
    )
    print(
        f"opening a stream, closing it and one request: asker {opening[0]:.1f} ms, answerer "
        f"{opening[1]:.1f} ms; with mutual TLS: asker {opening_tls[0]:.1f} ms, answerer "
        f"{opening_tls[1]:.1f} ms"
    )
    print_limits(rows)
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    print(f"load average {load} on {os.cpu_count()} cores; median of {ROUNDS} rounds")
    print(f"limits: {MAX_CORE_PERCENT} % of a core, {MAX_TRAFFIC_KB} KB/s per node")


def main(
    *, seconds: float = 5.0, seed: int = 1, role: str = "ask", folder: str | None = None
) -> None:
    """Print what the control channel costs.

    :param seconds: how long each case is measured in all rounds, in seconds, at most 30.
    :param seed: seeds the phases at which nodes send and the order of cases.
    :param role: ``ask`` prints the tables; ``answer`` is the process that it starts.
    :param folder: directory with the TLS files of the process that answers.
    """
    if role == "answer":
        if folder is None:
            raise SystemExit("--role answer needs --folder")
        trio.run(answer, folder)
        return
    with tempfile.TemporaryDirectory() as temporary:
        trio.run(ask_all, min(seconds, 30.0), seed, temporary)


if __name__ == "__main__":
    defopt.run(main)
