"""Addresses, and TCP connections with or without TLS."""

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
    """Refuse an address to which no connection can be made.

    :param address: as another process may have named it.
    :raises OSError: which callers take for a refused connection.
    """
    if not decoding.is_address(address):
        raise OSError(
            errno.EADDRNOTAVAIL, f"{address[: decoding.MAX_CAUSE_CHARS]!r} is not host:port"
        )


async def connect_tcp(address: str) -> trio.abc.Stream:
    """Open a TCP connection.

    :param address: an IP number and a port.
    :raises OSError: when the connection is refused.
    """
    check_address(address)
    host, port = split_address(address)
    return await trio.open_tcp_stream(host, port, happy_eyeballs_delay=None)


async def listen_tcp(address: str, serve: Serve) -> None:
    """Accept TCP connections until cancelled.

    :param address: where to listen.
    :param serve: runs for each connection.
    """
    host, port = split_address(address)
    await trio.serve_tcp(serve, port, host=host)


def build_tls_connect(context: ssl.SSLContext) -> Connect:
    """Return a function that opens TLS connections.

    :param context: with the own certificate and the authority of the others.
    """

    async def connect(address: str) -> trio.abc.Stream:
        host, _ = split_address(address)
        stream = await connect_tcp(address)
        assert isinstance(stream, trio.SocketStream)
        secured = trio.SSLStream(stream, context, server_hostname=host)
        try:
            await secured.do_handshake()
        except (trio.BrokenResourceError, ssl.SSLError) as exc:
            await trio.aclose_forcefully(secured)
            raise OSError(f"TLS with {address} failed: {exc}") from exc
        return secured

    return connect


def build_tls_listen(context: ssl.SSLContext) -> Listen:
    """Return a function that accepts TLS connections from holders of a valid certificate.

    :param context: with the own certificate and the authority of the others.
    """

    async def listen(address: str, serve: Serve) -> None:
        async def secure(stream: trio.abc.Stream) -> None:
            assert isinstance(stream, trio.SocketStream)
            secured = trio.SSLStream(stream, context, server_side=True)
            try:
                await secured.do_handshake()
            except (trio.BrokenResourceError, ssl.SSLError):
                await trio.aclose_forcefully(secured)
                return
            await serve(secured)

        await listen_tcp(address, secure)

    return listen


def build_context(certificate: str, key: str, authority: str, *, is_server: bool) -> ssl.SSLContext:
    """Return a TLS context that demands a certificate of the authority from the other end.

    :param certificate: path of the own certificate, PEM.
    :param key: path of its key, PEM.
    :param authority: path of the authority's certificate, PEM.
    :param is_server: whether the context accepts connections.
    :raises errors.SettingsError: when a file cannot be read or does not fit the others.
    """
    purpose = ssl.Purpose.CLIENT_AUTH if is_server else ssl.Purpose.SERVER_AUTH
    try:
        context = ssl.create_default_context(purpose, cafile=authority)
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as exc:
        raise errors.SettingsError(f"tls: {certificate}, {key} or {authority}: {exc}") from exc
    context.verify_mode = ssl.CERT_REQUIRED
    return context
