"""Records requests that end without a whole answer, and why."""

import collections
import dataclasses
import enum
import logging

import h11
import trio

from ebonyvalve.connection import wire
from ebonyvalve.process import decision
from ebonyvalve.request import exchange

log = logging.getLogger(__name__)

# States of a server whose reply hasn't been written to its end.
INCOMPLETE_STATES = frozenset({h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR})


class Cause(enum.Enum):
    """Why a request got no whole answer."""

    # The node closed the connection before or in the middle of the request's own answer.
    CUT = "cut"
    # An earlier answer closed the connection.
    BEHIND = "behind"
    # The caller closed the connection before the node decided to.
    CALLER_LEFT = "caller-left"


class Listener(enum.Enum):
    """Where a request came from: a caller, or another node that forwarded it."""

    CALLERS = "callers"
    PEERS = "peers"


@dataclasses.dataclass(kw_only=True)
class Tracker:
    """The requests of one listener that ended without a whole answer.

    ``counts`` counts those that were passed on, by listener and cause. ``abandoned`` holds those
    whose caller has left, by connection until that is closed.
    """

    counts: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    abandoned: dict[wire.Wire, list[exchange.Call]] = dataclasses.field(default_factory=dict)


def is_incomplete(conn: wire.Wire) -> bool:
    """Return whether the reply to the request that was read last has not been written whole.

    :param conn: the state of the request.
    """
    return conn.is_writing or conn.http.our_state in INCOMPLETE_STATES


def choose_cause(*, has_left: bool, is_behind: bool) -> Cause:
    """Return why a request got no whole answer.

    :param has_left: whether the node noticed the caller's close before it ended the request.
    :param is_behind: whether an earlier request closed the connection.
    """
    if has_left:
        return Cause.CALLER_LEFT
    return Cause.BEHIND if is_behind else Cause.CUT


def needs_line(cause: Cause, *, may_have_run: bool) -> bool:
    """Return whether a request without a whole answer gets a log line of its own.

    A caller that leaves gets one for its connection. A request behind a closing answer that was not
    passed on counts as not read.

    :param cause: why the request was not answered.
    :param may_have_run: whether it was passed on.
    """
    return cause is Cause.CUT or (cause is Cause.BEHIND and may_have_run)


def find_left_at(*conns: wire.Wire | None) -> float | None:
    """Return when the peer's close was noticed first, or ``None`` if it was not.

    :param conns: states of requests of one connection.
    """
    times = (conn.left_at_s for conn in conns if conn is not None)
    return min((at for at in times if at is not None), default=None)


def summarize(calls: list[exchange.Call], at_s: float) -> dict[str, object]:
    """Return the fields of the line about a caller that left.

    :param calls: its requests without a whole answer, at least one.
    :param at_s: when its close was noticed.
    """
    fields: dict[str, object] = {
        "requests": len(calls),
        "passed_on": sum(call.may_have_run for call in calls),
    }
    calls = sorted(calls, key=lambda call: call.arrived_at_s)
    for name, call in (("oldest", calls[0]), ("newest", calls[-1])):
        fields[f"{name}_id"] = call.request_id
        fields[f"{name}_took_ms"] = int((at_s - call.arrived_at_s) * 1000)
        fields[f"{name}_left_ms"] = int((call.deadline_at_s - at_s) * 1000)
    return fields


def record(
    tracker: Tracker,
    conn: wire.Wire,
    call: exchange.Call,
    cause: Cause,
    listener: Listener,
    **fields: object,
) -> None:
    """Count and log a request that ended without a whole answer.

    :param tracker: the state of the listener.
    :param conn: the connection.
    :param call: the request.
    :param cause: why it was not answered.
    :param listener: where it came from.
    :param fields: further fields of its line.
    """
    if call.may_have_run:
        tracker.counts[listener.value, cause.value] += 1
    if cause is Cause.CALLER_LEFT:
        tracker.abandoned.setdefault(conn, []).append(call)
    if needs_line(cause, may_have_run=call.may_have_run):
        decision.record(
            log,
            logging.WARNING,
            "unanswered",
            id=call.request_id,
            cause=cause,
            passed_on=call.may_have_run,
            hop=listener is Listener.PEERS,
            peer_closed=wire.is_closed_by_peer(conn),
            **fields,
        )


def end_connection(tracker: Tracker, conn: wire.Wire, now_s: float, listener: Listener) -> None:
    """Log a caller that left, before its connection is closed.

    :param tracker: the state of the listener.
    :param conn: the connection.
    :param now_s: the time on the node's clock.
    :param listener: where its requests came from.
    """
    calls = tracker.abandoned.pop(conn, None)
    if calls is None:
        return
    # The node's clock may differ from Trio's clock.
    noticed_at_s = conn.left_at_s
    age_s = 0.0 if noticed_at_s is None else trio.current_time() - noticed_at_s
    decision.record(
        log,
        # A node that gives up an attempt closes its connection, and logs the attempt itself.
        logging.DEBUG if listener is Listener.PEERS else logging.INFO,
        "caller-left",
        hop=listener is Listener.PEERS,
        **summarize(calls, now_s - age_s),
    )
