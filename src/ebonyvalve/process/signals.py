"""Receives the process's signals until it exits.

Without a receiver, a second SIGTERM or a SIGHUP would end a process that is shutting down
gracefully.
"""

import collections.abc
import contextlib
import dataclasses
import logging
import signal

import trio

from ebonyvalve.process import decision

log = logging.getLogger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@dataclasses.dataclass(kw_only=True)
class Signals:
    """The requests received so far.

    ``stop`` is set by the first request to stop. ``reload`` is set and replaced by a new event on
    each request to reload the settings.
    """

    stop: trio.Event = dataclasses.field(default_factory=trio.Event)
    reload: trio.Event = dataclasses.field(default_factory=trio.Event)


@contextlib.asynccontextmanager
async def open_receiver() -> collections.abc.AsyncIterator[Signals]:
    """Receive SIGTERM, SIGINT and SIGHUP until the context exits."""
    signals = Signals()
    with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as numbers:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_receive, signals, numbers)
            yield signals
            nursery.cancel_scope.cancel()


async def _receive(signals: Signals, numbers: collections.abc.AsyncIterator[int]) -> None:
    async for number in numbers:
        name = signal.Signals(number).name
        if number not in STOP_SIGNALS:
            decision.record(log, logging.INFO, "reload-requested", signal=name)
            signals.reload.set()
            signals.reload = trio.Event()
            continue
        event = "stopping-already" if signals.stop.is_set() else "stopping"
        decision.record(log, logging.INFO, event, signal=name)
        signals.stop.set()
