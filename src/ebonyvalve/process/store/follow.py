"""Follows of the table that are made anew when there is reason to doubt them."""

import collections.abc
import typing

import trio

Found = typing.TypeVar("Found")


async def run_interruptible(
    call: collections.abc.Callable[[], collections.abc.Awaitable[Found]],
    wait: collections.abc.Callable[[], collections.abc.Awaitable[object]],
) -> Found | None:
    """Return the result of a call, or ``None`` if there is reason to make it anew.

    :param call: makes the call.
    :param wait: returns when there is reason.
    """
    found: Found | None = None
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            await wait()
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        found = await call()
        nursery.cancel_scope.cancel()
    return found
