"""TCP connections, with or without TLS, and their addresses."""

import collections.abc
import errno
import ssl

import trio

from ebonyvalve import errors
from ebonyvalve.process import decoding

Connect = collections.abc.Callable[[str], collections.abc.Awaitable[trio.abc.Stream]]
Serve = collections.abc.Callable[[trio.abc.Stream], collections.abc.Awaitable[None]]
Listen = collections.abc.Callable[[str, Serve], collections.abc.Awaitable[None]]


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``.

    :param address: an IP number and a port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_address(address: str) -> None:
    """Raise an error unless an address has the form ``host:port``.

    :param address: an address, which may come from another process.
    :raises OSError: if it is malformed; callers handle this like a refused connection.
    """
    if not decoding.is_address(address):
        raise OSError(
            errno.EADDRNOTAVAIL, f"{address[: decoding.MAX_CAUSE_CHARS]!r} is not host:port"
        )


async def connect_tcp(address: str) -> trio.abc.Stream:
    """Open a TCP connection.

    :param address: an IP number and a port.
    :raises OSError: if the address is malformed or the connection is refused.
    """
    check_address(address)
    host, port = split_address(address)
    return await trio.open_tcp_stream(host, port, happy_eyeballs_delay=None)


async def listen_tcp(address: str, serve: Serve) -> None:
    """Accept TCP connections until cancelled.

    :param address: the ``IP:port`` to listen on.
    :param serve: called with each connection.
    """
    host, port = split_address(address)
    await trio.serve_tcp(serve, port, host=host)


def build_tls_connect(context: ssl.SSLContext) -> Connect:
    """Return a function that opens TLS connections.

    :param context: a context made by :func:`build_context`.
    """

    async def connect(address: str) -> trio.abc.Stream:
        host, _ = split_address(address)
        stream = await connect_tcp(address)
        assert isinstance(stream, trio.SocketStream)
        tls_stream = trio.SSLStream(stream, context, server_hostname=host)
        try:
            await tls_stream.do_handshake()
        except (trio.BrokenResourceError, ssl.SSLError) as exc:
            await trio.aclose_forcefully(tls_stream)
            raise OSError(f"TLS with {address} failed: {exc}") from exc
        return tls_stream

    return connect


def build_tls_listen(context: ssl.SSLContext) -> Listen:
    """Return a function that accepts TLS connections from peers with a valid certificate.

    :param context: a context made by :func:`build_context`.
    """

    async def listen(address: str, serve: Serve) -> None:
        async def accept(stream: trio.abc.Stream) -> None:
            assert isinstance(stream, trio.SocketStream)
            tls_stream = trio.SSLStream(stream, context, server_side=True)
            try:
                await tls_stream.do_handshake()
            except (trio.BrokenResourceError, ssl.SSLError):
                await trio.aclose_forcefully(tls_stream)
                return
            await serve(tls_stream)

        await listen_tcp(address, accept)

    return listen


def build_context(certificate: str, key: str, authority: str, *, is_server: bool) -> ssl.SSLContext:
    """Return a TLS context that requires the peer to present a certificate of the authority.

    :param certificate: path of this node's certificate, PEM.
    :param key: path of its private key, PEM.
    :param authority: path of the certificate authority's certificate, PEM.
    :param is_server: whether the context is for the accepting side.
    :raises errors.SettingsError: if a file cannot be read or the files do not match.
    """
    purpose = ssl.Purpose.CLIENT_AUTH if is_server else ssl.Purpose.SERVER_AUTH
    try:
        context = ssl.create_default_context(purpose, cafile=authority)
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as exc:
        raise errors.SettingsError(f"tls: {certificate}, {key} or {authority}: {exc}") from exc
    context.verify_mode = ssl.CERT_REQUIRED
    return context
