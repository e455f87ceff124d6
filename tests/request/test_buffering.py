"""Tests of the buffered beginning of replies."""

import dataclasses
import sys

import pytest

from ebonyvalve.request import buffering
from tests.request import test_origin


@pytest.mark.parametrize("size", [1000, buffering.MAX_BUFFERED_BYTES])
async def test_bytes_that_were_passed_on_are_not_kept(size: int) -> None:
    """Guards against a copy of the beginning of each long reply until its end."""

    async def take(*_: object) -> bool:
        return True

    caller = dataclasses.replace(test_origin.NO_CALLER, reply=take, write=take, finish=take)
    buffered = buffering.buffer_reply(caller)
    data = b"x" * size
    references = sys.getrefcount(data)
    await buffered.reply(200, [])
    await buffered.write(data)
    if size < buffering.MAX_BUFFERED_BYTES:
        assert sys.getrefcount(data) > references
        await buffered.finish()
    assert sys.getrefcount(data) == references
