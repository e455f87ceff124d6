"""Connections to addresses that other writers have named."""

import pytest

from ebonyvalve.platform import sockets
from ebonyvalve.process import network


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1:", "nowhere", "", ":80"]
    + ["a..b:80", "a\0b:80", "é" * 70 + ":80", "127.0.0.1:" + "9" * 5000, "\ud800:80"],
)
async def test_address_that_cannot_be_connected_to_is_unreachable(address: str) -> None:
    """Callers expect OSError; OverflowError, ValueError or UnicodeError ended the process."""
    for connect in (sockets.connect, network.connect_tcp):
        with pytest.raises(OSError):
            await connect(address)
