"""Policy of the connection pool: when to reuse, open, wait for or close connections.

It also distinguishes silent connections from a target that has stopped.
"""

import collections.abc
import dataclasses
import enum
import typing

ConnectionId = typing.NewType("ConnectionId", int)
Connections = collections.abc.Mapping[ConnectionId, "Connection"]

# A connection is overdue after SILENT_FACTOR times the 99th percentile of the latency, as later
# replies are rare. Below MIN_SILENT_S, a briefly paused process would pass for a silent connection.
SILENT_FACTOR = 4.0
MIN_SILENT_S = 0.25
# Firewalls and switches drop idle flows without notice. Connecting costs 1 ms, a probe 6 ms, and a
# request sent on a silent connection at least 250 ms.
MAX_IDLE_S = 5.0


class Action(enum.Enum):
    """How a request gets its connection."""

    REUSE = "reuse"
    OPEN = "open"
    WAIT = "wait"


class Phase(enum.Enum):
    """State of a connection."""

    CONNECTING = "connecting"
    IDLE = "idle"
    # Bytes are expected from the target.
    AWAITING = "awaiting"
    # The caller has to read or send next, or the connection was acquired and nothing has been sent
    # yet. Missing bytes say nothing about the connection.
    HELD_BY_CALLER = "held-by-caller"


class Health(enum.Enum):
    """Whether a target sends what it is expected to, judged by all connections to it.

    ``DOUBTFUL``: an overdue connection and no recent bytes; either the connections or the target
    failed. ``STALLED``: a connection that was opened since then is overdue too, so the target has
    stopped.
    """

    PROGRESSING = "progressing"
    DOUBTFUL = "doubtful"
    STALLED = "stalled"


@dataclasses.dataclass(kw_only=True)
class Connection:
    """Liveness of one connection. Times are seconds on the node's clock.

    ``progress_at`` is when bytes last arrived from the target. Connecting doesn't count, as the
    kernel still accepts connections for a frozen process. ``awaiting_since`` is when the target was
    last expected to send next.
    """

    opened_at: float
    phase: Phase = Phase.CONNECTING
    progress_at: float = float("-inf")
    awaiting_since: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pick:
    """The decision for one request. Connections in ``retire`` are closed before one is opened."""

    action: Action
    connection: ConnectionId | None = None
    retire: tuple[ConnectionId, ...] = ()


def record_connected(connection: Connection, now: float) -> None:
    """Record that the connection is established and idle.

    :param connection: its state.
    :param now: seconds on the node's clock.
    """
    connection.phase = Phase.IDLE
    connection.awaiting_since = now


def record_awaiting(connection: Connection, now: float) -> None:
    """Record that the target has to send next: a request was sent, or the caller reads again.

    :param connection: its state.
    :param now: seconds on the node's clock.
    """
    connection.phase = Phase.AWAITING
    connection.awaiting_since = now


def record_held_by_caller(connection: Connection) -> None:
    """Record that the caller has to read or send before the target can proceed.

    :param connection: its state.
    """
    connection.phase = Phase.HELD_BY_CALLER


def record_progress(connection: Connection, now: float) -> None:
    """Record that bytes arrived from the target.

    :param connection: its state.
    :param now: seconds on the node's clock.
    """
    connection.progress_at = now


def record_idle(connection: Connection, now: float) -> None:
    """Record that a reply is complete and the connection can be reused.

    :param connection: its state.
    :param now: seconds on the node's clock.
    """
    connection.phase = Phase.IDLE
    connection.progress_at = now


def pick(
    connections: Connections, *, now: float, max_connections: int, p99_s: float | None = None
) -> Pick:
    """Decide how a request gets a connection.

    The connection that was idle for the shortest time is reused, so that the others reach
    ``MAX_IDLE_S`` and are closed. While a connection is overdue, only connections that received
    bytes or were opened after its wait began are reused. The others may have gone silent with it,
    and a new connection shows whether they have.

    :param connections: all open connections to the target.
    :param now: seconds on the node's clock.
    :param max_connections: number of connections that the target accepts.
    :param p99_s: 99th percentile of the target's latency in seconds, or ``None`` if unknown.
    """
    overdue_since = [
        connection.awaiting_since
        for connection in connections.values()
        if connection.phase is Phase.AWAITING and _is_overdue(connection, now, p99_s)
    ]
    trusted_since = max(max(overdue_since, default=float("-inf")), now - MAX_IDLE_S)
    idle = [
        connection_id
        for connection_id in connections
        if connections[connection_id].phase is Phase.IDLE
    ]
    idle.sort(key=lambda connection_id: _find_last_use(connections[connection_id]))
    if idle and _find_last_use(connections[idle[-1]]) > trusted_since:
        return Pick(action=Action.REUSE, connection=idle[-1])
    if len(connections) < max_connections:
        return Pick(action=Action.OPEN)
    if idle:
        return Pick(action=Action.OPEN, retire=(idle[0],))
    return Pick(action=Action.WAIT)


def find_silent(connections: Connections, *, now: float, p99_s: float | None) -> list[ConnectionId]:
    """Return overdue connections while other connections to the target receive bytes.

    If no connection receives bytes, the target has stopped rather than its connections; see
    :func:`assess_health`.

    :param connections: all open connections to the target.
    :param now: seconds on the node's clock.
    :param p99_s: 99th percentile of the target's latency in seconds, or ``None`` if unknown.
    """
    latest_progress_at = max(
        (connection.progress_at for connection in connections.values()), default=float("-inf")
    )
    return [
        connection_id
        for connection_id, connection in connections.items()
        if connection.phase is Phase.AWAITING and _is_overdue(connection, now, p99_s)
        # Bytes that arrived elsewhere count only if they came at least half the timeout after this
        # connection's last activity; earlier ones say nothing about it.
        and latest_progress_at
        > _find_last_activity(connection) + compute_silence_timeout(p99_s) / 2
    ]


def is_silent(connection: Connection, since: float) -> bool:
    """Return whether bytes have been awaited since a time and none have arrived.

    :param connection: its state.
    :param since: seconds on the node's clock.
    """
    return connection.phase is Phase.AWAITING and _find_last_activity(connection) <= since


def find_idle(connections: Connections, *, now: float) -> list[ConnectionId]:
    """Return the connections that were idle for ``MAX_IDLE_S`` or longer.

    :param connections: all open connections to the target.
    :param now: seconds on the node's clock.
    """
    return [
        connection_id
        for connection_id, connection in connections.items()
        if connection.phase is Phase.IDLE and now - _find_last_use(connection) >= MAX_IDLE_S
    ]


def assess_health(connections: Connections, *, now: float, p99_s: float | None) -> Health:
    """Return the health of a target.

    While it is ``DOUBTFUL``, :func:`pick` opens new connections instead of reusing idle ones.

    :param connections: all open connections to the target.
    :param now: seconds on the node's clock.
    :param p99_s: 99th percentile of the target's latency in seconds, or ``None`` if unknown.
    """
    overdue = [
        connection
        for connection in connections.values()
        if connection.phase is Phase.AWAITING and _is_overdue(connection, now, p99_s)
    ]
    latest_progress_at = max(
        (connection.progress_at for connection in connections.values()), default=float("-inf")
    )
    if not overdue or now - latest_progress_at < compute_silence_timeout(p99_s):
        return Health.PROGRESSING
    # All open connections may go silent at once. Only an overdue connection that was opened after
    # the silence began shows that the target has stopped.
    silence_began_at = min(_find_last_activity(connection) for connection in overdue)
    if any(connection.opened_at > silence_began_at for connection in overdue):
        return Health.STALLED
    return Health.DOUBTFUL


def compute_silence_timeout(p99_s: float | None) -> float:
    """Return after how many seconds without bytes a connection is overdue.

    :param p99_s: 99th percentile of the target's latency in seconds, or ``None`` if unknown.
    """
    return max(SILENT_FACTOR * (p99_s or 0.0), MIN_SILENT_S)


def _is_overdue(connection: Connection, now: float, p99_s: float | None) -> bool:
    return now - _find_last_activity(connection) >= compute_silence_timeout(p99_s)


def _find_last_activity(connection: Connection) -> float:
    """Return when bytes last arrived or the target was last expected to send next."""
    return max(connection.awaiting_since, connection.progress_at)


def _find_last_use(connection: Connection) -> float:
    """Return when bytes last arrived, or when the connection was opened if none have."""
    return max(connection.opened_at, connection.progress_at)
