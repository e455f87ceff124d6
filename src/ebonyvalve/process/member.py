"""Announcements of nodes and their targets in the table."""

import enum

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    # Sends no reports and therefore can't own keys, or has sent none since its node restarted.
    SILENT = "silent"
    LEAVING = "leaving"
    GONE = "gone"


class Member(msgspec.Struct, kw_only=True, frozen=True):
    """A node and its local target. ``address`` accepts requests for the target.

    ``era`` is the era of the store in which the row was written, absent in era 0. ``has_left`` is
    set for a target that is gone because it has announced its end, and absent otherwise.
    """

    node: identity.NodeId
    address: identity.Address
    zone: identity.ZoneId
    service: identity.ServiceId
    lifetime: identity.Lifetime
    slots: decoding.Slots
    state: TargetState
    era: decoding.Count | msgspec.UnsetType = msgspec.UNSET
    has_left: bool | msgspec.UnsetType = msgspec.UNSET


class Departure(msgspec.Struct, kw_only=True, frozen=True):
    """A lifetime of a target that has said that it leaves, or that it is gone."""

    lifetime: identity.Lifetime
    state: TargetState


def name_lifetime(target_id: str, started_at_ms: int) -> identity.Lifetime:
    """Return the identifier of one lifetime of a target.

    :param target_id: the target's id.
    :param started_at_ms: the Unix time of its start in milliseconds.
    """
    return identity.Lifetime(f"{target_id}@{started_at_ms}")


def read_target_id(lifetime: identity.Lifetime) -> str:
    """Return the target's id.

    :param lifetime: made by :func:`name_lifetime`.
    """
    return lifetime.rpartition("@")[0]


def read_started_at(lifetime: identity.Lifetime) -> int:
    """Return the Unix time of a lifetime's start in milliseconds, 0 if it names none.

    :param lifetime: made by :func:`name_lifetime`.
    """
    return decoding.read_count(lifetime.rpartition("@")[2]) or 0


def find_departure_fault(departure: Departure) -> str:
    """Return what is wrong with a departure, or an empty string.

    :param departure: the departure.
    """
    if departure.state not in (TargetState.LEAVING, TargetState.GONE):
        return f"state {departure.state.value!r} is not that of a target that leaves"
    return "" if decoding.is_name(departure.lifetime) else "the lifetime is not a valid name"


def encode(member: Member) -> bytes:
    """Encode a member as the value of its row.

    :param member: the member.
    """
    return msgspec.json.encode(member)


def decode(value: bytes) -> result.Result[Member, str]:
    """Decode a member from the value of its row, or return what is wrong with it.

    :param value: the row's value.
    """
    return decoding.decode(value, Member, find_fault)


def find_fault(member: Member) -> str:
    """Return what is wrong with a member's address or names, or an empty string.

    :param member: the member.
    """
    if not decoding.is_address(member.address):
        return f"address {member.address!r} is not host:port"
    for name in ("node", "zone", "service", "lifetime"):
        text = getattr(member, name)
        if not decoding.is_name(text):
            return f"{name} {text!r} is not a valid name"
    if has_left(member) and member.state is not TargetState.GONE:
        return f"a target that has left is in state {member.state.value!r}"
    return ""


def has_left(member: Member) -> bool:
    """Return whether a member's target is gone because it has announced its end.

    :param member: the member.
    """
    return member.has_left is True


def is_departing(member: Member) -> bool:
    """Return whether a member's target has announced its end, which is final for its lifetime.

    :param member: the member.
    """
    return has_left(member) or member.state is TargetState.LEAVING
