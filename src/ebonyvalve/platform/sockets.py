"""TCP sockets with keep-alive and time-out options that detect a silent remote end."""

import socket

import trio

from ebonyvalve.process import network

# Connections may go silent without a reset, and a VM without power sends nothing at all.
KEEP_ALIVE_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
BACKLOG = 512


async def connect(address: str) -> trio.abc.Stream:
    """Open a TCP connection that fails if the remote end falls silent.

    :param address: an IP address and a port.
    :raises OSError: if the connection is refused.
    """
    network.check_address(address)
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect(network.split_address(address))
    except BaseException:
        sock.close()
        raise
    set_options(sock)
    # Keep-alive probes begin only after all sent bytes were acknowledged, so that unacknowledged
    # bytes need a time-out of their own.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return trio.SocketStream(sock)


def set_options(sock: trio.socket.SocketType) -> None:
    """Set the keep-alive options by which the kernel detects a silent remote end.

    Accepted connections get no ``TCP_USER_TIMEOUT``, which would also abort a response whose caller
    reads slowly.

    :param sock: a connected socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


async def listen(address: str, serve: network.Serve) -> None:
    """Accept connections until cancelled.

    :param address: the IP address and port to listen on.
    :param serve: called for each connection.
    """
    host, port = network.split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    await trio.serve_listeners(build_serve(serve), listeners)


def build_serve(serve: network.Serve) -> network.Serve:
    """Return a function that sets the options of a socket before it serves the connection.

    :param serve: called for each connection.
    """

    async def serve_with_options(stream: trio.abc.Stream) -> None:
        assert isinstance(stream, trio.SocketStream)
        try:
            set_options(stream.socket)
        except OSError:
            # The remote end has closed the connection already.
            await trio.aclose_forcefully(stream)
            return
        await serve(stream)

    return serve_with_options
