"""Long polls of the store that can be interrupted when their answer is no longer needed."""

import collections.abc
import typing

import trio

Answer = typing.TypeVar("Answer")


async def run_interruptible(
    call: collections.abc.Callable[[], collections.abc.Awaitable[Answer]],
    wait: collections.abc.Callable[[], collections.abc.Awaitable[object]],
) -> Answer | None:
    """Return the result of a call, or ``None`` if it was interrupted.

    :param call: makes the call.
    :param wait: returns when the call is to be interrupted.
    """
    answer: Answer | None = None
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            await wait()
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        answer = await call()
        nursery.cancel_scope.cancel()
    return answer
