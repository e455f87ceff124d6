"""State of the local target, and the rules by which it is taken as up or down."""

import dataclasses
import enum

import msgspec

from ebonyvalve.process import decoding, identity

# A probe costs about 6 ms (docs/design.md, section 1), so the target is probed only after it has
# sent no reply for IDLE_PROBE_S; for STALL_S if requests are in flight or it is down. After a
# failed probe, the next one is due at once.
STALL_S = 0.25
IDLE_PROBE_S = 1.0
PROBE_TIMEOUT_S = 0.1
PROBES_TO_DOWN = 2
PROBES_TO_UP = 2
# The health endpoint may report a target as healthy that answers no requests. One that misses this
# many deadlines in a row is taken as down although it answers probes, and is next probed after
# RETRY_AFTER_MISSES_S.
MISSES_TO_DOWN = 5
RETRY_AFTER_MISSES_S = 2.0


class TargetState(enum.Enum):
    """Whether the target can be given requests."""

    ABSENT = "absent"
    UP = "up"
    DOWN = "down"


class Announcement(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The JSON body that a target sends when it starts and whenever its state changes."""

    address: identity.Address
    incarnation: identity.Incarnation
    slots: decoding.Slots | None = None
    is_cold: bool = True


@dataclasses.dataclass(kw_only=True)
class Target:
    """State of the local target. Times are in seconds on the timer's clock."""

    state: TargetState = TargetState.ABSENT
    address: identity.Address | None = None
    incarnation: identity.Incarnation = identity.Incarnation("")
    slots: int = 0
    last_reply_s: float = 0.0
    # When the first request or probe after the last reply was sent.
    unanswered_since_s: float = 0.0
    last_probe_s: float = 0.0
    down_since_s: float = 0.0
    failed_probes: int = 0
    good_probes: int = 0
    missed_deadlines: int = 0
    reason: str = "not announced"


def announce(target: Target, entry: Announcement, now_s: float) -> bool:
    """Apply an announcement; return whether the target is a new or restarted one.

    :param target: the state.
    :param entry: the announcement.
    :param now_s: the time in seconds.
    """
    is_new = entry.incarnation != target.incarnation or entry.address != target.address
    target.address = entry.address
    target.incarnation = entry.incarnation
    target.slots = entry.slots or target.slots
    if is_new or target.state is not TargetState.UP:
        _mark_up(target, now_s)
    return is_new


def record_reply(target: Target, now_s: float) -> None:
    """Record that the target sent an answer.

    :param target: the state.
    :param now_s: the time in seconds.
    """
    target.last_reply_s = now_s
    target.failed_probes = 0
    target.missed_deadlines = 0


def record_sent(target: Target, now_s: float) -> float:
    """Record that a request or probe is sent; return when the first unanswered one was sent.

    :param target: the state.
    :param now_s: the time in seconds.
    """
    if target.unanswered_since_s <= target.last_reply_s:
        target.unanswered_since_s = now_s
    return target.unanswered_since_s


def record_refusal(target: Target, now_s: float) -> bool:
    """Record a refused connection; return whether the target's state changed to down.

    One refusal is enough: on the same VM a connection is refused only if no target listens.

    :param target: the state.
    :param now_s: the time in seconds.
    """
    return _mark_down(target, now_s, "connection refused")


def record_miss(target: Target, now_s: float) -> bool:
    """Record a request that missed its deadline; return whether the target's state changed to down.

    :param target: the state.
    :param now_s: the time in seconds.
    """
    target.missed_deadlines += 1
    if target.missed_deadlines < MISSES_TO_DOWN:
        return False
    return _mark_down(target, now_s, f"{target.missed_deadlines} deadlines missed in a row")


def is_probe_due(target: Target, in_flight: int, now_s: float) -> bool:
    """Return whether the target must be probed now.

    :param target: the state.
    :param in_flight: number of requests that the target is running.
    :param now_s: the time in seconds.
    """
    if target.state is TargetState.ABSENT:
        return False
    if target.missed_deadlines >= MISSES_TO_DOWN:
        return now_s - target.down_since_s >= RETRY_AFTER_MISSES_S
    is_urgent = in_flight > 0 or target.failed_probes > 0 or target.state is TargetState.DOWN
    period_s = STALL_S if is_urgent else IDLE_PROBE_S
    if target.failed_probes:
        period_s = 0.0
    return now_s - max(target.last_reply_s, target.last_probe_s) >= period_s


def record_probe(target: Target, is_answered: bool, now_s: float) -> bool:
    """Record the result of a probe; return whether the target's state changed.

    :param target: the state.
    :param is_answered: whether an answer came within :data:`PROBE_TIMEOUT_S`.
    :param now_s: the time in seconds.
    """
    target.last_probe_s = now_s
    if not is_answered:
        target.good_probes = 0
        target.failed_probes += 1
        if target.failed_probes >= PROBES_TO_DOWN:
            return _mark_down(target, now_s, f"{target.failed_probes} probes failed")
        return False
    target.last_reply_s = now_s
    target.failed_probes = 0
    target.good_probes += 1
    if target.state is TargetState.DOWN and target.good_probes >= PROBES_TO_UP:
        _mark_up(target, now_s)
        return True
    return False


def is_up(target: Target) -> bool:
    """Return whether the target can be given requests.

    :param target: the state.
    """
    return target.state is TargetState.UP


def _mark_up(target: Target, now_s: float) -> None:
    target.state = TargetState.UP
    target.last_reply_s = now_s
    target.failed_probes = 0
    target.good_probes = 0
    target.missed_deadlines = 0
    target.reason = "answers"


def _mark_down(target: Target, now_s: float, reason: str) -> bool:
    if target.state is not TargetState.UP:
        return False
    target.state = TargetState.DOWN
    target.down_since_s = now_s
    target.good_probes = 0
    target.reason = reason
    return True
