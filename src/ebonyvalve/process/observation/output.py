"""Writes log lines to standard output, with a bounded rate and without ever blocking."""

import collections.abc
import dataclasses
import logging
import os

from ebonyvalve.process import decision

# A node gets about a hundred requests per second. Every refusal of a short burst is logged, a long
# storm of refusals only as a sample. Each level has a limit of its own, so that the refusals don't
# displace the lines about requests that may have run.
LINES_PER_S = 50.0
BURST_LINES = 500.0
# Only lines about single requests may be omitted. All others record a change of the node's state.
LIMITED_EVENTS = frozenset({"request", "attempt", "unanswered", "request-unread", "caller-left"})


@dataclasses.dataclass(kw_only=True)
class Bucket:
    """A token bucket: the lines that may be written now."""

    refilled_at: float
    tokens: float = BURST_LINES


@dataclasses.dataclass(kw_only=True)
class Output:
    """A file descriptor for log lines, with a token bucket a level that limits their rate.

    ``omitted`` counts the lines omitted since the last line that stated their number, ``blocked``
    the lines dropped because the pipe was full or closed. ``partial`` is the rest of a line of
    which only a part could be written.
    """

    descriptor: int
    now: collections.abc.Callable[[], float]
    buckets: dict[int, Bucket] = dataclasses.field(default_factory=dict)
    omitted: int = 0
    blocked: int = 0
    partial: bytes = b""


def open_output(descriptor: int, now: collections.abc.Callable[[], float]) -> Output:
    """Make a descriptor non-blocking, and return an output for it.

    :param descriptor: the descriptor.
    :param now: returns the time in seconds.
    """
    os.set_blocking(descriptor, False)
    return Output(descriptor=descriptor, now=now)


def may_write(output: Output, event: str, level: int) -> bool:
    """Return whether a line may be written, and count it against the limit of its level.

    :param output: the output.
    :param event: the event of the line.
    :param level: the level of the line.
    """
    if event not in LIMITED_EVENTS:
        return True
    current = output.now()
    bucket = output.buckets.setdefault(level, Bucket(refilled_at=current))
    bucket.tokens = min(BURST_LINES, bucket.tokens + (current - bucket.refilled_at) * LINES_PER_S)
    bucket.refilled_at = current
    if bucket.tokens < 1.0:
        output.omitted += 1
        return False
    bucket.tokens -= 1.0
    return True


def write(output: Output, line: str) -> None:
    """Write a line, or drop it if the pipe is full or closed.

    :param output: the output.
    :param line: the line, without a line break.
    """
    data = output.partial + line.encode("utf-8", "replace") + b"\n"
    try:
        written = os.write(output.descriptor, data)
    except BlockingIOError:
        output.blocked += 1
        return
    except OSError:
        # The reader has closed the pipe, which must not end the process.
        output.blocked += 1
        return
    # The rest of a line that was written only in part goes out before the next line.
    output.partial = data[written:]


def configure(output: Output, form: decision.LogForm, level: str) -> None:
    """Send the process's log lines to an output.

    :param output: the output.
    :param form: the format of the lines.
    :param level: the name of a level of :mod:`logging`.
    """
    format_entry = decision.format_json if form is decision.LogForm.JSON else decision.format_text
    handler = logging.Handler()

    def emit(entry: logging.LogRecord) -> None:
        if not may_write(output, entry.getMessage(), entry.levelno):
            return
        if output.omitted:
            fields = {**getattr(entry, "fields", {}), "omitted_before": output.omitted}
            entry.fields = fields
            output.omitted = 0
        write(output, format_entry(entry))

    # The logging module calls the instance's emit, so a closure is enough and needs no subclass.
    setattr(handler, "emit", emit)  # noqa: B010
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
