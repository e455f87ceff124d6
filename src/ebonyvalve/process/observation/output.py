"""Log lines on standard output, bounded in volume and never waited for."""

import collections.abc
import dataclasses
import logging
import os

from ebonyvalve.process import decision

# A node takes about a hundred requests a second; a line for each refusal of a short burst is
# kept, while a long storm of them is cut to a sample.
LINES_PER_S = 50.0
BURST_LINES = 500.0
# Only lines of single requests may be left out; each of the others says what the process believes.
LIMITED_EVENTS = frozenset({"request", "attempt"})


@dataclasses.dataclass(kw_only=True)
class Output:
    """A descriptor with what may still be written to it.

    ``omitted`` counts lines left out since the last one that said so, ``blocked`` lines for which
    the reader had no room.
    """

    descriptor: int
    now: collections.abc.Callable[[], float]
    tokens: float = BURST_LINES
    refilled_at: float = 0.0
    omitted: int = 0
    blocked: int = 0
    partial: bytes = b""


def open_output(descriptor: int, now: collections.abc.Callable[[], float]) -> Output:
    """Return an output to a descriptor that is made non-blocking.

    :param descriptor: the descriptor.
    :param now: returns the time in seconds.
    """
    os.set_blocking(descriptor, False)
    return Output(descriptor=descriptor, now=now, refilled_at=now())


def may_write(output: Output, event: str) -> bool:
    """Return whether a line may be written, and count it.

    :param output: the output.
    :param event: the line's event.
    """
    if event not in LIMITED_EVENTS:
        return True
    current = output.now()
    output.tokens = min(BURST_LINES, output.tokens + (current - output.refilled_at) * LINES_PER_S)
    output.refilled_at = current
    if output.tokens < 1.0:
        output.omitted += 1
        return False
    output.tokens -= 1.0
    return True


def write(output: Output, line: str) -> None:
    """Write a line, or drop it if the reader has no room.

    :param output: the output.
    :param line: the line without its end.
    """
    data = output.partial + line.encode("utf-8", "replace") + b"\n"
    try:
        written = os.write(output.descriptor, data)
    except BlockingIOError:
        output.blocked += 1
        return
    except OSError:
        # The reader has gone; the process must not end because of it.
        output.blocked += 1
        return
    # The rest of a line that was cut goes out before the next one.
    output.partial = data[written:]


def configure(output: Output, form: decision.LogForm, level: str) -> None:
    """Send the process's log lines to an output.

    :param output: the output.
    :param form: how lines are written.
    :param level: the name of a level of :mod:`logging`.
    """
    spell = decision.format_json if form is decision.LogForm.JSON else decision.format_text
    handler = logging.Handler()

    def emit(entry: logging.LogRecord) -> None:
        if not may_write(output, entry.getMessage()):
            return
        if output.omitted:
            fields = {**getattr(entry, "fields", {}), "omitted_before": output.omitted}
            entry.fields = fields
            output.omitted = 0
        write(output, spell(entry))

    # logging calls the instance's emit, so a closure is enough and no subclass is needed.
    setattr(handler, "emit", emit)  # noqa: B010
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
