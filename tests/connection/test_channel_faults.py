"""Tests of the control channel against faulty peers, networks and certificates."""

import collections
import collections.abc
import contextlib
import dataclasses
import functools
import pathlib
import random
import ssl

import h2.config
import h2.connection
import h2.events
import h2.settings
import hypothesis
import hypothesis.strategies
import pytest
from returns import result
import trio
import trustme

from ebonyvalve import errors
from ebonyvalve.connection import channel
from ebonyvalve.process import identity, message, peer

LOOPBACK = identity.Address("127.0.0.1:0")
SEED = 20261204
# For tests that reconnect but don't check how long it takes, as the machine may be busy.
SLOW_CONNECT = channel.Limits(connect_s=2.0)


async def echo(request: message.Message) -> message.Message:
    """Reply with the request; a ``Leave`` is answered after as many seconds as its node says."""
    if isinstance(request, message.Leave):
        await trio.sleep(float(request.node))
    return request


def hold_leaves(arrived: trio.Event, is_answerable: trio.Event) -> peer.Handle:
    """Return a handler that sets one event when a ``Leave`` comes, and answers it after another."""

    async def handle(request: message.Message) -> message.Message:
        if isinstance(request, message.Leave):
            arrived.set()
            await is_answerable.wait()
        return request

    return handle


def fetch(version: int) -> message.FetchConfig:
    return message.FetchConfig(version=identity.ConfigVersion(version))


def leave(delay_s: float) -> message.Leave:
    return message.Leave(
        node=identity.NodeId(str(delay_s)), incarnation=identity.Incarnation("test")
    )


def failed(failure: peer.PeerFailure) -> peer.AskResult:
    return result.Failure(failure)


@contextlib.asynccontextmanager
async def serving(
    server: channel.Channel,
    handle: peer.Handle = echo,
    address: identity.Address = LOOPBACK,
    tls: ssl.SSLContext | None = None,
) -> collections.abc.AsyncIterator[identity.Address]:
    async with trio.open_nursery() as nursery:
        yield await nursery.start(functools.partial(server.serve, handle, address, tls))
        nursery.cancel_scope.cancel()


@dataclasses.dataclass(kw_only=True)
class Relay:
    """A TCP relay whose existing connections can be made silent while new ones work.

    Connections with a number below ``silent_below`` forward nothing. ``closed`` is set when a
    connection has ended.
    """

    target: identity.Address
    connections: int = 0
    open: int = 0
    silent_below: int = 0
    pause_s: float = 0.0
    closers: list[trio.CancelScope] = dataclasses.field(default_factory=list)
    closed: trio.Event = dataclasses.field(default_factory=trio.Event)


@contextlib.asynccontextmanager
async def relaying(relay: Relay) -> collections.abc.AsyncIterator[identity.Address]:
    async def pump(number: int, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        async for data in source:
            await trio.sleep(relay.pause_s)
            if number >= relay.silent_below:
                await sink.send_all(data)

    async def accept(near: trio.SocketStream) -> None:
        number = relay.connections
        relay.connections += 1
        relay.open += 1
        host, port = relay.target.split(":")
        with trio.CancelScope() as scope:
            relay.closers.append(scope)
            # The pumps raise an exception group, which contextlib.suppress doesn't handle.
            try:
                far = await trio.open_tcp_stream(host, int(port))
                async with near, far, trio.open_nursery() as nursery:
                    nursery.start_soon(pump, number, far, near)
                    await pump(number, near, far)
                    nursery.cancel_scope.cancel()
            except* trio.BrokenResourceError:
                pass
        relay.open -= 1
        relay.closed.set()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(trio.serve_tcp, accept, 0, host="127.0.0.1")
        )
        port = listeners[0].socket.getsockname()[1]
        yield identity.Address(f"127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def listening(
    accept: collections.abc.Callable[[trio.SocketStream], collections.abc.Awaitable[None]],
) -> collections.abc.AsyncIterator[identity.Address]:
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(trio.serve_tcp, accept, 0, host="127.0.0.1")
        )
        yield identity.Address(f"127.0.0.1:{listeners[0].socket.getsockname()[1]}")
        nursery.cancel_scope.cancel()


async def test_refused_connect_is_reported_and_recovers() -> None:
    """Guards against a peer that stays unreachable after it has restarted."""
    async with channel.open_channel() as both:
        async with serving(both) as address:
            assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))
        assert await both.ask(address, fetch(2), 1.0) in (
            failed(peer.PeerFailure.CLOSED),
            failed(peer.PeerFailure.REFUSED),
        )
        assert await both.ask(address, fetch(3), 1.0) == failed(peer.PeerFailure.REFUSED)
        async with serving(both, address=address):
            # The longest back-off between two connects.
            await trio.sleep(0.25)
            assert await both.ask(address, fetch(4), 1.0) == result.Success(fetch(4))


async def test_reconnects_are_spaced() -> None:
    """Guards against a connect for each request while a peer is down."""
    accepted = 0

    async def accept(stream: trio.SocketStream) -> None:
        nonlocal accepted
        accepted += 1
        await stream.aclose()

    async with listening(accept) as address, channel.open_channel(seed=SEED) as both:
        with trio.move_on_after(1.0):
            while True:
                assert await both.ask(address, fetch(1), 1.0) == failed(peer.PeerFailure.REFUSED)
                await trio.sleep(0.001)
    # The back-off doubles from 20 ms to 250 ms and is up to half shorter by the jitter.
    assert 3 <= accepted <= 12


async def test_late_reply_is_a_timeout_and_dropped() -> None:
    """Guards against a late reply that is given to the next request."""
    async with channel.open_channel() as both, serving(both) as address:
        assert await both.ask(address, leave(0.1), 0.02) == failed(peer.PeerFailure.TIMEOUT)
        assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))
        await trio.sleep(0.15)
        assert await both.ask(address, fetch(2), 1.0) == result.Success(fetch(2))


async def test_lost_stream_ends_its_requests() -> None:
    """Guards against requests that wait for their timeout after the connection was closed."""
    replies: list[peer.AskResult] = []
    arrived, is_answerable = trio.Event(), trio.Event()
    handle = hold_leaves(arrived, is_answerable)
    async with channel.open_channel(limits=SLOW_CONNECT) as both, serving(both, handle) as target:
        relay = Relay(target=target)
        async with relaying(relay) as address:

            async def ask() -> None:
                replies.append(await both.ask(address, leave(30.0), 30.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await arrived.wait()
                relay.closers[0].cancel()
                nursery.cancel_scope.deadline = trio.current_time() + 1.0
            assert replies == [failed(peer.PeerFailure.CLOSED)]
            assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))


async def test_silent_stream_is_replaced() -> None:
    """Guards against further use of a stream that has gone silent while new connections work.

    The first request times out after the heartbeat period of 150 ms. Only one heartbeat may be lost
    within a lease of 450 ms, so the second request has to use a new stream.
    """
    async with channel.open_channel(limits=SLOW_CONNECT) as both, serving(both) as target:
        relay = Relay(target=target)
        async with relaying(relay) as address:
            assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))
            relay.silent_below = relay.connections
            assert await both.ask(address, fetch(2), 0.15) == failed(peer.PeerFailure.TIMEOUT)
            assert await both.ask(address, fetch(3), 2.0) == result.Success(fetch(3))
            assert relay.connections == 2


async def test_slow_reply_survives_the_retirement_of_its_stream() -> None:
    """Guards against losing a slow reply because its stream was retired as silent.

    The retired stream must be closed after its last reply.
    """
    replies: list[peer.AskResult] = []
    arrived, is_answerable = trio.Event(), trio.Event()
    handle = hold_leaves(arrived, is_answerable)
    async with channel.open_channel(limits=SLOW_CONNECT) as both, serving(both, handle) as target:
        relay = Relay(target=target)
        async with relaying(relay) as address:

            async def ask() -> None:
                replies.append(await both.ask(address, leave(30.0), 30.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await arrived.wait()
                await trio.sleep(2 * SLOW_CONNECT.silent_s)
                assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))
                assert relay.open == 2
                assert not replies
                is_answerable.set()
            with trio.fail_after(1.0):
                await relay.closed.wait()
            assert relay.open == 1
    assert replies == [result.Success(leave(30.0))]


async def test_peer_that_accepts_and_says_nothing() -> None:
    """Guards against waiting for a frozen peer, whose kernel still accepts connections."""

    async def accept(stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    async with listening(accept) as address, channel.open_channel() as both:
        assert await both.ask(address, fetch(1), 0.1) == failed(peer.PeerFailure.TIMEOUT)
        with trio.fail_after(1.0):
            assert await both.ask(address, fetch(1), 5.0) == failed(peer.PeerFailure.REFUSED)


async def test_too_many_requests_in_flight() -> None:
    """Guards against requests that pile up in memory for a peer that does not answer."""
    limits = channel.Limits(in_flight=3)
    async with (
        channel.open_channel(limits=limits) as both,
        serving(both) as address,
        trio.open_nursery() as nursery,
    ):
        for _ in range(3):
            nursery.start_soon(both.ask, address, leave(30.0), 30.0)
        await trio.sleep(0.05)
        assert await both.ask(address, fetch(1), 1.0) == failed(peer.PeerFailure.OVERLOADED)
        nursery.cancel_scope.cancel()


async def test_server_refuses_excess_requests_of_one_stream() -> None:
    """Guards against a peer that starts any number of handlers."""
    running = 0
    max_running = 0
    replies: collections.Counter[peer.PeerFailure | None] = collections.Counter()

    async def handle(request: message.Message) -> message.Message:
        nonlocal running, max_running
        running += 1
        max_running = max(max_running, running)
        await trio.sleep(0.1)
        running -= 1
        return request

    async with (
        channel.open_channel(limits=channel.Limits(in_flight=100)) as asking,
        channel.open_channel(limits=channel.Limits(in_flight=4)) as answering,
        serving(answering, handle) as address,
    ):

        async def ask(version: int) -> None:
            reply = await asking.ask(address, fetch(version), 5.0)
            replies[reply.swap().value_or(None)] += 1

        assert await asking.ask(address, fetch(0), 5.0) == result.Success(fetch(0))
        async with trio.open_nursery() as nursery:
            for version in range(8):
                nursery.start_soon(ask, version)
    assert max_running == 4
    assert replies == {None: 4, peer.PeerFailure.OVERLOADED: 4}


async def test_abandoned_handlers_do_not_block_later_requests() -> None:
    """Guards against handlers that outlast their requests and leave later ones unanswered."""
    limits = channel.Limits(in_flight=3)
    async with channel.open_channel(limits=limits) as both, serving(both) as address:
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(both.ask, address, leave(0.3), 0.05)
        assert await both.ask(address, fetch(1), 1.0) == failed(peer.PeerFailure.OVERLOADED)
        await trio.sleep(0.3)
        assert await both.ask(address, fetch(2), 1.0) == result.Success(fetch(2))


def open_raw_stream(payloads: list[bytes], *, window: int) -> h2.connection.H2Connection:
    """Return a client that has opened a stream and sent payloads.

    :param payloads: encoded envelopes.
    :param window: the flow-control window for replies, in bytes.
    """
    client = h2.connection.H2Connection(config=h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: window})
    client.send_headers(
        1,
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", channel.METHOD),
            (":authority", "test"),
            ("te", "trailers"),
            ("content-type", "application/grpc+msgpack"),
        ],
    )
    for payload in payloads:
        client.send_data(1, channel.PREFIX.pack(False, len(payload)) + payload)
    return client


async def test_stream_of_a_lost_peer_is_closed() -> None:
    """Guards against streams of lost VMs that use up the server's limit over months.

    A stream doesn't count as unused while a handler runs for it.
    """
    requests: list[message.Message] = [leave(0.5), fetch(1)]
    payloads = [
        channel.encode(channel.Envelope(sequence=sequence, body=request))
        for sequence, request in enumerate(requests)
    ]
    client = open_raw_stream(payloads, window=65535)
    received = b""
    limits = channel.Limits(idle_s=0.1)
    async with channel.open_channel(limits=limits) as both, serving(both) as address:
        port = int(address.rpartition(":")[2])
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(client.data_to_send())
            with trio.fail_after(2.0):
                async for data in stream:
                    for event in client.receive_data(data):
                        if isinstance(event, h2.events.DataReceived):
                            received += event.data
    found = [channel.decode(part) for part in channel.split_payloads(bytearray(received), 1000)]
    assert [reply.body for reply in found if reply is not None] == [fetch(1), leave(0.5)]


async def test_peer_that_never_reads_replies() -> None:
    """Guards against replies that pile up in memory for a peer that does not read them."""
    limits = channel.Limits(in_flight=4)
    payloads = [
        channel.encode(channel.Envelope(sequence=sequence, body=fetch(1))) for sequence in range(20)
    ]
    # The peer grants no flow-control window for replies.
    client = open_raw_stream(payloads, window=0)
    async with channel.open_channel(limits=limits) as both, serving(both) as address:
        port = int(address.rpartition(":")[2])
        is_ended = False
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(client.data_to_send())
            with trio.fail_after(2.0):
                while not is_ended:
                    events = client.receive_data(await stream.receive_some())
                    is_ended = any(
                        isinstance(event, h2.events.StreamEnded | h2.events.StreamReset)
                        for event in events
                    )
        assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))


async def test_message_sizes_are_limited() -> None:
    """Guards against a message that exhausts the memory of its receiver."""
    body = message.Config(version=identity.ConfigVersion(1), body=bytes(20_000))
    small = channel.Limits(message_bytes=10_000)
    async with (
        channel.open_channel() as large,
        channel.open_channel(limits=small) as both,
        serving(both) as address,
    ):
        assert await both.ask(address, body, 1.0) == failed(peer.PeerFailure.TOO_LARGE)
        assert await large.ask(address, body, 1.0) == failed(peer.PeerFailure.CLOSED)
        assert await large.ask(address, fetch(1), 1.0) == result.Success(fetch(1))


async def test_reply_that_is_too_large_is_refused() -> None:
    """Guards against a request that waits forever because its reply is too large to be sent."""

    async def handle(request: message.Message) -> message.Message:
        return message.Config(version=identity.ConfigVersion(1), body=bytes(20_000))

    limits = channel.Limits(message_bytes=10_000)
    async with channel.open_channel(limits=limits) as both, serving(both, handle) as address:
        reply = (await both.ask(address, fetch(1), 1.0)).unwrap()
    assert isinstance(reply, message.Refused)


async def test_large_messages_pass() -> None:
    """Guards against a message of several flow-control windows that blocks its stream."""
    body = message.Config(
        version=identity.ConfigVersion(1), body=random.Random(SEED).randbytes(6_000_000)
    )
    async with channel.open_channel() as both, serving(both) as address:
        for _ in range(2):
            assert await both.ask(address, body, 10.0) == result.Success(body)


async def test_fault_of_a_handler_is_refused() -> None:
    """Guards against a message that stops every node that receives it through a handler's bug."""

    async def handle(request: message.Message) -> message.Message:
        raise KeyError("fault")

    async with channel.open_channel() as both, serving(both, handle) as address:
        reply = (await both.ask(address, fetch(1), 1.0)).unwrap()
    assert isinstance(reply, message.Refused)


async def test_violated_invariant_stops_the_server() -> None:
    """Guards against a process that continues after it has found its own state to be invalid."""

    async def handle(request: message.Message) -> message.Message:
        raise errors.InvariantError("two owners")

    with pytest.RaisesGroup(errors.InvariantError, flatten_subgroups=True):
        async with channel.open_channel() as both, serving(both, handle) as address:
            await both.ask(address, fetch(1), 1.0)
            await trio.sleep(1.0)


async def test_undecodable_request_fails_alone() -> None:
    """Guards against a message of a newer version that closes the stream for all other requests."""
    pending: list[peer.AskResult] = []

    async with channel.open_channel() as both, serving(both) as address:

        async def ask() -> None:
            pending.append(await both.ask(address, leave(0.2), 5.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.05)
            # The sender's encoder accepts a version that isn't a number; the decoder refuses it.
            wrong = message.FetchConfig(version="x")  # type: ignore[arg-type]
            assert await both.ask(address, wrong, 1.0) == failed(peer.PeerFailure.MALFORMED)
    assert pending == [result.Success(leave(0.2))]


@hypothesis.given(hypothesis.strategies.binary(max_size=200))
@hypothesis.example(b"\x92\x01\xa1\xff")
@hypothesis.example(b"\x92\x01" + b"\x91" * 100_000)
@hypothesis.example(b"\x92\x01\x92\x0d\xa1\xff")
@hypothesis.example(b"\x92\xcf" + b"\xff" * 8 + b"\xc0")
def test_decode_never_raises(payload: bytes) -> None:
    """Guards against bytes from a peer that raise an exception in the receiver."""
    envelope = channel.decode(payload)
    assert envelope is None or isinstance(envelope.sequence, int)


async def test_arbitrary_bytes_do_not_stop_the_server() -> None:
    """Guards against bytes that grpclib does not expect and that would stop the process."""
    source = random.Random(SEED)
    client = h2.connection.H2Connection(config=h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    preface = client.data_to_send()
    # An ALTSVC frame, which h2 reports as an event and grpclib doesn't handle.
    alternative = bytes([0, 0, 8, 0x0A, 0, 0, 0, 0, 0]) + b"\x00\x01a" + b"h=:80"
    blobs = [source.randbytes(source.randrange(1, 2000)) for _ in range(20)]
    blobs += [preface + blob for blob in blobs]
    blobs += [preface, preface + alternative, b"GET / HTTP/1.1\r\n\r\n", b""]
    async with channel.open_channel() as both, serving(both) as address:
        port = int(address.rpartition(":")[2])
        for blob in blobs:
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(blob)
                await trio.sleep(0.001)
        assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))


async def test_arbitrary_bytes_do_not_stop_the_client() -> None:
    """Guards against a peer whose replies are not HTTP/2."""
    source = random.Random(SEED)
    server = h2.connection.H2Connection(config=h2.config.H2Configuration(client_side=False))
    server.initiate_connection()
    preface = server.data_to_send()
    alternative = bytes([0, 0, 8, 0x0A, 0, 0, 0, 0, 0]) + b"\x00\x01a" + b"h=:80"

    async def accept(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            start = source.choice([b"", preface, preface + alternative])
            await stream.send_all(start + source.randbytes(source.randrange(2000)))
            await trio.sleep(0.01)

    limits = channel.Limits(backoff_s=0.001, backoff_max_s=0.001)
    async with listening(accept) as address, channel.open_channel(limits=limits) as both:
        for _ in range(30):
            assert await both.ask(address, fetch(1), 1.0) == failed(peer.PeerFailure.REFUSED)
            await trio.sleep(0.002)


@pytest.mark.parametrize(
    "address", ["", "localhost:1", "127.0.0.1", "127.0.0.1:x", "1.2.3.4:99999"]
)
async def test_malformed_address_is_refused(address: str) -> None:
    """Guards against an address that raises, or that needs name resolution in a thread."""
    async with channel.open_channel() as both:
        answer = await both.ask(identity.Address(address), fetch(1), 1.0)
    assert answer == failed(peer.PeerFailure.REFUSED)


async def test_unused_streams_are_dropped() -> None:
    """Guards against streams to replaced nodes that stay open for the life of the process."""
    limits = channel.Limits(idle_s=0.05)
    async with channel.open_channel(limits=limits) as both, serving(both) as target:
        relay = Relay(target=target)
        async with relaying(relay) as address:
            assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))
            await trio.sleep(0.1)
            assert await both.ask(target, fetch(2), 1.0) == result.Success(fetch(2))
            await trio.sleep(0.05)
            assert await both.ask(address, fetch(3), 1.0) == result.Success(fetch(3))
        assert relay.connections == 2


async def test_prepared_stream_is_kept_and_used() -> None:
    """Guards against a standby that has to open all its streams when it takes over.

    Preparing must not call the handler, must keep the stream open at both ends, and must report a
    peer that can't be reached.
    """
    handled = 0

    async def handle(request: message.Message) -> message.Message:
        nonlocal handled
        handled += 1
        return request

    limits = channel.Limits(idle_s=0.1)
    async with channel.open_channel(limits=limits) as both:
        async with serving(both, handle) as target:
            relay = Relay(target=target)
            async with relaying(relay) as address:
                for _ in range(8):
                    assert await both.prepare(address, 1.0) == result.Success(message.Done())
                    await trio.sleep(0.05)
                assert handled == 0
                assert await both.ask(address, fetch(1), 1.0) == result.Success(fetch(1))
                assert relay.connections == 1
        assert isinstance(await both.prepare(target, 1.0), result.Failure)


async def test_closed_peer_ends_its_requests() -> None:
    """Guards against requests that wait for their timeout although the node has left."""
    replies: list[peer.AskResult] = []
    async with channel.open_channel() as both, serving(both) as address:

        async def ask() -> None:
            replies.append(await both.ask(address, leave(30.0), 30.0))

        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.05)
                both.close(address)
    assert replies == [failed(peer.PeerFailure.CLOSED)]


def write_files(
    folder: pathlib.Path, name: str, authority: trustme.CA, trusted: trustme.CA, host: str
) -> channel.TlsFiles:
    certificate = authority.issue_cert(host)
    certificate.private_key_and_cert_chain_pem.write_to_path(folder / f"{name}.pem")
    trusted.cert_pem.write_to_path(folder / f"{name}-ca.pem")
    path = str(folder / f"{name}.pem")
    return channel.TlsFiles(
        certificate=path, key=path, authority=str(folder / f"{name}-ca.pem"), check_address=True
    )


async def test_mutual_tls(tmp_path: pathlib.Path) -> None:
    """Guards against TLS that does not work between nodes of one authority."""
    authority = trustme.CA()
    files = write_files(tmp_path, "node", authority, authority, "127.0.0.1")
    async with (
        channel.open_channel(tls=channel.load_client_tls(files)) as both,
        serving(both, tls=channel.load_server_tls(files)) as address,
    ):
        for version in range(3):
            reply = await both.ask(address, fetch(version), 2.0)
            assert reply == result.Success(fetch(version))


async def test_certificate_for_another_address(tmp_path: pathlib.Path) -> None:
    """Guards against ``check_address`` that checks nothing, or that is always on."""
    authority = trustme.CA()
    files = write_files(tmp_path, "node", authority, authority, "10.0.0.1")
    unchecked = dataclasses.replace(files, check_address=False)
    async with (
        channel.open_channel(tls=channel.load_client_tls(files)) as strict,
        channel.open_channel(tls=channel.load_client_tls(unchecked)) as lenient,
        serving(lenient, tls=channel.load_server_tls(files)) as address,
    ):
        assert await strict.ask(address, fetch(1), 2.0) == failed(peer.PeerFailure.REFUSED)
        assert await lenient.ask(address, fetch(1), 2.0) == result.Success(fetch(1))


async def test_peers_without_a_certificate_are_refused(tmp_path: pathlib.Path) -> None:
    """Guards against requests from, or to, a process without a certificate of the authority."""
    authority, unknown = trustme.CA(), trustme.CA()
    ours = write_files(tmp_path, "ours", authority, authority, "127.0.0.1")
    # The remote end trusts our authority, so that only our own check can refuse it.
    theirs = write_files(tmp_path, "theirs", unknown, authority, "127.0.0.1")
    anonymous = ssl.create_default_context(cafile=ours.authority)
    anonymous.set_alpn_protocols(["h2"])
    handled = 0

    async def handle(request: message.Message) -> message.Message:
        nonlocal handled
        handled += 1
        return request

    async with (
        channel.open_channel(tls=channel.load_client_tls(ours)) as both,
        channel.open_channel(tls=channel.load_client_tls(theirs)) as foreign,
        channel.open_channel(tls=anonymous) as anonymous_asker,
        channel.open_channel() as plain,
        serving(both, handle, tls=channel.load_server_tls(ours)) as address,
        serving(foreign, handle, tls=channel.load_server_tls(theirs)) as foreign_address,
        serving(plain, handle) as plain_address,
    ):
        for asker in (foreign, anonymous_asker, plain):
            reply = await asker.ask(address, fetch(1), 2.0)
            assert reply == failed(peer.PeerFailure.REFUSED)
        for wrong in (foreign_address, plain_address):
            assert await both.ask(wrong, fetch(1), 2.0) == failed(peer.PeerFailure.REFUSED)
        assert handled == 0
        assert await both.ask(address, fetch(1), 2.0) == result.Success(fetch(1))


def test_unreadable_files_are_named(tmp_path: pathlib.Path) -> None:
    """Guards against an error in the settings that doesn't name the file that causes it."""
    path = str(tmp_path / "missing.pem")
    files = channel.TlsFiles(certificate=path, key=path, authority=path)
    for load in (channel.load_client_tls, channel.load_server_tls):
        with pytest.raises(errors.SettingsError, match="missing.pem"):
            load(files)


def test_payloads_split_across_frames() -> None:
    """Guards against payloads that are lost or merged when they are split across frames."""
    payloads = [b"", b"1", b"seven77", bytes(300)]
    data = b"".join(channel.PREFIX.pack(False, len(part)) + part for part in payloads)
    for step in (1, 2, 5, 6, 64, len(data)):
        collected = bytearray()
        found: list[bytes] = []
        for start in range(0, len(data), step):
            collected += data[start : start + step]
            found.extend(channel.split_payloads(collected, 300))
        assert found == payloads
        assert not collected
    for wrong in (channel.PREFIX.pack(False, 301), channel.PREFIX.pack(True, 1)):
        with pytest.raises(ValueError, match="payload of"):
            list(channel.split_payloads(bytearray(wrong), 300))


async def test_slow_network_holds_messages_back() -> None:
    """Guards against lost or reordered bytes when the socket or flow control blocks a sender."""
    source = random.Random(SEED)
    bodies = [
        message.Config(
            version=identity.ConfigVersion(number),
            body=source.randbytes(source.choice([100, 10_000, 200_000])),
        )
        for number in range(100)
    ]
    matched = 0

    async with (
        channel.open_channel(limits=channel.Limits(in_flight=200)) as both,
        serving(both) as target,
        relaying(Relay(target=target, pause_s=0.0005)) as address,
        trio.open_nursery() as nursery,
    ):

        async def ask(body: message.Config) -> None:
            nonlocal matched
            assert await both.ask(address, body, 30.0) == result.Success(body)
            matched += 1

        for body in bodies:
            nursery.start_soon(ask, body)
    assert matched == len(bodies)


async def test_reply_is_not_sent_into_the_middle_of_another() -> None:
    """Guards against interleaved frames of two replies when a peer's window opens again.

    The window update and a request that is refused at once arrive in one segment, after the first
    reply has been sent in part.
    """
    body = message.Config(version=identity.ConfigVersion(1), body=bytes(1000))
    first = channel.encode(channel.Envelope(sequence=1, body=body))
    malformed = b"\x93\x02\x91\xa1x\x00"
    client = open_raw_stream([first], window=100)
    received = bytearray()
    sequences: list[int] = []
    async with channel.open_channel() as both, serving(both) as address:
        port = int(address.rpartition(":")[2])
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(client.data_to_send())
            with trio.fail_after(2.0):
                while len(sequences) < 2:
                    for event in client.receive_data(await stream.receive_some()):
                        if isinstance(event, h2.events.DataReceived):
                            received += event.data
                    if len(received) == 100:
                        client.increment_flow_control_window(10_000, 1)
                        data = channel.PREFIX.pack(False, len(malformed)) + malformed
                        client.send_data(1, data)
                    await stream.send_all(client.data_to_send())
                    for payload in channel.split_payloads(received, 2000):
                        reply = channel.decode(payload)
                        assert reply is not None
                        assert reply.body == (body if reply.sequence == 1 else None)
                        sequences.append(reply.sequence)
    assert sequences == [1, 2]
