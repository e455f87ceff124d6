"""TCP sockets on which another end that has fallen silent is noticed."""

import socket

import trio

from ebonyvalve.process import network

# Connections may go silent without a reset, and a VM without power answers nothing.
KEEP_ALIVE_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
BACKLOG = 512


async def connect(address: str) -> trio.abc.Stream:
    """Open a TCP connection on which a silent other end is noticed.

    :param address: an IP number and a port.
    :raises OSError: when the connection is refused.
    """
    network.check_address(address)
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect(network.split_address(address))
    except BaseException:
        sock.close()
        raise
    set_options(sock)
    # Probes begin only when all that was sent has been acknowledged.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return trio.SocketStream(sock)


def set_options(sock: trio.socket.SocketType) -> None:
    """Let the kernel notice another end that has fallen silent.

    Accepted connections have no more than this: the time-out for sent bytes would also cut an
    answer whose caller reads late.

    :param sock: a connected socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


async def listen(address: str, serve: network.Serve) -> None:
    """Accept connections until cancelled.

    :param address: where.
    :param serve: runs for each connection.
    """
    host, port = network.split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    await trio.serve_listeners(build_serve(serve), listeners)


def build_serve(serve: network.Serve) -> network.Serve:
    """Return a function that serves a connection with the socket's options set.

    :param serve: runs for each connection.
    """

    async def run_one(stream: trio.abc.Stream) -> None:
        assert isinstance(stream, trio.SocketStream)
        try:
            set_options(stream.socket)
        except OSError:
            # The other end has closed already.
            await trio.aclose_forcefully(stream)
            return
        await serve(stream)

    return run_one
