"""Decides which pipelined requests of a connection run concurrently, and whose answer is sent next.

A line holds the requests of one connection that run at the same time, in the order of their
arrival. Its first request leads the line: only its answer may be written. The modules that read
and write the connection call these functions.
"""

import collections
import dataclasses
import enum

# Requests of one connection that run at the same time, so that one caller can't take all slots of
# a target.
MAX_IN_FLIGHT = 8
# Bytes of answers that wait for their turn, for one connection. It is the size of one answer that
# may be buffered whole, see ``request.buffering``.
MAX_HELD_BYTES = 262_144
# While this much is buffered or held for all requests of the node, nothing more is read ahead or
# held. Above it, ``request.buffering`` streams answers.
MAX_NODE_BYTES = 4 * 1_048_576
# Reads whose times are remembered. Later ones count as the last of these, so that a caller that
# sends single bytes costs no memory.
MAX_ARRIVALS = 64


class Course(enum.Enum):
    """How a request runs that was read while earlier ones run."""

    OVERLAP = "overlap"
    ALONE = "alone"


class Next(enum.Enum):
    """What follows the end of the first request of a line."""

    ANSWER = "answer"
    EMPTY = "empty"
    CLOSE = "close"


# Compared by identity, as members of a queue.
@dataclasses.dataclass(kw_only=True, eq=False)
class Entry:
    """One request of a line; ``held_bytes`` of its answer wait for its turn."""

    held_bytes: int = 0


@dataclasses.dataclass(kw_only=True)
class Line:
    """The requests of a connection that run at the same time, the first to be answered first.

    ``is_closed`` is set when nothing more may be answered on the connection.
    """

    entries: collections.deque[Entry] = dataclasses.field(default_factory=collections.deque)
    held_bytes: int = 0
    is_closed: bool = False


@dataclasses.dataclass(kw_only=True)
class Arrivals:
    """When the bytes of a connection arrived that were read before their request's turn.

    ``reads`` holds, for each read, how many bytes the connection had received after it, and the
    time in seconds.
    """

    reads: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(kw_only=True)
class Stats:
    """Counts since the start of the process.

    ``read_ahead`` counts requests that began while earlier ones of their connection ran, ``alone``
    those that were read ahead but waited for their turn, and ``dropped`` those that were cancelled
    because an earlier answer closed the connection. ``delayed`` counts answers whose producer
    waited, ``in_flight`` the requests by how many of the connection ran when they began.
    """

    read_ahead: int = 0
    alone: int = 0
    dropped: int = 0
    delayed: int = 0
    in_flight: collections.Counter[int] = dataclasses.field(default_factory=collections.Counter)


def may_read(line: Line, *, node_bytes: int, is_stopping: bool, is_answer_begun: bool) -> bool:
    """Return whether the head of a further request may be read while the others run.

    None may when all have ended, as the connection's own task serves the next one then. Nor may one
    behind an answer of which a part has been sent: if that breaks off, nothing can take its place
    and the connection has to be closed.

    :param line: the line.
    :param node_bytes: bytes of answers that are buffered or held for all requests of the node.
    :param is_stopping: whether answers ask callers to leave; the last one of the line does, and no
        request may follow it.
    :param is_answer_begun: whether a part of the first answer of the line has been sent.
    """
    return not (
        line.is_closed
        or is_stopping
        or is_answer_begun
        or not line.entries
        or len(line.entries) >= MAX_IN_FLIGHT
        or node_bytes >= MAX_NODE_BYTES
    )


def choose_course(*, is_repeatable: bool, is_complete: bool, is_stopping: bool) -> Course:
    """Choose how a request runs whose head was read while earlier ones run.

    A request that must not run twice runs only after the answers before it were sent on a
    connection that stays open, as callers send again what is behind a closing answer.

    :param is_repeatable: whether the request may run more than once.
    :param is_complete: whether its whole body has been received.
    :param is_stopping: whether the node stops.
    """
    may_overlap = is_repeatable and is_complete and not is_stopping
    return Course.OVERLAP if may_overlap else Course.ALONE


def add(line: Line, stats: Stats) -> Entry:
    """Add a request at the end of a line.

    :param line: the line.
    :param stats: the counts of the node.
    """
    entry = Entry()
    if line.entries:
        stats.read_ahead += 1
        stats.in_flight[len(line.entries) + 1] += 1
    line.entries.append(entry)
    return entry


def is_first(line: Line, entry: Entry) -> bool:
    """Return whether the answer of a request may be written.

    :param line: the line.
    :param entry: the request.
    """
    return not line.is_closed and bool(line.entries) and line.entries[0] is entry


def may_hold(line: Line, size: int, *, node_bytes: int) -> bool:
    """Return whether a part of an answer may be held until its turn; else its producer waits.

    The first request of a line never waits, so that waiting producers always proceed in the end.

    :param line: the line.
    :param size: its size in bytes.
    :param node_bytes: bytes of answers that are buffered or held for all requests of the node.
    """
    return line.held_bytes + size <= MAX_HELD_BYTES and node_bytes + size <= MAX_NODE_BYTES


def hold(line: Line, entry: Entry, size: int) -> None:
    """Count a part of an answer that is held.

    :param line: the line.
    :param entry: the request.
    :param size: its size in bytes.
    """
    entry.held_bytes += size
    line.held_bytes += size


def release(line: Line, entry: Entry) -> int:
    """Count no part of an answer as held any longer; return how many bytes were.

    :param line: the line.
    :param entry: the request.
    """
    size, entry.held_bytes = entry.held_bytes, 0
    line.held_bytes -= size
    return size


def finish(line: Line, entry: Entry, *, keeps_open: bool) -> Next:
    """Record that the first request of a line has ended, and return what follows.

    :param line: the line.
    :param entry: its first request.
    :param keeps_open: whether its answer was sent whole and leaves the connection open.
    """
    assert line.entries[0] is entry
    line.entries.popleft()
    if not keeps_open:
        line.is_closed = True
        return Next.CLOSE
    return Next.ANSWER if line.entries else Next.EMPTY


def record_arrival(arrivals: Arrivals, end: int, at: float) -> None:
    """Remember when bytes arrived.

    :param arrivals: the times known.
    :param end: how many bytes the connection has received, including these.
    :param at: the time in seconds.
    """
    if len(arrivals.reads) >= MAX_ARRIVALS:
        _, at = arrivals.reads.pop()
    arrivals.reads.append((end, at))


def is_recorded(arrivals: Arrivals, end: int) -> bool:
    """Return whether the time of the last read is known.

    :param arrivals: the times known.
    :param end: how many bytes the connection has received.
    """
    return bool(arrivals.reads) and arrivals.reads[-1][0] >= end


def find_arrival(arrivals: Arrivals, end: int) -> float | None:
    """Return when the last byte of a head arrived in seconds, or ``None`` if that is not known.

    Times of earlier bytes are forgotten.

    :param arrivals: the times known.
    :param end: how many bytes the connection had received, including that byte.
    """
    while arrivals.reads and arrivals.reads[0][0] < end:
        arrivals.reads.popleft()
    return arrivals.reads[0][1] if arrivals.reads else None
