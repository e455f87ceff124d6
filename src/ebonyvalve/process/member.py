"""Nodes with their targets, as they announce themselves in the table."""

import enum

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    # Sends no reports, so that it can hold no keys.
    SILENT = "silent"
    LEAVING = "leaving"
    GONE = "gone"


class Member(msgspec.Struct, kw_only=True, frozen=True):
    """A node and the target beside it. ``address`` is where the node takes work for its target."""

    node: identity.NodeId
    address: identity.Address
    zone: identity.ZoneId
    service: identity.ServiceId
    lifetime: identity.Lifetime
    slots: decoding.Slots
    state: TargetState


def encode(member: Member) -> bytes:
    """Return a member as the bytes of its row.

    :param member: the member.
    """
    return msgspec.json.encode(member)


def decode(value: bytes) -> result.Result[Member, str]:
    """Return the member of a row, or what is wrong with it.

    :param value: the row's bytes.
    """
    return decoding.decode(value, Member, find_fault)


def find_fault(member: Member) -> str:
    """Return what is wrong with a member's texts, or an empty text.

    :param member: the member.
    """
    if not decoding.is_address(member.address):
        return f"address {member.address!r} is not host:port"
    for name in ("node", "zone", "service", "lifetime"):
        text = getattr(member, name)
        if not decoding.is_name(text):
            return f"{name} {text!r} is no name"
    return ""
