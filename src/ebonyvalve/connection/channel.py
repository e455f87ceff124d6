"""The control channel between nodes: requests and replies on long-lived grpclib streams.

Each node opens one bidirectional stream to every node that it sends requests to. Replies come back
on the same stream in any order and are matched by sequence number. A stream carries the requests of
one direction only, so that neither end has to trust the address that the other claims.

grpclib runs under trio-asyncio on the trio loop. Each wake-up of an asyncio task there costs a pass
of both loops, which is more than encoding a message. Payloads are therefore extracted from DATA
frames as these arrive, and a trio task sends directly if the stream can take the message at once.
The asyncio tasks of a stream run only when it opens, ends or is blocked by flow control.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import enum
import functools
import ipaddress
import itertools
import logging
import random
import socket
import ssl
import struct
import typing

import grpclib
import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.protocol
import grpclib.server
import grpclib.stream
import msgspec
from returns import result
import trio
import trio_asyncio

from ebonyvalve import errors
from ebonyvalve.process import identity, message, peer

log = logging.getLogger(__name__)

METHOD = "/ebonyvalve.Control/Exchange"
# The prefix of a gRPC message: whether it is compressed, and its length.
PREFIX = struct.Struct(">?I")
CLOSE_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of a channel. Sizes are in bytes, times in seconds.

    ``in_flight`` limits requests sent per peer, and requests being answered per stream.
    ``silent_s`` is how long a request waits on a stream that delivers nothing before the next
    request opens a new stream. It is below the heartbeat period of 150 ms, so that a silent stream
    costs one heartbeat and not the lease. A false alarm costs the opening of a stream, which is a
    few milliseconds of CPU at each end. ``silent_s`` doubles with each silent stream in a row, up
    to ``silent_max_s``. ``connect_s`` allows for 24 nodes that open streams to a new coordinator at
    the same moment, and is shorter than the 1 s after which the kernel repeats a lost SYN.
    ``backoff_max_s`` is short because a lost node has to be replaced within 1 s. ``idle_s`` is when
    the requesting end may close an unused stream. The answering end closes it after twice this
    time, as a peer that is lost without notice never closes it.
    """

    message_bytes: int = 8 * 1024 * 1024
    in_flight: int = 64
    accepted_streams: int = 256
    # Handlers running for all peers, including those whose peer has disconnected.
    running: int = 1024
    connect_s: float = 0.5
    silent_s: float = 0.1
    silent_max_s: float = 2.0
    backoff_s: float = 0.02
    backoff_max_s: float = 0.25
    idle_s: float = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TlsFiles:
    """Paths of the PEM files for mutual TLS.

    ``check_address`` also requires that the certificate of a peer contains the IP address that was
    connected to. It is off by default because VMs are replaced at any time and their certificates
    need not contain addresses. Every peer must still present a certificate of the authority.
    """

    certificate: str
    key: str
    authority: str
    check_address: bool = False


# serve(handle, address, tls, task_status=...), for trio.Nursery.start
Serve = collections.abc.Callable[..., collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Channel:
    """The channel of one process.

    ``ask(address, message, timeout_s)`` sends a request and returns its reply.
    ``serve(handle, address, tls)`` answers requests until cancelled; it reports the bound address
    by ``task_status``, so that port 0 may be given.
    ``prepare(address, timeout_s)`` opens the stream to a peer, or checks that it is open, without
    calling the peer's handler. Opening 24 streams takes a large part of the second within which a
    new coordinator has to take over, so standbys open theirs beforehand, and repeat this more often
    than ``Limits.idle_s``.
    ``close(address)`` closes the streams to a peer that has left.
    """

    ask: peer.Ask
    serve: Serve
    prepare: collections.abc.Callable[
        [identity.Address, float], collections.abc.Awaitable[peer.AskResult]
    ]
    close: collections.abc.Callable[[identity.Address], None]


class Status(enum.Enum):
    """Whether the request reached its handler, or why it did not."""

    HANDLED = 0
    MALFORMED = 1
    OVERLOADED = 2


class Envelope(msgspec.Struct, kw_only=True, array_like=True):
    """A request or reply with its sequence number.

    A request without a body is echoed and reaches no handler. For any other reply without a body,
    ``status`` says why the request was not handled.
    """

    sequence: int
    body: message.Message | None
    status: Status = Status.HANDLED


class Header(msgspec.Struct, kw_only=True, array_like=True):
    """The part of an envelope that can be read although the body is malformed."""

    sequence: int


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)
HEADER_DECODER = msgspec.msgpack.Decoder(Header)
# Besides its own errors, msgspec raises these for invalid UTF-8 and for deep nesting.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


class PayloadCodec(grpclib.encoding.base.CodecBase):
    """The codec that grpclib requires; it passes encoded payloads through unchanged.

    Envelopes are encoded and decoded outside of grpclib, so that a message that is too large or
    malformed fails its own request and not the whole stream.
    """

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: typing.Any) -> bytes:
        """Return the payload."""
        return message

    def decode(self, data: bytes, message_type: typing.Any) -> bytes:
        """Return the payload."""
        return data


@dataclasses.dataclass(frozen=True, kw_only=True)
class Servable:
    """The method table of a grpclib server."""

    handlers: dict[str, grpclib.const.Handler]

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the method table, which code generated by protoc would otherwise provide."""
        return self.handlers


CODEC = PayloadCodec()


class Inbox(grpclib.protocol.Buffer):
    """Extracts payloads from the DATA frames of a stream and delivers them at once.

    It replaces the buffer of grpclib, which wakes a task for each message and accepts messages of
    up to 4 GiB.
    """

    def __init__(
        self,
        *,
        ack: collections.abc.Callable[[int], None],
        deliver: collections.abc.Callable[[bytes], None],
        limit_bytes: int,
    ) -> None:
        """Create an empty inbox.

        :param ack: acknowledges received bytes, for flow control.
        :param deliver: called with each payload; it raises ``ValueError`` if the stream can't be
            used any longer.
        :param limit_bytes: the largest payload accepted.
        """
        super().__init__(ack)
        self.ack = ack
        self.deliver = deliver
        self.limit_bytes = limit_bytes
        self.collected = bytearray()
        # Done when the stream ends, with an exception if the peer violated the protocol.
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def add(self, data: bytes, ack_size: int) -> None:
        """Process the data of one frame."""
        self.ack(ack_size)
        if self.ended.done():
            return
        self.collected += data
        try:
            for payload in split_payloads(self.collected, self.limit_bytes):
                self.deliver(payload)
        except ValueError as error:
            self.ended.set_exception(error)

    def eof(self) -> None:
        """Process the end of the stream."""
        if not self.ended.done():
            self.ended.set_result(None)

    def unacked_size(self) -> int:
        """Return the number of unacknowledged bytes, which is always 0."""
        return 0


@dataclasses.dataclass(kw_only=True)
class Outbox:
    """The sending half of a stream, with encoded envelopes that wait for the writer task."""

    stream: grpclib.protocol.Stream | None = None
    payloads: collections.deque[bytes] = dataclasses.field(default_factory=collections.deque)
    filled: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    # The writer task is in the middle of a message.
    is_sending: bool = False
    is_closed: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class ServerStream:
    """The answering end of a stream; ``running`` is the number of handlers running for it."""

    stream: grpclib.protocol.Stream
    outbox: Outbox = dataclasses.field(default_factory=Outbox)
    running: int = 0
    last_request_at_s: float


@dataclasses.dataclass(kw_only=True)
class Waiter:
    """A request that waits for its reply."""

    reply: peer.AskResult = result.Failure(peer.PeerFailure.CLOSED)
    is_done: trio.Event = dataclasses.field(default_factory=trio.Event)


@dataclasses.dataclass(kw_only=True, eq=False)
class ClientStream:
    """The requesting end of a stream to a peer, with the requests that wait for replies.

    ``is_retired`` streams get no further requests and close after the last reply.
    """

    outbox: Outbox = dataclasses.field(default_factory=Outbox)
    waiters: dict[int, Waiter] = dataclasses.field(default_factory=dict)
    # When the first request after the last received reply was sent, or when that reply came if
    # other requests were waiting; None if no request waits.
    unanswered_since_s: float | None = None
    is_retired: bool = False
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)


@dataclasses.dataclass(kw_only=True, eq=False)
class Peer:
    """State of one address to which requests are sent."""

    address: identity.Address
    client_stream: ClientStream | None = None
    client_streams: set[ClientStream] = dataclasses.field(default_factory=set)
    opening: trio.Event | None = None
    failures: int = 0
    retry_at_s: float = 0.0
    # Streams retired in a row without a reply; each one doubles the wait before the next.
    silent_streams: int = 0
    in_flight: int = 0
    used_at_s: float = 0.0
    sequence: collections.abc.Iterator[int] = dataclasses.field(default_factory=itertools.count)


@dataclasses.dataclass(kw_only=True)
class State:
    """State of a channel."""

    limits: Limits
    nursery: trio.Nursery
    loop: trio_asyncio.TrioEventLoop
    tls: ssl.SSLContext | None
    random: random.Random
    peers: dict[identity.Address, Peer] = dataclasses.field(default_factory=dict)
    server_streams: set[ServerStream] = dataclasses.field(default_factory=set)
    running: int = 0


@contextlib.asynccontextmanager
async def open_channel(
    *,
    tls: ssl.SSLContext | None = None,
    limits: Limits | None = None,
    seed: int | None = None,
) -> collections.abc.AsyncIterator[Channel]:
    """Open the channel of this process; leaving the block closes its streams.

    :param tls: made by :func:`load_client_tls`; without it, connections are not encrypted.
    :param limits: bounds on sizes, numbers and times.
    :param seed: seed of the jitter of reconnects.
    """
    async with trio_asyncio.open_loop() as loop, trio.open_nursery() as nursery:
        # The default handler raises in the nursery, so that unexpected bytes from one faulty peer
        # would stop the process.
        loop.set_exception_handler(_log_loop_error)
        state = State(
            limits=limits or Limits(),
            nursery=nursery,
            loop=loop,
            tls=tls,
            random=random.Random(seed),
        )

        async def ask(
            address: identity.Address, body: message.Message, timeout_s: float
        ) -> peer.AskResult:
            with trio.move_on_after(timeout_s):
                return await _ask(state, address, body)
            return result.Failure(peer.PeerFailure.TIMEOUT)

        async def prepare(address: identity.Address, timeout_s: float) -> peer.AskResult:
            with trio.move_on_after(timeout_s):
                return await _ask(state, address, None)
            return result.Failure(peer.PeerFailure.TIMEOUT)

        async def serve(
            handle: peer.Handle,
            address: identity.Address,
            tls: ssl.SSLContext | None = None,
            *,
            task_status: trio.TaskStatus[identity.Address] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            await _serve(state, handle, address, tls, task_status)

        def close(address: identity.Address) -> None:
            remote = state.peers.pop(address, None)
            if remote is not None:
                _close_peer(remote)

        yield Channel(ask=ask, serve=serve, prepare=prepare, close=close)
        nursery.cancel_scope.cancel()


def load_client_tls(files: TlsFiles) -> ssl.SSLContext:
    """Return the TLS context for connections to peers.

    :param files: paths of certificate, key and authority.
    :raises errors.SettingsError: if a file cannot be used.
    """
    context = _load_tls(files, ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = files.check_address
    return context


def load_server_tls(files: TlsFiles) -> ssl.SSLContext:
    """Return the TLS context for connections from peers.

    :param files: paths of certificate, key and authority.
    :raises errors.SettingsError: if a file cannot be used.
    """
    return _load_tls(files, ssl.PROTOCOL_TLS_SERVER)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope.

    :param envelope: a request or reply.
    """
    return ENCODER.encode(envelope)


def decode(payload: bytes) -> Envelope | None:
    """Decode an envelope; ``status`` is ``MALFORMED`` if only the sequence number can be decoded.

    Returns ``None`` if not even the sequence number can be decoded.

    :param payload: bytes from a peer.
    """
    try:
        return DECODER.decode(payload)
    except DECODE_ERRORS:
        pass
    try:
        sequence = HEADER_DECODER.decode(payload).sequence
    except DECODE_ERRORS:
        return None
    return Envelope(sequence=sequence, body=None, status=Status.MALFORMED)


def split_payloads(collected: bytearray, limit_bytes: int) -> collections.abc.Iterator[bytes]:
    """Remove complete gRPC messages from the front of a buffer and yield their payloads.

    :param collected: received bytes; an incomplete message stays in the buffer.
    :param limit_bytes: the largest payload accepted.
    :raises ValueError: if a message is larger or compressed.
    """
    while len(collected) >= PREFIX.size:
        is_compressed, size = PREFIX.unpack_from(collected)
        if is_compressed or size > limit_bytes:
            raise ValueError(f"payload of {size} bytes, compressed: {is_compressed}")
        end = PREFIX.size + size
        if len(collected) < end:
            return
        payload = bytes(collected[PREFIX.size : end])
        del collected[:end]
        yield payload


def split_address(address: identity.Address) -> tuple[str, int] | None:
    """Return IP address and port, or ``None`` if the address is not of the form IP:port.

    Host names are refused because resolving them needs a thread.

    :param address: for example ``10.0.0.1:7000`` or ``[::1]:7000``.
    """
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if not (port.isascii() and port.isdigit() and int(port) < 65536):
        return None
    return host, int(port)


def is_silent(client_stream: ClientStream, *, now_s: float, after_s: float) -> bool:
    """Return whether a stream has delivered nothing for a time although a request waits.

    :param client_stream: the stream.
    :param now_s: the current time in seconds.
    :param after_s: how long a request may wait, in seconds.
    """
    return (
        client_stream.unanswered_since_s is not None
        and now_s - client_stream.unanswered_since_s >= after_s
    )


def _load_tls(files: TlsFiles, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(cafile=files.authority)
    except OSError as error:
        raise errors.SettingsError(
            f"cannot use TLS files {files.certificate}, {files.key}, {files.authority}: {error}"
        ) from error
    context.set_alpn_protocols(["h2"])
    return context


def _log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]) -> None:
    log.warning(
        "control connection failed: %s: %r", context.get("message"), context.get("exception")
    )


async def _ask(
    state: State, address: identity.Address, body: message.Message | None
) -> peer.AskResult:
    remote = _find_peer(state, address)
    if remote.in_flight >= state.limits.in_flight:
        return result.Failure(peer.PeerFailure.OVERLOADED)
    sequence = next(remote.sequence)
    payload = encode(Envelope(sequence=sequence, body=body))
    if len(payload) > state.limits.message_bytes:
        return result.Failure(peer.PeerFailure.TOO_LARGE)
    remote.in_flight += 1
    try:
        client_stream = await _find_client_stream(state, remote)
        if client_stream is None:
            return result.Failure(peer.PeerFailure.REFUSED)
        return await _exchange(client_stream, sequence, payload)
    finally:
        remote.in_flight -= 1


async def _exchange(client_stream: ClientStream, sequence: int, payload: bytes) -> peer.AskResult:
    waiter = Waiter()
    client_stream.waiters[sequence] = waiter
    if client_stream.unanswered_since_s is None:
        client_stream.unanswered_since_s = trio.current_time()
    _post(client_stream.outbox, payload)
    try:
        await waiter.is_done.wait()
    finally:
        client_stream.waiters.pop(sequence, None)
        if client_stream.is_retired and not client_stream.waiters:
            client_stream.scope.cancel()
    return waiter.reply


def _find_peer(state: State, address: identity.Address) -> Peer:
    now_s = trio.current_time()
    remote = state.peers.get(address)
    if remote is None:
        # Replaced nodes get new addresses, so unused peers are removed when a new one appears.
        _drop_unused(state, now_s)
        remote = state.peers[address] = Peer(address=address)
    remote.used_at_s = now_s
    return remote


def _drop_unused(state: State, now_s: float) -> None:
    for other in list(state.peers.values()):
        if other.in_flight == 0 and now_s - other.used_at_s >= state.limits.idle_s:
            del state.peers[other.address]
            _close_peer(other)


def _close_peer(remote: Peer) -> None:
    for client_stream in list(remote.client_streams):
        client_stream.scope.cancel()


async def _find_client_stream(state: State, remote: Peer) -> ClientStream | None:
    _retire_silent(state, remote)
    if remote.client_stream is not None:
        return remote.client_stream
    if remote.opening is None:
        if trio.current_time() < remote.retry_at_s:
            return None
        remote.opening = trio.Event()
        state.nursery.start_soon(_run_client_stream, state, remote, remote.opening)
    await remote.opening.wait()
    return remote.client_stream


def _retire_silent(state: State, remote: Peer) -> None:
    client_stream = remote.client_stream
    after_s = min(state.limits.silent_s * 2**remote.silent_streams, state.limits.silent_max_s)
    if client_stream is None or not is_silent(
        client_stream, now_s=trio.current_time(), after_s=after_s
    ):
        return
    log.info("stream to %s delivers nothing for %.3f s; opening another", remote.address, after_s)
    remote.silent_streams = min(remote.silent_streams + 1, 16)
    remote.client_stream = None
    # The old stream stays open for replies that the peer is slow to send.
    client_stream.is_retired = True
    if not client_stream.waiters:
        client_stream.scope.cancel()


async def _run_client_stream(state: State, remote: Peer, opening: trio.Event) -> None:
    client_stream = ClientStream()
    remote.client_streams.add(client_stream)
    client_stream.scope.deadline = trio.current_time() + state.limits.connect_s

    def report_open() -> None:
        client_stream.scope.deadline = float("inf")
        remote.client_stream = client_stream
        remote.opening = None
        remote.failures = 0
        opening.set()

    with client_stream.scope:
        try:
            await trio_asyncio.aio_as_trio(_carry_requests, loop=state.loop)(
                state, remote, client_stream, report_open
            )
        # grpclib and h2 raise many kinds of errors for invalid input; each ends only its stream.
        except (Exception, asyncio.CancelledError) as error:
            log.info("stream to %s ended: %r", remote.address, error)
    remote.client_streams.discard(client_stream)
    client_stream.outbox.is_closed = True
    if remote.client_stream is client_stream:
        remote.client_stream = None
    if remote.opening is opening:
        _record_failed_open(state, remote)
        remote.opening = None
        opening.set()
    _resolve_all(client_stream, peer.PeerFailure.CLOSED)


def _record_failed_open(state: State, remote: Peer) -> None:
    delay_s = min(state.limits.backoff_s * 2**remote.failures, state.limits.backoff_max_s)
    remote.failures = min(remote.failures + 1, 16)
    # The jitter keeps nodes from reconnecting to a restarted peer at the same moment.
    remote.retry_at_s = trio.current_time() + delay_s * state.random.uniform(0.5, 1.0)


async def _carry_requests(
    state: State,
    remote: Peer,
    client_stream: ClientStream,
    report_open: collections.abc.Callable[[], None],
) -> None:
    endpoint = split_address(remote.address)
    if endpoint is None:
        raise OSError(f"not an address of the form IP:port: {remote.address!r}")
    host, port = endpoint
    async with grpclib.client.Channel(host, port, codec=CODEC, ssl=state.tls) as connection:
        method = grpclib.client.StreamStreamMethod(connection, METHOD, bytes, bytes)
        async with method.open() as stream:
            await stream.send_request()
            await stream.recv_initial_metadata()

            def deliver(payload: bytes) -> None:
                remote.silent_streams = 0
                _deliver(client_stream, payload)

            async with _writing(client_stream.outbox, stream._stream):
                ended = _receive(stream._stream, deliver, state.limits.message_bytes)
                report_open()
                # grpclib notifies a reader of a lost stream only inside this wrapper.
                with stream._wrapper:
                    await ended


def _deliver(client_stream: ClientStream, payload: bytes) -> None:
    envelope = decode(payload)
    if envelope is None:
        _resolve_all(client_stream, peer.PeerFailure.MALFORMED)
        raise ValueError("payload without a sequence number")
    waiter = client_stream.waiters.pop(envelope.sequence, None)
    client_stream.unanswered_since_s = trio.current_time() if client_stream.waiters else None
    # There is no waiter if the request has timed out.
    if waiter is not None:
        if envelope.body is not None:
            waiter.reply = result.Success(envelope.body)
        elif envelope.status is Status.HANDLED:
            waiter.reply = result.Success(message.Done())
        elif envelope.status is Status.OVERLOADED:
            waiter.reply = result.Failure(peer.PeerFailure.OVERLOADED)
        else:
            waiter.reply = result.Failure(peer.PeerFailure.MALFORMED)
        waiter.is_done.set()


def _resolve_all(client_stream: ClientStream, failure: peer.PeerFailure) -> None:
    waiters = list(client_stream.waiters.values())
    client_stream.waiters.clear()
    for waiter in waiters:
        waiter.reply = result.Failure(failure)
        waiter.is_done.set()


async def _serve(
    state: State,
    handle: peer.Handle,
    address: identity.Address,
    tls: ssl.SSLContext | None,
    task_status: trio.TaskStatus[identity.Address],
) -> None:
    endpoint = split_address(address)
    if endpoint is None:
        raise errors.SettingsError(f"not an address of the form IP:port: {address!r}")
    host, port = endpoint
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family)
    async with trio.open_nursery() as nursery:

        async def exchange(stream: grpclib.server.Stream[bytes, bytes]) -> None:
            await _answer_stream(state, handle, nursery, stream)

        handler = grpclib.const.Handler(
            exchange, grpclib.const.Cardinality.STREAM_STREAM, bytes, bytes
        )

        async def start() -> grpclib.server.Server:
            server = grpclib.server.Server([Servable(handlers={METHOD: handler})], codec=CODEC)
            await server.start(sock=listener, ssl=tls)
            return server

        async def stop(server: grpclib.server.Server) -> None:
            server.close()
            await server.wait_closed()

        server = await trio_asyncio.aio_as_trio(start, loop=state.loop)()
        nursery.start_soon(_close_unused, state)
        try:
            task_status.started(_read_bound_address(listener))
            await trio.sleep_forever()
        finally:
            with trio.move_on_after(CLOSE_S, shield=True):
                await trio_asyncio.aio_as_trio(stop, loop=state.loop)(server)


def _read_bound_address(listener: socket.socket) -> identity.Address:
    host, port = listener.getsockname()[:2]
    return identity.Address(f"[{host}]:{port}" if ":" in host else f"{host}:{port}")


async def _answer_stream(
    state: State,
    handle: peer.Handle,
    nursery: trio.Nursery,
    stream: grpclib.server.Stream[bytes, bytes],
) -> None:
    if len(state.server_streams) >= state.limits.accepted_streams:
        raise grpclib.GRPCError(grpclib.Status.RESOURCE_EXHAUSTED, "too many streams")
    server_stream = ServerStream(stream=stream._stream, last_request_at_s=trio.current_time())
    state.server_streams.add(server_stream)
    try:
        await stream.send_initial_metadata()
        async with _writing(server_stream.outbox, stream._stream):
            accept = functools.partial(_accept_request, state, handle, nursery, server_stream)
            await _receive(stream._stream, accept, state.limits.message_bytes)
    except asyncio.CancelledError:
        # grpclib leaves the connection open when the server closes, so the peer would keep waiting.
        if stream._stream.closable:
            stream._stream.reset_nowait()
        raise
    # grpclib and h2 raise many kinds of errors for invalid input; each ends only its stream.
    except Exception as error:
        log.info("stream from %s ended: %r", stream.peer.addr(), error)
        raise grpclib.GRPCError(grpclib.Status.ABORTED, "stream failed") from error
    finally:
        server_stream.outbox.is_closed = True
        state.server_streams.discard(server_stream)


async def _close_unused(state: State) -> None:
    idle_s = 2 * state.limits.idle_s
    while True:
        await trio.sleep(state.limits.idle_s)
        now_s = trio.current_time()
        for server_stream in list(state.server_streams):
            if server_stream.running == 0 and now_s - server_stream.last_request_at_s >= idle_s:
                server_stream.stream.connection.close()


def _accept_request(
    state: State,
    handle: peer.Handle,
    nursery: trio.Nursery,
    server_stream: ServerStream,
    payload: bytes,
) -> None:
    limits = state.limits
    server_stream.last_request_at_s = trio.current_time()
    if len(server_stream.outbox.payloads) > limits.in_flight:
        raise ValueError("peer does not read its replies")
    request = decode(payload)
    if request is None:
        raise ValueError("payload without a sequence number")
    if request.body is None:
        _post(server_stream.outbox, encode(request))
    # Requests are not queued while handlers are busy: a handler may outlast the timeout of its
    # request, and later requests have to be refused at once.
    elif server_stream.running >= limits.in_flight or state.running >= limits.running:
        refusal = Envelope(sequence=request.sequence, body=None, status=Status.OVERLOADED)
        _post(server_stream.outbox, encode(refusal))
    else:
        server_stream.running += 1
        state.running += 1
        nursery.start_soon(_answer, state, handle, request.sequence, request.body, server_stream)


async def _answer(
    state: State,
    handle: peer.Handle,
    sequence: int,
    request: message.Message,
    server_stream: ServerStream,
) -> None:
    try:
        reply = await handle(request)
    except errors.InvariantError:
        raise
    # Otherwise one message that triggers a bug in a handler would stop every node that receives it.
    except Exception:
        log.exception("handler failed on %s", type(request).__name__)
        reply = message.Refused(term=identity.Term(0), reason="internal error")
    finally:
        server_stream.running -= 1
        state.running -= 1
    payload = encode(Envelope(sequence=sequence, body=reply))
    if len(payload) > state.limits.message_bytes:
        log.error("reply %s is too large: %d bytes", type(reply).__name__, len(payload))
        reply = message.Refused(term=identity.Term(0), reason="reply too large")
        payload = encode(Envelope(sequence=sequence, body=reply))
    _post(server_stream.outbox, payload)


def _receive(
    stream: grpclib.protocol.Stream,
    deliver: collections.abc.Callable[[bytes], None],
    limit_bytes: int,
) -> asyncio.Future[None]:
    """Deliver the payloads of a stream as they arrive; the future is done when the stream ends."""
    assert stream.id is not None
    replaced_buffer = stream.buffer
    inbox = Inbox(
        ack=functools.partial(stream.connection.ack, stream.id),
        deliver=deliver,
        limit_bytes=limit_bytes,
    )
    stream.buffer = inbox
    # Frames may have arrived before the buffer was replaced.
    while not replaced_buffer._unacked.empty():
        frame = replaced_buffer._unacked.get_nowait()
        inbox.add(frame.data, frame.ack_size)
    if replaced_buffer._eof:
        inbox.eof()
    return inbox.ended


def _post(outbox: Outbox, payload: bytes) -> None:
    if outbox.is_closed:
        return
    if outbox.stream is not None and _can_send(outbox, outbox.stream, len(payload)):
        sending = grpclib.stream.send_message(outbox.stream, CODEC, payload, bytes)
        try:
            sending.send(None)
        except StopIteration:
            return
        except Exception as error:
            # The writer task gets the same error and ends the stream.
            log.debug("message not sent at once: %r", error)
        else:
            raise errors.InvariantError("send_message blocked although _can_send returned true")
    outbox.payloads.append(payload)
    outbox.filled.set()


def _can_send(outbox: Outbox, stream: grpclib.protocol.Stream, size: int) -> bool:
    """Return whether grpclib can send a message in one frame without waiting."""
    if outbox.payloads or outbox.is_sending or not stream.closable:
        return False
    frame_bytes = PREFIX.size + size
    http2 = stream._h2_connection
    assert stream.id is not None
    return (
        stream.connection.write_ready.is_set()
        and frame_bytes <= http2.max_outbound_frame_size
        and frame_bytes <= http2.local_flow_control_window(stream.id)
    )


@contextlib.asynccontextmanager
async def _writing(
    outbox: Outbox, stream: grpclib.protocol.Stream
) -> collections.abc.AsyncIterator[None]:
    outbox.stream = stream
    async with asyncio.TaskGroup() as tasks:
        writer = tasks.create_task(_write(outbox, stream))
        try:
            yield
        finally:
            writer.cancel()


async def _write(outbox: Outbox, stream: grpclib.protocol.Stream) -> None:
    while True:
        await outbox.filled.wait()
        outbox.filled.clear()
        outbox.is_sending = True
        while outbox.payloads:
            await grpclib.stream.send_message(stream, CODEC, outbox.payloads.popleft(), bytes)
        outbox.is_sending = False
