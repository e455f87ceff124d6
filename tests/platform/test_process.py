"""Tests of the daemon as a separate process: signals and changes of the settings."""

import collections.abc
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest
import trio

from ebonyvalve.platform import daemon, reload, settings
from ebonyvalve.process import signals
from tests.platform import mesh

START_S = 10.0
STOP_S = 8.0


@contextlib.contextmanager
def open_daemon(
    folder: pathlib.Path, body: bytes
) -> collections.abc.Iterator[subprocess.Popen[bytes]]:
    """Run a daemon whose store does not answer; its log goes to ``log`` in the folder."""
    path = folder / "local.toml"
    path.write_bytes(body)
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "ebonyvalve.platform"],
            env={**os.environ, "EBONYVALVE_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
    try:
        wait_logged(folder, "event=start ")
        yield process
    finally:
        process.kill()
        process.wait()


def wait_logged(folder: pathlib.Path, text: str) -> str:
    """Return the first line of the log that contains a text."""
    ends_at = time.monotonic() + START_S
    while time.monotonic() < ends_at:
        for line in (folder / "log").read_text().splitlines():
            if text in line:
                return line
        time.sleep(0.02)
    raise AssertionError((folder / "log").read_text())


@pytest.fixture(name="ports")
def pick_ports() -> list[int]:
    return mesh.find_ports(5)


def build_settings(ports: list[int], *, store: int = 9, node: int = 1) -> bytes:
    return mesh.write_settings(node, "orders", ports, store)


@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signals_while_stopping_do_not_end_the_process(
    again: signal.Signals, tmp_path: pathlib.Path, ports: list[int]
) -> None:
    """Guards against a second signal that kills the process while it stops.

    In a Darkroom run (mixed day, seed 9162235837), a node got another stop signal 1.2 s after the
    first. The default action of the signal ended the process and all requests in flight were lost.
    """
    with open_daemon(tmp_path, build_settings(ports)) as process:
        process.send_signal(signal.SIGTERM)
        wait_logged(tmp_path, "event=stopping ")
        process.send_signal(again)
        assert process.wait(STOP_S) == 0
        wait_logged(tmp_path, "event=stop ")


def test_reload_signal_during_the_start_does_not_end_the_process(
    tmp_path: pathlib.Path, ports: list[int]
) -> None:
    """Guards against a SIGHUP that ends a process which has not begun to receive signals.

    The settings file changes while the process starts.
    """
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        [sys.executable, "-m", "ebonyvalve.platform"],
        env={**os.environ, "EBONYVALVE_BOOT": str(pipe)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    try:
        # The process opens its settings before it receives signals.
        with pipe.open("wb") as writer:
            process.send_signal(signal.SIGHUP)
            settings_file = tmp_path / "local.toml"
            settings_file.write_bytes(build_settings(ports))
            settings_file.replace(pipe)
            writer.write(build_settings(ports))
        assert process.stdout is not None
        assert b"event=start " in process.stdout.readline()
    finally:
        process.kill()
        process.communicate()


def test_changed_settings_are_applied(tmp_path: pathlib.Path, ports: list[int]) -> None:
    """Guards against a changed store address that is ignored.

    Changes that need a restart must be named in the log.
    """
    with open_daemon(tmp_path, build_settings(ports, store=9)) as process:
        (tmp_path / "local.toml").write_bytes(build_settings(ports, store=11, node=2))
        process.send_signal(signal.SIGHUP)
        assert "store=127.0.0.1:11" in wait_logged(tmp_path, "event=settings-applied")
        assert "fields=node" in wait_logged(tmp_path, "event=settings-wait-for-restart")


def test_broken_settings_are_refused(tmp_path: pathlib.Path, ports: list[int]) -> None:
    """Guards against invalid settings that are applied or that end the process."""
    with open_daemon(tmp_path, build_settings(ports)) as process:
        (tmp_path / "local.toml").write_bytes(b"node = ")
        process.send_signal(signal.SIGHUP)
        assert "settings" in wait_logged(tmp_path, "event=settings-refused")
        assert process.poll() is None


def test_settings_that_change_without_a_signal(tmp_path: pathlib.Path, ports: list[int]) -> None:
    """Guards against a changed file that is ignored because the platform sent no signal."""
    with open_daemon(tmp_path, build_settings(ports, store=9)):
        (tmp_path / "local.toml").write_bytes(build_settings(ports, store=11))
        wait_logged(tmp_path, "event=settings-applied")


async def test_settings_that_changed_during_the_start(ports: list[int]) -> None:
    """Guards against a change of the file between the first read and the first check.

    This was seen once while the machine was under load.
    """
    built = daemon.build(settings.decode(build_settings(ports, store=9)))
    body = build_settings(ports, store=11)
    with trio.move_on_after(0.1):
        await reload.follow(built.node, built.client, signals.Signals(), lambda: body)
    assert built.client.address == "127.0.0.1:11"


def test_requests_are_refused_until_the_process_ends(
    tmp_path: pathlib.Path, ports: list[int]
) -> None:
    """Guards against a stop that closes connections unread, and signals that change how it goes on.

    Only a request that crosses the end of the process may find its connection closed.
    """
    request = (
        b"POST /orders/x HTTP/1.1\r\nhost: x\r\nx-attempt-id: a\r\ncontent-length: 4\r\n\r\nbody"
    )
    replies: list[bytes] = []
    signals_left = [signal.SIGHUP, signal.SIGTERM]
    with open_daemon(tmp_path, build_settings(ports)) as process:
        # An idle connection of another caller.
        with connect_when_listening(ports[0]):
            process.send_signal(signal.SIGTERM)
            wait_logged(tmp_path, "event=stopping ")
            while process.poll() is None:
                with contextlib.suppress(ConnectionRefusedError):
                    replies.append(send_in_two_parts(ports[0], request, split_at=len(replies) % 90))
                if signals_left and len(replies) > 10:
                    process.send_signal(signals_left.pop())
        assert process.wait(STOP_S) == 0
    assert not signals_left
    assert [reply[:12] for reply in replies[:-1]] == [b"HTTP/1.1 503"] * (len(replies) - 1)
    assert all(b"connection: close" in reply.lower() for reply in replies[:-1])


def connect_when_listening(port: int) -> socket.socket:
    """Return a connection to a daemon, which listens some time after it has logged its start."""
    ends_at = time.monotonic() + START_S
    while time.monotonic() < ends_at:
        with contextlib.suppress(ConnectionRefusedError):
            return socket.create_connection(("127.0.0.1", port))
        time.sleep(0.02)
    raise AssertionError("the daemon does not listen")


def send_in_two_parts(port: int, request: bytes, *, split_at: int) -> bytes:
    """Send a request on a new connection, with a pause; return what comes until it is closed."""
    reply = b""
    sock = socket.create_connection(("127.0.0.1", port), timeout=STOP_S)
    with sock, contextlib.suppress(ConnectionError):
        sock.sendall(request[:split_at])
        time.sleep(0.02)
        sock.sendall(request[split_at:])
        while part := sock.recv(4096):
            reply += part
    return reply
