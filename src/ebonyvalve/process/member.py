"""Nodes with their targets, as they announce themselves in the table."""

import enum

import msgspec

from ebonyvalve.process import identity


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
    slots: int
    state: TargetState


def encode(member: Member) -> bytes:
    """Return a member as the bytes of its row.

    :param member: the member.
    """
    return msgspec.json.encode(member)


def decode(value: bytes) -> Member:
    """Return the member of a row.

    :param value: the row's bytes.
    :raises msgspec.DecodeError: if they are no member.
    """
    return msgspec.json.decode(value, type=Member)
