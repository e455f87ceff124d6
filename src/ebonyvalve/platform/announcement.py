"""Codec of the status reports and leaves that targets send to the node beside them.

The field names of the structs are the platform's.
"""

import dataclasses
import typing

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity, member
from ebonyvalve.process.keyspace import grant

PATH = "/instances/"
# In the year 5138. The latest start wins, so that one in the far future would hide every later
# lifetime.
MAX_STARTED_AT_MS = 10**14
MAX_COLD_S = 86_400.0
StartedAtMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_AT_MS)]
ColdSeconds = typing.Annotated[float, msgspec.Meta(ge=-MAX_COLD_S, le=MAX_COLD_S)]
Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_SLOTS)]
# Stored in the service's ledger, whose row has a limited size.
Handover = typing.Annotated[str, msgspec.Meta(max_length=decoding.MAX_NAME_BYTES)]
STATES = {"ready": member.TargetState.READY, "draining": member.TargetState.LEAVING}


class Info(msgspec.Struct, kw_only=True):
    """Static properties of a target. ``backend`` is its service, ``slots`` its concurrency."""

    backend: str
    slots: Slots
    zone: str = ""


class Status(msgspec.Struct, kw_only=True):
    """Current state of a target.

    ``seq`` increases with each report of one lifetime. ``cold_left_s`` is how many seconds of its
    slow start remain.
    """

    state: str
    seq: decoding.Count
    cold_left_s: ColdSeconds = 0.0


class Document(msgspec.Struct, kw_only=True):
    """A status report.

    ``born`` is the Unix time of the target's start in milliseconds. ``holds`` are the key ranges
    that the target serves, as first key, last key and fence. ``released`` are those that it has
    given up, as first key, last key and handover data for their next holder.
    """

    address: str
    info: Info
    status: Status
    born: StartedAtMs = 0
    holds: list[tuple[decoding.KeySlot, decoding.KeySlot, decoding.Count]] = []
    released: list[tuple[decoding.KeySlot, decoding.KeySlot, Handover]] = []


class LeaveDocument(msgspec.Struct, kw_only=True):
    """The body of a leave. ``born`` is the Unix time of the target's start in milliseconds."""

    born: StartedAtMs | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """A decoded status report. ``started_at_ms`` orders the lifetimes of targets at one address."""

    report: grant.Report
    service: identity.ServiceId
    address: identity.Address
    started_at_ms: int
    slots: int
    state: member.TargetState
    cold_left_s: float


def decode(name: str, body: bytes) -> Announcement | str:
    """Decode a status report; return why it is invalid otherwise.

    :param name: the target's id, from the path.
    :param body: the report.
    """
    if not decoding.is_name(name):
        return f"report of {name[: decoding.MAX_CAUSE_CHARS]!r}: the name is not valid"
    decoded = decoding.decode(body, Document, find_fault)
    if not isinstance(decoded, result.Success):
        return f'report of "{name}": {decoded.failure()}'
    wire = decoded.unwrap()
    return Announcement(
        report=grant.Report(
            lifetime=member.name_lifetime(name, wire.born),
            sequence=wire.status.seq,
            holds=tuple(wire.holds),
            released=tuple(wire.released),
        ),
        service=identity.ServiceId(wire.info.backend),
        address=identity.Address(wire.address),
        started_at_ms=wire.born,
        slots=max(1, wire.info.slots),
        state=STATES[wire.status.state],
        cold_left_s=max(0.0, wire.status.cold_left_s),
    )


def decode_leave(name: str, body: bytes) -> LeaveDocument | str:
    """Decode the leave of a target; return why it is invalid otherwise.

    :param name: the target's id, from the path.
    :param body: the leave, which may be empty.
    """
    if not decoding.is_name(name):
        return f"leave of {name[: decoding.MAX_CAUSE_CHARS]!r}: the name is not valid"
    if not body:
        return LeaveDocument()
    decoded = decoding.decode(body, LeaveDocument)
    if not isinstance(decoded, result.Success):
        return f"leave of {name[: decoding.MAX_CAUSE_CHARS]!r}: {decoded.failure()}"
    wire: LeaveDocument = decoded.unwrap()
    return wire


def find_fault(wire: Document) -> str:
    """Return which text field of a report is invalid, or an empty string.

    :param wire: the report.
    """
    if wire.status.state not in STATES:
        return f'state "{wire.status.state}" is unknown'
    if not decoding.is_address(wire.address):
        return f"address {wire.address!r} is not host:port"
    return ""


def encode(issued: grant.Grant | None) -> bytes:
    """Encode the answer to a status report.

    :param issued: the key ranges granted to the target, or ``None`` for a service without keys.
    """
    if issued is None or issued.spans is None:
        return b"{}"
    rows: list[typing.Any] = [
        [span.first, span.last, span.fence, span.handover] for span in issued.spans
    ]
    return msgspec.json.encode({"holds": rows, "hold_s": round(issued.hold_s, 3)})
