"""Policy of a connection pool: when to reuse, open, wait and retire, and which ones are silent."""

import collections.abc
import dataclasses
import enum
import typing

ConnectionId = typing.NewType("ConnectionId", int)
Connections = collections.abc.Mapping[ConnectionId, "Connection"]

# A reply later than 4 times the 99th percentile is rare, and below 250 ms a paused process would
# pass for a silent connection.
SILENT_FACTOR = 4.0
MIN_SILENT_S = 0.25
# Firewalls and switches drop idle flows without notice. Connecting costs 1 ms, a probe 6 ms and a
# request sent into a silent connection at least 250 ms.
MAX_IDLE_S = 5.0


class Action(enum.Enum):
    """What a request does for a connection."""

    REUSE = "reuse"
    OPEN = "open"
    WAIT = "wait"


class Phase(enum.Enum):
    """What a connection does at present."""

    CONNECTING = "connecting"
    IDLE = "idle"
    # Bytes are expected from the target.
    AWAITING = "awaiting"
    # The caller has to read or send first, so that missing bytes say nothing about the connection.
    HELD_BY_CALLER = "held-by-caller"


class Health(enum.Enum):
    """Whether a target progresses, as seen from its connections."""

    PROGRESSING = "progressing"
    DOUBTFUL = "doubtful"
    STALLED = "stalled"


@dataclasses.dataclass(kw_only=True)
class Connection:
    """State of one connection. Times are seconds on the node's clock.

    ``progress_at`` is when bytes last came from the target; connecting counts for nothing, since
    the kernel of a frozen process still accepts. ``asked_at`` is when the target was last expected
    to send.
    """

    opened_at: float
    phase: Phase = Phase.CONNECTING
    progress_at: float = float("-inf")
    awaiting_since: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pick:
    """The decision for one request. ``retire`` is closed before a connection is opened."""

    action: Action
    connection: ConnectionId | None = None
    retire: tuple[ConnectionId, ...] = ()


def record_connected(connection: Connection, now: float) -> None:
    """Note that the connection is established and idle.

    :param connection: its state.
    :param now: seconds on the node's clock.
    """
    connection.phase = Phase.IDLE
    connection.awaiting_since = now


def record_awaiting(connection: Connection, now: float) -> None:
    """Note that the target has to send next: a request was sent, or the caller reads again.

    :param connection: its state.
    :param now: seconds on the node's clock.
    """
    connection.phase = Phase.AWAITING
    connection.awaiting_since = now


def record_held_by_caller(connection: Connection) -> None:
    """Note that the caller has to read or send before the target can go on.

    :param connection: its state.
    """
    connection.phase = Phase.HELD_BY_CALLER


def record_progress(connection: Connection, now: float) -> None:
    """Note that bytes came from the target.

    :param connection: its state.
    :param now: seconds on the node's clock.
    """
    connection.progress_at = now


def record_idle(connection: Connection, now: float) -> None:
    """Note that a reply is complete and the connection can be reused.

    :param connection: its state.
    :param now: seconds on the node's clock.
    """
    connection.phase = Phase.IDLE
    connection.progress_at = now


def pick(
    connections: Connections, *, now: float, max_connections: int, p99_s: float | None = None
) -> Pick:
    """Decide how a request gets a connection.

    The connection that was idle for the shortest time is reused, so that the others grow old and
    are retired. While a connection is overdue, only those that have progressed since it was asked
    are reused; the others may have gone silent with it, and a new one shows whether they have.

    :param connections: all connections to the target that are not closed.
    :param now: seconds on the node's clock.
    :param bound: connections that the target accepts.
    :param p99_s: 99th percentile of the target's latency, or ``None`` if it is not known.
    """
    overdue_since = [
        connection.awaiting_since
        for connection in connections.values()
        if connection.phase is Phase.AWAITING and _is_overdue(connection, now, p99_s)
    ]
    trusted_since = max(max(overdue_since, default=float("-inf")), now - MAX_IDLE_S)
    idle = [name for name in connections if connections[name].phase is Phase.IDLE]
    idle.sort(key=lambda name: _find_last_use(connections[name]))
    if idle and _find_last_use(connections[idle[-1]]) > trusted_since:
        return Pick(action=Action.REUSE, connection=idle[-1])
    if len(connections) < max_connections:
        return Pick(action=Action.OPEN)
    if idle:
        return Pick(action=Action.OPEN, retire=(idle[0],))
    return Pick(action=Action.WAIT)


def find_silent(connections: Connections, *, now: float, p99_s: float | None) -> list[ConnectionId]:
    """Return connections without progress for too long while others progressed.

    When none progresses, the target rather than its connections has stopped; see
    :func:`judge`.

    :param connections: all connections to the target that are not closed.
    :param now: seconds on the node's clock.
    :param p99_s: 99th percentile of the target's latency, or ``None`` if it is not known.
    """
    latest_at = max((other.progress_at for other in connections.values()), default=float("-inf"))
    return [
        name
        for name, connection in connections.items()
        if connection.phase is Phase.AWAITING and _is_overdue(connection, now, p99_s)
        # Progress made before the silence began says nothing about it.
        and latest_at > _find_last_activity(connection) + compute_silence_timeout(p99_s) / 2
    ]


def is_silent(connection: Connection, since: float) -> bool:
    """Return whether bytes have been awaited since a time, and none have come.

    :param connection: its state.
    :param since: seconds on the node's clock.
    """
    return connection.phase is Phase.AWAITING and _find_last_activity(connection) <= since


def find_idle(connections: Connections, *, now: float) -> list[ConnectionId]:
    """Return connections that were idle for too long to be trusted.

    :param connections: all connections to the target that are not closed.
    :param now: seconds on the node's clock.
    """
    return [
        name
        for name, connection in connections.items()
        if connection.phase is Phase.IDLE and now - _find_last_use(connection) >= MAX_IDLE_S
    ]


def assess_health(connections: Connections, *, now: float, p99_s: float | None) -> Health:
    """Return whether the target progresses.

    While it is ``DOUBTFUL``, :func:`pick` leads requests to new connections.

    :param connections: all connections to the target that are not closed.
    :param now: seconds on the node's clock.
    :param p99_s: 99th percentile of the target's latency, or ``None`` if it is not known.
    """
    overdue = [
        connection
        for connection in connections.values()
        if connection.phase is Phase.AWAITING and _is_overdue(connection, now, p99_s)
    ]
    latest_at = max((other.progress_at for other in connections.values()), default=float("-inf"))
    if not overdue or now - latest_at < compute_silence_timeout(p99_s):
        return Health.PROGRESSING
    # All open connections may go silent at once; only one opened since then tells a stopped target.
    first_at = min(_find_last_activity(connection) for connection in overdue)
    if any(connection.opened_at > first_at for connection in overdue):
        return Health.STALLED
    return Health.DOUBTFUL


def compute_silence_timeout(p99_s: float | None) -> float:
    """Return after how many seconds without bytes a connection is overdue.

    :param p99_s: 99th percentile of the target's latency, or ``None`` if it is not known.
    """
    return max(SILENT_FACTOR * (p99_s or 0.0), MIN_SILENT_S)


def _is_overdue(connection: Connection, now: float, p99_s: float | None) -> bool:
    return now - _find_last_activity(connection) >= compute_silence_timeout(p99_s)


def _find_last_activity(connection: Connection) -> float:
    return max(connection.awaiting_since, connection.progress_at)


def _find_last_use(connection: Connection) -> float:
    return max(connection.opened_at, connection.progress_at)
