"""Tests of mutual TLS, which the hop and operator ports use."""

import dataclasses
import pathlib
import ssl

import pytest
import trio
import trustme

from ebonyvalve import errors
from ebonyvalve.process import demo, network


@dataclasses.dataclass(frozen=True, kw_only=True)
class Files:
    """Paths of PEM files."""

    certificate: str
    key: str
    authority: str


def write_files(folder: pathlib.Path, authority: trustme.CA, name: str) -> Files:
    certificate = authority.issue_cert("127.0.0.1")
    files = Files(
        certificate=str(folder / f"{name}.pem"),
        key=str(folder / f"{name}.key"),
        authority=str(folder / f"{name}-authority.pem"),
    )
    certificate.cert_chain_pems[0].write_to_path(files.certificate)
    certificate.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(files.authority)
    return files


def build_context(files: Files, *, is_server: bool) -> ssl.SSLContext:
    return network.build_context(files.certificate, files.key, files.authority, is_server=is_server)


async def echo(stream: trio.abc.Stream) -> None:
    await stream.send_all(await stream.receive_some(100))
    await trio.aclose_forcefully(stream)


@pytest.mark.parametrize("is_known", [True, False])
async def test_only_holders_of_a_certificate_connect(
    is_known: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against serving a peer whose certificate is not from the node's authority."""
    authority = trustme.CA()
    server = build_context(write_files(tmp_path, authority, "server"), is_server=True)
    client_authority = authority if is_known else trustme.CA()
    files = write_files(tmp_path, client_authority, "client")
    # The client knows the server's authority in both cases; only its own certificate differs.
    authority.cert_pem.write_to_path(files.authority)
    client = build_context(files, is_server=False)
    address = demo.pick_addresses(1)[0]
    answered = b""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.build_tls_listen(server), address, echo)
        await trio.sleep(0.1)
        with trio.move_on_after(5):
            try:
                stream = await network.build_tls_connect(client)(address)
                await stream.send_all(b"hello")
                answered = bytes(await stream.receive_some(100))
            except (OSError, trio.BrokenResourceError):
                pass
        nursery.cancel_scope.cancel()
    assert answered == (b"hello" if is_known else b"")


def test_missing_file_is_named(tmp_path: pathlib.Path) -> None:
    """Guards against an error that does not name the missing file."""
    missing = str(tmp_path / "missing.pem")
    with pytest.raises(errors.SettingsError, match="missing"):
        network.build_context(missing, missing, missing, is_server=True)
